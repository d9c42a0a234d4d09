package fleet

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
)

const (
	// subsetSize is the number of pipelines of a service that a host uses when there are enough hosts.
	subsetSize = 4
	// usersPerPipeline is the minimum mean number of hosts per pipeline at which hosts use subsets. The number
	// of hosts of a pipeline is then about Poisson distributed, and a pipeline has none with probability e^-16.
	usersPerPipeline = 16
)

// subset returns the units that the host uses: in rendezvous order, as many as it takes to include subsetSize
// units that are not lost, or all of them if there are too few hosts for each unit to have enough users.
func subset(host table.HostID, hosts int, units []*unit) []*unit {
	if len(units) <= subsetSize || hosts*subsetSize < usersPerPipeline*len(units) {
		return units
	}
	ranked := slices.Clone(units)
	slices.SortFunc(ranked, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(membership.Rank(b.id, host), membership.Rank(a.id, host)), cmp.Compare(a.id, b.id))
	})
	responsive := 0
	for i, u := range ranked {
		if !u.lost {
			responsive++
		}
		if responsive == subsetSize {
			return ranked[:i+1]
		}
	}
	return ranked
}
