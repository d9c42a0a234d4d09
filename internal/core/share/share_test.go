package share

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
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

func drawDemands(t *rapid.T) []Demand {
	var demands []Demand
	for h := range rapid.IntRange(1, 6).Draw(t, "hosts") {
		for w := range rapid.IntRange(1, 4).Draw(t, "workspaces") {
			demands = append(demands, NewDemand(DemandConfig{
				Host: table.HostID(fmt.Sprint("h", h)), Workspace: table.WorkspaceID(fmt.Sprint("w", w)),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Weight: w + 1,
				Wanted: float64(rapid.IntRange(0, 40).Draw(t, "wanted")),
			}))
		}
	}
	return demands
}

// Guards against grants that exceed the slots or leave some unused, and against a result that depends on the
// order of the demands.
func TestDivideIsExactAndOrderless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		slots := rapid.IntRange(0, 100).Draw(t, "slots")
		phase := rapid.Float64Range(0, 0.999).Draw(t, "phase")
		grants := divide(slots, phase, demands)
		sum := 0
		for _, g := range grants {
			if g.Slots() < 0 {
				t.Fatalf("grant of %d slots", g.Slots())
			}
			sum += g.Slots()
		}
		if sum != slots {
			t.Fatalf("%d of %d slots given", sum, slots)
		}
		shuffled := rapid.Permutation(demands).Draw(t, "shuffled")
		if !slices.Equal(grants, divide(slots, phase, shuffled)) {
			t.Fatal("the order of the demands changed the result")
		}
	})
}

// Guards against a lower class that receives slots while a higher one needs them, and against shares that do
// not follow the weights.
func TestDivideByClassAndWeight(t *testing.T) {
	is := is.New(t)
	demand := func(host, workspace string, priority, weight int, wanted float64) Demand {
		return NewDemand(DemandConfig{
			Host: table.HostID(host), Workspace: table.WorkspaceID(workspace), Priority: priority, Weight: weight,
			Wanted: wanted,
		})
	}
	slots := func(grants []Grant) string {
		out := ""
		for _, g := range grants {
			out += fmt.Sprintf("%s=%d ", g.Host(), g.Slots())
		}
		return out
	}
	is.Equal(slots(Divide(10, []Demand{demand("a", "w", 0, 1, 8), demand("b", "w", 1, 9, 50)})), "a=8 b=2 ")
	is.Equal(slots(Divide(12, []Demand{demand("a", "w", 0, 3, 50), demand("b", "v", 0, 1, 50)})), "a=9 b=3 ")
	// Slots that the heavier workspace does not request go to the other one.
	is.Equal(slots(Divide(12, []Demand{demand("a", "w", 0, 3, 4), demand("b", "v", 0, 1, 50)})), "a=4 b=8 ")
	// Slots that no demand covers are distributed evenly.
	is.Equal(slots(Divide(12, []Demand{demand("a", "w", 0, 1, 2), demand("b", "w", 0, 1, 0)})), "a=7 b=5 ")
	is.Equal(len(Divide(12, nil)), 0)
}

// Guards against two hosts that rely on the same slot while messages are delayed or lost. The sum of all grants
// that are valid at some host must stay within the slots.
func TestLedgerNeverPromisesTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 40
		type held struct {
			slots int
			until time.Time
		}
		l := NewLedger(LedgerConfig{Pipeline: "p", Slack: rapid.IntRange(0, 2).Draw(t, "slack")})
		hosts := map[table.HostID]held{}
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms")) * time.Millisecond)
			for _, g := range l.Update(now, slots, drawDemands(t)) {
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				hosts[g.Host()] = held{g.Slots(), now.Add(l.Lifetime())}
				if rapid.Bool().Draw(t, "confirmed") {
					l.Confirm(g.Host())
				}
			}
			sum := 0
			for _, h := range hosts {
				if h.until.After(now) {
					sum += h.slots
				}
			}
			if sum > slots {
				t.Fatalf("hosts hold %d of %d slots", sum, slots)
			}
		}
	})
}

// Guards against slots that move between hosts although the demand has not changed.
func TestLedgerIsStable(t *testing.T) {
	is := is.New(t)
	l := NewLedger(LedgerConfig{Pipeline: "p"})
	var demands []Demand
	for h := range 7 {
		demands = append(demands, NewDemand(DemandConfig{
			Host: table.HostID(fmt.Sprint("h", h)), Workspace: "w", Wanted: 10.5 + math.Sqrt(float64(h)),
		}))
	}
	first := l.Update(epoch, 40, demands)
	for i := range 10 {
		is.Equal(l.Update(epoch.Add(time.Duration(i+1)*time.Second), 40, demands), first)
	}
}
