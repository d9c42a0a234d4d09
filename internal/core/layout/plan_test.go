package layout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
)

func testEngine() *deployment.Engine {
	return &deployment.Engine{
		Layers: 80, LayerMB: 1750,
		Accelerators: map[string]deployment.Accelerator{
			"large": {SizeMB: 36000}, "medium": {SizeMB: 21600}, "small": {SizeMB: 14400},
		},
	}
}

// fleet returns empty workers; domains gives the numbers of large, medium and small ones.
func fleet(domains map[string][3]int) []Worker {
	var out []Worker
	for domain, counts := range domains {
		for i, kind := range []string{"large", "medium", "small"} {
			for n := range counts[i] {
				out = append(out, Worker{ID: fmt.Sprintf("%s-%s-%d", domain, kind, n), Domain: domain, Accelerator: kind})
			}
		}
	}
	return out
}

var threeDomains = map[string][3]int{"a": {1, 8, 5}, "b": {3, 3, 5}, "c": {1, 4, 8}}

// settle applies plans until no orders are left, and returns the number of orders.
func settle(t *testing.T, e *deployment.Engine, workers []Worker) int {
	t.Helper()
	orders, still := 0, 0
	system, now := New(), time.Unix(0, 0)
	for range 60 {
		now = now.Add(time.Second)
		plan := system.Tick(now, e, workers)
		if len(plan) == 0 {
			if still++; still > 8 {
				return orders
			}
			continue
		}
		still = 0
		for _, a := range plan {
			orders++
			for i := range workers {
				if workers[i].ID == a.Worker {
					workers[i].Holds = a.Range
				}
			}
		}
	}
	t.Fatal("the plan does not settle")
	return 0
}

// Guards against a first layout without some layers in a domain or with more layers than a worker's memory holds.
func TestPlanCoversEachDomain(t *testing.T) {
	is := is.New(t)
	e, workers := testEngine(), fleet(threeDomains)
	settle(t, e, workers)
	domains, all := Cover(e, workers)
	is.Equal(all, 3)
	for _, least := range domains {
		is.True(least >= 1)
	}
	for _, w := range workers {
		is.True(float64(w.Holds.Len())*e.LayerMB < e.Accelerators[w.Accelerator].SizeMB)
	}
}

// Guards against layers of a domain that stay missing after a loss although its workers could hold them all.
func TestPlanClosesGapAfterAnyLoss(t *testing.T) {
	e := testEngine()
	first := fleet(threeDomains)
	settle(t, e, first)
	for _, lost := range first {
		t.Run(lost.ID, func(t *testing.T) {
			is := is.New(t)
			var rest []Worker
			for _, w := range first {
				if w.ID != lost.ID {
					rest = append(rest, w)
				}
			}
			orders := settle(t, e, rest)
			domains, _ := Cover(e, rest)
			is.True(domains[lost.Domain] >= 1)
			is.True(orders <= 4) // a loss must not move half of the domain
		})
	}
}

// Guards against waiting for the return of a worker that has announced that it is draining.
func TestPlanActsOnLeavingWorkers(t *testing.T) {
	is := is.New(t)
	e, workers := testEngine(), fleet(threeDomains)
	settle(t, e, workers)
	system, now := New(), time.Unix(0, 0)
	system.Tick(now, e, workers)
	var left Worker
	for i := range workers {
		if workers[i].Domain == "c" && workers[i].Accelerator == "large" {
			workers[i].Leaving, left = true, workers[i]
		}
	}
	system.Tick(now.Add(100*time.Millisecond), e, workers)
	moved := system.Tick(now.Add(100*time.Millisecond+drainMoveWait), e, workers)
	is.True(len(moved) > 0)
	for i, w := range workers {
		if w.ID == left.ID {
			workers = append(workers[:i], workers[i+1:]...)
			break
		}
	}
	crashed := New()
	crashed.Tick(now, e, workers)
	is.Equal(len(crashed.Tick(now.Add(drainMoveWait), e, workers)), 0)
	is.True(len(crashed.Tick(now.Add(crashMoveWait), e, workers)) > 0)
}

// Guards against assigning an empty worker to spare cover just before the worker that it replaces starts to drain.
func TestPlanHandsOverInRelease(t *testing.T) {
	is := is.New(t)
	e, workers := testEngine(), fleet(threeDomains)
	settle(t, e, workers)
	system, now := New(), time.Unix(0, 0)
	workers = append(workers, Worker{ID: "a-medium-new", Domain: "a", Accelerator: "medium"})
	is.Equal(len(system.Tick(now, e, workers)), 0)
	var left Worker
	for i := range workers {
		w := &workers[i]
		if w.Domain != "a" || w.Accelerator != "medium" || w.Holds.Len() == 0 {
			continue
		}
		w.Leaving = true
		if domains, _ := Cover(e, workers); domains["a"] == 0 {
			left = *w
			break
		}
		w.Leaving = false
	}
	is.True(left.ID != "")
	plan := system.Tick(now.Add(time.Second), e, workers)
	is.Equal(len(plan), 1)
	is.Equal(plan[0].Worker, "a-medium-new")
	for i := range workers {
		if workers[i].ID == plan[0].Worker {
			workers[i].Holds = plan[0].Range
		}
	}
	domains, _ := Cover(e, workers)
	is.Equal(domains["a"], 1) // the new worker takes over the layers of the leaving one
}

// Checks the capacity after the loss of any domain: the others must carry the normal 65 streams per second of 950
// tokens and 3 s each. A layout that was extended as the workers joined left one worker of a domain with half a
// unit.
func TestPlanLeavesRoomForTheStreamsOfALostDomain(t *testing.T) {
	is := is.New(t)
	const (
		streams     = 65 * 3
		tokens      = 950
		tokenMB     = 0.426
		tokensTotal = streams * tokens
	)
	e, workers := testEngine(), fleet(threeDomains)
	settle(t, e, workers)
	c := newCover(e)
	for _, w := range workers {
		c.add(w, w.Holds)
	}
	unitTokens := e.LayerMB * unitShare / (1 - unitShare) / (tokenMB / float64(e.Layers))
	for lost := range c.domains {
		left := 0.0
		for name, d := range c.domains {
			if name != lost {
				left += slices.Min(d.capacity) * unitTokens
			}
		}
		if left < tokensTotal {
			t.Fatalf("without %s the capacity is %.0f of %d tokens", lost, left, tokensTotal)
		}
	}
	is.True(len(c.domains) == len(threeDomains))
}

// Guards against a first layout made while workers are still joining, and against one that is delayed without
// limit.
func TestPlanWaitsForTheWorkersToCome(t *testing.T) {
	is := is.New(t)
	e, workers := testEngine(), fleet(threeDomains)
	system, now := New(), time.Unix(0, 0)
	began := now
	for n := 1; n <= 10; n++ {
		is.Equal(len(system.Tick(now, e, workers[:n])), 0)
		now = now.Add(coldStartWait / 4)
	}
	is.Equal(len(system.Tick(now, e, workers[:10])), 0)
	is.Equal(len(system.Tick(now.Add(coldStartWait), e, workers[:10])), 10)
	growing := New()
	now = began
	for n := 0; len(growing.Tick(now, e, workers[:10+n%2])) == 0; n++ {
		now = now.Add(coldStartWait / 2)
		is.True(now.Sub(began) < maxColdStartWait+coldStartWait)
	}
}

// Guards against a worker that keeps the layers with which it closed a gap although another holds them again. It
// would have hardly any capacity for requests.
func TestPlanGivesBorrowedLayersBack(t *testing.T) {
	is := is.New(t)
	e, workers := testEngine(), fleet(threeDomains)
	settle(t, e, workers)
	for i := range workers {
		lost := workers[i]
		rest := append(append([]Worker{}, workers[:i]...), workers[i+1:]...)
		settle(t, e, rest)
		lost.Holds = deployment.Range{}
		rest = append(rest, lost)
		settle(t, e, rest)
		c := newCover(e)
		for _, w := range rest {
			c.add(w, w.Holds)
		}
		for name, d := range c.domains {
			if least := slices.Min(d.capacity); least < 0.6 {
				t.Fatalf("after the return of %s a layer in %s has %.2f units of capacity", lost.ID, name, least)
			}
		}
	}
	is.True(len(workers) > 0)
}
