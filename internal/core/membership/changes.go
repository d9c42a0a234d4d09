package membership

import (
	"slices"
	"sort"
	"time"

	"waxwingplank/internal/core/table"
)

// change is one entry of the change log. It names the host, payload or document that changed.
type change struct {
	number  uint64
	host    table.HostID
	payload payloadKey
	service string
}

// changeLog numbers changes, so that a reply visits only the changes after a given number.
type changeLog struct {
	last      uint64
	compactAt int
	entries   []change
}

func (l *changeLog) add(c change) uint64 {
	l.last++
	c.number = l.last
	l.entries = append(l.entries, c)
	return l.last
}

func (l *changeLog) after(n uint64) []change {
	i := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].number > n })
	return l.entries[i:]
}

// minCompactLength is the length of the log below which compaction costs more than it saves.
// 410 hosts have 1,640 record parts.
const minCompactLength = 4096

// compact removes entries that were superseded by a later change to the same item.
func (l *changeLog) compact(current func(change) bool) {
	if len(l.entries) < max(minCompactLength, l.compactAt) {
		return
	}
	l.entries = slices.DeleteFunc(l.entries, func(c change) bool { return !current(c) })
	l.compactAt = 2 * len(l.entries)
}

func (s *System) touch(r *row) uint64 {
	s.log.compact(s.isCurrent)
	return s.log.add(change{host: r.rec.ID})
}

func (s *System) isCurrent(c change) bool {
	if c.service != "" {
		f := s.documents[c.service]
		return f != nil && f.change == c.number
	}
	if c.host == "" {
		p := s.payloads[c.payload]
		return p != nil && p.change == c.number
	}
	r := s.rows[c.host]
	return r != nil && (c.number == r.hostChange || c.number == r.stateChange || c.number == r.loadChange || c.number == r.generationsChange)
}

func (s *System) touchAll(r *row) {
	n := s.touch(r)
	r.hostChange, r.stateChange, r.loadChange = n, n, n
	s.touchGenerations(r, n)
}

func (s *System) touchGenerations(r *row, n uint64) {
	r.generationsChange = n
	for k, g := range r.generations {
		g.change = n
		r.generations[k] = g
	}
}

func (s *System) touchState(r *row) { r.stateChange = s.touch(r) }

func (s *System) touchLoad(r *row) { r.loadChange = s.touch(r) }

// changedPart returns the parts of a row that changed after the given change number.
func (s *System) changedPart(r *row, after uint64, generations bool) (rec Record, changed bool) {
	rec = Record{Host: Host{ID: r.rec.ID}, Incarnation: r.rec.Incarnation, Sequence: r.rec.Sequence, State: r.rec.State, LoadPermille: -1}
	if r.hostChange > after {
		rec.Host, changed = r.rec.Host, true
	}
	if r.stateChange > after {
		changed = true
	}
	if r.loadChange > after {
		rec.LoadPermille, changed = r.rec.LoadPermille, true
	}
	if !generations || r.generationsChange <= after {
		return rec, changed
	}
	for service, g := range r.generations {
		if g.change <= after {
			continue
		}
		if rec.Generations == nil {
			rec.Generations = map[string]uint64{}
		}
		rec.Generations[service] = g.number
	}
	return rec, changed || rec.Generations != nil
}

// reply collects the changes after the sender's change number. A host of another failure domain
// receives only the hosts of this domain, because each domain's relays report their own hosts.
func (s *System) reply(h Heartbeat, domain string) Reply {
	after := h.After
	switch {
	case after == noReplyChanges:
		after = s.log.last
	case h.RelayIncarnation != s.cfg.Incarnation:
		after = 0
	}
	sameDomain := domain == s.cfg.Self.FailureDomain
	out := Reply{LastChange: s.log.last, RelayIncarnation: s.cfg.Incarnation}
	out.Self, _ = s.changedPart(s.self, after, true)
	if !sameDomain && len(s.rows) > maxHostsForRemoteLoads {
		out.Self.LoadPermille = -1
	}
	seen := map[table.HostID]struct{}{s.self.rec.ID: {}}
	for _, c := range s.log.after(after) {
		switch {
		case c.service != "":
			s.addInForce(&out, c)
		case c.host == "":
			s.addPayload(&out.Payloads, c, sameDomain)
		default:
			if _, ok := seen[c.host]; ok {
				continue
			}
			seen[c.host] = struct{}{}
			s.addHost(&out, c.host, after, h, sameDomain)
		}
	}
	if sameDomain && s.isRelay {
		out.Unreachable = s.unreachableDomains()
	}
	return out
}

func (s *System) addHost(out *Reply, id table.HostID, after uint64, h Heartbeat, sameDomain bool) {
	r := s.rows[id]
	if r == nil || r.rec.Incarnation == 0 || id == h.Self.ID {
		return
	}
	if !sameDomain && r.rec.FailureDomain != s.cfg.Self.FailureDomain {
		return
	}
	rec, ok := s.changedPart(r, after, h.Relay)
	if !sameDomain && len(s.rows) > maxHostsForRemoteLoads {
		rec.LoadPermille = -1
		ok = r.hostChange > after || r.stateChange > after || rec.Generations != nil
	}
	if ok {
		out.Hosts = append(out.Hosts, rec)
	}
}

// payloadKey identifies a payload.
type payloadKey struct{ kind, key string }

type payloadRow struct {
	payload Payload
	change  uint64
	// own is true if the payload comes from this host; only such payloads are sent to relays.
	// ownDomain is true if it comes from this failure domain; only such payloads are sent to
	// other domains.
	own, ownDomain bool
}

// storePayload stores a payload unless it is outdated or expired. It reports payloads that came
// from another host.
func (s *System) storePayload(p Payload, own, remote bool) {
	key := payloadKey{p.Kind, p.Key}
	old := s.payloads[key]
	if (old != nil && old.payload.Version >= p.Version) || !p.Expires.After(s.now) {
		return
	}
	s.payloads[key] = &payloadRow{payload: p, change: s.log.add(change{payload: key}), own: own, ownDomain: !remote}
	if !own {
		s.decide(PayloadDelivered{payload: p})
		return
	}
	for _, c := range s.contacts {
		c.next = s.now
		c.resend = true
	}
}

func (s *System) addPayload(out *[]Payload, c change, sameDomain bool) {
	p := s.payloads[c.payload]
	if p == nil || p.change != c.number || (!sameDomain && !p.ownDomain) {
		return
	}
	*out = append(*out, p.payload)
}

// ownPayloads returns this host's payloads that changed after the given change number.
func (s *System) ownPayloads(after uint64) []Payload {
	var out []Payload
	for _, c := range s.log.after(after) {
		if c.host != "" || c.service != "" {
			continue
		}
		if p := s.payloads[c.payload]; p != nil && p.own && p.change == c.number {
			out = append(out, p.payload)
		}
	}
	return out
}

func (s *System) expirePayloads() {
	for k, p := range s.payloads {
		if !p.payload.Expires.After(s.now) {
			delete(s.payloads, k)
		}
	}
}

// isRecent reports whether t is set and lies at most d before now.
func (s *System) isRecent(t time.Time, d time.Duration) bool {
	return !t.IsZero() && s.now.Sub(t) <= d
}
