package placement

import (
	"cmp"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// splitLayers distributes n layers over the endpoints, in the order given, so that the slowest stage is as fast
// as memory allows. Every endpoint gets at least one layer. It returns nil if there is not enough memory.
//
// Each layer is assigned to the endpoint whose stage takes the least time with it. The time of a stage only
// grows with its layers, so no other division has a faster slowest stage.
func splitLayers(n int, list []*endpoint, capacity func(*endpoint) int) []int {
	counts := make([]int, len(list))
	caps := make([]int, len(list))
	left := n
	for i, e := range list {
		caps[i] = capacity(e)
		if caps[i] < 1 {
			return nil
		}
		counts[i] = 1
		left--
	}
	if left < 0 {
		return nil
	}
	for ; left > 0; left-- {
		best, shortest := -1, 0.0
		for i, e := range list {
			if counts[i] == caps[i] {
				continue
			}
			if t := float64(counts[i]+1) / e.speed; best < 0 || t < shortest {
				best, shortest = i, t
			}
		}
		if best < 0 {
			return nil
		}
		counts[best]++
	}
	return counts
}

// buildPipeline builds a pipeline from the endpoints, with the layers split between them by speed. It returns
// false if their memory does not hold the model.
func (s *System) buildPipeline(list []*endpoint) (PlacedPipeline, bool) {
	ordered := slices.Clone(list)
	slices.SortFunc(ordered, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.cfg.FailureDomain, b.cfg.FailureDomain), cmp.Compare(a.cfg.Endpoint, b.cfg.Endpoint))
	})
	counts := splitLayers(s.model.Layers, ordered, s.capacity)
	if counts == nil {
		return PlacedPipeline{}, false
	}
	stages := make([]table.Stage, len(ordered))
	at := 0
	for i, e := range ordered {
		stages[i] = table.NewStage(table.StageConfig{
			Endpoint: e.cfg.Endpoint, Address: e.cfg.Address, Layers: table.Layers{From: at, To: at + counts[i]},
		})
		at += counts[i]
	}
	return s.withRates(table.NewPipeline(stages))
}

// withRates returns the pipeline with its slots and with its stage times by the current speeds and link costs.
// It returns false if an endpoint of the pipeline has not been described.
func (s *System) withRates(p table.Pipeline) (PlacedPipeline, bool) {
	out := PlacedPipeline{pipeline: p}
	stages := p.Stages()
	for i, st := range stages {
		e := s.byID[st.Endpoint()]
		if e == nil {
			return out, false
		}
		t := time.Duration(float64(st.Layers().To-st.Layers().From) / e.speed * float64(time.Second))
		if i+1 < len(stages) {
			next := s.byID[stages[i+1].Endpoint()]
			if next == nil {
				return out, false
			}
			t += s.linkCost(e.cfg.FailureDomain, next.cfg.FailureDomain)
		}
		out.interval += t
		out.bottleneck = max(out.bottleneck, t)
		if out.slots == 0 || e.cfg.Slots < out.slots {
			out.slots = e.cfg.Slots
		}
	}
	return out, true
}

// capacity returns the number of layers that fit into the endpoint's memory beside the KV cache.
func (s *System) capacity(e *endpoint) int {
	if s.model.LayerBytes <= 0 {
		return s.model.Layers
	}
	return int(min(e.cfg.MemoryBytes*weightPercent/100/s.model.LayerBytes, int64(s.model.Layers)))
}

// linkCost returns the time that a token takes between two failure domains.
func (s *System) linkCost(a, b string) time.Duration {
	if a == b {
		return 0
	}
	if cost, ok := s.links[linkKey(a, b)]; ok {
		return cost
	}
	return defaultLinkCost
}

func linkKey(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}
