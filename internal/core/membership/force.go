package membership

import (
	"maps"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// inForce is how far one document has spread.
type inForce struct {
	// minimum never falls: a host that joins adopts the document before it serves.
	minimum uint64
	newest  uint64
	behind  []table.HostID
	change  uint64
}

// inForceEvery bounds how often a relay counts the hosts behind.
const inForceEvery = 250 * time.Millisecond

// adopted notes that a host has a generation of a document.
func (s *System) adopted(r *row, service string, g uint64) {
	if old, ok := r.gens[service]; ok && old.number >= g {
		return
	}
	if r == s.self {
		r.rec.Sequence++
		if s.lacking[service] <= g {
			delete(s.lacking, service)
		}
		for _, id := range s.relays {
			if c := s.contacts[id]; c != nil {
				// Relays count who has adopted a change, and hosts behind wait for them.
				c.again = true
				c.next = s.now
			}
		}
	}
	n := s.touch(r)
	r.gens[service] = generation{number: g, change: n}
	r.changeGens = n
	s.dirtyDocs[service] = struct{}{}
	if r != s.self && g > s.self.gens[service].number {
		s.lacking[service] = max(s.lacking[service], g)
	}
}

// fetch asks a host that has a newer document, a relay if possible.
func (s *System) fetch() {
	if len(s.lacking) == 0 || s.within(s.fetching, fetchLost) || s.now.Before(s.nextFetch) {
		return
	}
	var best *row
	for service, g := range s.lacking {
		for id, r := range s.rows {
			c := s.contacts[id]
			if r.life != Live || r.gens[service].number < g || (c != nil && c.failing) {
				continue
			}
			if best == nil || s.preferred(r, best) {
				best = r
			}
		}
	}
	if best == nil {
		return
	}
	s.fetching = s.now
	s.decide(FetchDocuments{from: best.rec.ID, address: best.rec.PeerAddress})
}

// fetchEnded allows the next fetch, after a pause where this one left documents lacking.
func (s *System) fetchEnded(ok bool) {
	s.fetching = time.Time{}
	if !ok || len(s.lacking) > 0 {
		s.nextFetch = s.now.Add(HeartbeatEvery)
	}
}

// preferred orders the sources of documents: the own failure domain first, then by rank under the
// fetching host's name, so that both relays serve half of the domain.
func (s *System) preferred(a, b *row) bool {
	inA, inB := a.rec.FailureDomain == s.cfg.Self.FailureDomain, b.rec.FailureDomain == s.cfg.Self.FailureDomain
	if inA != inB {
		return inA
	}
	return byRank(string(s.cfg.Self.ID), a.rec.ID, b.rec.ID) < 0
}

// reportInForce counts, as a relay, the hosts that have not adopted the newest generation.
func (s *System) reportInForce() {
	if !s.isRelay || s.now.Sub(s.forceChecked) < inForceEvery {
		return
	}
	if s.forceDirty {
		for service := range s.self.gens {
			s.dirtyDocs[service] = struct{}{}
		}
		s.forceDirty = false
	}
	if len(s.dirtyDocs) == 0 {
		return
	}
	s.forceChecked = s.now
	for _, service := range slices.Sorted(maps.Keys(s.dirtyDocs)) {
		s.countInForce(service)
	}
	clear(s.dirtyDocs)
}

func (s *System) countInForce(service string) {
	var newest uint64
	for _, r := range s.rows {
		if counts(r) {
			newest = max(newest, r.gens[service].number)
		}
	}
	minimum := newest
	var behind []table.HostID
	for id, r := range s.rows {
		g := r.gens[service].number
		if !counts(r) || g >= newest {
			continue
		}
		behind = append(behind, id)
		if r.life != Unreachable {
			minimum = min(minimum, g)
		}
	}
	slices.Sort(behind)
	f := s.forceOf(service)
	minimum = max(minimum, f.minimum)
	if f.minimum == minimum && f.newest == newest && slices.Equal(f.behind, behind) {
		return
	}
	if f.minimum != minimum {
		f.change = s.log.add(change{service: service})
	}
	f.minimum, f.newest, f.behind = minimum, newest, behind
	s.decide(InForceChanged{
		service: service, generation: minimum, newest: newest, behind: slices.Clone(behind),
		reportedByOther: s.Reporter(service) != s.cfg.Self.ID,
	})
}

// counts reports whether a host takes part in "in force": it has been heard and has not ended.
func counts(r *row) bool {
	return r.rec.Incarnation > 0 && r.life != Dead && r.life != Gone && r.life != Leaving
}

func (s *System) forceOf(service string) *inForce {
	f := s.force[service]
	if f == nil {
		f = &inForce{}
		s.force[service] = f
	}
	return f
}

func (s *System) toldInForce(service string, g uint64) {
	f := s.forceOf(service)
	if f.minimum >= g {
		return
	}
	f.minimum = g
	f.change = s.log.add(change{service: service})
}

func (s *System) addForce(out *Reply, c change) {
	f := s.force[c.service]
	if f == nil || f.change != c.number {
		return
	}
	if out.InForce == nil {
		out.InForce = map[string]uint64{}
	}
	out.InForce[c.service] = f.minimum
}

// InForce returns the minimum generation of a document adopted by all hosts that can be reached.
func (s *System) InForce(service table.ServiceID) uint64 {
	if f := s.force[string(service)]; f != nil {
		return f.minimum
	}
	return 0
}

// FirstRelay returns the first relay of a failure domain as far as this host knows.
func (s *System) FirstRelay(domain string) table.HostID {
	for _, r := range s.order[domain] {
		if s.candidate(r) && (r.life == Live || r == s.self) {
			return r.rec.ID
		}
	}
	return ""
}

// WatchesDocuments reports whether this host is the one of its failure domain that watches the
// platform's documents.
func (s *System) WatchesDocuments() bool {
	return s.isRelay && s.relays[0] == s.cfg.Self.ID
}

// ReadsHostList reports whether this host reads the host list: as first relay, or because no relay
// answers, as at the start.
func (s *System) ReadsHostList() bool {
	if s.WatchesDocuments() {
		return true
	}
	for _, c := range s.contacts {
		if c.run != 0 && s.within(c.lastReply, cutAfter) {
			return false
		}
	}
	return true
}

// Reporter returns the host that writes the status of a document: the document's first rank among
// the first relays of the failure domains.
func (s *System) Reporter(service string) table.HostID {
	var firsts []table.HostID
	for domain := range s.order {
		if id := s.FirstRelay(domain); id != "" {
			firsts = append(firsts, id)
		}
	}
	return Owner("status/"+service, firsts)
}
