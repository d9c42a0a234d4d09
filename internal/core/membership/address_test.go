package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
)

func newRecord(id, domain string, load int, state membership.State) membership.Record {
	return membership.Record{
		Host:        membership.Host{ID: table.HostID(id), Address: id, PeerAddress: "p-" + id, FailureDomain: domain},
		Incarnation: 1, State: state, LoadPermille: load,
	}
}

// Guards against an address order that starts with a host that is remote, has no warm state,
// is loaded or is leaving.
func TestAddressOrder(t *testing.T) {
	is := is.New(t)
	s, err := membership.New(membership.Config{
		Self: membership.Host{ID: "me", Address: "me", PeerAddress: "p-me", FailureDomain: "near"}, Incarnation: 1,
	})
	is.NoErr(err)
	now := time.Unix(0, 0)
	s.Tick(now, nil)
	near := []table.HostID{"me", "n1", "n2", "n3"}
	far := []table.HostID{"f1", "f2"}
	hosts := []membership.Record{
		newRecord("n1", "near", 100, membership.Live), newRecord("n2", "near", 500, membership.Live), newRecord("n3", "near", 900, membership.Live),
		newRecord("n4", "near", 0, membership.Leaving), newRecord("f1", "far", 0, membership.Live), newRecord("f2", "far", 0, membership.Live),
	}
	s.Tick(now, []membership.Event{membership.NewHeartbeatReceived(1, membership.Heartbeat{Self: hosts[0], Hosts: hosts})})

	for i := range 20 {
		service := fmt.Sprintf("s%d", i)
		got := s.Addresses(membership.AddressQuery{Service: table.ServiceID(service)})
		is.Equal(len(got), len(near)+len(far)) // the leaving host is left out
		is.Equal(got[0].Host, membership.Owner("warm/"+service, near))
		is.Equal(got[len(near)].Host, membership.Owner("warm/"+service, far))
		loads := map[table.HostID]int{"me": 0, "n1": 100, "n2": 500, "n3": 900}
		for j := 2; j < len(near); j++ {
			is.True(loads[got[j-1].Host] <= loads[got[j].Host])
		}
	}
	is.Equal(s.Addresses(membership.AddressQuery{Service: "s", FailureDomain: "far"})[0].FailureDomain, "far")
	is.Equal(len(s.Addresses(membership.AddressQuery{Service: "s", Limit: 2})), 2)
}

// Guards against shards that change their owner although the owner stays and another host leaves.
func TestOnlyTheLeaversKeysMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []table.HostID
		for i := range rapid.IntRange(2, 40).Draw(t, "hosts") {
			hosts = append(hosts, table.HostID(fmt.Sprintf("h%d", i)))
		}
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		left := append(append([]table.HostID(nil), hosts[:gone]...), hosts[gone+1:]...)
		for shard := range 32 {
			before, after := membership.ShardOwner(shard, hosts), membership.ShardOwner(shard, left)
			if before != hosts[gone] && before != after {
				t.Fatalf("shard %d moved from %s to %s though %s left", shard, before, after, hosts[gone])
			}
			if membership.SortByRank(fmt.Sprintf("claim-shard/%d", shard), hosts)[0] != before {
				t.Fatal("the owner is not the first rank")
			}
		}
	})
}
