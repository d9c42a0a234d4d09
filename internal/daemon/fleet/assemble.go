package fleet

import (
	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
)

// assemble forms pipelines of engines by the layers that they hold.
func assemble(model document.Model, engines []placement.EndpointHolding) []routing.PipelineConfig {
	var out []routing.PipelineConfig
	for _, route := range placement.FormRoutes(int(model.Layers), engines) {
		out = append(out, pipelineFromRoute(route))
	}
	return out
}

// pipelineFromRoute returns the pipeline over the engines. Its slots are those of the stage with the fewest.
func pipelineFromRoute(route []placement.EndpointHolding) routing.PipelineConfig {
	var stages []table.Stage
	slots := 0
	for _, e := range route {
		stages = append(stages, table.NewStage(table.StageConfig{Endpoint: e.Endpoint, Address: e.Address, Layers: e.Layers}))
		if slots == 0 || e.Slots < slots {
			slots = e.Slots
		}
	}
	return routing.PipelineConfig{Pipeline: table.NewPipeline(stages), Slots: slots}
}
