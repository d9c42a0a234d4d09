package fleet_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/test/benchfleet"
)

// TestMain fixes the seed of the property tests, so that a failure can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against slots that are granted twice, whichever hosts die, restart, pause or change their demand,
// while hosts that are not paused reach each other and agree on the live hosts.
func TestGrantsStayWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, err := benchfleet.NewNet(benchfleet.NetConfig{Hosts: rapid.IntRange(2, 7).Draw(t, "hosts"), Pipelines: 2})
		if err != nil {
			t.Fatal(err)
		}
		checkGranted := func() {
			if sum := n.Granted(pipeline); sum > benchfleet.Slots {
				t.Fatalf("hosts hold %d of %d slots", sum, benchfleet.Slots)
			}
		}
		n.Run(5*time.Second, checkGranted)
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			h := n.Nodes[rapid.SampledFrom(n.Order).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"die", "restart", "demand", "pause", "wake"}).Draw(t, "event") {
			case "die":
				h.Down = true
			case "restart":
				if err := n.Restart(h); err != nil {
					t.Fatal(err)
				}
				clear(h.Grants)
			case "demand":
				h.Fleet.SetDemand(benchfleet.Service(0), "a", rapid.IntRange(0, 2).Draw(t, "class"), rapid.IntRange(0, 30).Draw(t, "running"), 1)
			case "pause":
				h.Paused = true
			case "wake":
				h.Paused = false
			}
			n.Run(time.Duration(rapid.IntRange(1, 60).Draw(t, "steps"))*benchfleet.Step, checkGranted)
		}
		for _, h := range n.Nodes {
			h.Paused = false
		}
		n.Run(8*time.Second, checkGranted)
		up := slices.ContainsFunc(n.Order, func(id table.HostID) bool { return !n.Nodes[id].Down })
		if sum := n.Granted(pipeline); up && sum != benchfleet.Slots {
			t.Fatalf("%d of %d slots are granted in the end", sum, benchfleet.Slots)
		}
	})
}

// Guards against hosts that use no pipeline, hosts that use more than four in a large fleet, and pipelines
// without users.
func TestSubsets(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 120, Pipelines: 12})
	users := map[string]int{}
	for _, h := range n.Nodes {
		list := h.Pipelines[benchfleet.Service(0)]
		is.Equal(len(list), 4)
		for _, p := range list {
			users[p]++
		}
	}
	is.Equal(len(users), 12)
	// The owner of a lost pipeline reports the loss, and its users choose another one instead.
	n.Engine("e0-000-1").Down = true
	n.Run(4*time.Second, nil)
	for _, h := range n.Nodes {
		is.Equal(len(h.Pipelines[benchfleet.Service(0)]), 4)
		is.True(!slices.Contains(h.Pipelines[benchfleet.Service(0)], pipeline))
	}
}

// Guards against a plan that ends running streams. It applies to new streams only.
func TestPlanTakesNewStreamsOnly(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 3, Pipelines: 2})
	host := n.Nodes["host-000"]
	system := routing.New(routing.Config{Seed: 1, Hosts: 1})
	system.Tick(n.Now, []routing.Event{routing.NewPipelines(benchfleet.Service(0), []routing.PipelineConfig{
		{Pipeline: table.NewPipeline([]table.Stage{table.NewStage(table.StageConfig{Endpoint: "e0-000-0"})}), Slots: 4},
	})})
	host.OnPost = func(e routing.Event) {
		for _, d := range system.Tick(n.Now, []routing.Event{e}) {
			switch d.(type) {
			case routing.Preempt, routing.Refuse, routing.Drop:
				t.Errorf("the plan ended a stream: %T", d)
			}
		}
	}
	arrived := routing.NewArrived(routing.ArrivedConfig{Request: "r", Service: benchfleet.Service(0), Workspace: "a", Deadline: n.Now.Add(time.Minute)})
	is.True(len(system.Tick(n.Now, []routing.Event{arrived})) > 0)
	var stages []table.Stage
	for _, id := range []string{"e0-001-0", "e0-001-1", "e0-001-2"} {
		e := n.Engine(id)
		stages = append(stages, table.NewStage(table.StageConfig{Endpoint: e.ID, Address: e.Address, Layers: e.Layers}))
	}
	for _, h := range n.Nodes {
		h.Fleet.SetPlan(placement.NewPlan(placement.PlanConfig{
			Service: benchfleet.Service(0), Generation: 1, Model: "model-0", Version: "7",
			Pipelines: []placement.PlacedPipeline{placement.NewPlacedPipeline(table.NewPipeline(stages), 9, time.Millisecond, time.Millisecond)},
		}))
	}
	n.Run(5*time.Second, nil)
	for _, h := range n.Nodes {
		is.Equal(h.Pipelines[benchfleet.Service(0)], []string{"e0-001-0+e0-001-1+e0-001-2"})
		is.Equal(h.Fleet.ModelVersion(benchfleet.Service(0)), "7")
	}
	n.Engine("e0-001-1").Down = true
	n.Run(6*time.Second, nil)
	for _, h := range n.Nodes {
		is.Equal(len(h.Pipelines[benchfleet.Service(0)]), 0) // the plan's remaining engines are not joined with other engines
	}
}
