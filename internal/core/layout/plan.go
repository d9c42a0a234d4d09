package layout

import (
	"slices"
	"sort"

	"waxwingplank/internal/core/deployment"
)

const (
	// contextShare is the part of a worker's memory that is left for requests. At a fifth, each layer is held four
	// times over, and the loss of a holder leaves room for twice the usual streams.
	contextShare = 0.2
	// uncovered, single and spare weigh a layer that no, one or more workers of the domain hold.
	uncovered = 100.0
	single    = 6.0
	spare     = 1.0
	// rare is added for a layer by how few workers hold it anywhere.
	rare = 8.0
	// aligned favours ranges that begin or end where another does: paths then have fewer parts.
	aligned = 4.0
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
	size := engine.Accelerator(accelerator).SizeMB
	if engine.LayerMB <= 0 {
		return 0
	}
	n := int(size * (1 - contextShare) / engine.LayerMB)
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

// Plan assigns ranges to the workers that hold nothing, largest first, and then moves workers whose layers
// others of their domain hold too to layers that none of it holds.
func Plan(engine *deployment.Engine, workers []Worker) []Assignment {
	c := newCover(engine.Layers)
	var empty, settled []Worker
	for _, w := range workers {
		if w.Leaving {
			continue
		}
		if w.Holds.Len() == 0 {
			if !w.Busy {
				empty = append(empty, w)
			}
			continue
		}
		c.add(w.Domain, w.Holds)
		if !w.Busy {
			settled = append(settled, w)
		}
	}
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
		if n == 0 {
			continue
		}
		r := c.best(w.Domain, n)
		c.add(w.Domain, r)
		out = append(out, Assignment{Worker: w.ID, Range: r})
	}
	return append(out, c.moves(settled)...)
}

// moves lets workers leave layers that their domain can spare for layers that it lacks. Each move leaves fewer
// layers without a holder than before, so that the moves come to an end.
func (c *cover) moves(settled []Worker) []Assignment {
	sort.Slice(settled, func(i, j int) bool { return settled[i].ID < settled[j].ID })
	moved := map[string]bool{}
	var out []Assignment
	for {
		var best Assignment
		var domain string
		bestGain := 0
		for _, w := range settled {
			if moved[w.ID] {
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
		moved[best.Worker] = true
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
