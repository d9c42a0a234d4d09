package orders

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/table"
)

type wirePlan struct {
	Service    string         `json:"service"`
	Generation uint64         `json:"generation"`
	Model      string         `json:"model"`
	Version    string         `json:"version"`
	Next       string         `json:"next,omitempty"`
	Pipelines  []wirePipeline `json:"pipelines"`
}

type wirePipeline struct {
	Stages       []wireStage `json:"stages"`
	Slots        int         `json:"slots"`
	BottleneckUs int64       `json:"bottleneck_us"`
	IntervalUs   int64       `json:"interval_us"`
}

type wireStage struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	Layers   [2]int `json:"layers"`
}

func encode(p placement.Plan) ([]byte, error) {
	w := wirePlan{
		Service: string(p.Service()), Generation: p.Generation(), Model: p.Model(), Version: p.Version(), Next: p.NextVersion(),
		Pipelines: []wirePipeline{},
	}
	for _, x := range p.Pipelines() {
		out := wirePipeline{
			Slots: x.Slots(), BottleneckUs: x.Bottleneck().Microseconds(), IntervalUs: x.Interval().Microseconds(),
		}
		for _, s := range x.Pipeline().Stages() {
			out.Stages = append(out.Stages, wireStage{
				Endpoint: string(s.Endpoint()), Address: s.Address(), Layers: [2]int{s.Layers().From, s.Layers().To},
			})
		}
		w.Pipelines = append(w.Pipelines, out)
	}
	value, err := json.Marshal(w)
	return value, eris.Wrap(err, "orders.encode")
}

func decode(value []byte) (placement.Plan, error) {
	var w wirePlan
	if err := json.Unmarshal(value, &w); err != nil {
		return placement.Plan{}, eris.Wrap(err, "orders.decode")
	}
	cfg := placement.PlanConfig{
		Service: table.ServiceID(w.Service), Generation: w.Generation, Model: w.Model, Version: w.Version, NextVersion: w.Next,
	}
	for _, x := range w.Pipelines {
		var stages []table.Stage
		for _, s := range x.Stages {
			stages = append(stages, table.NewStage(table.StageConfig{
				Endpoint: table.EndpointID(s.Endpoint), Address: s.Address, Layers: table.Layers{From: s.Layers[0], To: s.Layers[1]},
			}))
		}
		cfg.Pipelines = append(cfg.Pipelines, placement.NewPlacedPipeline(
			table.NewPipeline(stages), x.Slots, time.Duration(x.BottleneckUs)*time.Microsecond, time.Duration(x.IntervalUs)*time.Microsecond,
		))
	}
	return placement.NewPlan(cfg), nil
}
