package membership

import (
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

var zeroTime time.Time

// contact is the state of the heartbeat exchange with a host that this host sends heartbeats to.
type contact struct {
	next         time.Time
	pendingSince time.Time
	// resend requests another heartbeat as soon as the pending one has ended.
	resend bool
	// lastReply is the time of the last reply, or of the first call if there was no reply.
	lastReply   time.Time
	unanswered  bool
	lastRecheck time.Time
	// after is the last change number received from the host, and relayIncarnation is the
	// incarnation that assigned it. acked is the last change of this host that the other host
	// has confirmed, and sent is the last one that was sent.
	after, relayIncarnation uint64
	acked, sent             uint64
	heartbeats              int
}

// domainLink is the state of the connection to another failure domain.
type domainLink struct {
	lastSeen    time.Time
	unreachable bool
}

// relayReport holds the failure domains that a relay reported as unreachable, and the time of
// the report.
type relayReport struct {
	at          time.Time
	unreachable []string
}

func (s *System) contact(id table.HostID) *contact {
	c := s.contacts[id]
	if c == nil {
		c = &contact{next: s.now, lastReply: s.now}
		s.contacts[id] = c
	}
	return c
}

// isUnresponsive reports whether a host no longer answers heartbeats.
func (s *System) isUnresponsive(id table.HostID) bool {
	c := s.contacts[id]
	return c != nil && c.unanswered && s.now.Sub(c.lastReply) >= SuspectAfter
}

// canRelay reports whether a host can serve as a relay according to the local view.
func (s *System) canRelay(r *row) bool {
	if r == s.self {
		return r.lifecycle == Live
	}
	return (r.lifecycle == Live || r.lifecycle == Unknown) && !s.isUnresponsive(r.rec.ID)
}

// electRelays selects the relays of this host's failure domain: the first two candidates by
// rendezvous rank.
func (s *System) electRelays() {
	var relays []table.HostID
	for _, r := range s.byDomain[s.cfg.Self.FailureDomain] {
		if s.canRelay(r) {
			relays = append(relays, r.rec.ID)
		}
		if len(relays) == relaysPerDomain {
			break
		}
	}
	if slices.Equal(relays, s.relays) {
		return
	}
	wasRelay := s.isRelay
	s.relays = relays
	s.isRelay = slices.Contains(relays, s.cfg.Self.ID)
	s.decide(RelaysChanged{relays: slices.Clone(relays)})
	if s.isRelay && !wasRelay {
		s.becomeRelay()
	}
}

// becomeRelay starts the idle timers of hosts that did not send heartbeats to this host before.
// It also requests all changes again, because generations of each host are sent to relays only.
func (s *System) becomeRelay() {
	for _, r := range s.byDomain[s.cfg.Self.FailureDomain] {
		if s.contacts[r.rec.ID] == nil {
			r.lastSeen = s.now
		}
	}
	for _, d := range s.domains {
		d.lastSeen = s.now
	}
	for _, c := range s.contacts {
		c.after = 0
	}
	s.recountAll = true
}

// heartbeatTargets returns the hosts to send heartbeats to.
func (s *System) heartbeatTargets() []*row {
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
	for _, domain := range s.otherDomains {
		if r := s.remoteRelay(domain, rank); r != nil {
			out = append(out, r)
		}
	}
	return out
}

// remoteRelay selects the relay of another failure domain to exchange heartbeats with. The two
// relays of a domain select different ones. If hosts do not answer, it tries the next ranks and
// then starts over with the host whose last failure is the oldest.
func (s *System) remoteRelay(domain string, rank int) *row {
	var found []*row
	var oldest *row
	for _, r := range s.byDomain[domain] {
		if r.lifecycle == Dead || r.lifecycle == Removed {
			continue
		}
		c := s.contacts[r.rec.ID]
		if c != nil && c.unanswered && s.now.Sub(c.lastRecheck) < recheckInterval {
			if oldest == nil || c.lastRecheck.Before(s.contacts[oldest.rec.ID].lastRecheck) {
				oldest = r
			}
			continue
		}
		if r.lifecycle == Leaving {
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
	s.updateLoad()
	for _, r := range s.heartbeatTargets() {
		c := s.contact(r.rec.ID)
		if !c.pendingSince.IsZero() && s.now.Sub(c.pendingSince) > heartbeatLostAfter {
			s.heartbeatFailed(r.rec.ID)
		}
		if c.pendingSince.IsZero() && !s.now.Before(c.next) {
			s.sendHeartbeat(r, c)
		}
	}
	s.probeUnresponsive()
}

func (s *System) sendHeartbeat(r *row, c *contact) {
	if s.now.Sub(c.lastReply) > 2*HeartbeatInterval && !c.unanswered {
		// The host has not been called for a while, so its idle timer starts with this call.
		c.lastReply = s.now
	}
	c.heartbeats++
	if c.heartbeats%fullRecordEvery == 0 {
		c.acked = min(c.acked, s.self.hostChange-1)
	}
	h := Heartbeat{After: c.after, RelayIncarnation: c.relayIncarnation, Relay: s.isRelay, Payloads: s.ownPayloads(c.acked)}
	h.Self, _ = s.changedPart(s.self, c.acked, true)
	if r.rec.FailureDomain != s.cfg.Self.FailureDomain && len(s.rows) > maxHostsForRemoteLoads {
		h.Self.LoadPermille = -1
	}
	c.sent = s.log.last
	c.pendingSince = s.now
	c.resend = false
	c.next = c.next.Add(HeartbeatInterval)
	if c.next.Before(s.now) {
		c.next = s.now.Add(HeartbeatInterval)
	}
	s.decide(SendHeartbeat{to: r.rec.ID, address: r.rec.PeerAddress, heartbeat: h})
}

// probeUnresponsive probes hosts of this host's failure domain that stopped answering heartbeats. A host
// whose connection failed is then used again without waiting for its heartbeat.
func (s *System) probeUnresponsive() {
	if s.now.Before(s.nextRecheck) {
		return
	}
	s.nextRecheck = s.now.Add(probeInterval)
	for _, r := range s.byDomain[s.cfg.Self.FailureDomain] {
		id := r.rec.ID
		if (r.lifecycle != Live && r.lifecycle != Unknown) || !s.isUnresponsive(id) {
			continue
		}
		c := s.contacts[id]
		if s.now.Sub(c.lastRecheck) < recheckInterval {
			continue
		}
		c.lastRecheck = s.now
		s.decide(SendProbe{target: id, targetAddress: r.rec.PeerAddress})
	}
}

func (s *System) updateLoad() {
	if s.now.Sub(s.loadSentAt) < loadInterval {
		return
	}
	step := s.load / loadStepPermille * loadStepPermille
	if step == s.self.rec.LoadPermille {
		return
	}
	s.loadSentAt = s.now
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
		s.markResponsive(r.rec.ID)
	}
	remote := domain != s.cfg.Self.FailureDomain
	for _, rec := range h.Hosts {
		s.apply(rec, false)
	}
	for _, p := range h.Payloads {
		s.storePayload(p, false, remote)
	}
	out := s.reply(h, domain)
	if r != nil && (r.rec.Incarnation > h.Self.Incarnation || severity(r.rec.State) > severity(h.Self.State)) {
		// Report the sender's state to it, so that it raises its incarnation or leaves.
		status := Record{Host: Host{ID: r.rec.ID}, Incarnation: r.rec.Incarnation, Sequence: r.rec.Sequence, State: r.rec.State, LoadPermille: -1}
		out.Hosts = append(out.Hosts, status)
	}
	s.decide(AnswerHeartbeat{call: e.call, reply: out})
}

// markResponsive clears the failure of a contact and sends the next heartbeat at once.
func (s *System) markResponsive(id table.HostID) {
	if c := s.contacts[id]; c != nil && c.unanswered {
		c.unanswered = false
		c.lastReply = s.now
		c.next = s.now
	}
}

func (s *System) replyReceived(e ReplyReceived) {
	r, c := s.rows[e.from], s.contacts[e.from]
	if r == nil || c == nil {
		return
	}
	s.heartbeatEnded(c)
	s.markResponsive(e.from)
	c.lastReply = s.now
	if c.relayIncarnation != e.reply.RelayIncarnation {
		// A new incarnation of the host has lost the state that was sent to the previous one.
		c.relayIncarnation, c.acked = e.reply.RelayIncarnation, 0
		c.next = s.now
	} else {
		c.acked = c.sent
	}
	c.after = e.reply.LastChange
	s.domainSeen(r.rec.FailureDomain)
	if r.rec.FailureDomain == s.cfg.Self.FailureDomain {
		s.relayReports[e.from] = relayReport{at: s.now, unreachable: e.reply.Unreachable}
	}
	s.applyRelayReports()
	if s.apply(e.reply.Self, true) == nil {
		return
	}
	for _, rec := range e.reply.Hosts {
		s.apply(rec, false)
	}
	s.applyRelayReports()
	remote := r.rec.FailureDomain != s.cfg.Self.FailureDomain
	if !remote && !s.isRelay {
		// A relay computes these values itself, and other domains may reach different hosts.
		for service, g := range e.reply.InForce {
			s.raiseInForce(service, g)
		}
	}
	for _, p := range e.reply.Payloads {
		s.storePayload(p, false, remote)
	}
}

func (s *System) heartbeatEnded(c *contact) {
	c.pendingSince = zeroTime
	if c.resend {
		c.next = s.now
	}
}

func (s *System) heartbeatFailed(id table.HostID) {
	c := s.contacts[id]
	if c == nil || c.pendingSince.IsZero() {
		return
	}
	// A lost heartbeat is sent again before the next one is due. This keeps a loss combined with
	// a pause of 0.95 s below the 1.9 s after which a host counts as dead.
	c.next = c.pendingSince.Add(heartbeatRetryAfter)
	s.heartbeatEnded(c)
	c.unanswered = true
	if r := s.rows[id]; r != nil && r.rec.FailureDomain != s.cfg.Self.FailureDomain {
		// The next tick tries the next rank of the domain.
		c.lastRecheck = s.now
	}
}
