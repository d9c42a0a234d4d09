package forward

import (
	"time"

	"waxwingplank/internal/core/deployment"
)

const (
	// leavingKept is how long it is remembered that an endpoint leaves that is not listed. Its entry may come back after an
	// outage of the store.
	leavingKept = time.Minute
	// maxLeaving bounds the endpoints that are remembered.
	maxLeaving = 10_000
)

// leavingInstance is the instance of an endpoint that has said itself that it leaves.
type leavingInstance struct {
	startedMs int64
	listedAt  time.Time
}

// recordLeaving makes an endpoint that says in a response that it leaves a draining one, whatever the list says of this
// instance.
func (f *Forwarder) recordLeaving(e deployment.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.leaving[e.ID]; (ok && known.startedMs == e.StartedMs) || len(f.leaving) >= maxLeaving {
		return
	}
	f.leaving[e.ID] = leavingInstance{startedMs: e.StartedMs, listedAt: time.Now()}
	listed, ok := f.byID[e.ID]
	f.cfg.Log.Decision("", "endpoint leaves", map[string]any{
		fieldEndpoint: e.ID, fieldAddress: e.Address, "started_ms": e.StartedMs, "source": "response", "listed": string(listed.State),
	})
	f.cfg.Metrics.Leaving()
	if ok {
		f.byID[e.ID] = f.withLeaving(listed)
		f.distributeEndpoints()
	}
}

// withLeaving returns an entry of the list with what the endpoint has said itself. The caller holds the lock.
func (f *Forwarder) withLeaving(e deployment.Endpoint) deployment.Endpoint {
	if l, ok := f.leaving[e.ID]; ok && l.startedMs == e.StartedMs {
		e.State = deployment.Draining
	}
	return e
}

// WithLeaving returns the entries of a list with what the endpoints have said themselves.
func (f *Forwarder) WithLeaving(list []deployment.Endpoint) []deployment.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]deployment.Endpoint, len(list))
	for i, e := range list {
		out[i] = f.withLeaving(e)
	}
	return out
}

// expireLeaving forgets instances that another one has replaced or that are no longer listed. The caller holds the lock.
func (f *Forwarder) expireLeaving(now time.Time) {
	for id, l := range f.leaving {
		switch e, listed := f.byID[id]; {
		case listed && e.StartedMs == l.startedMs:
			l.listedAt = now
			f.leaving[id] = l
		case listed, now.Sub(l.listedAt) > leavingKept:
			delete(f.leaving, id)
		}
	}
}
