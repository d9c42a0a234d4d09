package forward

import (
	"math/rand"
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/limit"
)

// limitSpread is the time over which callers return that were refused because of limits.
const limitSpread = time.Second

// recordLimit records what an endpoint said of its limit in a reply to a request that was sent at the given time.
func (r *run) recordLimit(reply *Reply, e deployment.Endpoint, sent time.Time) {
	if reply.InvalidLimit != "" {
		r.log("limit ignored", map[string]any{fieldEndpoint: e.ID, "text": reply.InvalidLimit})
		return
	}
	if !reply.Limited && !reply.isGenuine() {
		// Only a response of the endpoint itself can show that its limit has ended.
		return
	}
	now := time.Now()
	r.f.mu.Lock()
	changed := r.f.limits.Record(now, e.ID, e.StartedMs, limit.Statement{Rate: reply.Limit, Limited: reply.Limited, SentAt: sent, At: now})
	r.f.mu.Unlock()
	if changed {
		r.log("endpoint limit changed", map[string]any{fieldEndpoint: e.ID, "limited": reply.Limited, "per_second": reply.Limit})
	}
}

// retryAfterLimit returns when a caller may return that was refused because of limits. Callers return apart from each other.
func retryAfterLimit(now, end time.Time) time.Duration {
	return max(end.Sub(now), 0) + time.Duration(rand.Float64()*float64(limitSpread))
}
