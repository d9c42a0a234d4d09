package run

import (
	"context"
	"sync"
	"time"

	"waxwingplank/internal/core/outcome"
)

const (
	// pauseCheckInterval is short enough that load alone does not look like a pause.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the shortest time without a check that counts as a pause.
	pauseThreshold = outcome.SoleCopyPeriod
)

// pauseDetector notices that this host did not run for some time.
type pauseDetector struct {
	mu      sync.Mutex
	last    time.Time
	resumed time.Time
}

// run checks for pauses until the context ends.
func (p *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.check(time.Now())
		}
	}
}

// check returns when this host last continued after a pause, or zero if it never paused. The first check after a pause
// detects it, whichever goroutine makes it.
func (p *pauseDetector) check(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The monotonic clock stops while a machine is suspended, the time of day does not.
	elapsed := max(now.Sub(p.last), now.Round(0).Sub(p.last.Round(0)))
	if !p.last.IsZero() && elapsed >= pauseThreshold {
		p.resumed = now
	}
	p.last = now
	return p.resumed
}
