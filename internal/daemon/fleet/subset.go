package fleet

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
)

const (
	// subsetSize is the number of pipelines of a model that a host uses at the larger size.
	subsetSize = 4
	// usersPerPipeline is the mean number of hosts that each pipeline must keep when hosts use subsets.
	// The hosts of a pipeline are then about Poisson distributed, and one without any has a chance of e^-16.
	usersPerPipeline = 16
)

// subset returns the units that the host asks for: by rendezvous, enough of them that subsetSize answer,
// or all where hosts are too few for each unit to keep enough users.
func subset(host table.HostID, hosts int, units []*unit) []*unit {
	if len(units) <= subsetSize || hosts*subsetSize < usersPerPipeline*len(units) {
		return units
	}
	ranked := slices.Clone(units)
	slices.SortFunc(ranked, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(membership.Rank(b.id, host), membership.Rank(a.id, host)), cmp.Compare(a.id, b.id))
	})
	answering := 0
	for i, u := range ranked {
		if !u.lost {
			answering++
		}
		if answering == subsetSize {
			return ranked[:i+1]
		}
	}
	return ranked
}
