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

// recordEnded excludes an instance of an endpoint that has ended as the connections of this host show. The caller holds the lock.
func (f *Forwarder) recordEnded(now time.Time, instance quarantine.CrashID) {
	e, ok := f.listedInstance(instance)
	if !ok {
		return
	}
	if s := f.models[e.Service]; s != nil {
		s.RecordEnded(now, e.ID)
	}
	if s := f.plain[e.Service]; s != nil {
		s.RecordEnded(now, e.ID)
	}
}

// recordEndReports excludes the instances of endpoints that have ended as the marks of a peer show. Marks of requests and of parts
// name the instance whose end they were in. The caller holds the lock.
func (f *Forwarder) recordEndReports(now time.Time, marks []quarantine.Mark) {
	for _, m := range marks {
		e, ok := f.listedInstance(m.Crash())
		if !ok {
			continue
		}
		if s := f.models[e.Service]; s != nil {
			s.RecordEndReport(now, m.At(), e.ID)
		}
		if s := f.plain[e.Service]; s != nil {
			s.RecordEndReport(now, m.At(), e.ID)
		}
	}
}

// recordRefusedConnection records that an instance refused a connection. The caller holds the lock.
func (f *Forwarder) recordRefusedConnection(now time.Time, e deployment.Endpoint) {
	if s := f.models[e.Service]; s != nil {
		s.RecordRefusedConnection(now, e.ID)
	}
	if s := f.plain[e.Service]; s != nil {
		s.RecordRefusedConnection(now, e.ID)
	}
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
