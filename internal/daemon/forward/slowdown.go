package forward

import (
	"context"
	"sync"
	"time"

	"waxwingplank/internal/core/path"
)

// slowdownTimeout is well above the duration of a call to a worker. The response does not wait for a slot.
const slowdownTimeout = 200 * time.Millisecond

// CheckSlowdowns asks the endpoints that seem slow for their slowdown and returns once they have responded or
// slowdownTimeout has passed.
func (f *Forwarder) CheckSlowdowns(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, slowdownTimeout)
	defer cancel()
	var calls sync.WaitGroup
	f.mu.Lock()
	for _, s := range f.models {
		for _, id := range s.SlowdownChecks(now) {
			if !f.limits.Take(now, id) {
				continue
			}
			calls.Add(1)
			go func() {
				defer calls.Done()
				f.checkSlowdown(ctx, s, id)
			}()
		}
	}
	f.mu.Unlock()
	calls.Wait()
}

func (f *Forwarder) checkSlowdown(ctx context.Context, s *path.System, id string) {
	slowdown, err := f.cfg.Endpoints.Slowdown(ctx, f.endpoint(id))
	fields := map[string]any{fieldEndpoint: id, "pace": slowdown}
	if err != nil {
		// An unresponsive worker is found by its streams. Its last reported slowdown expires.
		fields[fieldError] = err.Error()
		f.cfg.Log.Decision("", "slowdown unknown", fields)
		return
	}
	f.cfg.Log.Decision("", "slowdown received", fields)
	f.mu.Lock()
	s.SetSlowdown(time.Now(), id, slowdown)
	f.mu.Unlock()
}
