package layout

import (
	"slices"
	"sort"
	"time"

	"waxwingplank/internal/core/deployment"
)

const (
	// contextShare is the part of a worker's memory that is left for requests. At a fifth, each layer is held four
	// times over, and the loss of a holder leaves room for twice the usual streams.
	contextShare = 0.2
	// leastShare is what is left for requests where a worker closes a gap; below it, it holds up the others.
	leastShare = 0.1
	// uncovered, single and spare weigh a layer that no, one or more workers of the domain hold.
	uncovered = 100.0
	single    = 6.0
	spare     = 1.0
	// rare is added for a layer by how few workers hold it anywhere.
	rare = 8.0
	// aligned favours ranges that begin or end where another does: paths then have fewer parts.
	aligned = 4.0
	// handoverWait is how long an empty worker is kept for a worker that leaves: in a release the new one starts
	// about a second before the old one begins to drain.
	handoverWait = 1500 * time.Millisecond
	// returnWait is how long a domain lacks layers before others move: a crashed worker is often back within
	// that, a move takes about as long, and meanwhile paths lead through other domains.
	returnWait = 5 * time.Second
	// leaveWait is the same where workers leave: the one that comes for them, if any, is there before.
	leaveWait = 300 * time.Millisecond
	// leastGain is the number of layers that a move must bring: a move takes a worker out of service for
	// seconds.
	leastGain = 2
)

// Worker is a worker as the plan sees it.
type Worker struct {
	ID          string
	Domain      string
	Accelerator string
	// Holds is what the worker holds or has been ordered to hold.
	Holds deployment.Range
	// Leaving workers keep what they hold but do not count as cover.
	Leaving bool
	// Busy workers are carrying out an order.
	Busy bool
}

// Assignment is a range that a worker is to hold.
type Assignment struct {
	Worker string
	Range  deployment.Range
}

// Capacity returns how many layers a worker holds beside the memory for requests.
func Capacity(engine *deployment.Engine, accelerator string) int {
	return layersWithin(engine, accelerator, 1-contextShare)
}

func layersWithin(engine *deployment.Engine, accelerator string, share float64) int {
	if engine.LayerMB <= 0 {
		return 0
	}
	n := int(engine.Accelerator(accelerator).SizeMB * share / engine.LayerMB)
	return min(max(n, 0), engine.Layers)
}

// Cover returns the least number of workers that hold a layer, in each domain and in all of them.
func Cover(engine *deployment.Engine, workers []Worker) (domains map[string]int, all int) {
	c := newCover(engine.Layers)
	for _, w := range workers {
		if !w.Leaving && !w.Busy && w.Holds.Len() > 0 {
			c.add(w.Domain, w.Holds)
		}
	}
	domains = map[string]int{}
	for name, held := range c.domains {
		domains[name] = slices.Min(held)
	}
	return domains, slices.Min(c.all)
}

// System plans the layers of one service. It remembers since when workers have been empty and domains have
// lacked layers.
type System struct {
	empty map[string]time.Time
	gaps  map[string]time.Time
}

// New returns a system that has seen nothing.
func New() *System {
	return &System{empty: map[string]time.Time{}, gaps: map[string]time.Time{}}
}

// Tick assigns ranges to the workers that hold nothing, largest first. Where a domain still lacks layers,
// neighbours take some more, and after a while workers leave layers that the domain can spare.
func (s *System) Tick(now time.Time, engine *deployment.Engine, workers []Worker) []Assignment {
	c := newCover(engine.Layers)
	var empty, settled, leaving []Worker
	for _, w := range workers {
		if w.Leaving {
			leaving = append(leaving, w)
			continue
		}
		c.domain(w.Domain)
		if w.Holds.Len() > 0 {
			c.add(w.Domain, w.Holds)
			if !w.Busy {
				settled = append(settled, w)
			}
		} else if !w.Busy {
			empty = append(empty, w)
		}
	}
	s.note(now, c, empty)
	sort.Slice(empty, func(i, j int) bool {
		a, b := Capacity(engine, empty[i].Accelerator), Capacity(engine, empty[j].Accelerator)
		if a != b {
			return a > b
		}
		return empty[i].ID < empty[j].ID
	})
	var out []Assignment
	for _, w := range empty {
		n := Capacity(engine, w.Accelerator)
		if n == 0 || (c.missing(w.Domain) == 0 && now.Sub(s.empty[w.ID]) < handoverWait) {
			continue
		}
		r := c.best(w.Domain, n)
		c.add(w.Domain, r)
		out = append(out, Assignment{Worker: w.ID, Range: r})
	}
	out = append(out, c.extensions(engine, settled)...)
	return append(out, c.moves(s.movable(now, c, workers, settled, leaving, out))...)
}

// movable returns the workers that may leave their layers for others that their domain lacks.
func (s *System) movable(now time.Time, c *cover, workers, settled, leaving []Worker, out []Assignment) []Worker {
	moving := map[string]bool{}
	for _, w := range workers {
		// A worker that moves is out of service for seconds, so that a domain moves one at a time.
		moving[w.Domain] = moving[w.Domain] || (w.Busy && w.Holds.Len() > 0)
	}
	var movable []Worker
	for _, w := range settled {
		since, lacking := s.gaps[w.Domain]
		if !lacking || moving[w.Domain] || assigned(out, w.ID) {
			continue
		}
		wait := returnWait
		if c.lacksFor(leaving, w.Domain) {
			wait = leaveWait
		}
		if now.Sub(since) >= wait {
			movable = append(movable, w)
		}
	}
	return movable
}

// lacksFor reports whether a domain lacks layers since workers leave, which will not come back.
func (c *cover) lacksFor(leaving []Worker, domain string) bool {
	held, _ := c.domain(domain)
	for _, w := range leaving {
		if w.Domain != domain {
			continue
		}
		for l := max(w.Holds.From, 0); l < min(w.Holds.To, c.layers); l++ {
			if held[l] == 0 {
				return true
			}
		}
	}
	return false
}

// note remembers what is empty or lacking for the first time and forgets what no longer is.
func (s *System) note(now time.Time, c *cover, empty []Worker) {
	isEmpty := map[string]bool{}
	for _, w := range empty {
		isEmpty[w.ID] = true
		if _, ok := s.empty[w.ID]; !ok {
			s.empty[w.ID] = now
		}
	}
	for id := range s.empty {
		if !isEmpty[id] {
			delete(s.empty, id)
		}
	}
	for domain := range c.domains {
		if c.missing(domain) == 0 {
			delete(s.gaps, domain)
		} else if _, ok := s.gaps[domain]; !ok {
			s.gaps[domain] = now
		}
	}
}

func assigned(out []Assignment, worker string) bool {
	return slices.ContainsFunc(out, func(a Assignment) bool { return a.Worker == worker })
}

// extensions closes gaps by neighbours that take some layers more, from their memory for requests. That is
// quick: only the new layers are loaded and none are given up. A gap that they can't close whole is left.
func (c *cover) extensions(engine *deployment.Engine, settled []Worker) []Assignment {
	var out []Assignment
	for domain, held := range c.domains {
		for from := 0; from < c.layers; from++ {
			if held[from] > 0 {
				continue
			}
			to := from
			for to < c.layers && held[to] == 0 {
				to++
			}
			out = append(out, c.closing(engine, settled, domain, deployment.Range{From: from, To: to}, out)...)
			from = to
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

// closing returns the one or two extensions that close a gap, or none.
func (c *cover) closing(engine *deployment.Engine, settled []Worker, domain string, gap deployment.Range, used []Assignment) []Assignment {
	var left, right *Worker
	roomLeft, roomRight := 0, 0
	for i := range settled {
		w := &settled[i]
		if w.Domain != domain || assigned(used, w.ID) {
			continue
		}
		room := layersWithin(engine, w.Accelerator, 1-leastShare) - w.Holds.Len()
		if w.Holds.To == gap.From && room > roomLeft {
			left, roomLeft = w, room
		}
		if w.Holds.From == gap.To && room > roomRight {
			right, roomRight = w, room
		}
	}
	if roomLeft+roomRight < gap.Len() {
		return nil
	}
	var out []Assignment
	cut := min(gap.From+roomLeft, gap.To)
	if roomRight > 0 && roomLeft > 0 {
		cut = min(gap.From+min(roomLeft, max(gap.Len()/2, gap.Len()-roomRight)), gap.To)
	}
	if cut > gap.From {
		r := deployment.Range{From: left.Holds.From, To: cut}
		out = append(out, Assignment{Worker: left.ID, Range: r})
		c.add(domain, deployment.Range{From: gap.From, To: cut})
	}
	if cut < gap.To {
		r := deployment.Range{From: cut, To: right.Holds.To}
		out = append(out, Assignment{Worker: right.ID, Range: r})
		c.add(domain, deployment.Range{From: cut, To: gap.To})
	}
	return out
}

// moves lets workers leave layers that their domain can spare for layers that it lacks. Each move leaves fewer
// layers without a holder than before, so that the moves come to an end.
func (c *cover) moves(settled []Worker) []Assignment {
	sort.Slice(settled, func(i, j int) bool { return settled[i].ID < settled[j].ID })
	done := map[string]bool{}
	var out []Assignment
	for {
		var best Assignment
		var domain string
		bestGain := 0
		for _, w := range settled {
			if done[w.Domain] {
				continue
			}
			before := c.missing(w.Domain)
			if before == 0 {
				continue
			}
			c.remove(w.Domain, w.Holds)
			r := c.best(w.Domain, w.Holds.Len())
			c.add(w.Domain, r)
			gain := before - c.missing(w.Domain)
			c.remove(w.Domain, r)
			c.add(w.Domain, w.Holds)
			if gain > bestGain {
				best, bestGain, domain = Assignment{Worker: w.ID, Range: r}, gain, w.Domain
			}
		}
		if bestGain < leastGain {
			return out
		}
		for _, w := range settled {
			if w.ID == best.Worker {
				c.remove(domain, w.Holds)
			}
		}
		c.add(domain, best.Range)
		done[domain] = true
		out = append(out, best)
	}
}

// missing returns how many layers no worker of the domain holds.
func (c *cover) missing(domain string) int {
	held, _ := c.domain(domain)
	n := 0
	for _, h := range held {
		if h == 0 {
			n++
		}
	}
	return n
}

// cover counts how often each layer is held, in each domain and in all.
type cover struct {
	layers  int
	all     []int
	domains map[string][]int
	edges   map[string]map[int]bool
}

func newCover(layers int) *cover {
	return &cover{layers: layers, all: make([]int, layers), domains: map[string][]int{}, edges: map[string]map[int]bool{}}
}

func (c *cover) domain(name string) ([]int, map[int]bool) {
	if _, ok := c.domains[name]; !ok {
		c.domains[name] = make([]int, c.layers)
		c.edges[name] = map[int]bool{0: true, c.layers: true}
	}
	return c.domains[name], c.edges[name]
}

func (c *cover) add(domain string, r deployment.Range) {
	held, edges := c.domain(domain)
	for l := max(r.From, 0); l < min(r.To, c.layers); l++ {
		held[l]++
		c.all[l]++
	}
	edges[r.From], edges[r.To] = true, true
}

func (c *cover) remove(domain string, r deployment.Range) {
	held, _ := c.domain(domain)
	for l := max(r.From, 0); l < min(r.To, c.layers); l++ {
		held[l]--
		c.all[l]--
	}
}

// best returns the range of n layers that adds most to the cover of the domain.
func (c *cover) best(domain string, n int) deployment.Range {
	held, edges := c.domain(domain)
	need := func(l int) float64 {
		w := spare / float64(1+held[l])
		switch held[l] {
		case 0:
			w = uncovered
		case 1:
			w = single
		}
		return w + rare/float64((1+c.all[l])*(1+c.all[l]))
	}
	best, at := -1.0, 0
	for from := 0; from+n <= c.layers; from++ {
		score := 0.0
		for l := from; l < from+n; l++ {
			score += need(l)
		}
		if edges[from] {
			score += aligned
		}
		if edges[from+n] {
			score += aligned
		}
		if score > best {
			best, at = score, from
		}
	}
	return deployment.Range{From: at, To: at + n}
}
