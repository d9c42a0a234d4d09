package streams

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/seal"
	"waxwingplank/internal/core/stream"
	"waxwingplank/internal/core/table"
)

const (
	// defaultProgress is the silence after which an attempt has failed: two heartbeats of an engine.
	defaultProgress = time.Second
	// probeTimeout leaves most of the 2 s bound for the recovery itself.
	probeTimeout = 200 * time.Millisecond
	// cancelTimeout bounds the notice to a stage that may not answer.
	cancelTimeout = 500 * time.Millisecond
	// defaultAttempts must be the same on every host: a resuming host counts on from it.
	defaultAttempts = 8
)

// Config describes a Runner.
type Config struct {
	Loop      *Loop
	Engines   Engines
	Pipelines Pipelines
	Sealer    *seal.Sealer
	Log       logrus.FieldLogger
	// Progress is the longest time without any event from an engine.
	Progress time.Duration
	// MaxAttempts is that of the loop's stream.Config and equal on all hosts.
	MaxAttempts int
	Clock       func() time.Time
}

// Counters is a reading of what the streams of a host met.
type Counters struct {
	Delivered int64
	Dropped   int64
	Failures  int64
	Silences  int64
	Crashes   int64
	Refused   int64
}

type counters struct {
	delivered, dropped, failures, silences, crashes, refused atomic.Int64
}

// Runner drives streams over engine attempts; it is safe for concurrent use.
type Runner struct {
	cfg      Config
	runs     atomic.Int64
	counters counters
	workers  sync.WaitGroup

	mu           sync.Mutex
	incarnations map[table.EndpointID]uint64
}

// New returns a runner.
func New(cfg Config) *Runner {
	if cfg.Progress == 0 {
		cfg.Progress = defaultProgress
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultAttempts
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Runner{cfg: cfg, incarnations: map[table.EndpointID]uint64{}}
}

// Wait returns once every notice to an engine has been sent or given up.
func (r *Runner) Wait() { r.workers.Wait() }

// Counters returns the counts since the start.
func (r *Runner) Counters() Counters {
	c := &r.counters
	return Counters{
		Delivered: c.delivered.Load(),
		Dropped:   c.dropped.Load(),
		Failures:  c.failures.Load(),
		Silences:  c.silences.Load(),
		Crashes:   c.crashes.Load(),
		Refused:   c.refused.Load(),
	}
}

// Run drives one stream until its end; the error is an *outcome.Refusal, or the cause of a cancelled context.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) error {
	s := &session{r: r, req: req.cfg, sink: sink, body: seal.DigestOf(req.cfg.Body)}
	if s.req.MaxTokens <= 0 || s.req.Layers <= 0 {
		// The delivered text is held in memory, so an answer needs a bound; receipts need the number of layers.
		return s.refuse(outcome.BadRequest, "max_tokens and the layers of the model must be positive", 0)
	}
	s.fingerprint = quarantine.FingerprintOf(s.req.Service, s.req.Workspace, s.req.Body)
	s.first = 1
	s.stream = s.req.Stream
	s.textKnown = true
	if s.req.Resume != "" {
		if err := s.resume(); err != nil {
			return err
		}
	}
	// A caller may resume on the host that still drives the old connection, so the key is of this run.
	s.key = table.StreamID(string(s.stream) + "#" + strconv.FormatInt(r.runs.Add(1), 10))
	s.mail = r.cfg.Loop.register(s.key)
	defer r.cfg.Loop.unregister(s.key)
	defer s.release()
	err := s.run(ctx)
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		r.counters.refused.Add(1)
	}
	return err
}

// resume takes up the place named by the sealed id of the request.
func (s *session) resume() error {
	m, err := s.r.cfg.Sealer.Open(s.req.Resume)
	if err != nil {
		return s.refuse(outcome.StreamLost, "the event id cannot be opened", 0)
	}
	if err := m.Check(s.req.Workspace, s.req.Service, s.body); err != nil {
		return s.refuse(outcome.Forbidden, "the event id belongs to another request", 0)
	}
	s.stream = m.Stream()
	s.route = m.Route()
	s.next = m.Position() + 1
	s.chain = m.Chain()
	s.textKnown = false
	// The host before may have begun any of its attempts after it sealed this id.
	s.first = m.Attempt() + s.r.cfg.MaxAttempts + 1
	return nil
}

func (s *session) run(ctx context.Context) error {
	v, err := s.r.cfg.Loop.ask(ctx, s.fingerprint)
	if err != nil {
		return s.interrupted(err)
	}
	if v.Ruling() == quarantine.Refuse {
		return s.quarantined(ctx, v)
	}
	s.opened = s.r.cfg.Clock()
	promised := s.req.Promised
	if promised.IsZero() {
		promised = s.opened
	}
	s.post(stream.NewOpened(stream.OpenedConfig{
		Stream:          s.key,
		Priority:        s.req.Priority,
		ProgressDue:     promised,
		Deadline:        s.req.Deadline,
		FirstAttempt:    s.first,
		Route:           s.route,
		Position:        s.next,
		PromptTokens:    s.req.PromptTokens,
		KVBytesPerToken: s.req.KVBytesPerToken,
	}))
	defer s.stopped()
	for {
		d, err := s.mail.next(ctx)
		if err != nil {
			return s.leave(ctx, err)
		}
		if end, err := s.carryOut(ctx, d); end {
			return err
		}
	}
}

// carryOut does what the core decided and reports whether the stream has ended.
func (s *session) carryOut(ctx context.Context, d stream.Decision) (bool, error) {
	switch d := d.(type) {
	case stream.RequestPipeline:
		s.acquire(ctx, d)
	case stream.StartAttempt:
		s.attempt(ctx, d)
	case stream.CancelAttempt:
		s.cancelStages(ctx, d.Pipeline(), d.Attempt())
	case stream.Finish:
		return true, s.end(EndDone)
	case stream.Move:
		return true, s.end(EndMoved)
	case stream.EndForCaller:
		return true, errCallerGone
	case stream.Fail:
		return true, s.failed(ctx, d.Reason())
	}
	return false, nil
}

var errCallerGone = eris.New("streams: the caller has gone")

func (s *session) end(kind EndKind) error {
	if err := s.sink.End(End{kind: kind, tokens: s.next, finishReason: s.finishReason}); err != nil {
		return eris.Wrap(err, "streams.Run: send the end")
	}
	return nil
}

// leave cancels the stream on every stage after its caller has gone.
func (s *session) leave(ctx context.Context, cause error) error {
	if errors.Is(cause, errClosed) {
		return s.interrupted(cause)
	}
	s.post(stream.NewCallerGone(s.key))
	ctx = context.WithoutCancel(ctx)
	for {
		d, err := s.mail.next(ctx)
		if err != nil {
			return s.interrupted(cause)
		}
		switch d := d.(type) {
		case stream.CancelAttempt:
			s.cancelStages(ctx, d.Pipeline(), d.Attempt())
		case stream.EndForCaller, stream.Finish, stream.Move, stream.Fail:
			return s.interrupted(cause)
		}
	}
}

func (s *session) interrupted(cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return s.refuse(outcome.Timeout, "the deadline of the request has passed", 0)
	}
	if errors.Is(cause, errClosed) {
		return s.refuse(outcome.Leaving, "the host is stopping", 0)
	}
	return eris.Wrap(cause, "streams.Run")
}

// failed turns the reason of the core into the refusal for the caller.
func (s *session) failed(ctx context.Context, why stream.Reason) error {
	if s.refusal != nil {
		if s.refusal.Code() == outcome.Quarantined {
			s.awaitSpread(ctx)
		}
		return s.refusal
	}
	switch why {
	case stream.DeadlinePassed:
		return s.refuse(outcome.Timeout, "the deadline of the request has passed", 0)
	case stream.NoPipeline:
		return s.refuse(outcome.NoCapacity, "no pipeline can be had", time.Second)
	case stream.TooManyAttempts, stream.CannotRecover, stream.DuplicateOpening:
	}
	s.awaitSpread(ctx)
	return s.refuse(outcome.EndpointFailed, "the stream could not be recovered: "+string(why), time.Second)
}
