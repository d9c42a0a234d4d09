package layout

import (
	"cmp"
	"maps"
	"slices"

	"waxwingplank/internal/core/deployment"
)

// rearrangements assigns new ranges to all movable workers of a domain that can hold all layers only in this way: where a
// domain has hardly more memory than the model needs, no single worker can cover what a lost one held. Of each domain all
// movable workers change at once, which takes it out of service; it serves hardly any streams while layers are missing.
func (c *cover) rearrangements(movable, settled []Worker, planned []Assignment) []Assignment {
	var out []Assignment
	domains := byDomain(movable)
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		workers := domains[domain]
		if c.missingLayers(domain) == 0 || c.movesComplete(domain, workers) {
			continue
		}
		plan := c.rearrange(domain, workers)
		if len(plan) == 0 || !c.heldMeanwhile(settled, slices.Concat(planned, out, plan)) {
			continue
		}
		for _, w := range workers {
			if i := slices.IndexFunc(plan, func(a Assignment) bool { return a.Worker == w.ID }); i >= 0 {
				c.remove(w)
				c.add(w, plan[i].Range)
			}
		}
		out = append(out, plan...)
	}
	return out
}

func byDomain(workers []Worker) map[string][]Worker {
	out := map[string][]Worker{}
	for _, w := range workers {
		out[w.Domain] = append(out[w.Domain], w)
	}
	return out
}

// movesComplete reports whether moves of single workers, one after the other, would give a domain all layers.
func (c *cover) movesComplete(domain string, workers []Worker) bool {
	trial := c.clone()
	workers = slices.Clone(workers)
	for trial.missingLayers(domain) > 0 {
		moves := trial.moves(workers)
		if len(moves) == 0 {
			return false
		}
		for i, w := range workers {
			if w.ID == moves[0].Worker {
				trial.remove(w)
				trial.add(w, moves[0].Range)
				workers[i].Holds = moves[0].Range
			}
		}
	}
	return true
}

// rearrange returns the workers of a domain that change their range, or none if the domain can't hold all layers.
func (c *cover) rearrange(domain string, workers []Worker) []Assignment {
	trial := c.clone()
	for _, w := range workers {
		trial.remove(w)
	}
	sorted := slices.Clone(workers)
	sortBySize(c.engine, sorted)
	plan := trial.arrange(sorted)
	if trial.missingLayers(domain) > 0 {
		return nil
	}
	return withFewestLoads(plan, workers)
}

// withFewestLoads exchanges the planned ranges between workers of the same kind in the order of the layers that they hold,
// so that as few layers as possible are loaded. It leaves out workers that keep their range.
func withFewestLoads(plan []Assignment, workers []Worker) []Assignment {
	ranges := map[string][]deployment.Range{}
	kinds := map[string][]Worker{}
	for _, w := range workers {
		kinds[w.Accelerator] = append(kinds[w.Accelerator], w)
		i := slices.IndexFunc(plan, func(a Assignment) bool { return a.Worker == w.ID })
		if i >= 0 {
			ranges[w.Accelerator] = append(ranges[w.Accelerator], plan[i].Range)
		}
	}
	before := func(a, b deployment.Range) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) }
	var out []Assignment
	for kind, list := range kinds {
		slices.SortFunc(list, func(a, b Worker) int { return cmp.Or(before(a.Holds, b.Holds), cmp.Compare(a.ID, b.ID)) })
		slices.SortFunc(ranges[kind], before)
		for i, r := range ranges[kind] {
			if list[i].Holds != r {
				out = append(out, Assignment{Worker: list[i].ID, Range: r})
			}
		}
	}
	slices.SortFunc(out, func(a, b Assignment) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// heldMeanwhile reports whether each layer that settled workers hold now stays held in some domain while workers change to
// the planned ranges.
func (c *cover) heldMeanwhile(settled []Worker, planned []Assignment) bool {
	now, meanwhile := make([]bool, c.engine.Layers), make([]bool, c.engine.Layers)
	for _, w := range settled {
		kept := w.Holds
		for _, a := range planned {
			if a.Worker == w.ID {
				kept = deployment.Range{From: max(kept.From, a.Range.From), To: min(kept.To, a.Range.To)}
			}
		}
		for l := w.Holds.From; l < w.Holds.To; l++ {
			now[l] = true
		}
		for l := kept.From; l < kept.To; l++ {
			meanwhile[l] = true
		}
	}
	return slices.Equal(now, meanwhile)
}

// clone returns a copy that can be changed apart.
func (c *cover) clone() *cover {
	out := &cover{engine: c.engine, domains: make(map[string]*domainCover, len(c.domains)), totalCapacity: slices.Clone(c.totalCapacity)}
	for name, d := range c.domains {
		out.domains[name] = &domainCover{
			holdings: slices.Clone(d.holdings), holders: slices.Clone(d.holders),
			capacity: slices.Clone(d.capacity), largest: slices.Clone(d.largest), minFree: d.minFree,
		}
	}
	return out
}
