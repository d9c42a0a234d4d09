package forward

import (
	"context"
	"sync"
	"time"

	"waxwingplank/internal/core/path"
)

// paceTimeout is well above a call to a worker; its answer does not wait for a slot.
const paceTimeout = 200 * time.Millisecond

// AskPaces asks the endpoints that seem slow for their pace and returns once they have answered.
func (f *Forwarder) AskPaces(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	var calls sync.WaitGroup
	f.mu.Lock()
	for _, s := range f.models {
		for _, id := range s.SlowdownChecks(now) {
			calls.Add(1)
			go func() {
				defer calls.Done()
				f.askPace(ctx, s, id)
			}()
		}
	}
	f.mu.Unlock()
	calls.Wait()
}

func (f *Forwarder) askPace(ctx context.Context, s *path.System, id string) {
	pace, err := f.cfg.Endpoints.Slowdown(ctx, f.endpoint(id))
	fields := map[string]any{fieldEndpoint: id, "pace": pace}
	if err != nil {
		// A worker that does not answer is found by its streams; what is known of its pace runs out.
		fields[fieldError] = err.Error()
		f.cfg.Log.Decision("", "pace not known", fields)
		return
	}
	f.cfg.Log.Decision("", "pace asked", fields)
	f.mu.Lock()
	s.SetSlowdown(time.Now(), id, pace)
	f.mu.Unlock()
}
