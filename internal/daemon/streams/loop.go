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
	// spreadTimeout is the longest wait for peers before the caller receives a refusal; see the design page.
	spreadTimeout = 500 * time.Millisecond
	// loopPeriod is the longest time between two ticks, which bounds the delay of deadlines and of the rate limit
	// of recoveries; see the design page.
	loopPeriod = 50 * time.Millisecond
)

// LoopConfig describes a Loop.
type LoopConfig struct {
	Streams    stream.Config
	Quarantine quarantine.Config
	Marks      Marks
	Log        logrus.FieldLogger
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
}

// verdict is the ruling on a request. spread is closed once its marks have been sent to the peers; nil means that
// no marks are being sent.
type verdict struct {
	quarantine.Verdict
	spread <-chan struct{}
}

type verdictRequest struct {
	fingerprint quarantine.Fingerprint
	reply       chan verdict
}

// inbox holds the events and requests received between two steps.
type inbox struct {
	streams         []stream.Event
	quarantine      []quarantine.Event
	verdictRequests []verdictRequest
	spread          []quarantine.Fingerprint
}

// Loop owns the stream.System and the quarantine.System. One goroutine steps it: either the loop of the daemon
// calls Step whenever Wake fires and every 50 ms, or Serve does so.
type Loop struct {
	cfg        LoopConfig
	streams    *stream.System
	quarantine *quarantine.System
	spreading  map[quarantine.Fingerprint]chan struct{}
	wake       chan struct{}
	done       chan struct{}
	stop       sync.Once
	workers    sync.WaitGroup

	mu        sync.Mutex
	inbox     inbox
	mailboxes map[table.StreamID]*mailbox
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
		mailboxes:  map[table.StreamID]*mailbox{},
	}
}

// Wake returns a channel that receives a value when events are waiting for Step.
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

// Close aborts every wait on the loop and blocks until the goroutines of the loop have ended.
func (l *Loop) Close() {
	l.stop.Do(func() { close(l.done) })
	l.workers.Wait()
}

// MoveAll moves every stream to another host before a planned stop.
func (l *Loop) MoveAll() { l.post(inbox{streams: []stream.Event{stream.NewMoveAllRequested()}}) }

// AddMarks adds marks received from a peer.
func (l *Loop) AddMarks(marks []quarantine.Mark) {
	l.post(inbox{quarantine: []quarantine.Event{quarantine.NewPeerMarks(marks)}})
}

// EndpointCrashed reports that an incarnation of an endpoint ended unexpectedly.
func (l *Loop) EndpointCrashed(id table.EndpointID, incarnation uint64) {
	l.post(inbox{
		streams:    []stream.Event{stream.NewEndpointCrashed(id)},
		quarantine: []quarantine.Event{quarantine.NewEndpointCrashed(id, incarnation)},
	})
}

// endpointLost reports that an endpoint is down although no stream can have crashed it.
func (l *Loop) endpointLost(id table.EndpointID) {
	l.post(inbox{streams: []stream.Event{stream.NewEndpointCrashed(id)}})
}

// Step applies the received events, executes the decisions of the quarantine and delivers those about streams.
func (l *Loop) Step(ctx context.Context, now time.Time) {
	l.mu.Lock()
	in := l.inbox
	l.inbox = inbox{}
	l.mu.Unlock()
	for _, f := range in.spread {
		l.removeSpread(f)
	}
	for _, d := range l.quarantine.Tick(now, in.quarantine) {
		l.execute(ctx, d)
	}
	for _, q := range in.verdictRequests {
		q.reply <- l.verdictFor(now, q.fingerprint)
	}
	for _, d := range l.streams.Tick(now, in.streams) {
		l.mu.Lock()
		m := l.mailboxes[d.Stream()]
		l.mu.Unlock()
		if m != nil {
			m.put(d)
		}
	}
}

func (l *Loop) verdictFor(now time.Time, f quarantine.Fingerprint) verdict {
	v := verdict{Verdict: l.quarantine.Verdict(now, f)}
	if ch := l.spreading[f]; ch != nil {
		v.spread = ch
	}
	return v
}

func (l *Loop) execute(ctx context.Context, d quarantine.Decision) {
	switch d := d.(type) {
	case quarantine.SendMarks:
		l.spread(ctx, d.Marks())
	case quarantine.FaultyEndpoint:
		l.cfg.Log.WithField("endpoint", d.Endpoint()).
			Warn("endpoint crashed with different requests; its crashes add weaker crash marks")
	}
}

// spread sends marks to the peers in a goroutine of its own, so that a slow peer does not delay other streams.
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

// removeSpread removes the entry of a request unless a later spread for it is in progress.
func (l *Loop) removeSpread(f quarantine.Fingerprint) {
	select {
	case <-l.spreading[f]:
		delete(l.spreading, f)
	default:
	}
}

func (l *Loop) post(in inbox) {
	l.mu.Lock()
	l.inbox.streams = append(l.inbox.streams, in.streams...)
	l.inbox.quarantine = append(l.inbox.quarantine, in.quarantine...)
	l.inbox.verdictRequests = append(l.inbox.verdictRequests, in.verdictRequests...)
	l.inbox.spread = append(l.inbox.spread, in.spread...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// requestVerdict applies all events posted earlier and the given ones, and then returns the ruling on a request.
func (l *Loop) requestVerdict(ctx context.Context, f quarantine.Fingerprint, before ...quarantine.Event) (verdict, error) {
	q := verdictRequest{fingerprint: f, reply: make(chan verdict, 1)}
	l.post(inbox{quarantine: before, verdictRequests: []verdictRequest{q}})
	select {
	case v := <-q.reply:
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
	l.mailboxes[id] = m
	return m
}

func (l *Loop) unregister(id table.StreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mailboxes, id)
}
