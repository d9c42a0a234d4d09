package layout

import (
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

// Plan assigns ranges to the workers that hold nothing, largest first.
func Plan(engine *deployment.Engine, workers []Worker) []Assignment {
	c := newCover(engine.Layers)
	var empty []Worker
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
	return out
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
