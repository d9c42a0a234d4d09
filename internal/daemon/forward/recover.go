package forward

import (
	"context"
	"net/http"
	"time"

	"waxwingplank/internal/core/path"
)

// recover moves a stream that has fallen silent to other workers, by the way that core/path names.
func (s *streamRun) recover(ctx context.Context, st path.Stalled) {
	names := make([]string, 0, len(st.Suspects))
	for w := range st.Suspects {
		names = append(names, w)
		s.avoid[w] = true
	}
	fields := map[string]any{
		fieldPath: s.attempt.path.String(), "suspects": names, "silence_ms": st.IdleTime.Milliseconds(), fieldEvents: s.events,
	}
	// The sending in progress may have run, and may still go on.
	s.count(true)
	now := time.Now()
	s.f.mu.Lock()
	remedy := s.models.PlanRecovery(now, s.call.ID, st.Suspects, s.mayResume(now), s.demand())
	s.f.mu.Unlock()
	switch r := remedy.(type) {
	case path.Detour:
		fields["remedy"], fields["to"] = "detour", r.Path().String()
		s.log("stream silent", fields)
		s.reroute(ctx, r.Path())
	case path.Restart:
		fields["remedy"], fields["to"] = "restart", r.Path().String()
		s.log("stream silent", fields)
		s.restart(ctx, r.Path(), r.Demand())
	default:
		fields["remedy"] = "none"
		s.log("stream silent", fields)
	}
}

// mayResume reports whether the stream could be run again now; the forwarder is locked.
func (s *streamRun) mayResume(now time.Time) bool {
	return s.joinable() && s.repeatable(now) && s.budget.Remaining(now, s.f.hosts) >= 1
}

// joinable reports whether what the caller has can be followed by events of another run.
func (s *streamRun) joinable() bool { return s.route.Idempotent() && (!s.begun || s.numbers) }

// reroute moves the sending in progress to another path with the same first worker, or restarts the stream.
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

// restart sends the call again on another path; the silent sending is kept until the new one is answered.
func (s *streamRun) restart(ctx context.Context, p path.Path, d path.Demand) {
	if !s.joinable() || !s.mayRepeat(time.Now()) {
		return
	}
	s.dropSilent()
	s.silent = s.attempt
	s.f.mu.Lock()
	s.models.Begin(time.Now(), s.call.ID, p, d)
	s.f.mu.Unlock()
	s.launch(ctx, p, d)
}

// resume sends the call again after the sending in progress ended, or ends the call.
func (s *streamRun) resume(ctx context.Context, cause string) bool {
	s.attempt.cancel()
	if s.begun && (!s.route.Idempotent() || !s.numbers) {
		s.finish(cause, retryFull)
		return true
	}
	if !s.mayRepeat(time.Now()) {
		s.finish(cause, retryFull)
		return true
	}
	return !s.start(ctx)
}

// startAgain sends a call again of which nothing was sent; that takes nothing from the budget.
func (s *streamRun) startAgain(ctx context.Context, cause string) bool {
	if s.started > maxSends {
		s.finish(cause, retryFull)
		return false
	}
	return s.start(ctx)
}

// goBack gives the sending in progress up for the silent one before it.
func (s *streamRun) goBack(why string) {
	s.log("sending given up", map[string]any{fieldPath: s.attempt.path.String(), "why": why})
	s.attempt.cancel()
	s.attempt, s.silent = s.silent, nil
	s.f.mu.Lock()
	s.models.Begin(time.Now(), s.call.ID, s.attempt.path, s.attempt.demand)
	s.f.mu.Unlock()
}

func (s *streamRun) dropSilent() {
	if s.silent != nil {
		s.silent.cancel()
		s.silent = nil
	}
}

// takeItem hands an item to the sending that it belongs to and reports whether the call is answered.
func (s *streamRun) takeItem(ctx context.Context, it item) bool {
	switch {
	case it.attempt == s.attempt.number:
		return s.take(ctx, it)
	case s.silent == nil || it.attempt != s.silent.number:
		return false
	case it.err != nil || (it.reply != nil && (it.reply.NotRun || it.reply.Status != http.StatusOK)):
		s.dropSilent()
		return false
	default:
		s.goBack("the earlier sending goes on")
		return s.take(ctx, it)
	}
}

// sentTo notes whether a worker answered a request as it should.
func (s *streamRun) sentTo(worker string, answered bool) {
	s.f.mu.Lock()
	s.models.RecordSend(worker, answered)
	s.f.mu.Unlock()
}

func (s *streamRun) suspect(name string) {
	s.f.mu.Lock()
	s.models.Suspect(time.Now(), name)
	s.f.mu.Unlock()
}
