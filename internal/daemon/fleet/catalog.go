package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/peer/hostpb"
)

// catalog lists the pipelines of a service as formed by its owner.
type catalog struct {
	generation uint64
	host       table.HostID
	plan       uint64
	version    string
	pipelines  []routing.PipelineConfig
}

// newer reports whether the catalog replaces the one with the given generation and writer. Two hosts that
// both consider themselves the owner may write the same generation. The writer's hash breaks the tie, so
// that every host prefers the same catalog.
func (c catalog) newer(generation uint64, writer uint32) bool {
	return c.generation > generation || (c.generation == generation && c.writer() > writer)
}

// writer returns the hash of the host that wrote the catalog.
func (c catalog) writer() uint32 {
	if c.host == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(string(c.host)))
}

// key returns a string that identifies the content of the catalog.
func (c catalog) key() string {
	var b strings.Builder
	b.WriteString(c.version + "@" + strconv.FormatUint(c.plan, 10) + " ")
	for _, p := range c.pipelines {
		b.WriteString(p.Pipeline.ID())
		for _, s := range p.Pipeline.Stages() {
			b.WriteString("," + s.Address() + "," + strconv.Itoa(s.Layers().From) + "-" + strconv.Itoa(s.Layers().To))
		}
		b.WriteString("/" + strconv.Itoa(p.Slots) + " ")
	}
	return b.String()
}

func (c catalog) toProto(service table.ServiceID) *hostpb.Catalog {
	out := &hostpb.Catalog{Service: string(service), Generation: c.generation, Host: string(c.host), Plan: c.plan, Version: c.version}
	for _, p := range c.pipelines {
		w := &hostpb.CatalogPipeline{Slots: uint32(p.Slots), IntervalUs: uint32(p.Interval.Microseconds())}
		for _, s := range p.Pipeline.Stages() {
			w.Stages = append(w.Stages, &hostpb.CatalogStage{
				Endpoint: string(s.Endpoint()), Address: s.Address(),
				From: uint32(s.Layers().From), To: uint32(s.Layers().To),
			})
		}
		out.Pipelines = append(out.Pipelines, w)
	}
	return out
}

func catalogFromProto(w *hostpb.Catalog) catalog {
	out := catalog{generation: w.GetGeneration(), host: table.HostID(w.GetHost()), plan: w.GetPlan(), version: w.GetVersion()}
	for _, p := range w.GetPipelines() {
		var stages []table.Stage
		for _, s := range p.GetStages() {
			stages = append(stages, table.NewStage(table.StageConfig{
				Endpoint: table.EndpointID(s.GetEndpoint()), Address: s.GetAddress(),
				Layers: table.Layers{From: int(s.GetFrom()), To: int(s.GetTo())},
			}))
		}
		if len(stages) == 0 {
			continue
		}
		out.pipelines = append(out.pipelines, routing.PipelineConfig{
			Pipeline: table.NewPipeline(stages), Slots: int(p.GetSlots()),
			Interval: time.Duration(p.GetIntervalUs()) * time.Microsecond,
		})
	}
	return out
}
