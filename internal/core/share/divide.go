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
	// Wanted is the number of requests that run or wait.
	Wanted int
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
func (d Demand) Wanted() int { return d.cfg.Wanted }

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
func Divide(slots int, demands []Demand) []Grant {
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
	left := max(slots, 0)
	for len(sorted) > 0 && left > 0 {
		n := runLength(sorted, func(a, b Demand) bool { return a.cfg.Priority == b.cfg.Priority })
		left -= divideClass(left, sorted[:n], grants)
		sorted = sorted[n:]
	}
	spread(left, grants)
	return grants
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
func divideClass(slots int, demands []Demand, grants []Grant) int {
	var parts []claimant
	var groups [][]Demand
	for rest := demands; len(rest) > 0; {
		n := runLength(rest, func(a, b Demand) bool { return a.cfg.Workspace == b.cfg.Workspace })
		part := claimant{}
		for _, d := range rest[:n] {
			part.wanted += d.cfg.Wanted
			part.weight = max(part.weight, d.cfg.Weight)
		}
		parts = append(parts, part)
		groups = append(groups, rest[:n])
		rest = rest[n:]
	}
	given := fill(slots, parts)
	for i, group := range groups {
		within := make([]claimant, len(group))
		for j, d := range group {
			within[j] = claimant{wanted: d.cfg.Wanted, weight: 1}
		}
		fill(parts[i].given, within)
		for j, d := range group {
			at, _ := find(grants, d.cfg.Host)
			grants[at].slots += within[j].given
		}
	}
	return given
}

type claimant struct {
	wanted int
	weight int
	given  int
}

// fill divides slots by weighted max-min fairness and returns the number given. Whole slots left by
// rounding go one each to the claimants in order, so equal input gives equal output.
func fill(slots int, parts []claimant) int {
	left := slots
	for left > 0 {
		weight := 0
		for _, p := range parts {
			if p.given < p.wanted {
				weight += p.weight
			}
		}
		if weight == 0 {
			break
		}
		round, gave := left, 0
		for i := range parts {
			p := &parts[i]
			if p.given < p.wanted {
				n := min(round*p.weight/weight, p.wanted-p.given)
				p.given += n
				gave += n
			}
		}
		left -= gave
		if gave == 0 {
			left -= fillRemainder(left, parts)
		}
	}
	return slots - left
}

// fillRemainder gives single slots to the claimants furthest below their share.
func fillRemainder(slots int, parts []claimant) int {
	gave := 0
	for ; slots > 0; slots-- {
		best := -1
		for i, p := range parts {
			if p.given >= p.wanted {
				continue
			}
			if best < 0 || (p.given+1)*parts[best].weight < (parts[best].given+1)*p.weight {
				best = i
			}
		}
		if best < 0 {
			return gave
		}
		parts[best].given++
		gave++
	}
	return gave
}

func spread(slots int, grants []Grant) {
	each, more := slots/len(grants), slots%len(grants)
	for i := range grants {
		grants[i].slots += each
		if i < more {
			grants[i].slots++
		}
	}
}
