package membership_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/test/benchmembers"
)

// TestMain sets a fixed seed for the property tests unless a flag sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20260101"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against views that do not converge after a random mix of faults. Once all faults have
// ended, all hosts must agree on the live hosts and have the newest document, and no in-force
// generation may ever have decreased.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := benchmembers.NewNet(benchmembers.NetConfig{Hosts: 9, Domains: 3, Regions: 3, Seed: rapid.Uint64().Draw(t, "seed")})
		n.Run(5 * time.Second)
		generation := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			node := n.Nodes[rapid.IntRange(0, len(n.Nodes)-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"kill", "start", "pause", "part", "rejoin", "loss", "write", "platform", "list"}).Draw(t, "fault") {
			case "kill":
				n.Kill(node)
			case "start":
				if !node.Up() {
					n.Start(node)
				}
			case "pause":
				n.Pause(node, time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms"))*time.Millisecond)
			case "part":
				region := node.Host.Region
				n.Cut = func(a, b membership.Host) bool { return (a.Region == region) != (b.Region == region) }
			case "rejoin":
				n.Cut = nil
			case "loss":
				n.Loss = 0.02
			case "write":
				if n.PlatformUp {
					generation++
					n.Write("drafts", generation)
				}
			case "platform":
				n.PlatformUp = !n.PlatformUp
			case "list":
				n.ListUp = !n.ListUp
			}
			n.Run(time.Duration(rapid.IntRange(100, 8000).Draw(t, "run")) * time.Millisecond)
		}
		n.Cut, n.Loss, n.PlatformUp, n.ListUp = nil, 0, true, true
		n.Run(15 * time.Second)
		var want []table.HostID
		for _, o := range n.Nodes {
			if o.Up() {
				want = append(want, o.Host.ID)
			}
		}
		for _, o := range n.Nodes {
			if !o.Up() {
				continue
			}
			if got := o.System.Live(); !slices.Equal(got, want) {
				t.Fatalf("%s sees %v, running are %v", o.Host.ID, got, want)
			}
			if o.Docs["drafts"] != generation {
				t.Fatalf("%s has generation %d of %d", o.Host.ID, o.Docs["drafts"], generation)
			}
			checkInForceNeverFalls(t, o)
		}
	})
}

func checkInForceNeverFalls(t *rapid.T, o *benchmembers.Node) {
	last := uint64(0)
	for _, e := range o.Log {
		c, ok := e.Decision.(membership.InForceChanged)
		if !ok {
			continue
		}
		if c.Generation() < last {
			t.Fatalf("%s: in force went from %d to %d", o.Host.ID, last, c.Generation())
		}
		last = c.Generation()
	}
}

// Guards against a view that depends on the order in which records arrive.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []membership.State{membership.Live, membership.Leaving, membership.Dead}
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) membership.Record {
			return membership.Record{
				Host:        membership.Host{ID: "x", Address: "a", PeerAddress: "p", FailureDomain: "d"},
				Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"), LoadPermille: -1,
				State: rapid.SampledFrom(states).Draw(t, "state"),
			}
		}), 1, 8).Draw(t, "news")
		// A host without a row gets none once it has ended, so every sequence starts with a live record.
		records[0].State, records[0].Incarnation = membership.Live, 1
		a, b := viewAfter(t, records), viewAfter(t, append(records[:1:1], rapid.Permutation(records[1:]).Draw(t, "order")...))
		if a != b {
			t.Fatalf("%s in one order, %s in another", a, b)
		}
	})
}

func viewAfter(t *rapid.T, records []membership.Record) membership.State {
	s, err := membership.New(membership.Config{
		Self:        membership.Host{ID: "me", PeerAddress: "q", FailureDomain: "d"},
		Incarnation: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	s.Tick(now, nil)
	for i, r := range records {
		from := membership.Record{
			Host:        membership.Host{ID: "other", PeerAddress: "o", FailureDomain: "d"},
			Incarnation: 1, LoadPermille: -1, State: membership.Live,
		}
		s.Tick(now.Add(time.Duration(i)*time.Millisecond), []membership.Event{
			membership.NewHeartbeatReceived(uint64(i), membership.Heartbeat{Self: from, Hosts: []membership.Record{r}}),
		})
	}
	return s.State("x")
}
