package forward

import (
	"context"
	"slices"
	"time"

	"waxwingplank/internal/core/path"
)

// recover moves a stalled stream to other workers in the way that core/path plans.
func (s *streamRun) recover(ctx context.Context, st path.Stalled) {
	suspects := make([]string, 0, len(st.Suspects))
	for w := range st.Suspects {
		suspects = append(suspects, w)
		s.avoid[w] = true
	}
	fields := map[string]any{
		fieldPath: s.attempt.path.String(), "suspects": suspects, "silence_ms": st.IdleTime.Milliseconds(), fieldEvents: s.eventCount,
	}
	// The attempt in progress may have run and may still continue.
	s.countSend(true)
	now := time.Now()
	s.f.mu.Lock()
	recovery := s.models.PlanRecovery(now, s.call.ID, st.Suspects, s.mayResume(now), s.demand())
	s.f.mu.Unlock()
	switch r := recovery.(type) {
	case path.Detour:
		fields["remedy"], fields["to"] = "detour", r.Path().String()
		s.log("stream stalled", fields)
		s.reroute(ctx, r.Path())
	case path.Restart:
		fields["remedy"], fields["to"] = "restart", r.Path().String()
		s.log("stream stalled", fields)
		s.restart(ctx, r.Path(), r.Demand())
	default:
		fields["remedy"] = "none"
		s.log("stream stalled", fields)
	}
}

// mayResume reports whether the stream could be run again now. The caller holds the forwarder's lock.
func (s *streamRun) mayResume(now time.Time) bool {
	return s.canContinue() && s.repeatable(now) && s.budget.Remaining(now, s.f.hosts) >= 1
}

// canContinue reports whether events of another run can follow those that the caller has.
func (s *streamRun) canContinue() bool { return s.route.Idempotent() && (!s.headRelayed || s.numbered) }

// reroute moves the attempt in progress to another path with the same first worker. If that fails, it restarts the
// stream.
func (s *streamRun) reroute(ctx context.Context, p path.Path) {
	callCtx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	err := s.f.cfg.Endpoints.Reroute(callCtx, s.f.endpoint(s.attempt.path[0].Worker), s.call.ID, p)
	cancel()
	if err == nil {
		s.f.mu.Lock()
		s.models.Reroute(time.Now(), s.call.ID, p)
		s.f.mu.Unlock()
		s.attempt.path = p
		s.log("stream rerouted", map[string]any{fieldPath: p.String()})
		return
	}
	s.log("reroute failed", map[string]any{fieldError: err.Error()})
	s.f.mu.Lock()
	d := s.demand()
	other, refusal := s.models.Choose(time.Now(), d)
	s.f.mu.Unlock()
	if refusal == path.Accepted {
		s.restart(ctx, other, d)
	}
}

// restart sends the call again on another path. The stalled attempt is kept until the new one gets a response.
func (s *streamRun) restart(ctx context.Context, p path.Path, d path.Demand) {
	if !s.canContinue() || !s.consumeRepeat(time.Now()) {
		return
	}
	now := time.Now()
	s.f.mu.Lock()
	allowed := s.f.limits.Take(now, p[0].Worker)
	if allowed {
		s.models.Begin(now, s.call.ID, p, d)
	}
	s.f.mu.Unlock()
	if !allowed {
		return
	}
	s.cancelPrevious()
	s.previous = s.attempt
	s.launch(ctx, p, d)
}

// resume sends the call again after the attempt in progress has ended, or ends the call. It reports whether the
// call has ended.
func (s *streamRun) resume(ctx context.Context, cause string) bool {
	s.attempt.cancel()
	if s.headRelayed && (!s.route.Idempotent() || !s.numbered) {
		s.finish(cause, retryAfterFull)
		return true
	}
	if !s.consumeRepeat(time.Now()) {
		s.finish(cause, s.retryAfter(path.Full))
		return true
	}
	return !s.start(ctx)
}

// retryUnsent sends a call again of which nothing was sent, which does not count against the budget. It reports whether
// that was possible. Otherwise it ends the call.
func (s *streamRun) retryUnsent(ctx context.Context, cause string) bool {
	if s.launched > maxSends {
		s.finish(cause, s.retryAfter(path.Uncovered))
		return false
	}
	return s.start(ctx)
}

// revertToPrevious abandons the attempt in progress and returns to the stalled one before it.
func (s *streamRun) revertToPrevious(reason string) {
	s.log("attempt abandoned", map[string]any{fieldPath: s.attempt.path.String(), "why": reason})
	s.attempt.cancel()
	s.recordEnd(s.attempt.id, s.attempt.path[0].Worker, s.attempt.failedEnd())
	s.attempt, s.previous = s.previous, nil
	s.f.mu.Lock()
	s.models.Begin(time.Now(), s.call.ID, s.attempt.path, s.attempt.demand)
	s.f.mu.Unlock()
}

func (s *streamRun) cancelPrevious() {
	if s.previous != nil {
		s.previous.cancel()
		s.recordEnd(s.previous.id, s.previous.path[0].Worker, s.previous.failedEnd())
		s.previous = nil
	}
}

// handleResult handles a result of the current or the previous attempt and reports whether the call has ended.
func (s *streamRun) handleResult(ctx context.Context, result attemptResult) bool {
	switch {
	case result.attempt == s.attempt.number:
		return s.handleCurrent(ctx, result)
	case s.previous == nil || result.attempt != s.previous.number:
		return false
	case onlyComments(result.events):
		// Comments are no progress: the earlier attempt is still stalled.
		return false
	case result.err != nil || (result.reply != nil && !result.reply.isStream()):
		if result.reply != nil && result.reply.NotRun {
			s.recordRefusal(s.previous, result.reply)
		}
		// This closes the connection, so that the body of a failure need not be closed.
		s.cancelPrevious()
		return false
	default:
		s.revertToPrevious("the earlier sending goes on")
		return s.handleCurrent(ctx, result)
	}
}

// onlyComments reports whether there are events and all of them are comments.
func onlyComments(events []event) bool {
	return len(events) > 0 && !slices.ContainsFunc(events, func(e event) bool { return !e.comment })
}

// recordSend records whether a worker responded to a request with a stream.
func (s *streamRun) recordSend(worker string, answered bool) {
	s.f.mu.Lock()
	s.models.RecordSend(worker, answered)
	s.f.mu.Unlock()
}

func (s *streamRun) suspect(name string) {
	s.f.mu.Lock()
	s.models.Suspect(time.Now(), name)
	s.f.mu.Unlock()
}
