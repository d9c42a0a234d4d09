package path

import (
	"math"
	"slices"
	"time"

	"waxwingplank/internal/core/deployment"
)

const (
	// hopMs is the time that a token takes from one worker to the next within a failure domain.
	hopMs = 0.3
	// crossDomainEntryMs is the cost per token if the first worker is in another domain than the host. It keeps streams on
	// the workers of the host's domain until these are clearly more loaded than others: their reported load is the most
	// recent, and only the hosts of the domain choose among them at the same time.
	crossDomainEntryMs = 4.0
	// maxMemoryShare is the share of a worker's memory up to which new requests are placed. The rest is a reserve,
	// since estimates of response lengths are inexact.
	maxMemoryShare = 0.95
	// memoryUseWeight weighs the memory in use on a worker against its step time.
	memoryUseWeight = 6.0
	// failureWeight makes a worker that fails every request cost five times as much.
	failureWeight = 4.0
	// waitWeight makes time before the first event cost more than the same time spread over all events.
	waitWeight = 4.0
	// costJitter is the largest relative change of a worker's cost at random. Without it, hosts with the same
	// outdated figures would all pick the same worker.
	costJitter = 0.15
	// maxParts is the largest number of parts that workers accept in a path.
	maxParts = 32
)

// Choose returns the path with the lowest cost for a demand, or the reason why there is none.
func (s *System) Choose(now time.Time, d Demand) (Path, Refusal) {
	if s.engine == nil {
		return nil, Uncovered
	}
	span := deployment.Range{From: 0, To: s.engine.Layers}
	p, refusal := s.lowestCostPath(now, d, span)
	if refusal == Uncovered {
		// A suspicion may be wrong, so suspected workers are used if no other worker holds the layers.
		d.allowSuspected = true
		p, refusal = s.lowestCostPath(now, d, span)
	}
	if refusal == Uncovered && s.mayTryEnded(now) {
		// The evidence of an end may be wrong, too.
		d.allowEnded = true
		p, refusal = s.lowestCostPath(now, d, span)
	}
	if refusal == Uncovered && !s.PauseEnd(now).IsZero() {
		d.allowPaused = true
		if _, without := s.lowestCostPath(now, d, span); without != Uncovered {
			return nil, Paused
		}
	}
	return p, refusal
}

// RecordPause excludes a worker from new paths for some time because it wants no requests. The worker is named by its address.
func (s *System) RecordPause(now time.Time, address string, pause time.Duration) {
	for _, w := range s.workers {
		if w.endpoint.Address == address {
			w.pausedUntil = now.Add(pause)
		}
	}
}

// LimitEnd returns when the first of the workers that may begin a path takes the next request of this host, or the zero time if no
// limit is in the way.
func (s *System) LimitEnd(now time.Time) time.Time {
	var end time.Time
	for id, w := range s.workers {
		if !w.usable(now) || w.end.Excluded(now) || w.holds.From != 0 || s.limits.Allows(now, id) {
			continue
		}
		if next := s.limits.Next(now, id); end.IsZero() || next.Before(end) {
			end = next
		}
	}
	return end
}

// PauseEnd returns when the first of the workers that are paused takes requests again, or the zero time if none is paused.
func (s *System) PauseEnd(now time.Time) time.Time {
	var end time.Time
	for _, w := range s.workers {
		if w.serving() && w.paused(now) && (end.IsZero() || w.pausedUntil.Before(end)) {
			end = w.pausedUntil
		}
	}
	return end
}

// candidate is a worker that may be on a path, with its costs for the request.
type candidate struct {
	worker *worker
	// layerMs is the cost of each of its layers, and waitMs that of its backlog, both per token.
	layerMs float64
	waitMs  float64
}

// holder is a worker that can run a segment, with the lowest cost of a path that ends with it.
type holder struct {
	worker *worker
	cost   float64
	from   int
}

// lowestCostPath returns the path with the lowest cost over a range of layers.
func (s *System) lowestCostPath(now time.Time, d Demand, span deployment.Range) (Path, Refusal) {
	candidates, full := s.candidates(now, d)
	cuts := cutsOf(candidates, span)
	l := s.links(now, candidates, d)
	steps := make([][]holder, 0, len(cuts))
	for i := 0; i+1 < len(cuts); i++ {
		segment := deployment.Range{From: cuts[i], To: cuts[i+1]}
		var before []holder
		if i > 0 {
			before = steps[i-1]
		}
		step, held, limited := s.segmentHolders(now, candidates, before, segment, l, d)
		if len(step) == 0 {
			switch {
			case limited:
				return nil, Limited
			case held:
				return nil, Congested
			case full:
				return nil, Full
			default:
				return nil, Uncovered
			}
		}
		steps = append(steps, step)
	}
	p := backtrack(steps, cuts)
	if len(p) > maxParts || len(p) == 0 {
		return nil, Uncovered
	}
	return p, Accepted
}

// segmentHolders returns the holders of a segment, each with its lowest-cost predecessor. It also reports whether
// any worker holds the segment at all, and whether one was left out because this host's share of its limit is used up. Limits
// apply to the first worker of a path, which receives the request.
func (s *System) segmentHolders(now time.Time, candidates []candidate, before []holder, segment deployment.Range, l links, d Demand) (out []holder, held, limited bool) {
	for _, c := range candidates {
		if c.worker.holds.From > segment.From || c.worker.holds.To < segment.To {
			continue
		}
		held = true
		if segment.From == 0 && !s.limits.Allows(now, c.worker.endpoint.ID) {
			limited = true
			continue
		}
		h := holder{worker: c.worker, cost: math.Inf(1), from: -1}
		if len(before) == 0 {
			h.cost = s.entryMs(c.worker, d) + c.waitMs
		}
		for k, p := range before {
			cost := p.cost
			if p.worker != c.worker {
				cost += l.transitionMs(p.worker, c.worker) + c.waitMs
			}
			if cost < h.cost {
				h.cost, h.from = cost, k
			}
		}
		if math.IsInf(h.cost, 1) {
			continue
		}
		h.cost += c.layerMs * float64(segment.Len())
		out = append(out, h)
	}
	return out, held, limited
}

// candidates returns the workers that may be on the path, and whether any was skipped because it has too little
// free memory.
func (s *System) candidates(now time.Time, d Demand) (out []candidate, full bool) {
	reserved := s.reserve(now, d)
	for _, id := range s.order {
		w := s.workers[id]
		if d.Avoid[id] || !w.serving() || !w.admitsAfterEnd(now, d) || (!d.allowPaused && w.paused(now)) || (!d.allowSuspected && !w.usable(now)) {
			continue
		}
		if w.exceedsMemory(d, s.peers, reserved) {
			full = true
			continue
		}
		out = append(out, candidate{worker: w, layerMs: s.layerMs(w, d), waitMs: s.waitMs(now, w, d)})
	}
	return out, full
}

// cutsOf returns the layers at which the path may change to another worker, in ascending order.
func cutsOf(candidates []candidate, span deployment.Range) []int {
	at := make([]bool, span.To+1)
	at[span.From], at[span.To] = true, true
	for _, c := range candidates {
		for _, l := range [2]int{c.worker.holds.From, c.worker.holds.To} {
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

// backtrack turns the lowest-cost chain of holders into the parts of a path. A worker that appears twice also runs
// the layers in between, since it holds one range without gaps.
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

// layerMs returns the cost of one layer for a request, per generated token, with the prompt included.
func (s *System) layerMs(w *worker, d Demand) float64 {
	e := s.engine
	used, running := w.load(s.peers)
	context := float64(d.PromptTokens) / 1000
	step := e.StepMs + (e.StepMsPerSequence+e.StepMsPerKContext*context)*running
	cost := w.factors.StepFactor * step
	if e.ReadTokensPerMs > 0 {
		cost += float64(d.PromptTokens) / float64(max(d.AnswerTokens, 1)) * w.factors.ReadFactor / e.ReadTokensPerMs
	}
	used /= math.Max(w.capacity, 1)
	cost *= 1 + memoryUseWeight*used*used
	cost *= 1 + failureWeight*w.failures
	cost *= w.slowdown()
	cost *= 1 + costJitter*(2*s.random.Float64()-1)
	return cost / float64(e.Layers)
}

func (s *System) entryMs(w *worker, d Demand) float64 {
	if d.Domain != "" && w.endpoint.Domain != d.Domain {
		return crossDomainEntryMs
	}
	return 0
}

// waitMs returns the cost of a worker's backlog of unread prompts for a request, per generated token.
func (s *System) waitMs(now time.Time, w *worker, d Demand) float64 {
	return waitWeight * s.queueMs(now, w) / float64(max(d.AnswerTokens, 1))
}

// links holds the cost of passing from one domain to another, for each pair of domains.
type links map[domainPair]float64

func (s *System) links(now time.Time, candidates []candidate, d Demand) links {
	out := links{}
	var domains []string
	for _, c := range candidates {
		domain := c.worker.endpoint.Domain
		if slices.Contains(domains, domain) {
			continue
		}
		for _, other := range domains {
			key := domainPairOf(domain, other)
			out[key] = s.crossDomainMs(now, key.a, key.b, d)
		}
		domains = append(domains, domain)
	}
	return out
}

func (l links) transitionMs(a, b *worker) float64 {
	switch {
	case a == b:
		return 0
	case a.endpoint.Domain != b.endpoint.Domain:
		return l[domainPairOf(a.endpoint.Domain, b.endpoint.Domain)]
	default:
		return hopMs
	}
}
