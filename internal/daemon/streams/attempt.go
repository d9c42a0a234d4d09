package streams

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/seal"
	"waxwingplank/internal/core/stream"
	"waxwingplank/internal/core/table"
)

// attempt is one connection to the engines of a pipeline.
type attempt struct {
	s                  *session
	number             int
	method             stream.Method
	pipeline           table.Pipeline
	incarnationsBefore map[table.EndpointID]uint64
	timer              *time.Timer
	timedOut           atomic.Bool
	// producedToken is true once a token of the attempt has been accepted.
	producedToken bool

	// position and chain track the output of the engine. Tokens below verifyTo repeat delivered text and are
	// compared with it.
	position int
	chain    seal.Chain
	verifyTo int
}

// ending is the reason for which an attempt ended.
type ending struct {
	cause endCause
	err   error
	// stage is the endpoint that the engine named as the cause.
	stage table.EndpointID
}

type endCause string

const (
	endedDone          endCause = "done"
	endedMaxTokens     endCause = "max_tokens_passed"
	endedBroken        endCause = "connection_broken"
	endedNotSent       endCause = "not_sent"
	endedIdleTimeout   endCause = "silent"
	endedFailure       endCause = "engine_failure"
	endedReceipt       endCause = "bad_receipt"
	endedTokensMissing endCause = "tokens_missing"
	endedPermanent     endCause = "request_refused_by_engine"
	endedMismatch      endCause = "text_differs"
	endedCallerGone    endCause = "caller_gone"
	endedInternal      endCause = "internal"
)

// runAttempt runs one attempt and reports its ending to the core. The ending is discarded if a newer decision of
// the core is pending.
func (s *session) runAttempt(ctx context.Context, d stream.StartAttempt) {
	if s.mailbox.pending() {
		return
	}
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mailbox.setInterrupt(cancel)
	defer s.mailbox.setInterrupt(nil)
	a, skip := s.prepare(actx, d)
	if skip {
		return
	}
	e := a.run(actx, cancel)
	s.mailbox.setInterrupt(nil)
	if s.mailbox.pending() || ctx.Err() != nil {
		return
	}
	a.reportEnding(ctx, e)
}

// prepare determines the method and the first position of the attempt and checks the quarantine again, since marks
// from peers may have been received while the stream waited for a pipeline. It returns true if the attempt must
// be skipped.
func (s *session) prepare(ctx context.Context, d stream.StartAttempt) (*attempt, bool) {
	a := &attempt{
		s: s, number: d.Attempt(), method: d.Method(), pipeline: d.Pipeline(),
		position: s.nextPosition, chain: s.chain,
	}
	if (a.method == stream.Prefill || a.method == stream.Import) && !s.hasText {
		a.method = stream.Regenerate
	}
	if a.method == stream.Regenerate && s.hasText {
		a.method = stream.Prefill
	}
	if a.method == stream.Regenerate {
		a.verifyTo, a.position, a.chain = s.nextPosition, 0, seal.Chain{}
		s.text.clear()
	}
	v, err := s.r.cfg.Loop.requestVerdict(ctx, s.fingerprint,
		quarantine.NewStarted(s.key, s.fingerprint, endpointsOf(a.pipeline)))
	if err != nil {
		return nil, true
	}
	if v.Ruling() == quarantine.Refuse {
		s.refusal = s.quarantineRefusal(v)
		a.reportFailed(failureFacts{Final: true})
		return nil, true
	}
	a.incarnationsBefore = s.r.incarnationsOf(ctx, a.pipeline, a.method != stream.Fresh)
	s.logStart(d, a.method)
	return a, false
}

func (s *session) logStart(d stream.StartAttempt, m stream.Method) {
	fields := logrus.Fields{
		"stream": s.stream, "attempt": d.Attempt(), "method": m, "pipeline": d.Pipeline().ID(), "position": s.nextPosition,
	}
	if m == stream.Fresh {
		s.r.cfg.Log.WithFields(fields).Debug("stream starts")
		return
	}
	rejected := map[string]string{}
	for _, o := range d.Rejected() {
		rejected[string(o.Method())] = "estimated " + o.Estimate().String()
	}
	fields["estimate"] = d.Estimate().String()
	fields["passed_over"] = rejected
	s.r.cfg.Log.WithFields(fields).Info("stream recovers")
}

func (a *attempt) run(ctx context.Context, cancel context.CancelFunc) ending {
	s := a.s
	if err := a.startSealing(); err != nil {
		return ending{cause: endedInternal, err: err}
	}
	a.startChecker()
	handle := a.exportKV(ctx)
	a.timer = time.AfterFunc(s.r.cfg.IdleTimeout, func() {
		a.timedOut.Store(true)
		cancel()
	})
	defer a.timer.Stop()
	s.lastPipeline, s.lastAttempt = a.pipeline, a.number
	st, err := s.r.cfg.Engines.Open(ctx, a.openRequest(handle))
	if errors.Is(err, ErrNotSent) {
		return ending{cause: endedNotSent, err: err}
	}
	s.sentToEngine = true
	if err != nil {
		return a.connectionEnding(err)
	}
	e := a.readEvents(st)
	if err := st.Close(); err != nil {
		s.r.cfg.Log.WithError(err).Debug("closing the connection of an attempt failed")
	}
	return e
}

func (a *attempt) openRequest(handle string) OpenRequest {
	s := a.s
	req := OpenRequest{
		Stream:    s.stream,
		Attempt:   a.number,
		Service:   s.req.Service,
		Workspace: s.req.Workspace,
		Model:     s.req.Model,
		Version:   s.req.Version,
		Priority:  s.req.Priority,
		Pipeline:  a.pipeline,
		Prompt:    s.req.Prompt,
		Preamble:  s.req.Preamble,
		Position:  a.position,
		MaxTokens: s.req.MaxTokens,
		KVHandle:  handle,
		Handle:    s.req.Handle,
	}
	if s.hasText && a.method != stream.Regenerate {
		req.Generated = s.text.tokens(s.nextPosition)
	}
	return req
}

// exportKV returns a KV handle of the last attempt and cancels that attempt. Without a handle the engines recompute
// the state.
func (a *attempt) exportKV(ctx context.Context) string {
	s := a.s
	if a.method != stream.Import || len(s.lastPipeline.Stages()) == 0 {
		return ""
	}
	pipeline, number := s.lastPipeline, s.lastAttempt
	ctx, cancel := context.WithTimeout(ctx, s.r.cfg.IdleTimeout)
	defer cancel()
	handle, err := s.r.cfg.Engines.Export(ctx, pipeline.Stages()[0], s.stream, number)
	s.cancelStages(ctx, pipeline, number)
	if err != nil {
		s.r.cfg.Log.WithError(err).WithField("stream", s.stream).Warn("KV export failed; the state is recomputed")
		return ""
	}
	return handle
}

func (a *attempt) startChecker() {
	c := a.s.checker
	if c != nil && c.Position() == a.position && c.Restart(a.number) {
		return
	}
	a.s.checker = receipt.NewChecker(receipt.CheckerConfig{
		Stream: a.s.stream, Attempt: a.number, Position: a.position, Layers: a.s.req.Layers,
	})
}

// maxRouteBytes is the longest route that fits into a sealed id. A longer route is omitted, and a resume without a
// route regenerates the response.
const maxRouteBytes = 256

func (a *attempt) startSealing() error {
	s := a.s
	route := a.pipeline.ID()
	if len(route) > maxRouteBytes {
		route = ""
	}
	m := seal.NewResumePoint(seal.ResumePointConfig{
		Service: s.req.Service, Workspace: s.req.Workspace, Stream: s.stream,
		Route: route, Attempt: a.number, Body: s.body,
	})
	if s.sealer != nil {
		return s.sealer.Reroute(m)
	}
	p, err := s.r.cfg.Sealer.Prepare(m)
	if err != nil {
		return eris.Wrap(err, "streams: prepare sealed ids")
	}
	s.sealer = p
	return nil
}

// readEvents processes events until the attempt ends. The idle timer is stopped while the caller receives a token,
// since a slow caller is not a fault of the engine. A dropped token does not count as progress.
func (a *attempt) readEvents(st Stream) ending {
	for {
		ev, err := st.Next()
		if err != nil {
			return a.connectionEnding(err)
		}
		switch ev := ev.(type) {
		case Token:
			e, progress := a.handleToken(ev)
			if e != nil {
				return *e
			}
			if !progress {
				continue
			}
		case Heartbeat:
		case Done:
			return a.handleDone(ev)
		case Failure:
			return a.handleFailure(ev)
		}
		a.timer.Reset(a.s.r.cfg.IdleTimeout)
	}
}

// handleToken checks one token and delivers it; it reports whether the token counts as progress.
func (a *attempt) handleToken(t Token) (*ending, bool) {
	s := a.s
	switch s.checker.Accept(t.receipt) {
	case receipt.Drop:
		s.r.counters.dropped.Add(1)
		return nil, false
	case receipt.Fail:
		return &ending{cause: endedReceipt, err: eris.New(string(s.checker.Fault()))}, false
	case receipt.Deliver:
	}
	if t.position >= s.req.MaxTokens {
		// The engine ignored max_tokens; the tokens delivered so far are the complete response.
		s.finishReason = "length"
		return &ending{cause: endedMaxTokens}, false
	}
	a.timer.Stop()
	a.producedToken = true
	a.position++
	a.chain = a.chain.Next(t.text)
	if s.hasText || a.method == stream.Regenerate {
		s.text.add(t.text)
	}
	if t.position < a.verifyTo {
		return a.verifyRepeated(), true
	}
	s.nextPosition, s.chain = a.position, a.chain
	id := s.sealer.Seal(t.position, s.chain)
	if err := s.sink.Token(t.position, t.text, id); err != nil {
		return &ending{cause: endedCallerGone, err: err}, false
	}
	s.r.counters.delivered.Add(1)
	return nil, true
}

// verifyRepeated compares the repeated text with the delivered text once all of it has been repeated.
func (a *attempt) verifyRepeated() *ending {
	if a.position < a.verifyTo {
		return nil
	}
	if a.chain != a.s.chain {
		return &ending{cause: endedMismatch}
	}
	a.s.hasText = true
	return nil
}

func (a *attempt) handleDone(d Done) ending {
	if a.position < a.verifyTo {
		return ending{cause: endedMismatch}
	}
	if d.tokens != a.position {
		return ending{cause: endedTokensMissing, err: eris.Errorf("engine reported %d tokens, received %d", d.tokens, a.position)}
	}
	a.s.finishReason = d.finishReason
	return ending{cause: endedDone}
}

func (a *attempt) handleFailure(f Failure) ending {
	err := eris.Errorf("%s: %s", f.cfg.Code, f.cfg.Message)
	if f.cfg.Permanent {
		a.s.refusal = a.s.refuse(outcome.Code(f.cfg.Code), f.cfg.Message, 0)
		return ending{cause: endedPermanent, err: err}
	}
	return ending{cause: endedFailure, err: err, stage: f.cfg.Stage}
}

func (a *attempt) connectionEnding(err error) ending {
	if a.timedOut.Load() {
		return ending{cause: endedIdleTimeout, err: err}
	}
	return ending{cause: endedBroken, err: err}
}

func endpointsOf(p table.Pipeline) []table.EndpointID {
	out := make([]table.EndpointID, 0, len(p.Stages()))
	for _, st := range p.Stages() {
		out = append(out, st.Endpoint())
	}
	return out
}
