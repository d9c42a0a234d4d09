package membership

import (
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

var zeroTime time.Time

// contact is the exchange with a host that this host sends heartbeats to.
type contact struct {
	next    time.Time
	pending time.Time
	// again asks for another heartbeat as soon as the pending one has ended.
	again bool
	// lastReply is the last answer, or the first call where there was none.
	lastReply time.Time
	failing   bool
	recheck   time.Time
	// after and run say which changes of the host are here; acked and sent which of this host's are there.
	after, run  uint64
	acked, sent uint64
	count       int
}

// domainLink is the exchange with another failure domain.
type domainLink struct {
	heard time.Time
	cut   bool
}

// toldCut holds the failure domains that a relay cannot reach, and when it said so.
type toldCut struct {
	at      time.Time
	domains []string
}

func (s *System) contact(id table.HostID) *contact {
	c := s.contacts[id]
	if c == nil {
		c = &contact{next: s.now, lastReply: s.now}
		s.contacts[id] = c
	}
	return c
}

// silentContact reports whether a host no longer answers heartbeats.
func (s *System) silentContact(id table.HostID) bool {
	c := s.contacts[id]
	return c != nil && c.failing && s.now.Sub(c.lastReply) >= SuspectAfter
}

// candidate reports whether a host can serve as relay as far as this host knows.
func (s *System) candidate(r *row) bool {
	if r == s.self {
		return r.life == Live
	}
	return (r.life == Live || r.life == Unknown) && !s.silentContact(r.rec.ID)
}

// elect finds the relays of the own failure domain: the first two candidates by rendezvous rank.
func (s *System) elect() {
	var relays []table.HostID
	for _, r := range s.order[s.cfg.Self.FailureDomain] {
		if s.candidate(r) {
			relays = append(relays, r.rec.ID)
		}
		if len(relays) == relaysPerDomain {
			break
		}
	}
	if slices.Equal(relays, s.relays) {
		return
	}
	was := s.isRelay
	s.relays = relays
	s.isRelay = slices.Contains(relays, s.cfg.Self.ID)
	s.decide(RelaysChanged{relays: slices.Clone(relays)})
	if s.isRelay && !was {
		s.becomeRelay()
	}
}

// becomeRelay starts the clocks of hosts that have not been listened to, and asks for the
// generations of each host, which only relays are told.
func (s *System) becomeRelay() {
	for _, r := range s.order[s.cfg.Self.FailureDomain] {
		if s.contacts[r.rec.ID] == nil {
			r.heard = s.now
		}
	}
	for _, d := range s.domains {
		d.heard = s.now
	}
	for _, c := range s.contacts {
		c.after = 0
	}
	s.forceDirty = true
}

// targets returns the hosts to send heartbeats to.
func (s *System) targets() []*row {
	var out []*row
	for _, id := range s.relays {
		if id != s.cfg.Self.ID {
			out = append(out, s.rows[id])
		}
	}
	if !s.isRelay {
		return out
	}
	rank := slices.Index(s.relays, s.cfg.Self.ID)
	for _, domain := range s.others {
		if r := s.farRelay(domain, rank); r != nil {
			out = append(out, r)
		}
	}
	return out
}

// farRelay picks the relay of another failure domain to exchange with; the two relays of a domain
// pick different ones. Where nobody answers, it goes on down the ranks and starts over.
func (s *System) farRelay(domain string, rank int) *row {
	var found []*row
	var oldest *row
	for _, r := range s.order[domain] {
		if r.life == Dead || r.life == Gone {
			continue
		}
		c := s.contacts[r.rec.ID]
		if c != nil && c.failing && s.now.Sub(c.recheck) < recheckEvery {
			if oldest == nil || c.recheck.Before(s.contacts[oldest.rec.ID].recheck) {
				oldest = r
			}
			continue
		}
		if r.life == Leaving {
			continue
		}
		found = append(found, r)
		if len(found) == relaysPerDomain {
			break
		}
	}
	if len(found) == 0 {
		return oldest
	}
	return found[rank%len(found)]
}

func (s *System) sendHeartbeats() {
	s.measureLoad()
	for _, r := range s.targets() {
		c := s.contact(r.rec.ID)
		if !c.pending.IsZero() && s.now.Sub(c.pending) > callLost {
			s.heartbeatFailed(r.rec.ID)
		}
		if c.pending.IsZero() && !s.now.Before(c.next) {
			s.send(r, c)
		}
	}
	s.recheck()
}

func (s *System) send(r *row, c *contact) {
	if s.now.Sub(c.lastReply) > 2*HeartbeatEvery && !c.failing {
		// The host has not been called for a while; its silence starts with this call.
		c.lastReply = s.now
	}
	c.count++
	if c.count%fullEvery == 0 {
		c.acked = min(c.acked, s.self.changeStatic-1)
	}
	h := Heartbeat{After: c.after, RelayIncarnation: c.run, Relay: s.isRelay, Payloads: s.ownPayloads(c.acked)}
	h.Self, _ = s.part(s.self, c.acked, true)
	if r.rec.FailureDomain != s.cfg.Self.FailureDomain && len(s.rows) > loadsAcross {
		h.Self.LoadPermille = -1
	}
	c.sent = s.log.last
	c.pending = s.now
	c.again = false
	c.next = c.next.Add(HeartbeatEvery)
	if c.next.Before(s.now) {
		c.next = s.now.Add(HeartbeatEvery)
	}
	s.decide(SendHeartbeat{to: r.rec.ID, address: r.rec.PeerAddress, heartbeat: h})
}

// recheck probes relays of the own failure domain that stopped answering, so that one whose
// connection failed comes back without waiting for its heartbeat.
func (s *System) recheck() {
	if s.now.Before(s.nextRecheck) {
		return
	}
	s.nextRecheck = s.now.Add(askEvery)
	for _, r := range s.order[s.cfg.Self.FailureDomain] {
		id := r.rec.ID
		if (r.life != Live && r.life != Unknown) || !s.silentContact(id) {
			continue
		}
		c := s.contacts[id]
		if s.now.Sub(c.recheck) < recheckEvery {
			continue
		}
		c.recheck = s.now
		s.decide(SendProbe{target: id, targetAddress: r.rec.PeerAddress})
	}
}

func (s *System) measureLoad() {
	if s.now.Sub(s.loadSent) < loadEvery {
		return
	}
	step := s.load / loadStepPermille * loadStepPermille
	if step == s.self.rec.LoadPermille {
		return
	}
	s.loadSent = s.now
	s.self.rec.LoadPermille = step
	s.self.rec.Sequence++
	s.touchLoad(s.self)
}

func (s *System) heartbeatReceived(e HeartbeatReceived) {
	h := e.heartbeat
	r := s.apply(h.Self, true)
	domain := h.Self.FailureDomain
	if r != nil {
		domain = r.rec.FailureDomain
		s.answered(r.rec.ID)
	}
	outside := domain != s.cfg.Self.FailureDomain
	for _, rec := range h.Hosts {
		s.apply(rec, false)
	}
	for _, p := range h.Payloads {
		s.takePayload(p, false, outside)
	}
	out := s.reply(h, domain)
	if r != nil && (r.rec.Incarnation > h.Self.Incarnation || severity(r.rec.State) > severity(h.Self.State)) {
		// The sender must learn the verdict about it, to raise its incarnation or to leave.
		verdict := Record{Host: Host{ID: r.rec.ID}, Incarnation: r.rec.Incarnation, Sequence: r.rec.Sequence, State: r.rec.State, LoadPermille: -1}
		out.Hosts = append(out.Hosts, verdict)
	}
	s.decide(AnswerHeartbeat{call: e.call, reply: out})
}

// answered ends the silence of a host.
func (s *System) answered(id table.HostID) {
	if c := s.contacts[id]; c != nil && c.failing {
		c.failing = false
		c.lastReply = s.now
		c.next = s.now
	}
}

func (s *System) replyReceived(e ReplyReceived) {
	r, c := s.rows[e.from], s.contacts[e.from]
	if r == nil || c == nil {
		return
	}
	s.ended(c)
	s.answered(e.from)
	c.lastReply = s.now
	if c.run != e.reply.RelayIncarnation {
		// Another run of the host knows nothing of what the last one had.
		c.run, c.acked = e.reply.RelayIncarnation, 0
		c.next = s.now
	} else {
		c.acked = c.sent
	}
	c.after = e.reply.Upto
	s.domainHeard(r.rec.FailureDomain)
	if r.rec.FailureDomain == s.cfg.Self.FailureDomain {
		s.told[e.from] = toldCut{at: s.now, domains: e.reply.Unreachable}
	}
	s.watchTold()
	if s.apply(e.reply.Self, true) == nil {
		return
	}
	for _, rec := range e.reply.Hosts {
		s.apply(rec, false)
	}
	s.watchTold()
	outside := r.rec.FailureDomain != s.cfg.Self.FailureDomain
	if !outside && !s.isRelay {
		// A relay counts for itself, and other domains may reach other hosts.
		for service, g := range e.reply.InForce {
			s.toldInForce(service, g)
		}
	}
	for _, p := range e.reply.Payloads {
		s.takePayload(p, false, outside)
	}
}

func (s *System) ended(c *contact) {
	c.pending = zeroTime
	if c.again {
		c.next = s.now
	}
}

func (s *System) heartbeatFailed(id table.HostID) {
	c := s.contacts[id]
	if c == nil || c.pending.IsZero() {
		return
	}
	// A lost heartbeat is sent again before the next one is due: with it a loss and a pause of 0.95 s
	// together stay below the 1.9 s after which a host counts as dead.
	c.next = c.pending.Add(retryAfter)
	s.ended(c)
	c.failing = true
	if r := s.rows[id]; r != nil && r.rec.FailureDomain != s.cfg.Self.FailureDomain {
		// The next rank of the domain is tried at the next tick.
		c.recheck = s.now
	}
}
