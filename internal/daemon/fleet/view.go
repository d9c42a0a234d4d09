package fleet

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/table"
)

// Known is what this host knows of one endpoint, for operators.
type Known struct {
	endpoint table.EndpointID
	service  table.ServiceID
	owner    table.HostID
	used     bool
}

// Endpoint returns the endpoint.
func (k Known) Endpoint() table.EndpointID { return k.endpoint }

// Service returns the service that the endpoint serves.
func (k Known) Service() table.ServiceID { return k.service }

// Owner returns the host that polls the endpoint and grants its slots.
func (k Known) Owner() table.HostID { return k.owner }

// Used reports whether this host sends requests to the endpoint.
func (k Known) Used() bool { return k.used }

// View returns the endpoints of all pipelines and plain services in the order of their names.
func (f *Fleet) View() []Known {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Known
	for _, svc := range f.services {
		for _, u := range svc.units {
			for _, stage := range u.pipeline.Stages() {
				out = append(out, Known{endpoint: stage.Endpoint(), service: svc.id, owner: u.owner, used: u.used})
			}
		}
	}
	slices.SortFunc(out, func(a, b Known) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return out
}

// Unplaced returns the endpoints of the service's document that stand in no pipeline, as far as this host,
// as owner of the service, has described them, and whether it owns the service.
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
