package membership

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/table"
)

// Address is one entry of an address response.
type Address struct {
	Host          table.HostID
	Address       string
	FailureDomain string
}

// AddressQuery selects the hosts that a caller of a service should use.
type AddressQuery struct {
	Service table.ServiceID
	// FailureDomain is the caller's failure domain; empty means this host's.
	FailureDomain string
	// Limit is the maximum number of addresses; 0 means no limit.
	Limit int
}

// Addresses returns the live hosts, those of the queried failure domain first. Within a domain,
// the owner of the service's warm state comes first, then hosts are sorted by load and by
// rendezvous rank for the service. Leaving and unresponsive hosts are omitted.
func (s *System) Addresses(q AddressQuery) []Address {
	domain := q.FailureDomain
	if domain == "" {
		domain = s.cfg.Self.FailureDomain
	}
	type entry struct {
		row  *row
		near bool
		warm bool
		load int
		rank uint64
	}
	key := "warm/" + string(q.Service)
	owners := map[string]table.HostID{}
	topRanks := map[string]uint64{}
	var list []entry
	for id, r := range s.rows {
		if r.lifecycle != Live || s.isUnresponsive(id) {
			continue
		}
		e := entry{row: r, near: r.rec.FailureDomain == domain, rank: Rank(key, id), load: r.rec.LoadPermille / loadStepPermille}
		if owners[r.rec.FailureDomain] == "" || e.rank > topRanks[r.rec.FailureDomain] {
			owners[r.rec.FailureDomain], topRanks[r.rec.FailureDomain] = id, e.rank
		}
		list = append(list, e)
	}
	for i := range list {
		list[i].warm = owners[list[i].row.rec.FailureDomain] == list[i].row.rec.ID
	}
	trueFirst := func(a, b bool) int {
		if a == b {
			return 0
		}
		if a {
			return -1
		}
		return 1
	}
	slices.SortFunc(list, func(a, b entry) int {
		if c := trueFirst(a.near, b.near); c != 0 {
			return c
		}
		if c := trueFirst(a.warm, b.warm); c != 0 {
			return c
		}
		if a.load != b.load {
			return a.load - b.load
		}
		if a.rank != b.rank {
			return cmp.Compare(b.rank, a.rank)
		}
		return cmp.Compare(a.row.rec.ID, b.row.rec.ID)
	})
	if q.Limit > 0 && len(list) > q.Limit {
		list = list[:q.Limit]
	}
	out := make([]Address, len(list))
	for i, e := range list {
		out[i] = Address{Host: e.row.rec.ID, Address: e.row.rec.Address, FailureDomain: e.row.rec.FailureDomain}
	}
	return out
}
