package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// formPipelines joins free endpoints into pipelines, first within each failure domain and then across domains
// whose links are fast enough. It also returns the endpoints that are left over.
//
// With layers split by speed, the total rate of all pipelines is the sum of the speeds however the endpoints
// are grouped, as far as memory allows. Fewer endpoints per pipeline mean fewer hops for each token and a
// smaller loss when one endpoint fails. Each pipeline therefore takes only as many as the model needs.
func (s *System) formPipelines(free []*endpoint) ([]PlacedPipeline, []*endpoint) {
	domains := map[string][]*endpoint{}
	for _, e := range free {
		domains[e.cfg.FailureDomain] = append(domains[e.cfg.FailureDomain], e)
	}
	var out []PlacedPipeline
	var left []*endpoint
	for _, name := range sortedKeys(domains) {
		placed, rest := s.formGroups(domains[name], func([]*endpoint, *endpoint) bool { return true })
		out = append(out, placed...)
		left = append(left, rest...)
	}
	across, left := s.formGroups(left, s.linksFastEnough)
	return append(out, across...), left
}

// linksFastEnough reports whether the links between the endpoint and the chosen ones are fast enough.
func (s *System) linksFastEnough(chosen []*endpoint, e *endpoint) bool {
	for _, c := range chosen {
		if s.linkCost(c.cfg.FailureDomain, e.cfg.FailureDomain) > maxLinkCost {
			return false
		}
	}
	return true
}

// formGroups groups endpoints so that each group has memory for the model, and also returns the endpoints left
// over. The largest remaining endpoint starts a group, the next largest ones follow, and the smallest one
// that completes the group ends it.
func (s *System) formGroups(list []*endpoint, fits func([]*endpoint, *endpoint) bool) ([]PlacedPipeline, []*endpoint) {
	rest := slices.Clone(list)
	slices.SortFunc(rest, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(s.capacity(b), s.capacity(a)), cmp.Compare(b.speed, a.speed),
			cmp.Compare(a.cfg.FailureDomain, b.cfg.FailureDomain), cmp.Compare(a.cfg.Endpoint, b.cfg.Endpoint))
	})
	var out []PlacedPipeline
	var left []*endpoint
	for len(rest) > 0 {
		group := s.nextGroup(rest, fits)
		if p, ok := s.buildPipeline(group); ok && s.haveCapacity(group) {
			out = append(out, p)
			rest = without(rest, group)
			continue
		}
		// No group with this endpoint has memory for the model, but groups without it may.
		left = append(left, rest[0])
		rest = rest[1:]
	}
	return out, left
}

func (s *System) haveCapacity(group []*endpoint) bool {
	n := 0
	for _, e := range group {
		n += s.capacity(e)
	}
	return n >= s.model.Layers
}

// nextGroup returns a group that starts with the first endpoint of the list, which is ordered by capacity. The
// group is too small for the model if no further endpoint fits.
func (s *System) nextGroup(list []*endpoint, fits func([]*endpoint, *endpoint) bool) []*endpoint {
	group := list[:1:1]
	missingLayers := s.model.Layers - s.capacity(list[0])
	for missingLayers > 0 {
		var largest, last *endpoint
		for _, e := range list[1:] {
			if slices.Contains(group, e) || s.capacity(e) < 1 || !fits(group, e) {
				continue
			}
			if largest == nil {
				largest = e
			}
			if s.capacity(e) >= missingLayers {
				last = e
			}
		}
		if largest == nil {
			return group
		}
		if last == nil {
			last = largest
		}
		group = append(group, last)
		missingLayers -= s.capacity(last)
	}
	return group
}

func without(list, drop []*endpoint) []*endpoint {
	return slices.DeleteFunc(slices.Clone(list), func(e *endpoint) bool { return slices.Contains(drop, e) })
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

const (
	// defaultLinkCost is the assumed time of a token between two failure domains until it is measured. 16 KiB over
	// a link of 1 Gbit/s take 0.13 ms, and domains of a region are well under 1 ms apart.
	defaultLinkCost = time.Millisecond
	// maxLinkCost is the highest link cost within a pipeline, a tenth of the 49 ms between two tokens.
	maxLinkCost = 5 * time.Millisecond
	// weightPercent is the percentage of memory for weights; the rest holds the KV cache.
	weightPercent = 70
)
