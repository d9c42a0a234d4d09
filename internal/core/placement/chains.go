package placement

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/table"
)

// Held is an endpoint that holds a range of layers of a model.
type Held struct {
	Endpoint      table.EndpointID
	Address       string
	FailureDomain string
	Slots         int
	Layers        table.Layers
}

// Chains joins endpoints to routes that cover layers 0 to n, from what they hold and nothing else.
//
// The endpoints of each layer range are ordered by failure domain and name, and the k-th ones of all
// ranges form a route, so that stages share a domain where they can. It is repeated for the ranges left.
func Chains(n int, list []Held) [][]Held {
	var out [][]Held
	rest := slices.Clone(list)
	slices.SortFunc(rest, func(a, b Held) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for {
		byRange := map[table.Layers][]Held{}
		for _, e := range rest {
			byRange[e.Layers] = append(byRange[e.Layers], e)
		}
		ranges := chain(byRange, n, 0)
		if ranges == nil {
			return out
		}
		count := len(rest)
		for _, l := range ranges {
			count = min(count, len(byRange[l]))
		}
		used := map[table.EndpointID]bool{}
		for i := range count {
			var route []Held
			for _, l := range ranges {
				route = append(route, byRange[l][i])
				used[byRange[l][i].Endpoint] = true
			}
			out = append(out, route)
		}
		rest = slices.DeleteFunc(rest, func(e Held) bool { return used[e.Endpoint] })
	}
}

// chain returns layer ranges that cover layers at to n exactly once, trying ranges with more endpoints and
// then longer ones first.
func chain(byRange map[table.Layers][]Held, n, at int) []table.Layers {
	if at == n {
		return []table.Layers{}
	}
	var next []table.Layers
	for l := range byRange {
		if l.From == at && l.To <= n && l.To > at {
			next = append(next, l)
		}
	}
	slices.SortFunc(next, func(a, b table.Layers) int {
		return cmp.Or(cmp.Compare(len(byRange[b]), len(byRange[a])), cmp.Compare(b.To, a.To))
	})
	for _, l := range next {
		if tail := chain(byRange, n, l.To); tail != nil {
			return append([]table.Layers{l}, tail...)
		}
		// No route goes on from here; a map lookup later would only repeat the search.
		delete(byRange, l)
	}
	return nil
}
