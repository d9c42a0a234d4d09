package streams

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/stream"
	"waxwingplank/internal/core/table"
)

// health is what a probe found out about an endpoint after a failed attempt.
type health string

const (
	// healthy: the endpoint answers with the incarnation from before the attempt.
	healthy health = "healthy"
	// restarted: the endpoint answers with another incarnation.
	restarted health = "restarted"
	// down: the endpoint refused the probe at once.
	down health = "down"
	// mute: the endpoint did not answer in time.
	mute health = "mute"
)

// failedFacts is what is known about a failed attempt besides its identity.
type failedFacts struct {
	Final   bool
	Healthy bool
	CanMove bool
	Avoid   []table.EndpointID
	Crashed []table.EndpointID
	// Lost lists endpoints that are down, but were not crashed by this attempt.
	Lost []table.EndpointID
}

// report tells the core how the attempt ended.
func (a *attempt) report(ctx context.Context, e ending) {
	s := a.s
	switch e.cause {
	case endedDone, endedTooLong:
		if e.cause == endedTooLong {
			s.cancelStages(ctx, a.pipeline, a.number)
		}
		s.r.cfg.Loop.post(inbox{
			streams:    []stream.Event{stream.NewCompleted(s.key)},
			quarantine: []quarantine.Event{quarantine.NewCompleted(s.fingerprint)},
		})
		return
	case endedCallerGone:
		s.post(stream.NewCallerGone(s.key))
		return
	case endedMismatch:
		s.refusal = s.refuse(outcome.StreamLost, "the answer cannot be generated again as it was delivered", 0)
		a.reportFailed(failedFacts{Final: true})
		return
	case endedPermanent:
		a.reportFailed(failedFacts{Final: true})
		return
	case endedInternal:
		s.refusal = s.refuse(outcome.Internal, e.err.Error(), 0)
		a.reportFailed(failedFacts{Final: true})
		return
	case endedSilent:
		s.r.counters.silences.Add(1)
	case endedBroken, endedNotSent, endedFailure, endedReceipt, endedShort:
	}
	s.r.counters.failures.Add(1)
	facts := a.examine(ctx, e)
	a.logFailure(e, facts)
	a.reportFailed(facts)
	for _, id := range facts.Lost {
		s.r.cfg.Loop.endpointLost(id)
	}
	for _, id := range facts.Crashed {
		s.r.counters.crashes.Add(1)
		s.r.cfg.Loop.EndpointCrashed(id, a.before[id])
	}
}

// examine probes the stages over new connections, since an open connection can be silent while new ones work.
func (a *attempt) examine(ctx context.Context, e ending) failedFacts {
	found := a.s.r.probe(ctx, a.pipeline, a.before)
	facts := failedFacts{Healthy: true}
	for _, st := range a.pipeline.Stages() {
		id := st.Endpoint()
		if found[id] == healthy {
			continue
		}
		facts.Healthy = false
		facts.Avoid = append(facts.Avoid, id)
		switch {
		case a.crashed(e, id, found[id]):
			facts.Crashed = append(facts.Crashed, id)
		case found[id] == down:
			facts.Lost = append(facts.Lost, id)
		}
	}
	facts.CanMove = facts.Healthy
	if e.stage != "" && !slices.Contains(facts.Avoid, e.stage) {
		facts.Avoid = append(facts.Avoid, e.stage)
		facts.Healthy = false
	}
	if e.cause == endedReceipt && a.s.checker.Fault() != receipt.PositionSkipped {
		// The receipt does not tell which stage is at fault, and its state cannot be trusted.
		facts.Healthy, facts.CanMove = false, false
		facts.Avoid = endpointsOf(a.pipeline)
	}
	return facts
}

// crashed reports whether an endpoint ended its incarnation under the attempt. A silent endpoint that
// does not answer may only be cut off, so it counts as crashed only once it shows a new incarnation.
//
// An endpoint that was down before the attempt, as after a rack fault, was not crashed by it.
func (a *attempt) crashed(e ending, id table.EndpointID, h health) bool {
	if h == restarted {
		return true
	}
	_, answered := a.before[id]
	return h == down && answered && e.cause != endedSilent && e.cause != endedNotSent
}

func (a *attempt) reportFailed(f failedFacts) {
	s := a.s
	known, whole := s.textKnown, true
	if a.position < a.verifyTo {
		known, whole = false, false
		s.textKnown = false
	}
	s.post(stream.NewAttemptFailed(stream.FailedConfig{
		Stream:        s.key,
		Attempt:       a.number,
		Position:      s.next,
		ProducedToken: a.progressed && whole,
		HasText:       known,
		StagesRespond: f.Healthy && whole,
		CanExport:     f.CanMove && known,
		Avoid:         f.Avoid,
		Final:         f.Final,
	}))
}

func (a *attempt) logFailure(e ending, f failedFacts) {
	a.s.r.cfg.Log.WithFields(logrus.Fields{
		"stream": a.s.stream, "attempt": a.number, "pipeline": a.pipeline.ID(), "cause": e.cause,
		"position": a.s.next, "at_fault": f.Avoid, "crashed": f.Crashed,
	}).WithError(e.err).Warn("attempt failed")
}

// baseline returns the incarnations before an attempt; an endpoint not seen before is asked. Before a
// recovery all are asked, since a fault that ended the last attempt may have ended others too.
func (r *Runner) baseline(ctx context.Context, p table.Pipeline, fresh bool) map[table.EndpointID]uint64 {
	out := make(map[table.EndpointID]uint64, len(p.Stages()))
	var unknown []table.Stage
	r.mu.Lock()
	for _, st := range p.Stages() {
		n, ok := r.incarnations[st.Endpoint()]
		if !ok || fresh {
			unknown = append(unknown, st)
			continue
		}
		out[st.Endpoint()] = n
	}
	r.mu.Unlock()
	for _, a := range r.ask(ctx, unknown) {
		if a.err == nil {
			out[a.endpoint] = a.incarnation
		}
	}
	return out
}

// SetIncarnation takes in the incarnation of an endpoint from its load report.
func (r *Runner) SetIncarnation(id table.EndpointID, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations[id] = n
}

type answer struct {
	endpoint    table.EndpointID
	incarnation uint64
	err         error
	late        bool
}

// ask asks stages for their incarnations at the same time and remembers the answers.
func (r *Runner) ask(ctx context.Context, stages []table.Stage) []answer {
	if len(stages) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	out := make([]answer, len(stages))
	var wg sync.WaitGroup
	for i, st := range stages {
		wg.Go(func() {
			n, err := r.cfg.Engines.Incarnation(ctx, st)
			late := errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil
			out[i] = answer{endpoint: st.Endpoint(), incarnation: n, err: err, late: late}
		})
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range out {
		if a.err != nil {
			delete(r.incarnations, a.endpoint)
			continue
		}
		r.incarnations[a.endpoint] = a.incarnation
	}
	return out
}

func (r *Runner) probe(ctx context.Context, p table.Pipeline, before map[table.EndpointID]uint64) map[table.EndpointID]health {
	out := map[table.EndpointID]health{}
	for _, a := range r.ask(ctx, p.Stages()) {
		old, known := before[a.endpoint]
		switch {
		case a.err != nil && a.late:
			out[a.endpoint] = mute
		case a.err != nil:
			out[a.endpoint] = down
		case known && old != a.incarnation:
			out[a.endpoint] = restarted
		default:
			out[a.endpoint] = healthy
		}
	}
	return out
}
