package fleet_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/test/benchfleet"
)

func newSettledNet(t *testing.T, cfg benchfleet.NetConfig) *benchfleet.Net {
	t.Helper()
	n, err := benchfleet.NewNet(cfg)
	is.New(t).NoErr(err)
	n.Run(8*time.Second, nil)
	return n
}

const pipeline = "e0-000-0+e0-000-1+e0-000-2"

func owner(n *benchfleet.Net, id string) *benchfleet.Node {
	return n.Nodes[membership.EndpointOwner(table.EndpointID(id), n.Order)]
}

// clearReads clears the recorded reads.
func clearReads(n *benchfleet.Net) {
	for _, h := range n.Nodes {
		clear(h.Reads)
	}
}

// readers returns the hosts that read the load of an engine.
func readers(n *benchfleet.Net, id string) []table.HostID {
	var out []table.HostID
	for _, host := range n.Order {
		if n.Nodes[host].Reads[n.Engine(id).Address] > 0 {
			out = append(out, host)
		}
	}
	return out
}

// Guards against endpoints that are read by hosts other than their owner.
func TestOnlyOwnersPoll(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 8, Pipelines: 13})
	clearReads(n)
	n.Run(5*time.Second, nil)
	for a := range n.Engines {
		total := 0
		for _, h := range n.Nodes {
			if h.Reads[a] > 0 {
				total++
			}
		}
		is.Equal(total, 1) // hosts that read the engine
	}
	for _, h := range n.Nodes {
		is.Equal(len(h.Pipelines[benchfleet.Service(0)]), 13) // with few hosts, each one uses all pipelines
		is.Equal(len(h.Loads), len(n.Engines))
	}
	is.Equal(n.Granted(pipeline), benchfleet.Slots)
}

// Guards against engines that no host reads, or slots that no host grants, after the owner has died.
func TestNextOwnerTakesOver(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 8, Pipelines: 4})
	first := owner(n, pipeline)
	first.Down = true
	clearReads(n)
	n.Run(5*time.Second, func() { is.True(n.Granted(pipeline) <= benchfleet.Slots) })
	is.Equal(len(readers(n, "e0-000-0")), 1)
	is.True(readers(n, "e0-000-0")[0] != first.ID)
	is.Equal(n.Granted(pipeline), benchfleet.Slots)
}

// Guards against a host that relies on an owner which is listed as live but does not respond to it, and
// against a host that polls although the owner responds.
func TestHostPollsWhenOwnerIsSilent(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 8, Pipelines: 4})
	first := owner(n, pipeline)
	var user *benchfleet.Node
	for _, h := range n.Nodes {
		if h != first {
			user = h
		}
	}
	clearReads(n)
	user.Cut[first.ID] = true
	n.Run(2*time.Second, nil)
	is.Equal(readers(n, "e0-000-0"), []table.HostID{first.ID})
	n.Run(1500*time.Millisecond, nil)
	want := []table.HostID{first.ID, user.ID}
	slices.Sort(want)
	is.Equal(readers(n, "e0-000-0"), want)
	is.True(n.Now.After(user.Grants[pipeline].Until)) // the grant has ended; routing uses its default share
	delete(user.Cut, first.ID)
	n.Run(2*time.Second, nil)
	clearReads(n)
	n.Run(2*time.Second, nil)
	is.Equal(readers(n, "e0-000-0"), []table.HostID{first.ID})
}

// Guards against slots that are granted twice when a paused owner resumes and still considers itself the owner.
func TestPausedOwnerReturns(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 8, Pipelines: 4})
	first := owner(n, pipeline)
	checkGranted := func() { is.True(n.Granted(pipeline) <= benchfleet.Slots) }
	// For 2 s the others wait for the owner. Then they consider it dead while it considers itself live.
	first.Paused = true
	n.Run(2*time.Second, checkGranted)
	others := slices.DeleteFunc(slices.Clone(n.Order), func(id table.HostID) bool { return id == first.ID })
	for _, id := range others {
		n.Nodes[id].View = others
	}
	n.Run(5*time.Second, checkGranted)
	is.Equal(n.Granted(pipeline), benchfleet.Slots)
	first.Paused = false
	n.Run(2*time.Second, checkGranted)
	for _, id := range others {
		n.Nodes[id].View = nil
	}
	n.Run(6*time.Second, checkGranted)
	is.Equal(n.Granted(pipeline), benchfleet.Slots)
}

// Guards against an unbounded sum of grants while hosts disagree on the owner. Each owner grants at most the
// slots of the pipeline, and the second owner's grants end one lifetime after the views agree again.
func TestTwoOwners(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 8, Pipelines: 4})
	first := owner(n, pipeline)
	others := slices.DeleteFunc(slices.Clone(n.Order), func(id table.HostID) bool { return id == first.ID })
	for _, id := range others[:4] {
		n.Nodes[id].View = others
	}
	peak := 0
	n.Run(10*time.Second, func() {
		peak = max(peak, n.Granted(pipeline))
		is.True(n.Granted(pipeline) <= 2*benchfleet.Slots) // all slots once for each owner
	})
	is.True(peak > benchfleet.Slots) // both owners did grant slots
	for _, id := range others[:4] {
		n.Nodes[id].View = nil
	}
	n.Run(3*time.Second, func() { is.True(n.Granted(pipeline) <= 2*benchfleet.Slots) })
	n.Run(5*time.Second, func() { is.True(n.Granted(pipeline) <= benchfleet.Slots) })
}

// Guards against pipelines that are split because another engine was lost or joined.
func TestLossAndJoinKeepOtherPipelines(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 5, Pipelines: 4})
	lost := n.Engine("e0-001-1")
	before := slices.Clone(n.Nodes["host-000"].Pipelines[benchfleet.Service(0)])
	lostPipeline := "e0-001-0+e0-001-1+e0-001-2"
	is.True(slices.Contains(before, lostPipeline))
	lost.Down = true
	n.Run(6*time.Second, nil)
	want := slices.DeleteFunc(slices.Clone(before), func(p string) bool { return p == lostPipeline })
	for _, h := range n.Nodes {
		is.Equal(h.Pipelines[benchfleet.Service(0)], want)
	}
	// An engine that joins replaces the lost one.
	n.AddEngine(0, "a-new", "domain-1", table.Layers{From: 12, To: 18})
	is.NoErr(n.Adopt())
	n.Run(6*time.Second, func() {
		for _, h := range n.Nodes {
			for _, p := range want {
				is.True(slices.Contains(h.Pipelines[benchfleet.Service(0)], p))
			}
		}
	})
	for _, h := range n.Nodes {
		is.True(slices.Contains(h.Pipelines[benchfleet.Service(0)], "e0-001-0+a-new+e0-001-2"))
	}
}

// Guards against a restarted owner of a service whose catalogs every host ignores, because their generations
// start below the last one.
func TestRestartedServiceOwner(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 5, Pipelines: 3})
	before := n.Nodes["host-001"].Pipelines[benchfleet.Service(0)]
	first := n.Nodes[membership.Owner("service/"+string(benchfleet.Service(0)), n.Order)]
	is.NoErr(n.Restart(first))
	n.Run(4*time.Second, nil)
	for _, h := range n.Nodes {
		is.Equal(h.Pipelines[benchfleet.Service(0)], before)
	}
	n.Engine("e0-002-0").Down = true
	n.Run(6*time.Second, nil)
	for _, h := range n.Nodes {
		is.Equal(len(h.Pipelines[benchfleet.Service(0)]), 2)
	}
}

// Guards against crash reports that are lost between the owner and the hosts that run the streams.
func TestCrashIsToldToAllHosts(t *testing.T) {
	is := is.New(t)
	n := newSettledNet(t, benchfleet.NetConfig{Hosts: 5, Pipelines: 2})
	n.Engine("e0-000-1").Incarnation++
	n.Run(2*time.Second, nil)
	for _, h := range n.Nodes {
		is.Equal(h.Crashes, []table.EndpointID{"e0-000-1"})
	}
}

// Guards against all hosts sending their requests to one pipeline because a stale load shows it as idle. The
// slots granted for that pipeline bound the requests sent there.
func TestLaggingLoadDoesNotHerd(t *testing.T) {
	is := is.New(t)
	const hosts, pipelines = 16, 4
	n, err := benchfleet.NewNet(benchfleet.NetConfig{Hosts: hosts, Pipelines: pipelines})
	is.NoErr(err)
	systems := map[table.HostID]*routing.System{}
	inbox := map[table.HostID][]routing.Event{}
	for i, id := range n.Order {
		systems[id] = routing.New(routing.Config{Seed: uint64(i + 1), Hosts: hosts, Rank: i})
		n.Nodes[id].OnPost = func(e routing.Event) { inbox[id] = append(inbox[id], e) }
	}
	for _, e := range n.Engines {
		// Every engine but those of the first pipeline seems busy.
		if !strings.HasPrefix(string(e.ID), "e0-000-") {
			e.Running = benchfleet.Slots
		}
	}
	n.Run(8*time.Second, nil)
	sent := map[string]int{}
	total := 0
	for _, id := range n.Order {
		events := inbox[id]
		for r := range 3 {
			events = append(events, routing.NewArrived(routing.ArrivedConfig{
				Request: table.RequestID(string(id) + string(rune('a'+r))), Service: benchfleet.Service(0), Workspace: "a",
				Deadline: n.Now.Add(time.Minute),
			}))
		}
		for _, d := range systems[id].Tick(n.Now, events) {
			if x, ok := d.(*routing.Dispatch); ok {
				sent[x.Pipeline().ID()]++
				total++
			}
		}
	}
	is.True(total >= 24) // most slots are in use, so the hosts did not rely on the load alone
	is.True(sent[pipeline] <= benchfleet.Slots)
}
