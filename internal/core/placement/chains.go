package placement

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/table"
)

// EndpointHolding is an endpoint that holds a range of layers of a model.
type EndpointHolding struct {
	Endpoint      table.EndpointID
	Address       string
	FailureDomain string
	Slots         int
	Layers        table.Layers
}

// FormRoutes joins endpoints into routes that cover layers 0 to n, using only the layers that they already hold.
//
// The endpoints of each layer range are ordered by failure domain and name. The k-th endpoints of all ranges
// form a route, so that stages share a domain where possible. This repeats with the remaining endpoints until
// they form no further route.
func FormRoutes(n int, list []EndpointHolding) [][]EndpointHolding {
	var out [][]EndpointHolding
	rest := slices.Clone(list)
	slices.SortFunc(rest, func(a, b EndpointHolding) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for {
		byRange := map[table.Layers][]EndpointHolding{}
		for _, e := range rest {
			byRange[e.Layers] = append(byRange[e.Layers], e)
		}
		ranges := coveringRanges(byRange, n, 0)
		if ranges == nil {
			return out
		}
		count := len(rest)
		for _, l := range ranges {
			count = min(count, len(byRange[l]))
		}
		used := map[table.EndpointID]bool{}
		for i := range count {
			var route []EndpointHolding
			for _, l := range ranges {
				route = append(route, byRange[l][i])
				used[byRange[l][i].Endpoint] = true
			}
			out = append(out, route)
		}
		rest = slices.DeleteFunc(rest, func(e EndpointHolding) bool { return used[e.Endpoint] })
	}
}

// coveringRanges returns layer ranges that cover the layers from at to n exactly once, or nil if there are none. It
// tries ranges with more endpoints first, then longer ranges.
func coveringRanges(byRange map[table.Layers][]EndpointHolding, n, at int) []table.Layers {
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
		if tail := coveringRanges(byRange, n, l.To); tail != nil {
			return append([]table.Layers{l}, tail...)
		}
		// No route continues from this range. Removing it keeps later steps from repeating the search.
		delete(byRange, l)
	}
	return nil
}
