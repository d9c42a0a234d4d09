package layout

import (
	"fmt"
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

// fleet returns empty workers: for each domain the numbers of large, medium and small ones.
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

// settle carries out plans until there is nothing left to do, and returns the number of orders.
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

// Guards against a first layout that leaves a domain without some layers or gives a worker too many.
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

// Guards against a domain that stays without some layers although its workers could hold them all.
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

// Guards against waiting for the return of a worker that said that it leaves.
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
	moved := system.Tick(now.Add(100*time.Millisecond+leaveWait), e, workers)
	is.True(len(moved) > 0)
	for i, w := range workers {
		if w.ID == left.ID {
			workers = append(workers[:i], workers[i+1:]...)
			break
		}
	}
	crashed := New()
	crashed.Tick(now, e, workers)
	is.Equal(len(crashed.Tick(now.Add(leaveWait), e, workers)), 0)
	is.True(len(crashed.Tick(now.Add(returnWait), e, workers)) > 0)
}

// Guards against spending an empty worker on spare cover just before the worker that it replaces leaves.
func TestPlanHandsOverInRelease(t *testing.T) {
	is := is.New(t)
	e, workers := testEngine(), fleet(threeDomains)
	settle(t, e, workers)
	system, now := New(), time.Unix(0, 0)
	workers = append(workers, Worker{ID: "a-medium-new", Domain: "a", Accelerator: "medium"})
	is.Equal(len(system.Tick(now, e, workers)), 0)
	for i := range workers {
		if workers[i].Domain == "a" && workers[i].Holds.To == 80 && workers[i].Accelerator == "medium" {
			workers[i].Leaving = true
		}
	}
	plan := system.Tick(now.Add(time.Second), e, workers)
	is.Equal(len(plan), 1)
	is.Equal(plan[0].Worker, "a-medium-new")
	domains, _ := Cover(e, workers)
	is.Equal(domains["a"], 0) // the leaving worker's layers are the ones that are taken
	is.Equal(plan[0].Range.To, 80)
}
