package fleet

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
)

// engineState is what is known of one engine's part in a model.
type engineState struct {
	id      table.EndpointID
	address string
	domain  string
	slots   int
	layers  table.Layers
}

// assemble joins engines to pipelines: the engines of each layer range are ordered by failure domain and
// name, and the n-th engines of all ranges form a pipeline, so that stages share a domain where they can.
func assemble(model document.Model, engines []engineState) []routing.PipelineConfig {
	byRange := map[table.Layers][]engineState{}
	for _, e := range engines {
		byRange[e.layers] = append(byRange[e.layers], e)
	}
	ranges := chain(byRange, int(model.Layers))
	if len(ranges) == 0 {
		return nil
	}
	count := len(engines)
	for _, l := range ranges {
		list := byRange[l]
		slices.SortFunc(list, func(a, b engineState) int {
			return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.id, b.id))
		})
		count = min(count, len(list))
	}
	var out []routing.PipelineConfig
	for i := range count {
		var route []engineState
		for _, l := range ranges {
			route = append(route, byRange[l][i])
		}
		out = append(out, joined(route))
	}
	return out
}

// joined returns the pipeline over the engines; the slowest stage bounds the slots.
func joined(route []engineState) routing.PipelineConfig {
	var stages []table.Stage
	slots := 0
	for _, e := range route {
		stages = append(stages, table.NewStage(table.StageConfig{Endpoint: e.id, Address: e.address, Layers: e.layers}))
		if slots == 0 || e.slots < slots {
			slots = e.slots
		}
	}
	return routing.PipelineConfig{Pipeline: table.NewPipeline(stages), Slots: slots}
}

// chain returns layer ranges that cover layers 0 to n exactly once, preferring ranges with more engines.
func chain(byRange map[table.Layers][]engineState, n int) []table.Layers {
	var out []table.Layers
	for at := 0; at < n; {
		best := table.Layers{}
		for l, list := range byRange {
			if l.From != at || l.To > n {
				continue
			}
			if best == (table.Layers{}) || len(list) > len(byRange[best]) ||
				(len(list) == len(byRange[best]) && l.To > best.To) {
				best = l
			}
		}
		if best.To <= at {
			return nil
		}
		out = append(out, best)
		at = best.To
	}
	return out
}
