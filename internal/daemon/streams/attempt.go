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
	s        *session
	number   int
	method   stream.Method
	pipeline table.Pipeline
	before   map[table.EndpointID]uint64
	timer    *time.Timer
	silent   atomic.Bool
	// progressed is true once the attempt has brought an accepted token.
	progressed bool

	// position and chain follow the engine; below verifyTo tokens repeat the delivered text.
	position int
	chain    seal.Chain
	verifyTo int
}

// ending says why an attempt ended.
type ending struct {
	cause endCause
	err   error
	// stage is the endpoint that the engine blamed.
	stage table.EndpointID
}

type endCause string

const (
	endedDone       endCause = "done"
	endedTooLong    endCause = "max_tokens_passed"
	endedBroken     endCause = "connection_broken"
	endedNotSent    endCause = "not_sent"
	endedSilent     endCause = "silent"
	endedFailure    endCause = "engine_failure"
	endedReceipt    endCause = "bad_receipt"
	endedShort      endCause = "tokens_missing"
	endedPermanent  endCause = "request_refused_by_engine"
	endedMismatch   endCause = "text_differs"
	endedCallerGone endCause = "caller_gone"
	endedInternal   endCause = "internal"
)

// attempt runs one attempt and reports how it ended, unless the core has decided something else meanwhile.
func (s *session) attempt(ctx context.Context, d stream.StartAttempt) {
	if s.mail.pending() {
		return
	}
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mail.onDecision(cancel)
	defer s.mail.onDecision(nil)
	a, stop := s.prepare(actx, d)
	if stop {
		return
	}
	e := a.run(actx, cancel)
	s.mail.onDecision(nil)
	if s.mail.pending() || ctx.Err() != nil {
		return
	}
	a.report(ctx, e)
}

// prepare settles where the attempt begins and asks the quarantine once more: marks from peers may have
// come in while the stream waited for its turn.
func (s *session) prepare(ctx context.Context, d stream.StartAttempt) (*attempt, bool) {
	a := &attempt{
		s: s, number: d.Attempt(), method: d.Method(), pipeline: d.Pipeline(),
		position: s.next, chain: s.chain,
	}
	if (a.method == stream.Prefill || a.method == stream.Import) && !s.textKnown {
		a.method = stream.Regenerate
	}
	if a.method == stream.Regenerate && s.textKnown {
		a.method = stream.Prefill
	}
	if a.method == stream.Regenerate {
		a.verifyTo, a.position, a.chain = s.next, 0, seal.Chain{}
		s.text.clear()
	}
	v, err := s.r.cfg.Loop.ask(ctx, s.fingerprint,
		quarantine.NewStarted(s.key, s.fingerprint, endpointsOf(a.pipeline)))
	if err != nil {
		return nil, true
	}
	if v.Ruling() == quarantine.Refuse {
		s.refusal = s.quarantineRefusal(v)
		a.reportFailed(failedFacts{Final: true})
		return nil, true
	}
	a.before = s.r.baseline(ctx, a.pipeline, a.method != stream.Fresh)
	s.log(d, a.method)
	return a, false
}

func (s *session) log(d stream.StartAttempt, m stream.Method) {
	fields := logrus.Fields{
		"stream": s.stream, "attempt": d.Attempt(), "method": m, "pipeline": d.Pipeline().ID(), "position": s.next,
	}
	if m == stream.Fresh {
		s.r.cfg.Log.WithFields(fields).Debug("stream starts")
		return
	}
	passed := map[string]string{}
	for _, o := range d.Rejected() {
		passed[string(o.Method())] = "estimated " + o.Estimate().String()
	}
	fields["estimate"] = d.Estimate().String()
	fields["passed_over"] = passed
	s.r.cfg.Log.WithFields(fields).Info("stream recovers")
}

func (a *attempt) run(ctx context.Context, cancel context.CancelFunc) ending {
	s := a.s
	if err := a.startSealing(); err != nil {
		return ending{cause: endedInternal, err: err}
	}
	a.startChecker()
	handle := a.export(ctx)
	a.timer = time.AfterFunc(s.r.cfg.Progress, func() {
		a.silent.Store(true)
		cancel()
	})
	defer a.timer.Stop()
	s.ran, s.ranAttempt = a.pipeline, a.number
	st, err := s.r.cfg.Engines.Open(ctx, a.openRequest(handle))
	if errors.Is(err, ErrNotSent) {
		return ending{cause: endedNotSent, err: err}
	}
	s.sent = true
	if err != nil {
		return a.broken(err)
	}
	e := a.read(st)
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
	if s.textKnown && a.method != stream.Regenerate {
		req.Generated = s.text.tokens(s.next)
	}
	return req
}

// export fetches the KV handle of the last attempt; without one the engines recompute the state.
func (a *attempt) export(ctx context.Context) string {
	s := a.s
	if a.method != stream.Import || len(s.ran.Stages()) == 0 {
		return ""
	}
	old, number := s.ran, s.ranAttempt
	ctx, cancel := context.WithTimeout(ctx, s.r.cfg.Progress)
	defer cancel()
	handle, err := s.r.cfg.Engines.Export(ctx, old.Stages()[0], s.stream, number)
	s.cancelStages(ctx, old, number)
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

// maxRouteBytes is the longest route that fits into a sealed id; a resume without route regenerates.
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
	if s.sealing != nil {
		return s.sealing.Reroute(m)
	}
	p, err := s.r.cfg.Sealer.Prepare(m)
	if err != nil {
		return eris.Wrap(err, "streams: prepare sealed ids")
	}
	s.sealing = p
	return nil
}

// read takes events until the attempt ends. The timer does not run while the caller takes a token, since
// a slow caller is no fault of the engine. A dropped token is no progress.
func (a *attempt) read(st Stream) ending {
	for {
		ev, err := st.Next()
		if err != nil {
			return a.broken(err)
		}
		switch ev := ev.(type) {
		case Token:
			e, counts := a.token(ev)
			if e != nil {
				return *e
			}
			if !counts {
				continue
			}
		case Heartbeat:
		case Done:
			return a.done(ev)
		case Failure:
			return a.failure(ev)
		}
		a.timer.Reset(a.s.r.cfg.Progress)
	}
}

// token checks one token and delivers it; it reports whether the token is progress.
func (a *attempt) token(t Token) (*ending, bool) {
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
		// The engine ignored the limit; the answer is complete as it stands.
		s.finishReason = "length"
		return &ending{cause: endedTooLong}, false
	}
	a.timer.Stop()
	a.progressed = true
	a.position++
	a.chain = a.chain.Next(t.text)
	if s.textKnown || a.method == stream.Regenerate {
		s.text.add(t.text)
	}
	if t.position < a.verifyTo {
		return a.verify(), true
	}
	s.next, s.chain = a.position, a.chain
	id := s.sealing.Seal(t.position, s.chain)
	if err := s.sink.Token(t.position, t.text, id); err != nil {
		return &ending{cause: endedCallerGone, err: err}, false
	}
	s.r.counters.delivered.Add(1)
	return nil, true
}

// verify compares the repeated text with the delivered text where the two meet.
func (a *attempt) verify() *ending {
	if a.position < a.verifyTo {
		return nil
	}
	if a.chain != a.s.chain {
		return &ending{cause: endedMismatch}
	}
	a.s.textKnown = true
	return nil
}

func (a *attempt) done(d Done) ending {
	if a.position < a.verifyTo {
		return ending{cause: endedMismatch}
	}
	if d.tokens != a.position {
		return ending{cause: endedShort, err: eris.Errorf("the engine counts %d tokens, %d came", d.tokens, a.position)}
	}
	a.s.finishReason = d.finishReason
	return ending{cause: endedDone}
}

func (a *attempt) failure(f Failure) ending {
	err := eris.Errorf("%s: %s", f.cfg.Code, f.cfg.Message)
	if f.cfg.Permanent {
		a.s.refusal = a.s.refuse(outcome.Code(f.cfg.Code), f.cfg.Message, 0)
		return ending{cause: endedPermanent, err: err}
	}
	return ending{cause: endedFailure, err: err, stage: f.cfg.Stage}
}

func (a *attempt) broken(err error) ending {
	if a.silent.Load() {
		return ending{cause: endedSilent, err: err}
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
