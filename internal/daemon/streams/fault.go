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

// health is the result of probing an endpoint after a failed attempt.
type health string

const (
	// healthy: the endpoint responds with the same incarnation as before the attempt.
	healthy health = "healthy"
	// restarted: the endpoint responds with another incarnation.
	restarted health = "restarted"
	// down: the probe failed before its timeout, for example because the connection was refused.
	down health = "down"
	// unresponsive: the endpoint did not respond within probeTimeout.
	unresponsive health = "mute"
)

// failureFacts describes a failed attempt to the core.
type failureFacts struct {
	Final          bool
	Healthy        bool
	CanMove        bool
	AvoidEndpoints []table.EndpointID
	Crashed        []table.EndpointID
	// Lost lists endpoints that are down but were not crashed by this attempt.
	Lost []table.EndpointID
}

// reportEnding reports to the core how the attempt ended.
func (a *attempt) reportEnding(ctx context.Context, e ending) {
	s := a.s
	switch e.cause {
	case endedDone, endedMaxTokens:
		if e.cause == endedMaxTokens {
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
		a.reportFailed(failureFacts{Final: true})
		return
	case endedPermanent:
		a.reportFailed(failureFacts{Final: true})
		return
	case endedInternal:
		s.refusal = s.refuse(outcome.Internal, e.err.Error(), 0)
		a.reportFailed(failureFacts{Final: true})
		return
	case endedIdleTimeout:
		s.r.counters.idleTimeouts.Add(1)
	case endedBroken, endedNotSent, endedFailure, endedReceipt, endedTokensMissing:
	}
	s.r.counters.failures.Add(1)
	facts := a.assessFailure(ctx, e)
	a.logFailure(e, facts)
	a.reportFailed(facts)
	for _, id := range facts.Lost {
		s.r.cfg.Loop.endpointLost(id)
	}
	for _, id := range facts.Crashed {
		s.r.counters.crashes.Add(1)
		s.r.cfg.Loop.EndpointCrashed(id, a.incarnationsBefore[id])
	}
}

// assessFailure probes the stages over new connections, since an open connection can stall while new ones work.
func (a *attempt) assessFailure(ctx context.Context, e ending) failureFacts {
	health := a.s.r.probeHealth(ctx, a.pipeline, a.incarnationsBefore)
	facts := failureFacts{Healthy: true}
	for _, st := range a.pipeline.Stages() {
		id := st.Endpoint()
		if health[id] == healthy {
			continue
		}
		facts.Healthy = false
		facts.AvoidEndpoints = append(facts.AvoidEndpoints, id)
		switch {
		case a.crashed(e, id, health[id]):
			facts.Crashed = append(facts.Crashed, id)
		case health[id] == down:
			facts.Lost = append(facts.Lost, id)
		}
	}
	facts.CanMove = facts.Healthy
	if e.stage != "" && !slices.Contains(facts.AvoidEndpoints, e.stage) {
		facts.AvoidEndpoints = append(facts.AvoidEndpoints, e.stage)
		facts.Healthy = false
	}
	if e.cause == endedReceipt && a.s.checker.Fault() != receipt.PositionSkipped {
		// The receipt does not identify the faulty stage, and the state of the stages cannot be trusted.
		facts.Healthy, facts.CanMove = false, false
		facts.AvoidEndpoints = endpointsOf(a.pipeline)
	}
	return facts
}

// crashed reports whether the incarnation of an endpoint ended during the attempt. An unresponsive endpoint may
// only be unreachable, so it counts as crashed only once it responds with a new incarnation.
//
// An endpoint that was already down before the attempt, for example after a rack fault, was not crashed by it.
func (a *attempt) crashed(e ending, id table.EndpointID, h health) bool {
	if h == restarted {
		return true
	}
	_, responded := a.incarnationsBefore[id]
	return h == down && responded && e.cause != endedIdleTimeout && e.cause != endedNotSent
}

func (a *attempt) reportFailed(f failureFacts) {
	s := a.s
	hasText, verified := s.hasText, true
	if a.position < a.verifyTo {
		hasText, verified = false, false
		s.hasText = false
	}
	s.post(stream.NewAttemptFailed(stream.FailedConfig{
		Stream:        s.key,
		Attempt:       a.number,
		Position:      s.nextPosition,
		ProducedToken: a.producedToken && verified,
		HasText:       hasText,
		StagesRespond: f.Healthy && verified,
		CanExport:     f.CanMove && hasText,
		Avoid:         f.AvoidEndpoints,
		Final:         f.Final,
	}))
}

func (a *attempt) logFailure(e ending, f failureFacts) {
	a.s.r.cfg.Log.WithFields(logrus.Fields{
		"stream": a.s.stream, "attempt": a.number, "pipeline": a.pipeline.ID(), "cause": e.cause,
		"position": a.s.nextPosition, "at_fault": f.AvoidEndpoints, "crashed": f.Crashed,
	}).WithError(e.err).Warn("attempt failed")
}

// incarnationsOf returns the incarnations of the endpoints of a pipeline. It queries endpoints that have none
// cached, or all if refresh is set. Recoveries refresh all, since the fault that ended the last attempt may have
// affected other endpoints too.
func (r *Runner) incarnationsOf(ctx context.Context, p table.Pipeline, refresh bool) map[table.EndpointID]uint64 {
	out := make(map[table.EndpointID]uint64, len(p.Stages()))
	var missing []table.Stage
	r.mu.Lock()
	for _, st := range p.Stages() {
		n, ok := r.incarnations[st.Endpoint()]
		if !ok || refresh {
			missing = append(missing, st)
			continue
		}
		out[st.Endpoint()] = n
	}
	r.mu.Unlock()
	for _, result := range r.queryIncarnations(ctx, missing) {
		if result.err == nil {
			out[result.endpoint] = result.incarnation
		}
	}
	return out
}

// SetIncarnation caches the incarnation of an endpoint from its load report.
func (r *Runner) SetIncarnation(id table.EndpointID, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations[id] = n
}

type probeResult struct {
	endpoint    table.EndpointID
	incarnation uint64
	err         error
	timedOut    bool
}

// queryIncarnations queries the incarnations of stages concurrently and caches the results.
func (r *Runner) queryIncarnations(ctx context.Context, stages []table.Stage) []probeResult {
	if len(stages) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	out := make([]probeResult, len(stages))
	var wg sync.WaitGroup
	for i, st := range stages {
		wg.Go(func() {
			n, err := r.cfg.Engines.Incarnation(ctx, st)
			timedOut := errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil
			out[i] = probeResult{endpoint: st.Endpoint(), incarnation: n, err: err, timedOut: timedOut}
		})
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range out {
		if result.err != nil {
			delete(r.incarnations, result.endpoint)
			continue
		}
		r.incarnations[result.endpoint] = result.incarnation
	}
	return out
}

func (r *Runner) probeHealth(ctx context.Context, p table.Pipeline, before map[table.EndpointID]uint64) map[table.EndpointID]health {
	out := map[table.EndpointID]health{}
	for _, result := range r.queryIncarnations(ctx, p.Stages()) {
		previous, ok := before[result.endpoint]
		switch {
		case result.err != nil && result.timedOut:
			out[result.endpoint] = unresponsive
		case result.err != nil:
			out[result.endpoint] = down
		case ok && previous != result.incarnation:
			out[result.endpoint] = restarted
		default:
			out[result.endpoint] = healthy
		}
	}
	return out
}
