package share

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/table"
)

// DemandConfig describes what one workspace wants through one host.
type DemandConfig struct {
	Host      table.HostID
	Workspace table.WorkspaceID
	// Priority 0 is the highest class.
	Priority int
	// Weight is the workspace's share within its class; values below 1 count as 1.
	Weight int
	// Wanted is the number of requests that run or wait, in so far as they fall to the pipeline: a host
	// with several pipelines wants of each the part that it has of all their slots.
	Wanted float64
}

// Demand is what one workspace wants through one host.
type Demand struct {
	cfg DemandConfig
}

// NewDemand returns a demand.
func NewDemand(cfg DemandConfig) Demand {
	cfg.Weight = max(cfg.Weight, 1)
	cfg.Wanted = max(cfg.Wanted, 0)
	return Demand{cfg: cfg}
}

// Host returns the host that asks.
func (d Demand) Host() table.HostID { return d.cfg.Host }

// Workspace returns the workspace that the demand belongs to.
func (d Demand) Workspace() table.WorkspaceID { return d.cfg.Workspace }

// Priority returns the class of the demand.
func (d Demand) Priority() int { return d.cfg.Priority }

// Wanted returns the number of slots asked for.
func (d Demand) Wanted() float64 { return d.cfg.Wanted }

// Grant is the number of slots that a host may use.
type Grant struct {
	host  table.HostID
	slots int
}

// Host returns the host that may use the slots.
func (g Grant) Host() table.HostID { return g.host }

// Slots returns the number of slots.
func (g Grant) Slots() int { return g.slots }

// Divide divides the slots between the hosts of the demands, in the order of host names.
//
// Classes are served in strict order of priority. Within a class, slots go to workspaces by weighted
// max-min fairness, and within a workspace to hosts by max-min fairness. Slots that nobody wants are
// spread evenly, so that a host with a new request need not wait for the next division. The result
// depends only on the arguments, not on their order.
func Divide(slots int, demands []Demand) []Grant { return divide(slots, 0, demands) }

// divide works in parts of slots and rounds once for each host at the end: with few slots and many
// workspaces, rounding each share by itself would give the same hosts too little everywhere. The
// phase, between 0 and 1, moves the rounding so that different pipelines favour different hosts.
func divide(slots int, phase float64, demands []Demand) []Grant {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(a.cfg.Priority, b.cfg.Priority),
			cmp.Compare(a.cfg.Workspace, b.cfg.Workspace),
			cmp.Compare(a.cfg.Host, b.cfg.Host),
		)
	})
	grants := hosts(sorted)
	if len(grants) == 0 {
		return nil
	}
	parts := make([]float64, len(grants))
	left := float64(max(slots, 0))
	for len(sorted) > 0 && left > 0 {
		n := runLength(sorted, func(a, b Demand) bool { return a.cfg.Priority == b.cfg.Priority })
		left -= divideClass(left, sorted[:n], grants, parts)
		sorted = sorted[n:]
	}
	for i := range parts {
		parts[i] += max(left, 0) / float64(len(parts))
	}
	round(max(slots, 0), phase, parts, grants)
	return grants
}

// round turns parts into whole slots whose sum is exact; each host gets its part rounded up or down.
func round(slots int, phase float64, parts []float64, grants []Grant) {
	sum, before := 0.0, 0
	for i, p := range parts {
		sum += p
		// Sums of parts miss whole numbers by rounding errors far below this.
		upto := min(int(sum+phase+1e-6), slots)
		if i == len(parts)-1 {
			upto = slots
		}
		grants[i].slots = upto - before
		before = upto
	}
}

func hosts(demands []Demand) []Grant {
	var grants []Grant
	for _, d := range demands {
		i, ok := find(grants, d.cfg.Host)
		if !ok {
			grants = slices.Insert(grants, i, Grant{host: d.cfg.Host})
		}
	}
	return grants
}

func find(grants []Grant, host table.HostID) (int, bool) {
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

// divideClass divides slots between the workspaces of one class and returns the number given.
func divideClass(slots float64, demands []Demand, grants []Grant, parts []float64) float64 {
	var claims []claimant
	var groups [][]Demand
	for rest := demands; len(rest) > 0; {
		n := runLength(rest, func(a, b Demand) bool { return a.cfg.Workspace == b.cfg.Workspace })
		claim := claimant{}
		for _, d := range rest[:n] {
			claim.wanted += d.cfg.Wanted
			claim.weight = max(claim.weight, float64(d.cfg.Weight))
		}
		claims = append(claims, claim)
		groups = append(groups, rest[:n])
		rest = rest[n:]
	}
	given := fill(slots, claims)
	for i, group := range groups {
		within := make([]claimant, len(group))
		for j, d := range group {
			within[j] = claimant{wanted: d.cfg.Wanted, weight: 1}
		}
		fill(claims[i].given, within)
		for j, d := range group {
			at, _ := find(grants, d.cfg.Host)
			parts[at] += within[j].given
		}
	}
	return given
}

type claimant struct {
	wanted float64
	weight float64
	given  float64
}

// fill divides slots by weighted max-min fairness and returns the number given: claimants are
// satisfied in the order of their demand for each unit of weight.
func fill(slots float64, claims []claimant) float64 {
	order := make([]int, len(claims))
	weight := 0.0
	for i := range claims {
		order[i] = i
		weight += claims[i].weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].wanted/claims[a].weight, claims[b].wanted/claims[b].weight)
	})
	left := slots
	for _, i := range order {
		c := &claims[i]
		c.given = min(c.wanted, left*c.weight/weight)
		left -= c.given
		weight -= c.weight
	}
	return slots - left
}
