package membership

import (
	"cmp"
	"slices"

	"waxwingplank/internal/core/table"
)

// Address is one entry of an address answer.
type Address struct {
	Host          table.HostID
	Address       string
	FailureDomain string
}

// AddressQuery asks for the hosts that a caller of a service should use.
type AddressQuery struct {
	Service table.ServiceID
	// FailureDomain is the caller's; empty means this host's.
	FailureDomain string
	// Limit bounds the answer; 0 means no bound.
	Limit int
}

// Addresses orders the live hosts by failure domain, the owner of the service's warm state first
// within a domain, then by load and by rank under the service. Leaving and unheard hosts are left out.
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
	tops := map[string]uint64{}
	var list []entry
	for id, r := range s.rows {
		if r.life != Live || s.silentContact(id) {
			continue
		}
		e := entry{row: r, near: r.rec.FailureDomain == domain, rank: Rank(key, id), load: r.rec.LoadPermille / loadStepPermille}
		if owners[r.rec.FailureDomain] == "" || e.rank > tops[r.rec.FailureDomain] {
			owners[r.rec.FailureDomain], tops[r.rec.FailureDomain] = id, e.rank
		}
		list = append(list, e)
	}
	for i := range list {
		list[i].warm = owners[list[i].row.rec.FailureDomain] == list[i].row.rec.ID
	}
	first := func(a, b bool) int {
		if a == b {
			return 0
		}
		if a {
			return -1
		}
		return 1
	}
	slices.SortFunc(list, func(a, b entry) int {
		if c := first(a.near, b.near); c != 0 {
			return c
		}
		if c := first(a.warm, b.warm); c != 0 {
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
