package forward

import (
	"time"

	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/returns"
)

// maxAnswerShare bounds the time for the answer that is kept back when a refused caller is told when to return. A caller with less
// time than an answer usually takes can still get a late one.
const maxAnswerShare = 0.5

// returnsOf returns the callers that this host has refused for a service. The caller holds the lock.
func (f *Forwarder) returnsOf(service string) *returns.System {
	if f.returns[service] == nil {
		f.returns[service] = returns.New(returns.Config{Seed: f.cfg.Seed})
	}
	return f.returns[service]
}

// recordArrival records that a caller has come, perhaps again.
func (r *run) recordArrival() {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.arrived = true
	r.returned = r.f.returnsOf(r.service).Arrive(time.Now(), returns.Caller(r.fingerprint))
}

// recordDeparture records that a caller which was not told to return does not, and counts the result of one that had returned. The
// caller holds the lock.
func (r *run) recordDeparture() {
	if r.arrived && r.plan == nil {
		r.f.returnsOf(r.service).Leave(returns.Caller(r.fingerprint))
	}
	switch {
	case !r.returned:
	case r.refused:
		r.f.cfg.Metrics.Returned(returnRefused)
	case r.answered:
		r.f.cfg.Metrics.Returned(returnServed)
	default:
		r.f.cfg.Metrics.Returned(returnFailed)
	}
}

// addPlan adds what the caller was told, and why, to the fields of a log line.
func (r *run) addPlan(fields map[string]any) {
	if r.plan == nil {
		return
	}
	fields["retry_after_ms"], fields["estimate_ms"] = r.plan.After().Milliseconds(), r.plan.Estimate().Milliseconds()
	fields["estimate_source"], fields["again"] = string(r.plan.Source()), r.plan.Again()
}

// planReturn returns when the caller of a call that is about to be refused shall return, at least a minimum. The caller holds the lock.
func (r *run) planReturn(now time.Time, opening returns.Opening, minimum, answer time.Duration) time.Duration {
	if r.runs > 0 {
		// It may have run, so that it is not refused.
		return minimum
	}
	remaining := r.deadline.Sub(now)
	plan := r.f.returnsOf(r.service).Refuse(now, returns.Refusal{
		Caller: returns.Caller(r.fingerprint), Priority: int(r.class), Opening: opening, Minimum: minimum, Deadline: r.deadline,
		AnswerTime: min(answer, time.Duration(maxAnswerShare*float64(remaining))),
	})
	r.plan = &plan
	return plan.After()
}

// retryAfter returns when the caller of a stream that found no path shall return.
func (s *streamRun) retryAfter(refusal path.Refusal) time.Duration {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	minimum := retryAfterFull
	if refusal == path.Uncovered {
		minimum = retryAfterUncovered
	}
	now := time.Now()
	return s.planReturn(now, s.models.Reopen(now, s.demand(), refusal), minimum, s.models.MeanLife())
}

// finishWithoutPath ends a stream for which no path was found.
func (s *streamRun) finishWithoutPath(refusal path.Refusal) {
	after := s.retryAfter(refusal)
	s.logNoPath(refusal)
	s.finish(string(refusal), after)
}

// waitIsUseless reports whether a stream that found no path will certainly find none until a time: layers are missing whose workers
// have ended, they are not expected back before, and none of the workers may be tried before.
func (s *streamRun) waitIsUseless(refusal path.Refusal, until time.Time) bool {
	if refusal != path.Uncovered || s.head != nil {
		return false
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	now := time.Now()
	opening, trial := s.models.Reopen(now, s.demand(), refusal), s.models.NextTrial(now)
	return (opening.Source == returns.Ended || opening.Source == returns.Absences) && opening.At.After(until) && !trial.IsZero() && trial.After(until)
}

// retryAfterEndpoints returns when the caller of a plain call shall return that no endpoint took.
func (r *run) retryAfterEndpoints(now time.Time) time.Duration {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	return r.planReturn(now, r.balance.Reopen(now), retryAfterBusy, r.route.TargetLatency)
}
