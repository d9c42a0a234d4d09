package streams

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/stream"
	"waxwingplank/internal/core/table"
)

const (
	// spreadTimeout is the longest wait for peers before the caller is told; set by the design page.
	spreadTimeout = 500 * time.Millisecond
	// loopPeriod is the longest time between two ticks, for deadlines and pacing; set by the design page.
	loopPeriod = 50 * time.Millisecond
)

// LoopConfig describes a Loop.
type LoopConfig struct {
	Streams    stream.Config
	Quarantine quarantine.Config
	Marks      Marks
	Log        logrus.FieldLogger
	// Clock reads the time; tests replace it.
	Clock func() time.Time
}

// verdict is the ruling on a request; spread is closed once its marks have been handed to peers.
type verdict struct {
	quarantine.Verdict
	spread <-chan struct{}
}

type question struct {
	fingerprint quarantine.Fingerprint
	answer      chan verdict
}

// inbox holds what came in between two steps.
type inbox struct {
	streams    []stream.Event
	quarantine []quarantine.Event
	questions  []question
	spread     []quarantine.Fingerprint
}

// Loop owns the systems for streams and for quarantine. One goroutine steps it: either the loop of the
// daemon calls Step whenever Wake fires and every 50 ms, or Serve does so.
type Loop struct {
	cfg        LoopConfig
	streams    *stream.System
	quarantine *quarantine.System
	spreading  map[quarantine.Fingerprint]chan struct{}
	wake       chan struct{}
	done       chan struct{}
	stop       sync.Once
	workers    sync.WaitGroup

	mu    sync.Mutex
	in    inbox
	mails map[table.StreamID]*mailbox
}

// NewLoop returns a loop without streams.
func NewLoop(cfg LoopConfig) *Loop {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Loop{
		cfg:        cfg,
		streams:    stream.New(cfg.Streams),
		quarantine: quarantine.New(cfg.Quarantine),
		spreading:  map[quarantine.Fingerprint]chan struct{}{},
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		mails:      map[table.StreamID]*mailbox{},
	}
}

// Wake fires when there is something to step for.
func (l *Loop) Wake() <-chan struct{} { return l.wake }

// Serve steps the loop until the context ends, then closes it.
func (l *Loop) Serve(ctx context.Context) {
	defer l.Close()
	tick := time.NewTicker(loopPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-tick.C:
		}
		l.Step(ctx, l.cfg.Clock())
	}
}

// Close ends every wait on the loop and waits for its own workers.
func (l *Loop) Close() {
	l.stop.Do(func() { close(l.done) })
	l.workers.Wait()
}

// HandOver moves every stream to another host, for a planned stop.
func (l *Loop) HandOver() { l.post(inbox{streams: []stream.Event{stream.NewMoveAllRequested()}}) }

// AddMarks takes in marks from a peer.
func (l *Loop) AddMarks(marks []quarantine.Mark) {
	l.post(inbox{quarantine: []quarantine.Event{quarantine.NewPeerMarks(marks)}})
}

// EndpointCrashed reports that an incarnation of an endpoint ended without notice.
func (l *Loop) EndpointCrashed(id table.EndpointID, incarnation uint64) {
	l.post(inbox{
		streams:    []stream.Event{stream.NewEndpointCrashed(id)},
		quarantine: []quarantine.Event{quarantine.NewEndpointCrashed(id, incarnation)},
	})
}

// endpointLost reports that an endpoint is gone, where no stream can have crashed it.
func (l *Loop) endpointLost(id table.EndpointID) {
	l.post(inbox{streams: []stream.Event{stream.NewEndpointCrashed(id)}})
}

// Step applies what came in and carries out or hands on the decisions.
func (l *Loop) Step(ctx context.Context, now time.Time) {
	l.mu.Lock()
	in := l.in
	l.in = inbox{}
	l.mu.Unlock()
	for _, f := range in.spread {
		l.forgetSpread(f)
	}
	for _, d := range l.quarantine.Tick(now, in.quarantine) {
		l.carryOut(ctx, d)
	}
	for _, q := range in.questions {
		q.answer <- l.rule(now, q.fingerprint)
	}
	for _, d := range l.streams.Tick(now, in.streams) {
		l.mu.Lock()
		m := l.mails[d.Stream()]
		l.mu.Unlock()
		if m != nil {
			m.put(d)
		}
	}
}

func (l *Loop) rule(now time.Time, f quarantine.Fingerprint) verdict {
	v := verdict{Verdict: l.quarantine.Verdict(now, f)}
	if ch := l.spreading[f]; ch != nil {
		v.spread = ch
	}
	return v
}

func (l *Loop) carryOut(ctx context.Context, d quarantine.Decision) {
	switch d := d.(type) {
	case quarantine.SendMarks:
		l.spread(ctx, d.Marks())
	case quarantine.FaultyEndpoint:
		l.cfg.Log.WithField("endpoint", d.Endpoint()).
			Warn("endpoint crashes with different requests; its crashes give no marks")
	}
}

// spread hands marks to the peers outside the loop, so that a slow peer does not hold up other streams.
func (l *Loop) spread(ctx context.Context, marks []quarantine.Mark) {
	if l.cfg.Marks == nil {
		return
	}
	ch := make(chan struct{})
	var marked []quarantine.Fingerprint
	for _, m := range marks {
		if !m.Cleared() {
			l.spreading[m.Fingerprint()] = ch
			marked = append(marked, m.Fingerprint())
		}
	}
	ctx = context.WithoutCancel(ctx)
	l.workers.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
		defer cancel()
		if err := l.cfg.Marks.Spread(ctx, marks); err != nil {
			l.cfg.Log.WithError(err).Warn("not every peer acknowledged the crash marks")
		}
		close(ch)
		l.post(inbox{spread: marked})
	})
}

// forgetSpread removes the entry unless a later spread for the same request is under way.
func (l *Loop) forgetSpread(f quarantine.Fingerprint) {
	select {
	case <-l.spreading[f]:
		delete(l.spreading, f)
	default:
	}
}

func (l *Loop) post(more inbox) {
	l.mu.Lock()
	l.in.streams = append(l.in.streams, more.streams...)
	l.in.quarantine = append(l.in.quarantine, more.quarantine...)
	l.in.questions = append(l.in.questions, more.questions...)
	l.in.spread = append(l.in.spread, more.spread...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ask returns the ruling on a request after every event posted before.
func (l *Loop) ask(ctx context.Context, f quarantine.Fingerprint, before ...quarantine.Event) (verdict, error) {
	q := question{fingerprint: f, answer: make(chan verdict, 1)}
	l.post(inbox{quarantine: before, questions: []question{q}})
	select {
	case v := <-q.answer:
		return v, nil
	case <-l.done:
		return verdict{}, errClosed
	case <-ctx.Done():
		return verdict{}, context.Cause(ctx)
	}
}

func (l *Loop) register(id table.StreamID) *mailbox {
	m := &mailbox{ready: make(chan struct{}, 1), closed: l.done}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mails[id] = m
	return m
}

func (l *Loop) unregister(id table.StreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mails, id)
}
