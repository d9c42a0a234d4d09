package membership

import (
	"slices"
	"sort"
	"time"

	"waxwingplank/internal/core/table"
)

// change is one entry of the log: what changed under the number.
type change struct {
	number  uint64
	host    table.HostID
	payload payloadKey
	service string
}

// changeLog numbers changes, so that a reply walks only those after a number.
type changeLog struct {
	last    uint64
	limit   int
	entries []change
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

// compactAbove is the length below which compaction is not worth its walk: 410 hosts have 1,640 parts.
const compactAbove = 4096

// compact drops entries that a later change of the same thing has replaced.
func (l *changeLog) compact(current func(change) bool) {
	if len(l.entries) < max(compactAbove, l.limit) {
		return
	}
	l.entries = slices.DeleteFunc(l.entries, func(c change) bool { return !current(c) })
	l.limit = 2 * len(l.entries)
}

func (s *System) touch(r *row) uint64 {
	s.log.compact(s.isCurrent)
	return s.log.add(change{host: r.rec.ID})
}

func (s *System) isCurrent(c change) bool {
	if c.service != "" {
		f := s.force[c.service]
		return f != nil && f.change == c.number
	}
	if c.host == "" {
		p := s.payloads[c.payload]
		return p != nil && p.change == c.number
	}
	r := s.rows[c.host]
	return r != nil && (c.number == r.changeStatic || c.number == r.changeState || c.number == r.changeLoad || c.number == r.changeGens)
}

func (s *System) touchAll(r *row) {
	n := s.touch(r)
	r.changeStatic, r.changeState, r.changeLoad = n, n, n
	s.touchGens(r, n)
}

func (s *System) touchGens(r *row, n uint64) {
	r.changeGens = n
	for k, g := range r.gens {
		g.change = n
		r.gens[k] = g
	}
}

func (s *System) touchState(r *row) { r.changeState = s.touch(r) }

func (s *System) touchLoad(r *row) { r.changeLoad = s.touch(r) }

// part returns what changed in a row after the number.
func (s *System) part(r *row, after uint64, generations bool) (rec Record, changed bool) {
	rec = Record{Host: Host{ID: r.rec.ID}, Incarnation: r.rec.Incarnation, Sequence: r.rec.Sequence, State: r.rec.State, LoadPermille: -1}
	if r.changeStatic > after {
		rec.Host, changed = r.rec.Host, true
	}
	if r.changeState > after {
		changed = true
	}
	if r.changeLoad > after {
		rec.LoadPermille, changed = r.rec.LoadPermille, true
	}
	if !generations || r.changeGens <= after {
		return rec, changed
	}
	for service, g := range r.gens {
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

// reply collects what changed after the sender's number. A host of another failure domain gets this
// domain's hosts only: each domain's relays answer for their own hosts.
func (s *System) reply(h Heartbeat, domain string) Reply {
	after := h.After
	switch {
	case after == wantsNothing:
		after = s.log.last
	case h.RelayIncarnation != s.cfg.Incarnation:
		after = 0
	}
	own := domain == s.cfg.Self.FailureDomain
	out := Reply{Upto: s.log.last, RelayIncarnation: s.cfg.Incarnation}
	out.Self, _ = s.part(s.self, after, true)
	if !own && len(s.rows) > loadsAcross {
		out.Self.LoadPermille = -1
	}
	seen := map[table.HostID]struct{}{s.self.rec.ID: {}}
	for _, c := range s.log.after(after) {
		switch {
		case c.service != "":
			s.addForce(&out, c)
		case c.host == "":
			s.addPayload(&out.Payloads, c, own)
		default:
			if _, ok := seen[c.host]; ok {
				continue
			}
			seen[c.host] = struct{}{}
			s.addHost(&out, c.host, after, h, own)
		}
	}
	if own && s.isRelay {
		out.Unreachable = s.cutDomains()
	}
	return out
}

func (s *System) addHost(out *Reply, id table.HostID, after uint64, h Heartbeat, own bool) {
	r := s.rows[id]
	if r == nil || r.rec.Incarnation == 0 || id == h.Self.ID {
		return
	}
	if !own && r.rec.FailureDomain != s.cfg.Self.FailureDomain {
		return
	}
	rec, ok := s.part(r, after, h.Relay)
	if !own && len(s.rows) > loadsAcross {
		rec.LoadPermille = -1
		ok = r.changeStatic > after || r.changeState > after || rec.Generations != nil
	}
	if ok {
		out.Hosts = append(out.Hosts, rec)
	}
}

// payloadKey names a payload.
type payloadKey struct{ kind, key string }

type payloadRow struct {
	payload Payload
	change  uint64
	// own is true where the payload comes from this host, and inside where it comes from this
	// failure domain; only these go out, to relays and to other domains.
	own, inside bool
}

// takePayload stores a payload unless it is old, and reports it where it came from another host.
func (s *System) takePayload(p Payload, own, fromOutside bool) {
	key := payloadKey{p.Kind, p.Key}
	old := s.payloads[key]
	if (old != nil && old.payload.Version >= p.Version) || !p.Expires.After(s.now) {
		return
	}
	s.payloads[key] = &payloadRow{payload: p, change: s.log.add(change{payload: key}), own: own, inside: !fromOutside}
	if !own {
		s.decide(PayloadArrived{payload: p})
		return
	}
	for _, c := range s.contacts {
		c.next = s.now
		c.again = true
	}
}

func (s *System) addPayload(out *[]Payload, c change, own bool) {
	p := s.payloads[c.payload]
	if p == nil || p.change != c.number || (!own && !p.inside) {
		return
	}
	*out = append(*out, p.payload)
}

// ownPayloads returns this host's payloads after the number.
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

// within reports whether t lies no longer than d before now.
func (s *System) within(t time.Time, d time.Duration) bool {
	return !t.IsZero() && s.now.Sub(t) <= d
}
