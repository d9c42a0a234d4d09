package path

import (
	"math"
	"time"

	"waxwingplank/internal/core/deployment"
)

const (
	// hopMs is the time for a token to pass from one worker to the next within a failure domain.
	hopMs = 0.3
	// awayMs is charged per token where the first worker lies in another domain than the host.
	awayMs = 0.5
	// fullness is the share of a worker's memory up to which new requests are placed; estimates of answers err.
	fullness = 0.95
	// crowding weighs how full a worker is against how long its steps take.
	crowding = 6.0
	// failing makes a worker that fails every request five times as dear.
	failing = 4.0
	// waitWeight makes waiting for the first event dearer than the same time spread over all events.
	waitWeight = 4.0
	// spread is the largest relative change of a worker's cost by chance, so that hosts with the same late
	// figures do not all pick the same worker.
	spread = 0.15
	// maxParts is the longest path that workers accept.
	maxParts = 32
)

// Choose returns the cheapest path for a demand.
func (s *System) Choose(now time.Time, d Demand) (Path, Refusal) {
	if s.engine == nil {
		return nil, Uncovered
	}
	span := deployment.Range{From: 0, To: s.engine.Layers}
	p, refusal := s.between(now, d, span, "")
	if refusal == Uncovered {
		// A suspicion may be wrong; where no other worker holds the layers it is tried.
		d.trust = true
		p, refusal = s.between(now, d, span, "")
	}
	return p, refusal
}

// holder is a worker that can run a segment, with the cheapest way to it.
type holder struct {
	worker *worker
	cost   float64
	from   int
}

// between returns the cheapest path over a range of layers; first, if not empty, must run the first of them.
func (s *System) between(now time.Time, d Demand, span deployment.Range, first string) (Path, Refusal) {
	workers, full := s.candidates(now, d, first)
	cuts := cutsOf(workers, span)
	links := s.links(now, workers, d)
	steps := make([][]holder, 0, len(cuts))
	costs := make([]float64, len(workers))
	waits := make([]float64, len(workers))
	for i, w := range workers {
		costs[i], waits[i] = s.layerMs(w, d), s.waitMs(now, w, d)
	}
	for i := 0; i+1 < len(cuts); i++ {
		segment := deployment.Range{From: cuts[i], To: cuts[i+1]}
		var step []holder
		for j, w := range workers {
			if w.holds.From > segment.From || w.holds.To < segment.To || (i == 0 && first != "" && w.endpoint.ID != first) {
				continue
			}
			h := holder{worker: w, cost: math.Inf(1), from: -1}
			if i == 0 {
				h.cost = s.entryMs(w, d) + waits[j]
			} else {
				for k, p := range steps[i-1] {
					c := p.cost
					if p.worker != w {
						c += links.changeMs(p.worker, w) + waits[j]
					}
					if c < h.cost {
						h.cost, h.from = c, k
					}
				}
			}
			h.cost += costs[j] * float64(segment.Len())
			if !math.IsInf(h.cost, 1) {
				step = append(step, h)
			}
		}
		if len(step) == 0 {
			if full {
				return nil, Full
			}
			return nil, Uncovered
		}
		steps = append(steps, step)
	}
	p := backtrack(steps, cuts)
	if len(p) > maxParts || len(p) == 0 {
		return nil, Uncovered
	}
	return p, Accepted
}

// candidates returns the workers that may be on the path, and whether any was left out for want of memory.
func (s *System) candidates(now time.Time, d Demand, first string) (out []*worker, full bool) {
	for _, id := range s.order {
		w := s.workers[id]
		if id != first {
			if (!w.usable(now) && !(d.trust && w.serving())) || d.Avoid[id] {
				continue
			}
			if used, _ := w.load(s.peers); used+d.tokens()*float64(w.holds.Len()) > w.capacity*fullness {
				full = true
				continue
			}
		}
		out = append(out, w)
	}
	return out, full
}

// cutsOf returns the layers at which the holder may change, in order.
func cutsOf(workers []*worker, span deployment.Range) []int {
	at := make([]bool, span.To+1)
	at[span.From], at[span.To] = true, true
	for _, w := range workers {
		for _, l := range [2]int{w.holds.From, w.holds.To} {
			if span.Contains(l) {
				at[l] = true
			}
		}
	}
	var cuts []int
	for l := span.From; l <= span.To; l++ {
		if at[l] {
			cuts = append(cuts, l)
		}
	}
	return cuts
}

// backtrack joins the cheapest chain of holders into parts. A worker that appears twice also runs what lies
// between, since it holds one range without gaps.
func backtrack(steps [][]holder, cuts []int) Path {
	if len(steps) == 0 {
		return nil
	}
	best, last := math.Inf(1), steps[len(steps)-1]
	k := 0
	for i, h := range last {
		if h.cost < best {
			best, k = h.cost, i
		}
	}
	chain := make([]*worker, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		chain[i] = steps[i][k].worker
		k = steps[i][k].from
	}
	var p Path
	for i := 0; i < len(chain); {
		end := i
		for j := i + 1; j < len(chain); j++ {
			if chain[j] == chain[i] {
				end = j
			}
		}
		w := chain[i]
		p = append(p, Part{Worker: w.endpoint.ID, Address: w.endpoint.Address, Range: deployment.Range{From: cuts[i], To: cuts[end+1]}})
		i = end + 1
	}
	return p
}

// layerMs is what one layer costs a request per token that it writes, its prompt included.
func (s *System) layerMs(w *worker, d Demand) float64 {
	e := s.engine
	used, running := w.load(s.peers)
	context := float64(d.Prompt) / 1000
	step := e.StepMs + (e.StepMsPerSequence+e.StepMsPerKContext*context)*running
	cost := w.factors.StepFactor * step
	if e.ReadTokensPerMs > 0 {
		cost += float64(d.Prompt) / float64(max(d.Answer, 1)) * w.factors.ReadFactor / e.ReadTokensPerMs
	}
	used /= math.Max(w.capacity, 1)
	cost *= 1 + crowding*used*used
	cost *= 1 + failing*w.failures
	cost *= 1 + spread*(2*s.random.Float64()-1)
	return cost / float64(e.Layers)
}

func (s *System) entryMs(w *worker, d Demand) float64 {
	if d.Domain != "" && w.endpoint.Domain != d.Domain {
		return awayMs
	}
	return 0
}

// waitMs is what the prompts that a worker has yet to read cost a request, per token that it writes.
func (s *System) waitMs(now time.Time, w *worker, d Demand) float64 {
	return waitWeight * w.waiting(now) * float64(s.peers+1) / float64(max(d.Answer, 1))
}

// links holds the cost of each change of the domain.
type links map[pair]float64

func (s *System) links(now time.Time, workers []*worker, d Demand) links {
	out := links{}
	for _, a := range workers {
		for _, b := range workers {
			key := pairOf(a.endpoint.Domain, b.endpoint.Domain)
			if _, ok := out[key]; !ok {
				out[key] = s.crossMs(now, key.a, key.b, d)
			}
		}
	}
	return out
}

func (l links) changeMs(a, b *worker) float64 {
	switch {
	case a == b:
		return 0
	case a.endpoint.Domain != b.endpoint.Domain:
		return l[pairOf(a.endpoint.Domain, b.endpoint.Domain)]
	default:
		return hopMs
	}
}
