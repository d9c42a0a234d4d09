package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/test/benchmembers"
)

// sizes are the numbers of hosts and failure domains of today's cluster, an intermediate one and
// the one expected in two years.
var sizes = []struct{ hosts, domains int }{{8, 3}, {60, 6}, {410, 12}}

func settled(t *testing.T, hosts, domains int) *benchmembers.Net {
	t.Helper()
	n := benchmembers.NewNet(benchmembers.NetConfig{Hosts: hosts, Domains: domains, Regions: 3, Seed: 7})
	is.New(t).True(n.Until(20*time.Second, func() bool { return everyoneSees(n, len(n.Nodes)) })) // all live
	n.Run(2 * time.Second)
	return n
}

func everyoneSees(n *benchmembers.Net, live int) bool {
	for _, node := range n.Nodes {
		if node.Up() && len(node.System.Live()) != live {
			return false
		}
	}
	return true
}

func everyoneSays(n *benchmembers.Net, id table.HostID, s membership.State) bool {
	for _, node := range n.Nodes {
		if node.Up() && node.Host.ID != id && node.System.State(id) != s {
			return false
		}
	}
	return true
}

// Guards against a dead host that is not marked dead on every host in time, and so stays in
// address responses.
func TestKilledHostIsDeadEverywhere(t *testing.T) {
	for _, size := range sizes {
		is := is.New(t)
		n := settled(t, size.hosts, size.domains)
		victim := n.Nodes[size.domains]
		began := n.Now
		n.Kill(victim)
		is.True(n.Until(5*time.Second, func() bool { return everyoneSays(n, victim.Host.ID, membership.Dead) }))
		t.Logf("%d hosts: dead everywhere after %v", size.hosts, n.Now.Sub(began))
		is.True(n.Now.Sub(began) <= 2*time.Second+200*time.Millisecond)
	}
}
