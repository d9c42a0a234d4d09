package membership

import (
	"maps"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// documentState is the replication state of one document.
type documentState struct {
	// minimum is the generation in force. It never decreases, because a joining host adopts the
	// document before it serves.
	minimum uint64
	newest  uint64
	behind  []table.HostID
	change  uint64
}

// inForceInterval is the minimum interval between two recounts on a relay of the hosts behind.
const inForceInterval = 250 * time.Millisecond

// recordAdoption records that a host has adopted a generation of a document.
func (s *System) recordAdoption(r *row, service string, g uint64) {
	if old, ok := r.generations[service]; ok && old.number >= g {
		return
	}
	if r == s.self {
		r.rec.Sequence++
		if s.missing[service] <= g {
			delete(s.missing, service)
		}
		for _, id := range s.relays {
			if c := s.contacts[id]; c != nil {
				// Send a heartbeat at once: relays count which hosts have adopted a generation, and
				// hosts that are behind wait for the relays to report it.
				c.resend = true
				c.next = s.now
			}
		}
	}
	n := s.touch(r)
	r.generations[service] = generation{number: g, change: n}
	r.generationsChange = n
	s.changedDocuments[service] = struct{}{}
	if r != s.self && g > s.self.generations[service].number {
		s.missing[service] = max(s.missing[service], g)
	}
}

// fetchMissing requests missing documents from the preferred live host that has one of them.
func (s *System) fetchMissing() {
	if len(s.missing) == 0 || s.isRecent(s.fetchStarted, fetchTimeout) || s.now.Before(s.nextFetch) {
		return
	}
	var best *row
	for service, g := range s.missing {
		for id, r := range s.rows {
			c := s.contacts[id]
			if r.lifecycle != Live || r.generations[service].number < g || (c != nil && c.unanswered) {
				continue
			}
			if best == nil || s.isPreferredSource(r, best) {
				best = r
			}
		}
	}
	if best == nil {
		return
	}
	s.fetchStarted = s.now
	s.decide(FetchDocuments{from: best.rec.ID, address: best.rec.PeerAddress})
}

// fetchEnded allows the next fetch. It waits one heartbeat interval if the fetch failed or
// documents are still missing.
func (s *System) fetchEnded(ok bool) {
	s.fetchStarted = time.Time{}
	if !ok || len(s.missing) > 0 {
		s.nextFetch = s.now.Add(HeartbeatInterval)
	}
}

// isPreferredSource reports whether a is a better source of documents than b. Hosts of this
// failure domain come first, then the rank for the fetching host's name decides, so that
// both relays serve half of the domain.
func (s *System) isPreferredSource(a, b *row) bool {
	inA, inB := a.rec.FailureDomain == s.cfg.Self.FailureDomain, b.rec.FailureDomain == s.cfg.Self.FailureDomain
	if inA != inB {
		return inA
	}
	return compareByRank(string(s.cfg.Self.ID), a.rec.ID, b.rec.ID) < 0
}

// reportInForce recounts, on a relay, the hosts that have not adopted the newest generation.
func (s *System) reportInForce() {
	if !s.isRelay || s.now.Sub(s.lastRecount) < inForceInterval {
		return
	}
	if s.recountAll {
		for service := range s.self.generations {
			s.changedDocuments[service] = struct{}{}
		}
		s.recountAll = false
	}
	if len(s.changedDocuments) == 0 {
		return
	}
	s.lastRecount = s.now
	for _, service := range slices.Sorted(maps.Keys(s.changedDocuments)) {
		s.countInForce(service)
	}
	clear(s.changedDocuments)
}

func (s *System) countInForce(service string) {
	var newest uint64
	for _, r := range s.rows {
		if countsForInForce(r) {
			newest = max(newest, r.generations[service].number)
		}
	}
	minimum := newest
	var behind []table.HostID
	for id, r := range s.rows {
		g := r.generations[service].number
		if !countsForInForce(r) || g >= newest {
			continue
		}
		behind = append(behind, id)
		if r.lifecycle != Unreachable {
			minimum = min(minimum, g)
		}
	}
	slices.Sort(behind)
	doc := s.documentOf(service)
	minimum = max(minimum, doc.minimum)
	if doc.minimum == minimum && doc.newest == newest && slices.Equal(doc.behind, behind) {
		return
	}
	if doc.minimum != minimum {
		doc.change = s.log.add(change{service: service})
	}
	doc.minimum, doc.newest, doc.behind = minimum, newest, behind
	s.decide(InForceChanged{
		service: service, generation: minimum, newest: newest, behind: slices.Clone(behind),
		reportedByOther: s.StatusReporter(service) != s.cfg.Self.ID,
	})
}

// countsForInForce reports whether a host is counted for the generation in force: it has been
// seen and is neither leaving nor ended.
func countsForInForce(r *row) bool {
	return r.rec.Incarnation > 0 && r.lifecycle != Dead && r.lifecycle != Removed && r.lifecycle != Leaving
}

func (s *System) documentOf(service string) *documentState {
	doc := s.documents[service]
	if doc == nil {
		doc = &documentState{}
		s.documents[service] = doc
	}
	return doc
}

func (s *System) raiseInForce(service string, g uint64) {
	doc := s.documentOf(service)
	if doc.minimum >= g {
		return
	}
	doc.minimum = g
	doc.change = s.log.add(change{service: service})
}

func (s *System) addInForce(out *Reply, c change) {
	doc := s.documents[c.service]
	if doc == nil || doc.change != c.number {
		return
	}
	if out.InForce == nil {
		out.InForce = map[string]uint64{}
	}
	out.InForce[c.service] = doc.minimum
}

// InForce returns the minimum generation of a document adopted by all reachable hosts, or 0 if
// there is none.
func (s *System) InForce(service table.ServiceID) uint64 {
	if doc := s.documents[string(service)]; doc != nil {
		return doc.minimum
	}
	return 0
}

// FirstRelay returns the first relay of a failure domain in the local view, or an empty string.
func (s *System) FirstRelay(domain string) table.HostID {
	for _, r := range s.byDomain[domain] {
		if s.canRelay(r) && (r.lifecycle == Live || r == s.self) {
			return r.rec.ID
		}
	}
	return ""
}

// WatchesDocuments reports whether this host watches the platform's documents for its failure
// domain. The first relay does.
func (s *System) WatchesDocuments() bool {
	return s.isRelay && s.relays[0] == s.cfg.Self.ID
}

// ReadsHostList reports whether this host reads the host list. It does as the first relay, or
// if no relay answers, for example at start.
func (s *System) ReadsHostList() bool {
	if s.WatchesDocuments() {
		return true
	}
	for _, c := range s.contacts {
		if c.relayIncarnation != 0 && s.isRecent(c.lastReply, domainUnreachableAfter) {
			return false
		}
	}
	return true
}

// StatusReporter returns the host that writes the status of a document. It is the host with the highest
// rank for the document among the first relays of all failure domains.
func (s *System) StatusReporter(service string) table.HostID {
	var firsts []table.HostID
	for domain := range s.byDomain {
		if id := s.FirstRelay(domain); id != "" {
			firsts = append(firsts, id)
		}
	}
	return Owner("status/"+service, firsts)
}
