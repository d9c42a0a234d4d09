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
	// defaultIdleTimeout is the time without events after which an attempt fails: two heartbeats of an engine.
	defaultIdleTimeout = time.Second
	// probeTimeout leaves most of the 2 s allowed for a recovery to the recovery itself.
	probeTimeout = 200 * time.Millisecond
	// cancelTimeout bounds a cancel sent to a stage that may be unresponsive.
	cancelTimeout = 500 * time.Millisecond
	// defaultAttempts must be the same on every host: a host that resumes a stream numbers its attempts after
	// those that the previous host may have used.
	defaultAttempts = 8
)

// Config describes a Runner.
type Config struct {
	Loop      *Loop
	Engines   Engines
	Pipelines Pipelines
	Sealer    *seal.Sealer
	Log       logrus.FieldLogger
	// IdleTimeout is the idle timeout of an attempt, the longest time without an event; zero means 1 s.
	IdleTimeout time.Duration
	// MaxAttempts must equal that of the loop's stream.Config and be the same on all hosts; zero means 8.
	MaxAttempts int
	Clock       func() time.Time
}

// Counters is a snapshot of the counters of all streams of a host.
type Counters struct {
	Delivered    int64
	Dropped      int64
	Failures     int64
	IdleTimeouts int64
	Crashes      int64
	Refused      int64
}

type counters struct {
	delivered, dropped, failures, idleTimeouts, crashes, refused atomic.Int64
}

// Runner runs streams as sequences of engine attempts; it is safe for concurrent use.
type Runner struct {
	cfg      Config
	runs     atomic.Int64
	counters counters
	workers  sync.WaitGroup

	mu           sync.Mutex
	incarnations map[table.EndpointID]uint64
}

// New returns a Runner without streams.
func New(cfg Config) *Runner {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
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

// Wait blocks until every cancel to an engine has been sent or has timed out.
func (r *Runner) Wait() { r.workers.Wait() }

// Counters returns the counts since the start.
func (r *Runner) Counters() Counters {
	c := &r.counters
	return Counters{
		Delivered:    c.delivered.Load(),
		Dropped:      c.dropped.Load(),
		Failures:     c.failures.Load(),
		IdleTimeouts: c.idleTimeouts.Load(),
		Crashes:      c.crashes.Load(),
		Refused:      c.refused.Load(),
	}
}

// Run runs one stream until its end; the error is an *outcome.Refusal, or the cause of a cancelled context.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) error {
	s := &session{r: r, req: req.cfg, sink: sink, body: seal.DigestOf(req.cfg.Body)}
	if s.req.MaxTokens <= 0 || s.req.Layers <= 0 {
		// The delivered text is held in memory, so the response must be bounded; receipts need the number of layers.
		return s.refuse(outcome.BadRequest, "max_tokens and the layers of the model must be positive", 0)
	}
	s.fingerprint = quarantine.FingerprintOf(s.req.Service, s.req.Workspace, s.req.Body)
	s.firstAttempt = 1
	s.stream = s.req.Stream
	s.hasText = true
	if s.req.Resume != "" {
		if err := s.resume(); err != nil {
			return err
		}
	}
	// A caller may resume on a host that still serves the old connection, so each run has a key of its own.
	s.key = table.StreamID(string(s.stream) + "#" + strconv.FormatInt(r.runs.Add(1), 10))
	s.mailbox = r.cfg.Loop.register(s.key)
	defer r.cfg.Loop.unregister(s.key)
	defer s.release()
	err := s.run(ctx)
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		r.counters.refused.Add(1)
	}
	return err
}

// resume continues the stream after the position in the sealed id of the request.
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
	s.nextPosition = m.Position() + 1
	s.chain = m.Chain()
	s.hasText = false
	// The previous host may have started any of its attempts after it sealed this id.
	s.firstAttempt = m.Attempt() + s.r.cfg.MaxAttempts + 1
	return nil
}

func (s *session) run(ctx context.Context) error {
	v, err := s.r.cfg.Loop.requestVerdict(ctx, s.fingerprint)
	if err != nil {
		return s.interruptionError(err)
	}
	if v.Ruling() == quarantine.Refuse {
		return s.refuseQuarantined(ctx, v)
	}
	s.openedAt = s.r.cfg.Clock()
	progressDue := s.req.ProgressDue
	if progressDue.IsZero() {
		progressDue = s.openedAt
	}
	s.post(stream.NewOpened(stream.OpenedConfig{
		Stream:          s.key,
		Priority:        s.req.Priority,
		ProgressDue:     progressDue,
		Deadline:        s.req.Deadline,
		FirstAttempt:    s.firstAttempt,
		Route:           s.route,
		Position:        s.nextPosition,
		PromptTokens:    s.req.PromptTokens,
		KVBytesPerToken: s.req.KVBytesPerToken,
	}))
	defer s.postStopped()
	for {
		d, err := s.mailbox.next(ctx)
		if err != nil {
			return s.endForCaller(ctx, err)
		}
		if end, err := s.execute(ctx, d); end {
			return err
		}
	}
}

// execute executes a decision of the core and reports whether the stream has ended.
func (s *session) execute(ctx context.Context, d stream.Decision) (bool, error) {
	switch d := d.(type) {
	case stream.RequestPipeline:
		s.acquire(ctx, d)
	case stream.StartAttempt:
		s.runAttempt(ctx, d)
	case stream.CancelAttempt:
		s.cancelStages(ctx, d.Pipeline(), d.Attempt())
	case stream.Finish:
		return true, s.sendEnd(EndDone)
	case stream.Move:
		return true, s.sendEnd(EndMoved)
	case stream.EndForCaller:
		return true, errCallerGone
	case stream.Fail:
		return true, s.refuseFailed(ctx, d.Reason())
	}
	return false, nil
}

var errCallerGone = eris.New("streams: the caller has gone")

func (s *session) sendEnd(kind EndKind) error {
	if err := s.sink.End(End{kind: kind, tokens: s.nextPosition, finishReason: s.finishReason}); err != nil {
		return eris.Wrap(err, "streams.Run: send the end")
	}
	return nil
}

// endForCaller cancels the stream on every stage after its caller has disconnected.
func (s *session) endForCaller(ctx context.Context, cause error) error {
	if errors.Is(cause, errClosed) {
		return s.interruptionError(cause)
	}
	s.post(stream.NewCallerGone(s.key))
	ctx = context.WithoutCancel(ctx)
	for {
		d, err := s.mailbox.next(ctx)
		if err != nil {
			return s.interruptionError(cause)
		}
		switch d := d.(type) {
		case stream.CancelAttempt:
			s.cancelStages(ctx, d.Pipeline(), d.Attempt())
		case stream.EndForCaller, stream.Finish, stream.Move, stream.Fail:
			return s.interruptionError(cause)
		}
	}
}

func (s *session) interruptionError(cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return s.refuse(outcome.Timeout, "the deadline of the request has passed", 0)
	}
	if errors.Is(cause, errClosed) {
		return s.refuse(outcome.Leaving, "the host is stopping", 0)
	}
	return eris.Wrap(cause, "streams.Run")
}

// refuseFailed returns the refusal for the caller of a stream that failed for the given reason.
func (s *session) refuseFailed(ctx context.Context, reason stream.Reason) error {
	if s.refusal != nil {
		if s.refusal.Code() == outcome.Quarantined {
			s.awaitSpread(ctx)
		}
		return s.refusal
	}
	switch reason {
	case stream.DeadlinePassed:
		return s.refuse(outcome.Timeout, "the deadline of the request has passed", 0)
	case stream.NoPipeline:
		return s.refuse(outcome.NoCapacity, "no pipeline can be had", time.Second)
	case stream.TooManyAttempts, stream.CannotRecover, stream.DuplicateOpening:
	}
	s.awaitSpread(ctx)
	return s.refuse(outcome.EndpointFailed, "the stream could not be recovered: "+string(reason), time.Second)
}
