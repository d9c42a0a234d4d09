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

// session is one run of a stream; its goroutine owns it.
type session struct {
	r           *Runner
	req         RequestConfig
	sink        Sink
	mail        *mailbox
	key         table.StreamID
	stream      table.StreamID
	body        seal.Digest
	fingerprint quarantine.Fingerprint
	opened      time.Time
	first       int
	route       string

	// next is the first position not yet delivered to the caller, chain the digest of what was.
	next  int
	chain seal.Chain
	// text holds the delivered tokens from position 0 where textKnown; max_tokens bounds it.
	text      transcript
	textKnown bool

	checker      *receipt.Checker
	sealing      *seal.StreamSealer
	grant        Grant
	held         bool
	ran          table.Pipeline
	ranAttempt   int
	sent         bool
	finishReason string
	refusal      *outcome.Refusal
}

func (s *session) post(events ...stream.Event) { s.r.cfg.Loop.post(inbox{streams: events}) }

func (s *session) release() {
	if !s.held {
		return
	}
	s.held = false
	s.r.cfg.Pipelines.Release(s.grant)
}

// stopped tells the quarantine that the stream runs nowhere any more.
func (s *session) stopped() {
	s.r.cfg.Loop.post(inbox{quarantine: []quarantine.Event{quarantine.NewStopped(s.key)}})
}

// acquire waits for a pipeline. A marked request waits for its marks to reach the peers meanwhile, so
// that a copy on another host is isolated or refused before this one takes up another endpoint.
func (s *session) acquire(ctx context.Context, d stream.RequestPipeline) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mail.onDecision(cancel)
	defer s.mail.onDecision(nil)
	s.release()
	v, err := s.r.cfg.Loop.ask(ctx, s.fingerprint, quarantine.NewStopped(s.key))
	if err != nil {
		return
	}
	if v.Ruling() == quarantine.Refuse {
		s.refusal = s.quarantineRefusal(v)
		s.post(stream.NewUnassigned(s.key))
		return
	}
	g, err := s.r.cfg.Pipelines.Acquire(ctx, PipelineRequest{
		Stream:    s.stream,
		Service:   s.req.Service,
		Workspace: s.req.Workspace,
		Kind:      s.req.Kind,
		Preamble:  s.req.Preamble,
		Prompt:    s.req.Prompt,
		Priority:  d.Priority(),
		Since:     d.WaitingSince(),
		Recovery:  d.Recovery(),
		Prefer:    d.PreferredPipeline(),
		Avoid:     d.Avoid(),
		Isolate:   v.Crashes(),
		Shared:    v.Avoid(),
		Handle:    s.req.Handle,
	})
	if err != nil {
		// A cancelled wait follows from a decision or from the caller, who are heard next.
		if ctx.Err() == nil {
			s.refusal = s.passOn(err)
			s.post(stream.NewUnassigned(s.key))
		}
		return
	}
	s.grant, s.held = g, true
	awaitSpread(ctx, v)
	s.post(stream.NewAssigned(stream.AssignedConfig{Stream: s.key, Pipeline: g.Pipeline, FreeSlots: g.FreeSlots}))
}

// passOn keeps the reason of a router's refusal and classifies the outcome anew: this copy may have run.
func (s *session) passOn(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		return nil
	}
	if !s.sent && s.req.Resume == "" {
		return refusal
	}
	return s.refuse(refusal.Code(), refusal.Message(), refusal.RetryAfter())
}

func (s *session) quarantineRefusal(v verdict) *outcome.Refusal {
	wait := v.Until().Sub(s.r.cfg.Clock())
	return s.refuse(outcome.Quarantined, "the request was running on two endpoints when they crashed", wait)
}

// quarantined refuses the request after its marks have reached the peers.
func (s *session) quarantined(ctx context.Context, v verdict) error {
	awaitSpread(ctx, v)
	return s.quarantineRefusal(v)
}

// awaitSpread waits until the marks of this request have reached the peers; the spread itself is bounded.
func (s *session) awaitSpread(ctx context.Context) {
	v, err := s.r.cfg.Loop.ask(ctx, s.fingerprint)
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

// cancelStages tells every stage that an attempt is over, without holding up the stream.
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
