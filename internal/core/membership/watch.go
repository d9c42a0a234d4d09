package membership

import (
	"slices"
	"time"
)

// probe is the confirmation of one suspicion.
type probe struct {
	asked time.Time
	turn  int
	noes  int
}

// probersAtOnce hosts are asked at a time, so that one lost message does not decide.
const probersAtOnce = 2

// watchHosts suspects, confirms and ends silent hosts of the own failure domain. Relays watch all
// of them, because all send them heartbeats.
func (s *System) watchHosts() {
	if !s.isRelay {
		return
	}
	for _, r := range s.order[s.cfg.Self.FailureDomain] {
		if r == s.self || r.life == Unknown || r.life == Dead || r.life == Gone {
			continue
		}
		silence := s.now.Sub(r.heard)
		if silence < SuspectAfter {
			continue
		}
		s.fire(r, silent)
		switch {
		case silence >= deadAfter && r.probe.noes > 0:
			s.enter(r, Dead)
			s.touchState(r)
		case silence >= unconfirmedAfter && r.life != Unreachable:
			s.fire(r, cutOff)
		case r.life == Unreachable && s.now.Sub(r.probe.asked) < recheckEvery:
		case s.now.Sub(r.probe.asked) >= askEvery:
			s.ask(r)
		}
	}
}

// ask probes a suspect directly and through other hosts, in turn.
func (s *System) ask(r *row) {
	r.probe.asked = s.now
	s.decide(SendProbe{target: r.rec.ID, targetAddress: r.rec.PeerAddress})
	probers := s.probers(r)
	for range min(probersAtOnce, len(probers)) {
		p := probers[r.probe.turn%len(probers)]
		r.probe.turn++
		s.decide(SendProbe{
			target: r.rec.ID, targetAddress: r.rec.PeerAddress,
			prober: p.rec.ID, proberAddress: p.rec.PeerAddress,
		})
	}
}

// probers returns live hosts in the order of their rank under the suspect's name, those heard by
// this host itself first.
func (s *System) probers(suspect *row) []*row {
	var near, far []*row
	for _, r := range s.rows {
		if r == s.self || r == suspect || r.life != Live {
			continue
		}
		if s.within(r.heard, SuspectAfter) {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	rank := func(a, b *row) int { return byRank(string(suspect.rec.ID), a.rec.ID, b.rec.ID) }
	slices.SortFunc(near, rank)
	slices.SortFunc(far, rank)
	return append(near, far...)
}

func (s *System) probeAnswered(e ProbeAnswered) {
	r := s.rows[e.target]
	if r == nil {
		return
	}
	if e.alive {
		r.heard = s.now
		r.probe = probe{}
		s.fire(r, heard)
		if e.prober == "" {
			s.answered(r.rec.ID)
		}
		return
	}
	if e.answered && e.prober != "" && r.life != Dead {
		r.probe.noes++
	}
}

func (s *System) domainHeard(domain string) {
	d := s.domains[domain]
	if d == nil {
		return
	}
	d.heard = s.now
	if d.cut {
		s.setCut(domain, d, false)
	}
}

// watchDomains notices as a relay that no host of another failure domain answers.
func (s *System) watchDomains() {
	if !s.isRelay {
		return
	}
	for _, domain := range s.others {
		d := s.domains[domain]
		if !d.cut && s.now.Sub(d.heard) > cutAfter {
			s.setCut(domain, d, true)
		}
	}
}

// watchTold takes the reach of other failure domains from the relays, which must agree.
func (s *System) watchTold() {
	if s.isRelay {
		return
	}
	for _, domain := range s.others {
		d := s.domains[domain]
		says, cut := 0, 0
		for _, id := range s.relays {
			t, ok := s.told[id]
			if !ok || !s.within(t.at, SuspectAfter) {
				continue
			}
			says++
			if slices.Contains(t.domains, domain) {
				cut++
			}
		}
		if says == 0 || (cut == says) == d.cut {
			continue
		}
		s.setCut(domain, d, cut == says)
	}
}

// setCut moves all hosts of a failure domain out of reach or back. Those that ended meanwhile are
// told as dead by their own relays.
func (s *System) setCut(domain string, d *domainLink, cut bool) {
	d.cut = cut
	for _, r := range s.order[domain] {
		if cut {
			s.fire(r, cutOff)
			continue
		}
		if r.life == Unreachable && r.rec.Incarnation > 0 {
			s.fire(r, heard)
		}
	}
}

func (s *System) isCut(r *row) bool {
	d := s.domains[r.rec.FailureDomain]
	return d != nil && d.cut
}

func (s *System) cutDomains() []string {
	var out []string
	for _, domain := range s.others {
		if s.domains[domain].cut {
			out = append(out, domain)
		}
	}
	return out
}

// pushUrgent passes dead and leaving hosts on at once, as a relay to its failure domain and, for
// hosts of its own domain, to the other domains. This costs 444 messages for each of 109 events a day.
func (s *System) pushUrgent() {
	var inside, outside []Record
	for _, r := range s.urgent {
		rec, _ := s.part(r, r.changeState-1, false)
		rec.Host = r.rec.Host
		inside = append(inside, rec)
		if r.rec.FailureDomain == s.cfg.Self.FailureDomain {
			outside = append(outside, rec)
		}
	}
	s.urgent = nil
	if !s.isRelay || len(inside) == 0 {
		return
	}
	for _, r := range s.order[s.cfg.Self.FailureDomain] {
		if r != s.self && r.life == Live {
			s.push(r, inside)
		}
	}
	if len(outside) == 0 {
		return
	}
	for _, domain := range s.others {
		for rank := range relaysPerDomain {
			if r := s.farRelay(domain, rank); r != nil {
				s.push(r, outside)
			}
		}
	}
}

func (s *System) push(r *row, hosts []Record) {
	self, _ := s.part(s.self, s.log.last, false)
	h := Heartbeat{Self: self, After: wantsNothing, Hosts: hosts}
	s.decide(SendHeartbeat{to: r.rec.ID, address: r.rec.PeerAddress, heartbeat: h, push: true})
}
