package table

import "strings"

// Layers is the half-open range [From, To) of model layers.
type Layers struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// StageConfig describes a Stage.
type StageConfig struct {
	Endpoint EndpointID
	Address  string
	Layers   Layers
}

// Stage is one endpoint of a pipeline with the layers that it runs.
type Stage struct {
	endpoint EndpointID
	address  string
	layers   Layers
}

// NewStage returns a stage.
func NewStage(cfg StageConfig) Stage {
	return Stage{endpoint: cfg.Endpoint, address: cfg.Address, layers: cfg.Layers}
}

// Endpoint returns the endpoint that runs the stage.
func (s Stage) Endpoint() EndpointID { return s.endpoint }

// Address returns the address of the endpoint.
func (s Stage) Address() string { return s.address }

// Layers returns the layers that the stage runs.
func (s Stage) Layers() Layers { return s.layers }

// Pipeline is an ordered list of stages that together run every layer of a model.
type Pipeline struct {
	id     string
	stages []Stage
}

// NewPipeline returns a pipeline over the stages, which must be in layer order.
func NewPipeline(stages []Stage) Pipeline {
	names := make([]string, len(stages))
	for i, s := range stages {
		names[i] = string(s.endpoint)
	}
	return Pipeline{id: strings.Join(names, "+"), stages: stages}
}

// ID returns the name of the pipeline: the names of its endpoints, joined by "+".
func (p Pipeline) ID() string { return p.id }

// Stages returns the stages in layer order. Callers must not modify the slice.
func (p Pipeline) Stages() []Stage { return p.stages }

// Uses reports whether a stage of the pipeline runs on the endpoint.
func (p Pipeline) Uses(id EndpointID) bool {
	for _, s := range p.stages {
		if s.endpoint == id {
			return true
		}
	}
	return false
}

// Covers reports whether the stages run the layers from 0 up to, but not including, n exactly once
// and in order.
func (p Pipeline) Covers(n int) bool {
	next := 0
	for _, s := range p.stages {
		if s.layers.From != next || s.layers.To <= s.layers.From {
			return false
		}
		next = s.layers.To
	}
	return next == n
}
