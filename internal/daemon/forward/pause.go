package forward

import (
	"math/rand"
	"time"
)

const (
	// maxPause bounds how long an endpoint is left alone at its own wish.
	maxPause = time.Minute
	// pauseSpread is the time over which callers return that were refused because all endpoints are paused.
	pauseSpread = time.Second
)

// recordPause notes that an endpoint wants no requests from this host for some time, and reports whether it does.
func (r *run) recordPause(reply *Reply, id, address string) bool {
	if reply.InvalidPause != "" {
		r.log("pause ignored", map[string]any{fieldEndpoint: id, fieldAddress: address, "text": reply.InvalidPause})
	}
	if !reply.NotRun || reply.Pause <= 0 {
		return false
	}
	now := time.Now()
	pause := min(reply.Pause, maxPause)
	r.log("endpoint paused", map[string]any{
		fieldEndpoint: id, fieldAddress: address, "asked_ms": reply.Pause.Milliseconds(), "until": now.Add(pause),
	})
	r.f.cfg.Metrics.Paused()
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if r.models != nil {
		r.models.RecordPause(now, address, pause)
	} else {
		r.balance.RecordPause(now, id, pause)
	}
	return true
}

// retryAfterPause returns when a caller may return that was refused because of pauses, a time after their end. Callers return
// apart from each other.
func retryAfterPause(now, end time.Time) time.Duration {
	return max(end.Sub(now), 0) + time.Duration(rand.Float64()*float64(pauseSpread))
}
