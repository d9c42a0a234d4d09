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

// The size expected in two years, from the design page: 1,100 workers in 366 pipelines of three stages, 4,900
// workspaces and 10 models.
const (
	decidePipelines  = 366
	decideWorkspaces = 4900
	decideModels     = 10
	decideSlots      = 32
	decideRounds     = 200_000
	measuredRounds   = 50_000
	// decideRunning leaves a tenth of the slots free so that each decision has candidates.
	decideRunning = decidePipelines * decideSlots * 9 / 10
)

// decider drives one routing system with requests that arrive and finish.
type decider struct {
	system       *routing.System
	rng          *rand.Rand
	services     []table.ServiceID
	workspaceIDs []table.WorkspaceID
	running      []table.RequestID
	next         int
	now          time.Time
	names        []table.RequestID
	events       [1]routing.Event
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
		d.workspaceIDs = append(d.workspaceIDs, table.WorkspaceID(fmt.Sprintf("workspace-%04d", i)))
	}
	// Request names are created in advance because creating them is not part of a decision.
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
		Workspace: d.workspaceIDs[d.rng.IntN(len(d.workspaceIDs))], Priority: d.rng.IntN(3), Weight: 1,
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

// finish ends a randomly chosen running request.
func (d *decider) finish() {
	i := d.rng.IntN(len(d.running))
	id := d.running[i]
	d.running[i] = d.running[len(d.running)-1]
	d.running = d.running[:len(d.running)-1]
	d.events[0] = routing.NewFinished(id, 150, 4*time.Second)
	d.system.Tick(d.now, d.events[:])
}

// cost is the mean time in microseconds and the mean number of allocations of one decision.
type cost struct{ micros, allocations float64 }

// measure returns the cost of f. It times only f, so the cost of prepare is excluded.
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

// saturate fills all slots and fills the queues of all models to their limits.
func (d *decider) saturate() {
	for range decideModels * 600 {
		d.arrive()
	}
}

// turnover frees one slot for a waiting request and returns the number of dispatched requests.
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

// Decide measures one routing decision at the size expected in two years. It reports round robin and least
// reported load over the same number of pipelines for comparison.
func Decide(cfg Config) error {
	d := newDecider(cfg.Seed)
	notDispatched := 0
	withSlots := measure(d.finish, func() {
		if !d.arrive() {
			notDispatched++
		}
	})
	d.saturate()
	dispatched := 0
	full := measure(func() { d.arrive() }, func() { dispatched += d.turnover() })
	loads := make([]float64, decidePipelines/decideModels)
	turn, sink := 0, 0
	roundRobinCost := measure(func() {}, func() {
		turn = (turn + 1) % len(loads)
		sink += turn
	})
	leastCost := measure(func() { loads[d.rng.IntN(len(loads))] = d.rng.Float64() }, func() {
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
		"least_reported  %.3f us  %.1f allocations\n", decidePipelines, decideWorkspaces, decideModels, notDispatched, measuredRounds, sink,
		withSlots.micros, withSlots.allocations, full.micros, full.allocations, dispatched, roundRobinCost.micros, roundRobinCost.allocations, leastCost.micros, leastCost.allocations)
	return printDecide(cfg.Lines, withSlots, full, leastCost)
}

func printDecide(out io.Writer, got, full, base cost) error {
	microsBound, allocationsBound := 20.0, 10.0
	timePass, allocationsPass := got.micros <= microsBound, got.allocations <= allocationsBound
	fullTimePass, fullAllocationsPass := full.micros <= microsBound, full.allocations <= allocationsBound
	encoder := json.NewEncoder(out)
	for _, f := range []figure{
		{"decision_time", got.micros, "us", &microsBound, &base.micros, &timePass},
		{"decision_allocations", got.allocations, "allocations", &allocationsBound, &base.allocations, &allocationsPass},
		{"decision_time_queues_full", full.micros, "us", &microsBound, &base.micros, &fullTimePass},
		{"decision_allocations_queues_full", full.allocations, "allocations", &allocationsBound, &base.allocations, &fullAllocationsPass},
	} {
		if err := encoder.Encode(f); err != nil {
			return fmt.Errorf("encode figure %s: %w", f.Name, err)
		}
	}
	return nil
}
