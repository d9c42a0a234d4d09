package admission

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/table"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestMain fixes the seed of the property tests, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func offer(q *Queue, id, workspace string, weight, priority int, cost float64) Result {
	return q.Offer(epoch, ItemConfig{
		Request: table.RequestID(id), Workspace: table.WorkspaceID(workspace), Weight: weight, Priority: priority,
		Cost: cost, FirstSend: true, Repeatable: true,
	})
}

// Guards against a queue that exceeds its limits for some order of arrivals, departures, parking and service, and
// against counters that diverge from the waiting requests.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 20).Draw(t, "total")
		q := New(Config{Total: total, PerWorkspace: rapid.IntRange(1, total).Draw(t, "perWorkspace")})
		recoveries, now := 0, epoch
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			id := table.RequestID(fmt.Sprint("r", rapid.IntRange(0, i).Draw(t, "id")))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				recovery := rapid.IntRange(0, 9).Draw(t, "recovery") == 0
				res := q.Offer(now, ItemConfig{
					Request: id, Workspace: table.WorkspaceID(rapid.StringMatching("[a-c]").Draw(t, "workspace")),
					Weight: rapid.IntRange(1, 4).Draw(t, "weight"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Cost: 10, Recovery: recovery, FirstSend: rapid.Bool().Draw(t, "first"), Repeatable: true,
					Key: rapid.StringMatching("|k[0-9]").Draw(t, "key"), Deadline: now.Add(50 * time.Millisecond),
				})
				if recovery && res.Verdict() == Admitted {
					recoveries++
				}
			case 3:
				q.Remove(id)
			case 4:
				if next, _, ok := q.Next(rapid.Bool().Draw(t, "skip")); ok {
					q.Dequeue(now, next)
				}
			case 5:
				if next, _, ok := q.Next(false); ok {
					q.Park(next)
				}
			case 6:
				q.Expire(now, nil)
			}
			if bound := min(total+recoveries, recoveryFactor*total); q.Len() > bound {
				t.Fatalf("%d requests wait; the bound is %d with %d that were running before", q.Len(), bound, recoveries)
			}
			checkCounts(t, q)
		}
	})
}

func checkCounts(t *rapid.T, q *Queue) {
	waiting := 0
	for _, it := range q.items {
		if !it.parked {
			waiting++
		}
	}
	for _, c := range q.classes {
		inFlows, cost := len(c.recovery), c.recoveryCost
		for _, f := range c.flows {
			inFlows += f.queued
			cost += f.cost
			if f.queued+f.parked > q.perWorkspace && f.parked == 0 {
				t.Fatalf("workspace %s has %d waiting requests; the bound is %d", f.workspace, f.queued, q.perWorkspace)
			}
		}
		if inFlows != c.queued || math.Abs(cost-c.cost) > 1e-6 {
			t.Fatalf("class %d counts %d requests and %g work, its flows hold %d and %g", c.priority, c.queued, c.cost,
				inFlows, cost)
		}
		waiting -= c.queued
	}
	if waiting != 0 {
		t.Fatalf("classes and items differ by %d requests", waiting)
	}
}

// Guards against starvation, and against shares that deviate by more than 5% while every workspace has requests
// waiting.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "workspaces")
		weights := make([]int, n)
		sum := 0
		for i := range weights {
			weights[i] = rapid.IntRange(1, 8).Draw(t, "weight")
			sum += weights[i]
		}
		q := New(Config{Total: 100, PerWorkspace: 100})
		served := make([]float64, n)
		total, serial := 0.0, 0
		workspaceOf, costOf := map[table.RequestID]int{}, map[table.RequestID]float64{}
		add := func(w int) {
			serial++
			id, cost := fmt.Sprint("r", serial), float64(rapid.IntRange(1, 20).Draw(t, "cost"))
			offer(q, id, fmt.Sprint("w", w), weights[w], 1, cost)
			workspaceOf[table.RequestID(id)], costOf[table.RequestID(id)] = w, cost
		}
		for w := range n {
			add(w)
			add(w)
		}
		for range 2000 {
			id, _, ok := q.Next(false)
			if !ok {
				t.Fatal("no request to serve while all workspaces have work waiting")
			}
			w := workspaceOf[id]
			served[w] += costOf[id]
			total += costOf[id]
			q.Dequeue(epoch, id)
			add(w)
		}
		for w, got := range served {
			want := total * float64(weights[w]) / float64(sum)
			// The tolerance is 5% of the share plus one request of the highest cost.
			if math.Abs(got-want) > 0.05*want+20 {
				t.Fatalf("workspace of weight %d/%d got %g of %g, want %g", weights[w], sum, got, total, want)
			}
		}
	})
}

// Guards against requests with a cached preamble that bypass the request at the head without limit.
func TestScanIsBounded(t *testing.T) {
	is := is.New(t)
	q := New(Config{Total: 100, PerWorkspace: 100})
	offer(q, "head", "a", 1, 0, 1)
	for i := range 50 {
		offer(q, fmt.Sprint("other", i), "a", 1, 0, 1)
	}
	for served := 0; ; served++ {
		is.True(served <= maxBypass)
		next, _, _ := q.Next(false)
		is.Equal(next, table.RequestID("head"))
		id, ok := q.Scan(next, func(id table.RequestID) int {
			if id == "head" {
				return 0
			}
			return 1
		})
		if !ok {
			return
		}
		q.Dequeue(epoch, id)
	}
}

// Guards against resent copies that multiply the work. A copy replaces the waiting one, or is refused if the call
// may not be repeated, and resent copies cannot fill the queue.
func TestResends(t *testing.T) {
	is := is.New(t)
	q := New(Config{Total: 8, PerWorkspace: 8})
	send := func(id, key string, first, repeatable bool) Result {
		return q.Offer(epoch, ItemConfig{
			Request: table.RequestID(id), Workspace: "a", Key: key, FirstSend: first, Repeatable: repeatable,
		})
	}
	is.Equal(send("r1", "k1", true, true).Verdict(), Admitted)
	joined := send("r2", "k1", false, true)
	is.Equal(joined.Verdict(), Joined)
	is.Equal(joined.Replaced(), table.RequestID("r1"))
	is.Equal(q.Len(), 1)
	is.Equal(send("r3", "k3", true, false).Verdict(), Admitted)
	is.Equal(send("r4", "k3", false, false).Verdict(), Duplicate)
	for i := range 10 {
		send(fmt.Sprint("resent", i), "", false, true)
	}
	is.Equal(q.Len(), 4)
	is.Equal(send("first", "", true, true).Verdict(), Admitted)
}

// Guards against a full queue of a low class that blocks a higher class, and against the reverse.
func TestFullQueueGivesWayToHigherClass(t *testing.T) {
	is := is.New(t)
	q := New(Config{Total: 4, PerWorkspace: 4})
	for i := range 4 {
		offer(q, fmt.Sprint("low", i), "a", 1, 2, 1)
	}
	res := offer(q, "high", "b", 1, 0, 1)
	is.Equal(res.Verdict(), Admitted)
	is.Equal(res.Replaced(), table.RequestID("low3"))
	is.Equal(offer(q, "low9", "a", 1, 2, 1).Verdict(), Full)
	is.Equal(q.Len(), 4)
	// A workspace without waiting requests displaces a request of a workspace that has several.
	res = offer(q, "small", "c", 1, 2, 1)
	is.Equal(res.Verdict(), Admitted)
	is.Equal(res.Replaced(), table.RequestID("low2"))
}

// Guards against a wait estimate that ignores the higher classes or the rate that they use.
func TestWait(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	q.SetRate(100)
	for i := range 10 {
		offer(q, fmt.Sprint("r", i), "a", 1, 1, 10)
	}
	is.Equal(q.Wait(epoch, 0, "a", 1), time.Duration(0))
	is.Equal(q.Wait(epoch, 1, "a", 1), time.Second)
	is.Equal(q.Wait(epoch, 2, "a", 1), time.Second)
	// Another workspace of the class receives half of the rate.
	is.Equal(q.Wait(epoch, 1, "b", 1), time.Duration(0))
	late := q.Offer(epoch, ItemConfig{Request: "late", Workspace: "a", Priority: 1, Deadline: epoch.Add(900 * time.Millisecond)})
	is.Equal(late.Verdict(), TooLate)
	is.Equal(late.Wait(), time.Second)
}
