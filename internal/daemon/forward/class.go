package forward

import (
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/deployment"
)

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

// countPlaced counts the first placement of a call, which may have had to wait for it.
func (s *streamRun) countPlaced(waited bool) {
	if s.launched == 0 {
		s.f.cfg.Metrics.Placed(s.class, waited)
	}
}

// ReservedShare is the share of the memory of the workers of a service that is kept free of the requests of a class.
type ReservedShare struct {
	Service string
	Class   deployment.Class
	Share   float64
}

// ReservedShares returns the shares above 0, by service and class.
func (f *Forwarder) ReservedShares(now time.Time) []ReservedShare {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ReservedShare
	for name, s := range f.models {
		for class := range deployment.LowestClass + 1 {
			if share := s.ReservedShare(now, class); share > 0 {
				out = append(out, ReservedShare{Service: name, Class: class, Share: share})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b ReservedShare) int { return strings.Compare(a.Service, b.Service) })
	return out
}
