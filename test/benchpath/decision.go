package benchpath

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
)

const (
	// Upper bounds of one decision, as stated in the design.
	decisionBoundUs          = 20
	decisionBoundAllocations = 10
	decisionModels           = 10
	decisionStages           = 3
	decisionSlots            = 32
	decisionRounds           = 50_000
)

// decisionSizes lists the measured sizes. Only one number grows at a time, up to the sizes expected in two years.
var decisionSizes = []struct{ workers, workspaces int }{
	{50, 10}, {200, 10}, {550, 10}, {1100, 10}, {1100, 500}, {1100, 2000}, {1100, 4900},
}

// Decision measures the time and allocations of one routing decision. It reports round roundRobin and least reported
// load for comparison.
func Decision(ctx context.Context, cfg Config) error {
	for _, size := range decisionSizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		d := newDecisions(cfg.Seed, size.workers/decisionStages, size.workspaces)
		took, allocations := d.measure(d.finish, d.arrive)
		roundRobin, least := d.baselines()
		name := func(what string) string {
			return fmt.Sprintf("decision_%s_%d_workers_%d_workspaces", what, size.workers, size.workspaces)
		}
		err := cfg.write(
			figure{Name: name("time"), Value: took, Unit: "us"}.atMost(decisionBoundUs).withBaseline(least),
			figure{Name: name("allocations"), Value: allocations, Unit: "allocations"}.atMost(decisionBoundAllocations),
			figure{Name: name("round_robin_time"), Value: roundRobin, Unit: "us"},
			figure{Name: name("least_reported_time"), Value: least, Unit: "us"},
			figure{Name: name("not_dispatched"), Value: float64(d.notDispatched) / decisionRounds, Unit: "part of the requests"},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// decisions drives one routing system in which a tenth of the slots are free.
type decisions struct {
	system        *routing.System
	rng           *rand.Rand
	pipelines     int
	services      []table.ServiceID
	workspaceIDs  []table.WorkspaceID
	names         []table.RequestID
	running       []table.RequestID
	notDispatched int
	now           time.Time
	events        [1]routing.Event
}

func newDecisions(seed uint64, pipelines, workspaces int) *decisions {
	d := &decisions{
		system: routing.New(routing.Config{Seed: seed}), rng: rand.New(rand.NewPCG(seed, 7)),
		pipelines: pipelines, now: time.Unix(1_800_000_000, 0),
	}
	lists := make([][]routing.PipelineConfig, decisionModels)
	for i := range pipelines {
		lists[i%decisionModels] = append(lists[i%decisionModels], routing.PipelineConfig{Pipeline: pipelineOf(i), Slots: decisionSlots})
	}
	for m, list := range lists {
		id := table.ServiceID(fmt.Sprint("model-", m))
		d.services = append(d.services, id)
		d.system.Tick(d.now, []routing.Event{routing.NewPipelines(id, list)})
	}
	for i := range workspaces {
		d.workspaceIDs = append(d.workspaceIDs, table.WorkspaceID(workspace(i)))
	}
	running := pipelines * decisionSlots * 9 / 10
	// Request names are created in advance because creating them is not part of a decision.
	for i := range running + 2*decisionRounds {
		d.names = append(d.names, table.RequestID(fmt.Sprintf("request-%07d", i)))
	}
	for range running {
		d.arrive()
	}
	d.notDispatched = 0
	return d
}

func pipelineOf(i int) table.Pipeline {
	var stages []table.Stage
	for j := range decisionStages {
		stages = append(stages, table.NewStage(table.StageConfig{
			Endpoint: table.EndpointID(fmt.Sprintf("worker-%04d", i*decisionStages+j)),
			Layers:   table.Layers{From: 8 * j, To: 8*j + 8},
		}))
	}
	return table.NewPipeline(stages)
}

// arrive routes one new request.
func (d *decisions) arrive() {
	id := d.names[0]
	d.names = d.names[1:]
	d.now = d.now.Add(100 * time.Microsecond)
	d.events[0] = routing.NewArrived(routing.ArrivedConfig{
		Request: id, Service: d.services[d.rng.IntN(len(d.services))], Workspace: d.workspaceIDs[d.rng.IntN(len(d.workspaceIDs))],
		Priority: d.rng.IntN(3), Weight: 1, Deadline: d.now.Add(time.Minute), Preamble: uint64(1 + d.rng.IntN(2000)),
		MaxTokens: 256, FirstSend: true, Repeatable: true,
	})
	for _, decision := range d.system.Tick(d.now, d.events[:]) {
		if _, ok := decision.(*routing.Dispatch); ok {
			d.running = append(d.running, id)
			return
		}
	}
	d.notDispatched++
}

// finish ends a randomly chosen running request, which frees its slot.
func (d *decisions) finish() {
	i := d.rng.IntN(len(d.running))
	d.events[0] = routing.NewFinished(d.running[i], 150, 4*time.Second)
	d.running[i] = d.running[len(d.running)-1]
	d.running = d.running[:len(d.running)-1]
	for _, decision := range d.system.Tick(d.now, d.events[:]) {
		if x, ok := decision.(*routing.Dispatch); ok {
			d.running = append(d.running, x.Request())
		}
	}
}

// measure returns the mean time in microseconds and the mean number of allocations of f. The time and
// allocations of prepare are not included.
func (d *decisions) measure(prepare, f func()) (micros, allocations float64) {
	const batch = 50
	var before, after runtime.MemStats
	total, mallocs := time.Duration(0), uint64(0)
	runtime.GC()
	for range decisionRounds / batch {
		for range batch {
			prepare()
		}
		runtime.ReadMemStats(&before)
		start := time.Now()
		for range batch {
			f()
		}
		total += time.Since(start)
		runtime.ReadMemStats(&after)
		mallocs += after.Mallocs - before.Mallocs
	}
	return float64(total.Nanoseconds()) / 1000 / decisionRounds, float64(mallocs) / decisionRounds
}

// baselines measures round roundRobin and least reported load over the pipelines of one model. Both only choose a
// pipeline: they have no queue, grants or bookkeeping.
func (d *decisions) baselines() (roundRobin, least float64) {
	loads := make([]float64, max(1, d.pipelines/decisionModels))
	turn := 0
	roundRobin, _ = d.measure(func() {}, func() { turn = (turn + 1) % len(loads) })
	least, _ = d.measure(func() { loads[d.rng.IntN(len(loads))] = d.rng.Float64() }, func() {
		best := 0
		for i, l := range loads {
			if l < loads[best] {
				best = i
			}
		}
		turn += best
	})
	return roundRobin, least
}
