package fleet

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/table"
)

// EndpointInfo is the state that this host has of one endpoint, for operators.
type EndpointInfo struct {
	endpoint table.EndpointID
	service  table.ServiceID
	owner    table.HostID
	used     bool
}

// Endpoint returns the endpoint.
func (e EndpointInfo) Endpoint() table.EndpointID { return e.endpoint }

// Service returns the service that the endpoint serves.
func (e EndpointInfo) Service() table.ServiceID { return e.service }

// Owner returns the host that polls the endpoint and grants its slots.
func (e EndpointInfo) Owner() table.HostID { return e.owner }

// Used reports whether this host sends requests to the endpoint.
func (e EndpointInfo) Used() bool { return e.used }

// Endpoints returns the endpoints of all pipelines and plain services, sorted by endpoint.
func (f *Fleet) Endpoints() []EndpointInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []EndpointInfo
	for _, svc := range f.services {
		for _, u := range svc.units {
			for _, stage := range u.pipeline.Stages() {
				out = append(out, EndpointInfo{endpoint: stage.Endpoint(), service: svc.id, owner: u.owner, used: u.used})
			}
		}
	}
	slices.SortFunc(out, func(a, b EndpointInfo) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return out
}

// Unplaced returns the addresses in the service's document that are in no pipeline of the catalog on this
// host, and whether this host owns the service. It returns no addresses if it does not.
func (f *Fleet) Unplaced(service table.ServiceID) (addresses []string, owner bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	svc := f.services[service]
	if svc == nil || svc.plain || svc.owner != f.cfg.Self {
		return nil, false
	}
	placed := map[string]bool{}
	for _, u := range svc.units {
		for _, stage := range u.pipeline.Stages() {
			placed[stage.Address()] = true
		}
	}
	for address := range svc.engines {
		if !placed[address] {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses, true
}
