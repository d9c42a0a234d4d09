package membership

import (
	"slices"
	"time"
)

// probe is the state of the probes that confirm or refute one suspicion.
type probe struct {
	sentAt        time.Time
	nextProber    int
	confirmations int
}

// probersPerRound is two, so that a single lost message does not decide the result.
const probersPerRound = 2

// checkHosts marks unresponsive hosts of this failure domain as suspect, dead or unreachable.
// Only relays do this, because every host of the domain sends heartbeats to them.
func (s *System) checkHosts() {
	if !s.isRelay {
		return
	}
	for _, r := range s.byDomain[s.cfg.Self.FailureDomain] {
		if r == s.self || r.lifecycle == Unknown || r.lifecycle == Dead || r.lifecycle == Removed {
			continue
		}
		idle := s.now.Sub(r.lastSeen)
		if idle < SuspectAfter {
			continue
		}
		s.fire(r, triggerUnresponsive)
		switch {
		case idle >= deadAfter && r.probe.confirmations > 0:
			s.setEndState(r, Dead)
			s.touchState(r)
		case idle >= unconfirmedAfter && r.lifecycle != Unreachable:
			s.fire(r, triggerUnreachable)
		case r.lifecycle == Unreachable && s.now.Sub(r.probe.sentAt) < recheckInterval:
		case s.now.Sub(r.probe.sentAt) >= probeInterval:
			s.probeSuspect(r)
		}
	}
}

// probeSuspect probes a suspect directly and through other hosts in rotation.
func (s *System) probeSuspect(r *row) {
	r.probe.sentAt = s.now
	s.decide(SendProbe{target: r.rec.ID, targetAddress: r.rec.PeerAddress})
	probers := s.probers(r)
	for range min(probersPerRound, len(probers)) {
		p := probers[r.probe.nextProber%len(probers)]
		r.probe.nextProber++
		s.decide(SendProbe{
			target: r.rec.ID, targetAddress: r.rec.PeerAddress,
			prober: p.rec.ID, proberAddress: p.rec.PeerAddress,
		})
	}
}

// probers returns the live hosts sorted by rank for the suspect's name. Hosts that this host has
// seen recently come first.
func (s *System) probers(suspect *row) []*row {
	var seen, unseen []*row
	for _, r := range s.rows {
		if r == s.self || r == suspect || r.lifecycle != Live {
			continue
		}
		if s.isRecent(r.lastSeen, SuspectAfter) {
			seen = append(seen, r)
		} else {
			unseen = append(unseen, r)
		}
	}
	rank := func(a, b *row) int { return compareByRank(string(suspect.rec.ID), a.rec.ID, b.rec.ID) }
	slices.SortFunc(seen, rank)
	slices.SortFunc(unseen, rank)
	return append(seen, unseen...)
}

func (s *System) probeAnswered(e ProbeAnswered) {
	r := s.rows[e.target]
	if r == nil {
		return
	}
	if e.alive {
		r.lastSeen = s.now
		r.probe = probe{}
		s.fire(r, triggerSeen)
		if e.prober == "" {
			s.markResponsive(r.rec.ID)
		}
		return
	}
	if e.answered && e.prober != "" && r.lifecycle != Dead {
		r.probe.confirmations++
	}
}

func (s *System) domainSeen(domain string) {
	d := s.domains[domain]
	if d == nil {
		return
	}
	d.lastSeen = s.now
	if d.unreachable {
		s.setDomainUnreachable(domain, d, false)
	}
}

// checkDomains marks failure domains as unreachable if none of their hosts answers. Only relays
// do this.
func (s *System) checkDomains() {
	if !s.isRelay {
		return
	}
	for _, domain := range s.otherDomains {
		d := s.domains[domain]
		if !d.unreachable && s.now.Sub(d.lastSeen) > domainUnreachableAfter {
			s.setDomainUnreachable(domain, d, true)
		}
	}
}

// applyRelayReports updates the reachability of other failure domains from the reports of the
// relays. A domain counts as unreachable only if all reporting relays agree.
func (s *System) applyRelayReports() {
	if s.isRelay {
		return
	}
	for _, domain := range s.otherDomains {
		d := s.domains[domain]
		reports, unreachable := 0, 0
		for _, id := range s.relays {
			report, ok := s.relayReports[id]
			if !ok || !s.isRecent(report.at, SuspectAfter) {
				continue
			}
			reports++
			if slices.Contains(report.unreachable, domain) {
				unreachable++
			}
		}
		if reports == 0 || (unreachable == reports) == d.unreachable {
			continue
		}
		s.setDomainUnreachable(domain, d, unreachable == reports)
	}
}

// setDomainUnreachable marks all hosts of a failure domain as unreachable or reachable again.
// Hosts that died in the meantime are reported as dead by the relays of their domain.
func (s *System) setDomainUnreachable(domain string, d *domainLink, unreachable bool) {
	d.unreachable = unreachable
	for _, r := range s.byDomain[domain] {
		if unreachable {
			s.fire(r, triggerUnreachable)
			continue
		}
		if r.lifecycle == Unreachable && r.rec.Incarnation > 0 {
			s.fire(r, triggerSeen)
		}
	}
}

func (s *System) isDomainUnreachable(r *row) bool {
	d := s.domains[r.rec.FailureDomain]
	return d != nil && d.unreachable
}

func (s *System) unreachableDomains() []string {
	var out []string
	for _, domain := range s.otherDomains {
		if s.domains[domain].unreachable {
			out = append(out, domain)
		}
	}
	return out
}

// pushUrgent sends dead and leaving hosts at once, without waiting for heartbeats. A relay sends
// them to its own failure domain, and those of its own domain also to the relays of the others.
// This costs 444 messages for each of 109 events a day.
func (s *System) pushUrgent() {
	var local, remote []Record
	for _, r := range s.urgent {
		rec, _ := s.changedPart(r, r.stateChange-1, false)
		rec.Host = r.rec.Host
		local = append(local, rec)
		if r.rec.FailureDomain == s.cfg.Self.FailureDomain {
			remote = append(remote, rec)
		}
	}
	s.urgent = nil
	if !s.isRelay || len(local) == 0 {
		return
	}
	for _, r := range s.byDomain[s.cfg.Self.FailureDomain] {
		if r != s.self && r.lifecycle == Live {
			s.push(r, local)
		}
	}
	if len(remote) == 0 {
		return
	}
	for _, domain := range s.otherDomains {
		for rank := range relaysPerDomain {
			if r := s.remoteRelay(domain, rank); r != nil {
				s.push(r, remote)
			}
		}
	}
}

func (s *System) push(r *row, hosts []Record) {
	self, _ := s.changedPart(s.self, s.log.last, false)
	h := Heartbeat{Self: self, After: noReplyChanges, Hosts: hosts}
	s.decide(SendHeartbeat{to: r.rec.ID, address: r.rec.PeerAddress, heartbeat: h, push: true})
}
