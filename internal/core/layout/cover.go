package layout

import (
	"slices"

	"waxwingplank/internal/core/deployment"
)

const (
	// unitShare defines the unit of capacity: a worker that leaves this share of its memory for requests has one unit.
	// Such a worker carries about half of the normal number of streams of a deployment with three copies of the model.
	unitShare = 0.2
	// heldValue is the value of a layer that is held at all in a domain. It makes a complete domain more valuable
	// than spare capacity.
	heldValue = 4.0
	// heldCapacity is the capacity from which a layer counts as fully held; with less it carries hardly any
	// streams.
	heldCapacity = 0.2
	// halfValueCapacity is the capacity that has half of the value of unlimited capacity.
	halfValueCapacity = 0.25
	// afterLossWeight is the weight of the capacity that remains when the largest holder of a layer is lost.
	afterLossWeight = 0.3
	// allDomainsWeight is the weight of a layer's capacity over all domains.
	allDomainsWeight = 0.2
	// alignmentBonus favours ranges that begin or end where another one does, since paths then have fewer parts.
	alignmentBonus = 0.1
)

// holding is a range that a worker holds, with the capacity for requests that remains, in units.
type holding struct {
	worker   string
	layers   deployment.Range
	capacity float64
}

// domainCover holds the ranges of the workers of one domain.
type domainCover struct {
	holdings []holding
	// holders, capacity and largest are, for each layer, the number of holders, their total capacity and the
	// largest capacity of one holder.
	holders  []int
	capacity []float64
	largest  []float64
	// minFree is the smallest share of a worker's memory that is left for requests.
	minFree float64
}

// cover holds the ranges of all workers, by domain.
type cover struct {
	engine        *deployment.Engine
	domains       map[string]*domainCover
	totalCapacity []float64
}

func newCover(engine *deployment.Engine) *cover {
	return &cover{engine: engine, domains: map[string]*domainCover{}, totalCapacity: make([]float64, engine.Layers)}
}

// capacityOf returns the capacity that a worker of n layers has for requests, in units.
func capacityOf(engine *deployment.Engine, accelerator string, n int) float64 {
	if n <= 0 || engine.LayerMB <= 0 {
		return 0
	}
	unitMB := engine.LayerMB * unitShare / (1 - unitShare)
	return max(engine.Accelerator(accelerator).SizeMB/float64(n)-engine.LayerMB, 0) / unitMB
}

func (c *cover) domain(name string) *domainCover {
	d := c.domains[name]
	if d == nil {
		n := c.engine.Layers
		d = &domainCover{minFree: minFreeShare, holders: make([]int, n), capacity: make([]float64, n), largest: make([]float64, n)}
		c.domains[name] = d
	}
	return d
}

func (c *cover) clamp(r deployment.Range) deployment.Range {
	return deployment.Range{From: max(r.From, 0), To: min(r.To, c.engine.Layers)}
}

// add adds a worker that holds a range, or that is assigned to it.
func (c *cover) add(w Worker, r deployment.Range) {
	h := holding{worker: w.ID, layers: c.clamp(r), capacity: capacityOf(c.engine, w.Accelerator, r.Len())}
	d := c.domain(w.Domain)
	d.holdings = append(d.holdings, h)
	for l := h.layers.From; l < h.layers.To; l++ {
		d.holders[l]++
		d.capacity[l] += h.capacity
		d.largest[l] = max(d.largest[l], h.capacity)
		c.totalCapacity[l] += h.capacity
	}
}

// remove removes a worker and returns its range.
func (c *cover) remove(w Worker) deployment.Range {
	d := c.domain(w.Domain)
	i := slices.IndexFunc(d.holdings, func(h holding) bool { return h.worker == w.ID })
	if i < 0 {
		return deployment.Range{}
	}
	removed := d.holdings[i]
	d.holdings = slices.Delete(d.holdings, i, i+1)
	for l := removed.layers.From; l < removed.layers.To; l++ {
		d.holders[l], d.capacity[l], d.largest[l] = 0, 0, 0
		for _, h := range d.holdings {
			if h.layers.From <= l && l < h.layers.To {
				d.holders[l]++
				d.capacity[l] += h.capacity
				d.largest[l] = max(d.largest[l], h.capacity)
			}
		}
		c.totalCapacity[l] -= removed.capacity
	}
	return removed.layers
}

// tighten lowers the share of memory for requests in domains that could not hold all layers otherwise.
func (c *cover) tighten(workers []Worker) {
	normal, tight := map[string]int{}, map[string]int{}
	for _, w := range workers {
		if !w.Leaving {
			normal[w.Domain] += layersWithin(c.engine, w.Accelerator, 1-minFreeShare)
			tight[w.Domain] += layersWithin(c.engine, w.Accelerator, 1-tightFreeShare)
		}
	}
	for domain, n := range tight {
		if normal[domain] < c.engine.Layers && n >= c.engine.Layers {
			c.domain(domain).minFree = tightFreeShare
		}
	}
}

// missingLayers returns how many layers no worker of the domain holds.
func (c *cover) missingLayers(domain string) int {
	n := 0
	for _, h := range c.domain(domain).holders {
		if h == 0 {
			n++
		}
	}
	return n
}

func saturated(capacity float64) float64 { return capacity / (capacity + halfValueCapacity) }

func layerValue(capacity, largest float64) float64 {
	return heldValue*min(capacity/heldCapacity, 1) + saturated(capacity) + afterLossWeight*saturated(max(capacity-largest, 0))
}

// layerGain returns the value that additional capacity for a layer has in a domain.
func (c *cover) layerGain(d *domainCover, layer int, capacity float64) float64 {
	before := layerValue(d.capacity[layer], d.largest[layer]) + allDomainsWeight*saturated(c.totalCapacity[layer])
	after := layerValue(d.capacity[layer]+capacity, max(d.largest[layer], capacity)) + allDomainsWeight*saturated(c.totalCapacity[layer]+capacity)
	return after - before
}

// rangeGain returns the value that a worker with a range adds to its domain. The worker must not be part of the
// cover.
func (c *cover) rangeGain(w Worker, r deployment.Range) float64 {
	d := c.domain(w.Domain)
	capacity := capacityOf(c.engine, w.Accelerator, r.Len())
	total := d.alignment(c.engine.Layers, r)
	for l := r.From; l < r.To; l++ {
		total += c.layerGain(d, l, capacity)
	}
	return total
}

func (d *domainCover) alignment(layers int, r deployment.Range) float64 {
	total := 0.0
	if r.From == 0 || slices.ContainsFunc(d.holdings, func(h holding) bool { return h.layers.To == r.From }) {
		total += alignmentBonus
	}
	if r.To == layers || slices.ContainsFunc(d.holdings, func(h holding) bool { return h.layers.From == r.To }) {
		total += alignmentBonus
	}
	return total
}

// bestRange returns the range with which a worker adds the most value to its domain, and that value.
func (c *cover) bestRange(w Worker) (deployment.Range, float64) {
	d := c.domain(w.Domain)
	layers := c.engine.Layers
	most := layersWithin(c.engine, w.Accelerator, 1-d.minFree)
	least := max(layersWithin(c.engine, w.Accelerator, 1-maxFreeShare), 1)
	var out deployment.Range
	best := 0.0
	sums := make([]float64, layers+1)
	for n := least; n <= most; n++ {
		capacity := capacityOf(c.engine, w.Accelerator, n)
		for l := range layers {
			sums[l+1] = sums[l] + c.layerGain(d, l, capacity)
		}
		for from := 0; from+n <= layers; from++ {
			r := deployment.Range{From: from, To: from + n}
			gain := sums[r.To] - sums[r.From] + d.alignment(layers, r)
			if gain > best {
				out, best = r, gain
			}
		}
	}
	return out, best
}

// arrange assigns ranges to workers that all hold nothing. Each first gets the best range for the layers still
// missing. Then each range is chosen again for the ranges of the others until nothing changes.
func (c *cover) arrange(workers []Worker) []Assignment {
	const (
		rounds = 12
		// least is the smallest gain for which a worker changes its range. It is above rounding errors.
		least = 1e-6
	)
	ranges := make(map[string]deployment.Range, len(workers))
	for _, w := range workers {
		ranges[w.ID], _ = c.bestRange(w)
		c.add(w, ranges[w.ID])
	}
	for range rounds {
		changed := false
		for _, w := range workers {
			old := c.remove(w)
			r, gain := c.bestRange(w)
			if r != old && gain > c.rangeGain(w, old)+least {
				changed = true
			} else {
				r = old
			}
			ranges[w.ID] = r
			c.add(w, r)
		}
		if !changed {
			break
		}
	}
	out := make([]Assignment, 0, len(workers))
	for _, w := range workers {
		if r := ranges[w.ID]; r.Len() > 0 {
			out = append(out, Assignment{Worker: w.ID, Range: r})
		}
	}
	return out
}
