package streams

import (
	"context"
	"errors"
	"time"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/seal"
	"waxwingplank/internal/core/stream"
	"waxwingplank/internal/core/table"
)

// session is one run of a stream; it belongs to one goroutine.
type session struct {
	r            *Runner
	req          RequestConfig
	sink         Sink
	mailbox      *mailbox
	key          table.StreamID
	stream       table.StreamID
	body         seal.Digest
	fingerprint  quarantine.Fingerprint
	openedAt     time.Time
	firstAttempt int
	route        string

	// nextPosition is the first position not yet delivered to the caller; chain is the digest of the delivered tokens.
	nextPosition int
	chain        seal.Chain
	// text holds the delivered tokens from position 0 if hasText is set; max_tokens bounds it.
	text    transcript
	hasText bool

	checker      *receipt.Checker
	sealer       *seal.StreamSealer
	grant        Grant
	hasGrant     bool
	lastPipeline table.Pipeline
	lastAttempt  int
	sentToEngine bool
	finishReason string
	refusal      *outcome.Refusal
}

func (s *session) post(events ...stream.Event) { s.r.cfg.Loop.post(inbox{streams: events}) }

func (s *session) release() {
	if !s.hasGrant {
		return
	}
	s.hasGrant = false
	s.r.cfg.Pipelines.Release(s.grant)
}

// postStopped reports to the quarantine that the stream no longer runs on any endpoint.
func (s *session) postStopped() {
	s.r.cfg.Loop.post(inbox{quarantine: []quarantine.Event{quarantine.NewStopped(s.key)}})
}

// acquire waits for a pipeline and, for a marked request, until its marks have been sent to the peers. A copy on
// another host is then isolated or refused before this copy starts on another endpoint.
func (s *session) acquire(ctx context.Context, d stream.RequestPipeline) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mailbox.setInterrupt(cancel)
	defer s.mailbox.setInterrupt(nil)
	s.release()
	v, err := s.r.cfg.Loop.requestVerdict(ctx, s.fingerprint, quarantine.NewStopped(s.key))
	if err != nil {
		return
	}
	if v.Ruling() == quarantine.Refuse {
		s.refusal = s.quarantineRefusal(v)
		s.post(stream.NewUnassigned(s.key))
		return
	}
	g, err := s.r.cfg.Pipelines.Acquire(ctx, PipelineRequest{
		Stream:            s.stream,
		Service:           s.req.Service,
		Workspace:         s.req.Workspace,
		Kind:              s.req.Kind,
		Preamble:          s.req.Preamble,
		Prompt:            s.req.Prompt,
		Priority:          d.Priority(),
		WaitingSince:      d.WaitingSince(),
		Recovery:          d.Recovery(),
		PreferredPipeline: d.PreferredPipeline(),
		Avoid:             d.Avoid(),
		CrashMarks:        v.Crashes(),
		AvoidMarked:       v.Avoid(),
		Handle:            s.req.Handle,
	})
	if err != nil {
		// A cancelled wait is caused by a new decision or by the caller; both are handled next.
		if ctx.Err() == nil {
			s.refusal = s.routerRefusal(err)
			s.post(stream.NewUnassigned(s.key))
		}
		return
	}
	s.grant, s.hasGrant = g, true
	awaitSpread(ctx, v)
	s.post(stream.NewAssigned(stream.AssignedConfig{Stream: s.key, Pipeline: g.Pipeline, FreeSlots: g.FreeSlots}))
}

// routerRefusal returns the refusal of the router. If this copy may have run, the code and message are kept and the
// outcome is classified again.
func (s *session) routerRefusal(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		return nil
	}
	if !s.sentToEngine && s.req.Resume == "" {
		return refusal
	}
	return s.refuse(refusal.Code(), refusal.Message(), refusal.RetryAfter())
}

func (s *session) quarantineRefusal(v verdict) *outcome.Refusal {
	wait := v.Until().Sub(s.r.cfg.Clock())
	return s.refuse(outcome.Quarantined, "the request was running on two endpoints when they crashed", wait)
}

// refuseQuarantined refuses the request after its marks have been sent to the peers.
func (s *session) refuseQuarantined(ctx context.Context, v verdict) error {
	awaitSpread(ctx, v)
	return s.quarantineRefusal(v)
}

// awaitSpread waits until the marks of this request have been sent to the peers; spreadTimeout bounds the wait.
func (s *session) awaitSpread(ctx context.Context) {
	v, err := s.r.cfg.Loop.requestVerdict(ctx, s.fingerprint)
	if err != nil {
		return
	}
	awaitSpread(ctx, v)
}

func awaitSpread(ctx context.Context, v verdict) {
	if v.spread == nil {
		return
	}
	select {
	case <-v.spread:
	case <-ctx.Done():
	}
}

// cancelStages cancels an attempt on every stage; it does not wait for the stages.
func (s *session) cancelStages(ctx context.Context, p table.Pipeline, attempt int) {
	ctx = context.WithoutCancel(ctx)
	for _, st := range p.Stages() {
		s.r.workers.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
			defer cancel()
			if err := s.r.cfg.Engines.Cancel(ctx, st, s.stream, attempt); err != nil {
				s.r.cfg.Log.WithError(err).WithField("endpoint", st.Endpoint()).
					Debug("a stage did not acknowledge the cancel")
			}
		})
	}
}
