package forward

import "time"

// classify sets the class of a call from the configuration in force. If that has no such route, the call keeps its class. The caller
// holds the forwarder's lock.
func (f *Forwarder) classify(r *run) {
	route := f.table.Route(r.call.Host, r.call.Path)
	if route == nil {
		return
	}
	r.class, r.classified = f.table.Class(route, f.table.Workspace(r.call.Key)), f.table.HasClasses(r.service)
}

// recordRequest records what a new call asks for, once.
func (s *streamRun) recordRequest() {
	if s.recorded {
		return
	}
	s.recorded = true
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.models.RecordRequest(time.Now(), s.demand())
}
