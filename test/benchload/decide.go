package benchload

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
)

// The size in two years, as on the design page: 1,100 workers in 366 pipelines of three stages, 4,900
// workspaces and 10 models.
const (
	decidePipelines  = 366
	decideWorkspaces = 4900
	decideModels     = 10
	decideSlots      = 32
	decideRounds     = 200_000
	measuredRounds   = 50_000
	// decideRunning leaves a tenth of the slots free, so that the choice has candidates.
	decideRunning = decidePipelines * decideSlots * 9 / 10
)

type decider struct {
	system   *routing.System
	rng      *rand.Rand
	services []table.ServiceID
	spaces   []table.WorkspaceID
	running  []table.RequestID
	next     int
	now      time.Time
	names    []table.RequestID
	events   [1]routing.Event
}

func newDecider(seed uint64) *decider {
	d := &decider{
		system: routing.New(routing.Config{Seed: seed}), rng: rand.New(rand.NewPCG(seed, 5)), now: epoch,
	}
	lists := make([][]routing.PipelineConfig, decideModels)
	for i := range decidePipelines {
		var stages []table.Stage
		for j := range 3 {
			stages = append(stages, table.NewStage(table.StageConfig{
				Endpoint: table.EndpointID(fmt.Sprintf("worker-%04d", i*3+j)),
				Layers:   table.Layers{From: 8 * j, To: 8*j + 8},
			}))
		}
		m := i % decideModels
		lists[m] = append(lists[m], routing.PipelineConfig{Pipeline: table.NewPipeline(stages), Slots: decideSlots})
	}
	for m, list := range lists {
		id := table.ServiceID(fmt.Sprintf("model-%d", m))
		d.services = append(d.services, id)
		d.system.Tick(d.now, []routing.Event{routing.NewPipelines(id, list)})
	}
	for i := range decideWorkspaces {
		d.spaces = append(d.spaces, table.WorkspaceID(fmt.Sprintf("workspace-%04d", i)))
	}
	// Names are made beforehand, since making them is not part of a decision.
	for i := range decideRounds + decideRunning {
		d.names = append(d.names, table.RequestID(fmt.Sprintf("request-%07d", i)))
	}
	for range decideRunning {
		d.arrive()
	}
	return d
}

// arrive routes one request and reports whether it was dispatched.
func (d *decider) arrive() bool {
	id := d.names[d.next]
	d.next++
	d.now = d.now.Add(100 * time.Microsecond)
	d.events[0] = routing.NewArrived(routing.ArrivedConfig{
		Request: id, Service: d.services[d.rng.IntN(len(d.services))],
		Workspace: d.spaces[d.rng.IntN(len(d.spaces))], Priority: d.rng.IntN(3), Weight: 1,
		Deadline: d.now.Add(time.Minute), Preamble: uint64(1 + d.rng.IntN(2000)), MaxTokens: 256,
		FirstSend: true, Repeatable: true,
	})
	for _, dec := range d.system.Tick(d.now, d.events[:]) {
		if _, ok := dec.(*routing.Dispatch); ok {
			d.running = append(d.running, id)
			return true
		}
	}
	return false
}

func (d *decider) finish() {
	i := d.rng.IntN(len(d.running))
	id := d.running[i]
	d.running[i] = d.running[len(d.running)-1]
	d.running = d.running[:len(d.running)-1]
	d.events[0] = routing.NewFinished(id, 150, 4*time.Second)
	d.system.Tick(d.now, d.events[:])
}

// cost is what one decision takes on average.
type cost struct{ micros, allocations float64 }

// measure runs f and takes off what the preparation between the runs costs, by timing f alone.
func measure(prepare, f func()) cost {
	var total time.Duration
	var before, after runtime.MemStats
	allocations := uint64(0)
	const batch = 64
	runtime.GC()
	for done := 0; done < measuredRounds; done += batch {
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
		allocations += after.Mallocs - before.Mallocs
	}
	n := float64((measuredRounds + batch - 1) / batch * batch)
	return cost{float64(total.Microseconds()) / n, float64(allocations) / n}
}

// saturate fills every slot and lets the queues of all models fill to their bounds.
func (d *decider) saturate() {
	for range decideModels * 600 {
		d.arrive()
	}
}

// turnover frees one slot, which goes to a waiting request, and reports the requests dispatched.
func (d *decider) turnover() int {
	i := d.rng.IntN(len(d.running))
	d.events[0] = routing.NewFinished(d.running[i], 150, 4*time.Second)
	d.running[i] = d.running[len(d.running)-1]
	d.running = d.running[:len(d.running)-1]
	n := 0
	for _, dec := range d.system.Tick(d.now, d.events[:]) {
		if dec, ok := dec.(*routing.Dispatch); ok {
			d.running = append(d.running, dec.Request())
			n++
		}
	}
	return n
}

// Decide measures one routing decision at the size in two years, with round robin and least reported load
// over the same number of pipelines beside it.
func Decide(cfg Config) error {
	d := newDecider(cfg.Seed)
	missed := 0
	real := measure(d.finish, func() {
		if !d.arrive() {
			missed++
		}
	})
	d.saturate()
	dispatched := 0
	full := measure(func() { d.arrive() }, func() { dispatched += d.turnover() })
	loads := make([]float64, decidePipelines/decideModels)
	turn, sink := 0, 0
	robin := measure(func() {}, func() {
		turn = (turn + 1) % len(loads)
		sink += turn
	})
	least := measure(func() { loads[d.rng.IntN(len(loads))] = d.rng.Float64() }, func() {
		best := 0
		for i, l := range loads {
			if l < loads[best] {
				best = i
			}
		}
		sink += best
	})
	_, _ = fmt.Fprintf(cfg.Table, "\ndecision at %d pipelines, %d workspaces, %d models (%d of %d not dispatched, sum %d)\n"+
		"policy          %.2f us  %.1f allocations\nqueues full     %.2f us  %.1f allocations (%d dispatched)\nround_robin     %.3f us  %.1f allocations\n"+
		"least_reported  %.3f us  %.1f allocations\n", decidePipelines, decideWorkspaces, decideModels, missed, measuredRounds, sink,
		real.micros, real.allocations, full.micros, full.allocations, dispatched, robin.micros, robin.allocations, least.micros, least.allocations)
	return printDecide(cfg.Lines, real, full, least)
}

func printDecide(out io.Writer, got, full, base cost) error {
	// The bounds are 20 microseconds and 10 allocations.
	microsBound, allocationsBound := 20.0, 10.0
	fast, lean := got.micros <= microsBound, got.allocations <= allocationsBound
	fullFast, fullLean := full.micros <= microsBound, full.allocations <= allocationsBound
	encoder := json.NewEncoder(out)
	for _, f := range []figure{
		{"decision_time", got.micros, "us", &microsBound, &base.micros, &fast},
		{"decision_allocations", got.allocations, "allocations", &allocationsBound, &base.allocations, &lean},
		{"decision_time_queues_full", full.micros, "us", &microsBound, &base.micros, &fullFast},
		{"decision_allocations_queues_full", full.allocations, "allocations", &allocationsBound, &base.allocations, &fullLean},
	} {
		if err := encoder.Encode(f); err != nil {
			return fmt.Errorf("encode figure %s: %w", f.Name, err)
		}
	}
	return nil
}
