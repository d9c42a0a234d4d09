package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// form joins free endpoints to pipelines, first within each failure domain and then across domains whose
// links allow it. It returns the endpoints that are left over.
//
// With layers split by speed, the rate of all pipelines is the sum of the speeds however the endpoints are
// grouped, as far as memory allows. Few endpoints a pipeline mean few hops for a token and little lost
// with one endpoint, so each pipeline takes only as many as hold the model.
func (s *System) form(free []*endpoint) ([]Placed, []*endpoint) {
	domains := map[string][]*endpoint{}
	for _, e := range free {
		domains[e.cfg.FailureDomain] = append(domains[e.cfg.FailureDomain], e)
	}
	var out []Placed
	var left []*endpoint
	for _, name := range sortedKeys(domains) {
		placed, rest := s.cover(domains[name], func([]*endpoint, *endpoint) bool { return true })
		out = append(out, placed...)
		left = append(left, rest...)
	}
	across, left := s.cover(left, s.linked)
	return append(out, across...), left
}

// linked reports whether the links between the endpoint and the chosen ones are fast enough.
func (s *System) linked(chosen []*endpoint, e *endpoint) bool {
	for _, c := range chosen {
		if s.link(c.cfg.FailureDomain, e.cfg.FailureDomain) > maxLink {
			return false
		}
	}
	return true
}

// cover groups endpoints so that each group holds the model: the largest endpoint left starts a group,
// further large ones follow, and the smallest one that completes the group ends it.
func (s *System) cover(list []*endpoint, fits func([]*endpoint, *endpoint) bool) ([]Placed, []*endpoint) {
	rest := slices.Clone(list)
	slices.SortFunc(rest, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(s.capacity(b), s.capacity(a)), cmp.Compare(b.speed, a.speed),
			cmp.Compare(a.cfg.FailureDomain, b.cfg.FailureDomain), cmp.Compare(a.cfg.Endpoint, b.cfg.Endpoint))
	})
	var out []Placed
	var left []*endpoint
	for len(rest) > 0 {
		group := s.group(rest, fits)
		if p, ok := s.join(group); ok && s.covers(group) {
			out = append(out, p)
			rest = without(rest, group)
			continue
		}
		// No group with this endpoint holds the model; others may.
		left = append(left, rest[0])
		rest = rest[1:]
	}
	return out, left
}

func (s *System) covers(group []*endpoint) bool {
	n := 0
	for _, e := range group {
		n += s.capacity(e)
	}
	return n >= s.model.Layers
}

// group starts with the first endpoint of the list, which is ordered by capacity.
func (s *System) group(list []*endpoint, fits func([]*endpoint, *endpoint) bool) []*endpoint {
	group := list[:1:1]
	need := s.model.Layers - s.capacity(list[0])
	for need > 0 {
		var largest, last *endpoint
		for _, e := range list[1:] {
			if slices.Contains(group, e) || s.capacity(e) < 1 || !fits(group, e) {
				continue
			}
			if largest == nil {
				largest = e
			}
			if s.capacity(e) >= need {
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
		need -= s.capacity(last)
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
	// defaultLink is the cost of a token between failure domains until it is measured: 16 KiB over a link
	// of 1 Gbit/s take 0.13 ms, and domains of a region are well under 1 ms apart.
	defaultLink = time.Millisecond
	// maxLink keeps pipelines off links that cost a tenth of the 49 ms between two tokens.
	maxLink = 5 * time.Millisecond
	// weightPercent of the memory is for weights; the rest holds KV cache.
	weightPercent = 70
)
