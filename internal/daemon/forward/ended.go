package forward

import (
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/table"
)

// listedInstance returns the entry of the list that an instance has, if it is still listed and serves requests. The caller holds the
// lock.
func (f *Forwarder) listedInstance(instance quarantine.CrashID) (deployment.Endpoint, bool) {
	e, ok := f.byID[string(instance.Endpoint())]
	return e, ok && e.State == deployment.Ready && quarantine.NewCrashID(table.EndpointID(e.ID), uint64(e.StartedMs)) == instance
}

// The sources of what is known of the end of an endpoint, as they are logged.
const (
	endBroken  = "broken_connection"
	endPeer    = "peer"
	endRefused = "refused_connections"
)

// recordEnded excludes an instance of an endpoint that has ended as the connections of this host show. The caller holds the lock.
func (f *Forwarder) recordEnded(now time.Time, instance quarantine.CrashID) {
	e, ok := f.listedInstance(instance)
	switch {
	case !ok:
	case f.models[e.Service] != nil && f.models[e.Service].RecordEnded(now, e.ID):
		f.logLeftOut(e, endBroken)
	case f.plain[e.Service] != nil && f.plain[e.Service].RecordEnded(now, e.ID):
		f.logLeftOut(e, endBroken)
	}
}

// recordEndReports excludes the instances of endpoints that have ended as the marks of a peer show. Marks of requests and of parts
// name the instance whose end they were in. The caller holds the lock.
func (f *Forwarder) recordEndReports(now time.Time, marks []quarantine.Mark) {
	for _, m := range marks {
		e, ok := f.listedInstance(m.Crash())
		switch {
		case !ok:
		case f.models[e.Service] != nil && f.models[e.Service].RecordEndReport(now, m.At(), e.ID):
			f.logLeftOut(e, endPeer)
		case f.plain[e.Service] != nil && f.plain[e.Service].RecordEndReport(now, m.At(), e.ID):
			f.logLeftOut(e, endPeer)
		}
	}
}

// recordRefusedConnection records that an instance refused a connection. The caller holds the lock.
func (f *Forwarder) recordRefusedConnection(now time.Time, e deployment.Endpoint) {
	switch {
	case f.models[e.Service] != nil && f.models[e.Service].RecordRefusedConnection(now, e.ID):
		f.logLeftOut(e, endRefused)
	case f.plain[e.Service] != nil && f.plain[e.Service].RecordRefusedConnection(now, e.ID):
		f.logLeftOut(e, endRefused)
	}
}

// logLeftOut logs and counts that an endpoint gets no calls because it seems to have ended.
func (f *Forwarder) logLeftOut(e deployment.Endpoint, source string) {
	f.cfg.Log.Decision("", "endpoint left out", map[string]any{
		fieldEndpoint: e.ID, fieldAddress: e.Address, "instance": string(quarantine.NewCrashID(table.EndpointID(e.ID), uint64(e.StartedMs))), "source": source,
	})
	f.cfg.Metrics.Ended()
}

// Ended returns how many endpoints are left out now because they seem to have ended.
func (f *Forwarder) Ended() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := time.Now(), 0
	for _, s := range f.models {
		n += s.Ended(now)
	}
	for _, s := range f.plain {
		n += s.Ended(now)
	}
	return n
}

// recordLife records what a reply to a request that was sent at the given time shows of the end of its endpoint.
func (r *run) recordLife(reply *Reply, e deployment.Endpoint, sentAt time.Time) {
	if !reply.isGenuine() {
		return
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	switch {
	case !r.f.byID[e.ID].SameInstance(e):
	case r.models != nil:
		r.models.RecordResponse(sentAt, e.ID)
	default:
		r.balance.RecordResponse(sentAt, e.ID)
	}
}
