package layout

import (
	"slices"
	"sort"
	"time"

	"waxwingplank/internal/core/deployment"
)

const (
	// minFreeShare and maxFreeShare bound the share of a worker's memory that is left for requests. A worker with
	// less is a bottleneck for its paths, and one with more holds few layers.
	minFreeShare = 0.1
	maxFreeShare = 0.4
	// tightFreeShare replaces minFreeShare in domains that can hold all layers only so. A domain without some layers
	// serves hardly any streams, since each of them crosses to another domain and back.
	tightFreeShare = 0.05
	// coldStartWait is how long no new worker must have joined before the first layout is made, and
	// maxColdStartWait is the longest delay of that layout. Workers register within a few heartbeats of their
	// start, and a layout for all of them at once is better than one that is extended as they join.
	coldStartWait    = 1200 * time.Millisecond
	maxColdStartWait = 4 * time.Second
	// handoverWait is how long an empty worker is reserved for the layers of a draining one. In a release the new
	// worker starts about a second before the old one begins to drain.
	handoverWait = 1500 * time.Millisecond
	// crashMoveWait is how long layers of a domain must be missing before other workers move to them. A crashed
	// worker is often back within this time and a move takes about as long. Meanwhile paths lead through other
	// domains.
	crashMoveWait = 5 * time.Second
	// drainMoveWait is the same for draining workers. Their replacement, if any, has joined before.
	drainMoveWait = 300 * time.Millisecond
	// minMoveGain is the smallest number of missing layers that a move must cover, since it takes a worker out of
	// service for seconds.
	minMoveGain = 2
	// minShrinkGain is the smallest gain for which a worker drops layers that others hold, so that the remaining
	// ones have more capacity.
	minShrinkGain = 0.3
)

// Worker is the state of a worker for the plan.
type Worker struct {
	ID          string
	Domain      string
	Accelerator string
	// Holds is the range that the worker holds or was ordered to hold.
	Holds deployment.Range
	// Leaving workers are draining. They keep their layers but do not count as cover.
	Leaving bool
	// Busy workers are executing an order.
	Busy bool
}

// Assignment is a range that a worker must hold.
type Assignment struct {
	Worker string
	Range  deployment.Range
}

func layersWithin(engine *deployment.Engine, accelerator string, share float64) int {
	if engine.LayerMB <= 0 {
		return 0
	}
	n := int(engine.Accelerator(accelerator).SizeMB * share / engine.LayerMB)
	return min(max(n, 0), engine.Layers)
}

// Cover returns the smallest number of workers that hold a layer, for each domain and over all domains.
func Cover(engine *deployment.Engine, workers []Worker) (domains map[string]int, all int) {
	c := newCover(engine)
	for _, w := range workers {
		if !w.Leaving && !w.Busy && w.Holds.Len() > 0 {
			c.add(w, w.Holds)
		}
	}
	domains = map[string]int{}
	total := make([]int, engine.Layers)
	for name, d := range c.domains {
		domains[name] = slices.Min(d.holders)
		for l, n := range d.holders {
			total[l] += n
		}
	}
	return domains, slices.Min(total)
}

// System plans the layers of one service. It records since when workers have been empty and layers of domains have
// been missing.
type System struct {
	emptySince map[string]time.Time
	gapSince   map[string]time.Time
	// firstSeen and lastGrowth are the times at which the first and the latest worker joined while none held
	// layers. workerCount is their number.
	firstSeen   time.Time
	lastGrowth  time.Time
	workerCount int
}

// New returns a system without recorded workers.
func New() *System {
	return &System{emptySince: map[string]time.Time{}, gapSince: map[string]time.Time{}}
}

// Tick assigns ranges to the workers that hold nothing, largest first. If layers of a domain are still missing,
// adjacent workers extend their ranges, and after a delay workers move from layers that the domain can spare. Last,
// workers drop layers that others hold by now.
func (s *System) Tick(now time.Time, engine *deployment.Engine, workers []Worker) []Assignment {
	groups := group(engine, workers)
	c, settled := groups.cover, groups.settled
	waits := s.observe(now, groups)
	if groups.cold {
		if waits {
			return nil
		}
		return c.arrange(groups.empty)
	}
	var out []Assignment
	for _, w := range groups.empty {
		if c.missingLayers(w.Domain) == 0 && now.Sub(s.emptySince[w.ID]) < handoverWait {
			continue
		}
		if r, _ := c.bestRange(w); r.Len() > 0 {
			c.add(w, r)
			out = append(out, Assignment{Worker: w.ID, Range: r})
		}
	}
	out = append(out, c.extensions(settled)...)
	movable := s.movable(now, c, workers, settled, groups.leaving, out)
	out = append(out, c.rearrangements(movable, settled, out)...)
	movable = slices.DeleteFunc(movable, func(w Worker) bool { return assigned(out, w.ID) })
	for _, move := range c.moves(movable) {
		if c.heldMeanwhile(settled, append(out, move)) {
			out = append(out, move)
		}
	}
	return append(out, shrinks(engine, settled, out)...)
}

// Observe records since when workers have been empty and layers missing, for a host that makes no plans now but may do so
// later. It takes a small part of the time of Tick.
func (s *System) Observe(now time.Time, engine *deployment.Engine, workers []Worker) {
	s.observe(now, group(engine, workers))
}

// observe reports whether the first layout must wait.
func (s *System) observe(now time.Time, groups grouped) (waits bool) {
	if groups.cold {
		return s.awaitsWorkers(now, len(groups.empty))
	}
	s.workerCount = 0
	s.updateTimes(now, groups.cover, groups.empty)
	return false
}

// grouped holds the workers by their state.
type grouped struct {
	// cover includes all workers that hold layers and do not leave.
	cover *cover
	// settled workers hold layers and execute no order. Those in empty are sorted by size.
	empty, settled, leaving []Worker
	// cold is set while no worker holds layers or loads them.
	cold bool
}

func group(engine *deployment.Engine, workers []Worker) grouped {
	g := grouped{cover: newCover(engine), cold: true}
	for _, w := range workers {
		if w.Leaving {
			g.leaving = append(g.leaving, w)
			continue
		}
		g.cover.domain(w.Domain)
		switch {
		case w.Holds.Len() > 0:
			g.cold = false
			g.cover.add(w, w.Holds)
			if !w.Busy {
				g.settled = append(g.settled, w)
			}
		case w.Busy:
			g.cold = false
		default:
			g.empty = append(g.empty, w)
		}
	}
	sortBySize(engine, g.empty)
	g.cover.tighten(workers)
	return g
}

// sortBySize sorts workers by their memory, largest first.
func sortBySize(engine *deployment.Engine, workers []Worker) {
	sort.Slice(workers, func(i, j int) bool {
		a, b := engine.Accelerator(workers[i].Accelerator).SizeMB, engine.Accelerator(workers[j].Accelerator).SizeMB
		if a != b {
			return a > b
		}
		return workers[i].ID < workers[j].ID
	})
}

// awaitsWorkers reports whether the first layout must wait, since more workers may still join.
func (s *System) awaitsWorkers(now time.Time, count int) bool {
	if s.workerCount == 0 {
		s.firstSeen = now
	}
	if count > s.workerCount {
		s.lastGrowth = now
	}
	s.workerCount = count
	return now.Sub(s.lastGrowth) < coldStartWait && now.Sub(s.firstSeen) < maxColdStartWait
}

// movable returns the workers that may move to missing layers of their domain.
func (s *System) movable(now time.Time, c *cover, workers, settled, leaving []Worker, out []Assignment) []Worker {
	moving := map[string]bool{}
	for _, w := range workers {
		// A worker that moves is out of service for seconds, so only one worker of a domain moves at a time.
		moving[w.Domain] = moving[w.Domain] || (w.Busy && w.Holds.Len() > 0)
	}
	var movable []Worker
	for _, w := range settled {
		since, missing := s.gapSince[w.Domain]
		if !missing || moving[w.Domain] || assigned(out, w.ID) {
			continue
		}
		wait := crashMoveWait
		if c.missesLayersOf(leaving, w.Domain) {
			wait = drainMoveWait
		}
		if now.Sub(since) >= wait {
			movable = append(movable, w)
		}
	}
	return movable
}

// missesLayersOf reports whether layers of a domain are missing because of draining workers, which will not come
// back.
func (c *cover) missesLayersOf(leaving []Worker, domain string) bool {
	holders := c.domain(domain).holders
	for _, w := range leaving {
		if w.Domain != domain {
			continue
		}
		for l := max(w.Holds.From, 0); l < min(w.Holds.To, c.engine.Layers); l++ {
			if holders[l] == 0 {
				return true
			}
		}
	}
	return false
}

// updateTimes records when workers became empty and layers of domains missing, and deletes entries that no longer
// apply.
func (s *System) updateTimes(now time.Time, c *cover, empty []Worker) {
	isEmpty := map[string]bool{}
	for _, w := range empty {
		isEmpty[w.ID] = true
		if _, ok := s.emptySince[w.ID]; !ok {
			s.emptySince[w.ID] = now
		}
	}
	for id := range s.emptySince {
		if !isEmpty[id] {
			delete(s.emptySince, id)
		}
	}
	for domain := range c.domains {
		if c.missingLayers(domain) == 0 {
			delete(s.gapSince, domain)
		} else if _, ok := s.gapSince[domain]; !ok {
			s.gapSince[domain] = now
		}
	}
}

func assigned(out []Assignment, worker string) bool {
	return slices.ContainsFunc(out, func(a Assignment) bool { return a.Worker == worker })
}

// extensions closes gaps by extending the ranges of adjacent workers into their memory for requests. This is fast,
// since only the new layers are loaded and none are dropped. A gap that they cannot close completely is left.
func (c *cover) extensions(settled []Worker) []Assignment {
	var out []Assignment
	for domain, d := range c.domains {
		for from := 0; from < c.engine.Layers; from++ {
			if d.holders[from] > 0 {
				continue
			}
			to := from
			for to < c.engine.Layers && d.holders[to] == 0 {
				to++
			}
			out = append(out, c.closeGap(settled, domain, deployment.Range{From: from, To: to}, out)...)
			from = to
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

// closeGap returns the one or two extensions that close a gap, or none.
func (c *cover) closeGap(settled []Worker, domain string, gap deployment.Range, used []Assignment) []Assignment {
	var left, right *Worker
	freeLeft, freeRight := 0, 0
	for i := range settled {
		w := &settled[i]
		if w.Domain != domain || assigned(used, w.ID) {
			continue
		}
		free := layersWithin(c.engine, w.Accelerator, 1-c.domain(domain).minFree) - w.Holds.Len()
		if w.Holds.To == gap.From && free > freeLeft {
			left, freeLeft = w, free
		}
		if w.Holds.From == gap.To && free > freeRight {
			right, freeRight = w, free
		}
	}
	if freeLeft+freeRight < gap.Len() {
		return nil
	}
	var out []Assignment
	cut := min(gap.From+freeLeft, gap.To)
	if freeRight > 0 && freeLeft > 0 {
		cut = min(gap.From+min(freeLeft, max(gap.Len()/2, gap.Len()-freeRight)), gap.To)
	}
	extend := func(w *Worker, r deployment.Range) {
		c.remove(*w)
		c.add(*w, r)
		out = append(out, Assignment{Worker: w.ID, Range: r})
	}
	if cut > gap.From {
		extend(left, deployment.Range{From: left.Holds.From, To: cut})
	}
	if cut < gap.To {
		extend(right, deployment.Range{From: cut, To: right.Holds.To})
	}
	return out
}

// moves reassigns workers from layers that their domain can spare to missing ones, one worker in each domain. Each
// move reduces the number of layers without a holder, so the moves terminate.
func (c *cover) moves(settled []Worker) []Assignment {
	sort.Slice(settled, func(i, j int) bool { return settled[i].ID < settled[j].ID })
	moves := map[string]Assignment{}
	gains := map[string]int{}
	for _, w := range settled {
		before := c.missingLayers(w.Domain)
		if before == 0 {
			continue
		}
		old := c.remove(w)
		r, _ := c.bestRange(w)
		c.add(w, r)
		gain := before - c.missingLayers(w.Domain)
		c.remove(w)
		c.add(w, old)
		if gain >= minMoveGain && gain > gains[w.Domain] {
			moves[w.Domain], gains[w.Domain] = Assignment{Worker: w.ID, Range: r}, gain
		}
	}
	out := make([]Assignment, 0, len(moves))
	for _, m := range moves {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

// shrinks lets workers drop layers at an end of their range that others of the domain hold by now, one worker in
// each domain. A worker that closed a gap has little capacity left for requests. Other workers count only once they
// have loaded their layers.
func shrinks(engine *deployment.Engine, settled []Worker, planned []Assignment) []Assignment {
	c := newCover(engine)
	for _, w := range settled {
		c.add(w, w.Holds)
	}
	done := map[string]bool{}
	var out []Assignment
	for _, w := range settled {
		if done[w.Domain] || assigned(planned, w.ID) || capacityOf(engine, w.Accelerator, w.Holds.Len()) >= 1 {
			continue
		}
		c.remove(w)
		best, most := w.Holds, c.rangeGain(w, w.Holds)+minShrinkGain
		for cut := 1; cut < w.Holds.Len(); cut++ {
			for _, r := range []deployment.Range{{From: w.Holds.From + cut, To: w.Holds.To}, {From: w.Holds.From, To: w.Holds.To - cut}} {
				if gain := c.rangeGain(w, r); gain > most {
					best, most = r, gain
				}
			}
		}
		c.add(w, w.Holds)
		if best == w.Holds {
			continue
		}
		done[w.Domain] = true
		out = append(out, Assignment{Worker: w.ID, Range: best})
	}
	return out
}
