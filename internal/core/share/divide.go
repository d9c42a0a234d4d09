package share

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/table"
)

// DemandConfig holds the fields of a Demand.
type DemandConfig struct {
	Host      table.HostID
	Workspace table.WorkspaceID
	// Priority 0 is the highest class.
	Priority int
	// Weight is the workspace's share within its class; values below 1 count as 1.
	Weight int
	// Wanted is the number of running and waiting requests that count towards the pipeline. A host with
	// several pipelines divides its requests between them in proportion to its slots on each.
	Wanted float64
}

// Demand is the number of slots that one workspace requests through one host.
type Demand struct {
	cfg DemandConfig
}

// NewDemand returns a Demand; a weight below 1 becomes 1 and a negative Wanted becomes 0.
func NewDemand(cfg DemandConfig) Demand {
	cfg.Weight = max(cfg.Weight, 1)
	cfg.Wanted = max(cfg.Wanted, 0)
	return Demand{cfg: cfg}
}

// Host returns the host that requests the slots.
func (d Demand) Host() table.HostID { return d.cfg.Host }

// Workspace returns the workspace that the demand belongs to.
func (d Demand) Workspace() table.WorkspaceID { return d.cfg.Workspace }

// Priority returns the class of the demand.
func (d Demand) Priority() int { return d.cfg.Priority }

// Slots returns the number of requested slots.
func (d Demand) Slots() float64 { return d.cfg.Wanted }

// Grant is the number of slots that a host may use.
type Grant struct {
	host  table.HostID
	slots int
}

// Host returns the host that may use the slots.
func (g Grant) Host() table.HostID { return g.host }

// Slots returns the number of slots.
func (g Grant) Slots() int { return g.slots }

// Divide divides the slots between the hosts of the demands and returns the grants in the order of host names.
//
// Classes are served in strict order of priority. Within a class, slots go to workspaces by weighted
// max-min fairness, and within a workspace to hosts by max-min fairness. Slots that no demand covers are
// distributed evenly, so that a host with a new request need not wait for the next division. The result
// does not depend on the order of the demands.
func Divide(slots int, demands []Demand) []Grant { return divide(slots, 0, demands) }

// divide computes fractional slots and rounds once for each host at the end. With few slots and many
// workspaces, rounding each share separately would always give the same hosts too few slots. The phase,
// between 0 and 1, shifts the rounding so that different pipelines favour different hosts.
func divide(slots int, phase float64, demands []Demand) []Grant {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(a.cfg.Priority, b.cfg.Priority),
			cmp.Compare(a.cfg.Workspace, b.cfg.Workspace),
			cmp.Compare(a.cfg.Host, b.cfg.Host),
		)
	})
	grants := emptyGrants(sorted)
	if len(grants) == 0 {
		return nil
	}
	shares := make([]float64, len(grants))
	left := float64(max(slots, 0))
	for len(sorted) > 0 && left > 0 {
		n := runLength(sorted, func(a, b Demand) bool { return a.cfg.Priority == b.cfg.Priority })
		left -= divideClass(left, sorted[:n], grants, shares)
		sorted = sorted[n:]
	}
	for i := range shares {
		shares[i] += max(left, 0) / float64(len(shares))
	}
	round(max(slots, 0), phase, shares, grants)
	return grants
}

// round converts fractional shares to whole slots with an exact sum. Each share is rounded up or down.
func round(slots int, phase float64, shares []float64, grants []Grant) {
	sum, before := 0.0, 0
	for i, p := range shares {
		sum += p
		// Rounding errors of the floating-point sum are much smaller than this tolerance.
		upto := min(int(sum+phase+1e-6), slots)
		if i == len(shares)-1 {
			upto = slots
		}
		grants[i].slots = upto - before
		before = upto
	}
}

func emptyGrants(demands []Demand) []Grant {
	var grants []Grant
	for _, d := range demands {
		i, ok := findHost(grants, d.cfg.Host)
		if !ok {
			grants = slices.Insert(grants, i, Grant{host: d.cfg.Host})
		}
	}
	return grants
}

func findHost(grants []Grant, host table.HostID) (int, bool) {
	return slices.BinarySearchFunc(grants, host, func(g Grant, h table.HostID) int {
		return cmp.Compare(g.host, h)
	})
}

func runLength(demands []Demand, same func(a, b Demand) bool) int {
	n := 1
	for n < len(demands) && same(demands[0], demands[n]) {
		n++
	}
	return n
}

// divideClass divides slots between the workspaces of one class and returns the number of allocated slots.
func divideClass(slots float64, demands []Demand, grants []Grant, shares []float64) float64 {
	var claims []claimant
	var groups [][]Demand
	for rest := demands; len(rest) > 0; {
		n := runLength(rest, func(a, b Demand) bool { return a.cfg.Workspace == b.cfg.Workspace })
		claim := claimant{}
		for _, d := range rest[:n] {
			claim.demand += d.cfg.Wanted
			claim.weight = max(claim.weight, float64(d.cfg.Weight))
		}
		claims = append(claims, claim)
		groups = append(groups, rest[:n])
		rest = rest[n:]
	}
	allocated := allocate(slots, claims)
	for i, group := range groups {
		within := make([]claimant, len(group))
		for j, d := range group {
			within[j] = claimant{demand: d.cfg.Wanted, weight: 1}
		}
		allocate(claims[i].allocated, within)
		for j, d := range group {
			at, _ := findHost(grants, d.cfg.Host)
			shares[at] += within[j].allocated
		}
	}
	return allocated
}

type claimant struct {
	demand    float64
	weight    float64
	allocated float64
}

// allocate divides slots by weighted max-min fairness and returns the number of allocated slots. Claimants are
// satisfied in ascending order of demand per unit of weight.
func allocate(slots float64, claims []claimant) float64 {
	order := make([]int, len(claims))
	weight := 0.0
	for i := range claims {
		order[i] = i
		weight += claims[i].weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].demand/claims[a].weight, claims[b].demand/claims[b].weight)
	})
	left := slots
	for _, i := range order {
		c := &claims[i]
		c.allocated = min(c.demand, left*c.weight/weight)
		left -= c.allocated
		weight -= c.weight
	}
	return slots - left
}
