package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingplank/internal/core/table"
)

// PlacedPipeline is one pipeline of a plan.
type PlacedPipeline struct {
	pipeline table.Pipeline
	slots    int
	// bottleneck is the time of the slowest stage for one token. The pipeline's rate is its inverse.
	bottleneck time.Duration
	interval   time.Duration
}

// Pipeline returns the pipeline's stages.
func (p PlacedPipeline) Pipeline() table.Pipeline { return p.pipeline }

// Slots returns the number of streams that the pipeline can run concurrently.
func (p PlacedPipeline) Slots() int { return p.slots }

// Interval returns the expected time between two tokens of one stream.
func (p PlacedPipeline) Interval() time.Duration { return p.interval }

// Bottleneck returns the time of the slowest stage for one token.
func (p PlacedPipeline) Bottleneck() time.Duration { return p.bottleneck }

func (p PlacedPipeline) rate() float64 {
	if p.bottleneck <= 0 {
		return 0
	}
	return 1 / p.bottleneck.Seconds()
}

// key identifies the pipeline by its endpoints and their layers.
func (p PlacedPipeline) key() string {
	var b strings.Builder
	for _, s := range p.pipeline.Stages() {
		b.WriteString(string(s.Endpoint()) + "[" + strconv.Itoa(s.Layers().From) + "," + strconv.Itoa(s.Layers().To) + ")")
	}
	return b.String()
}

// PlanConfig describes a Plan.
type PlanConfig struct {
	Service    table.ServiceID
	Generation uint64
	Model      string
	Version    string
	Pipelines  []PlacedPipeline
	// NextVersion is the version that endpoints load beside the serving one; empty if there is none.
	NextVersion string
}

// Plan assigns the layers of a service's model to endpoints.
type Plan struct{ cfg PlanConfig }

// NewPlan returns a plan.
func NewPlan(cfg PlanConfig) Plan { return Plan{cfg: cfg} }

// NewPlacedPipeline returns a pipeline of a stored plan.
func NewPlacedPipeline(pipeline table.Pipeline, slots int, bottleneck, interval time.Duration) PlacedPipeline {
	return PlacedPipeline{pipeline: pipeline, slots: slots, bottleneck: bottleneck, interval: interval}
}

// Service returns the service.
func (p Plan) Service() table.ServiceID { return p.cfg.Service }

// Generation returns the generation number of the plan; 0 means that there is no plan.
func (p Plan) Generation() uint64 { return p.cfg.Generation }

// Model returns the name of the model.
func (p Plan) Model() string { return p.cfg.Model }

// Version returns the serving version.
func (p Plan) Version() string { return p.cfg.Version }

// NextVersion returns the version that endpoints load beside the serving one; empty if there is none.
func (p Plan) NextVersion() string { return p.cfg.NextVersion }

// Pipelines returns the pipelines; callers must not change the slice.
func (p Plan) Pipelines() []PlacedPipeline { return p.cfg.Pipelines }

// Rate returns the total rate of all pipelines in tokens per second. It is comparable only between plans of
// the same model.
func (p Plan) Rate() float64 { return totalRate(p.cfg.Pipelines) }

func totalRate(list []PlacedPipeline) float64 {
	sum := 0.0
	for _, p := range list {
		sum += p.rate()
	}
	return sum
}

func (p Plan) key() string {
	keys := []string{p.cfg.Model, p.cfg.Version, p.cfg.NextVersion}
	for _, x := range p.cfg.Pipelines {
		keys = append(keys, x.key())
	}
	return strings.Join(keys, " ")
}

// layersOf returns the layers that the plan assigns to an endpoint.
func (p Plan) layersOf(id table.EndpointID) (table.Layers, bool) {
	for _, x := range p.cfg.Pipelines {
		for _, s := range x.pipeline.Stages() {
			if s.Endpoint() == id {
				return s.Layers(), true
			}
		}
	}
	return table.Layers{}, false
}

func (p Plan) withPipelines(list []PlacedPipeline) Plan {
	p.cfg.Pipelines = slices.Clone(list)
	return p
}
