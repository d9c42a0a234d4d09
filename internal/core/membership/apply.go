package membership

import (
	"maps"
	"slices"

	"waxwingplank/internal/core/table"
)

// apply merges a record that another host told. The higher (incarnation, severity of state) wins;
// load and generations follow the higher (incarnation, sequence).
func (s *System) apply(rec Record, direct bool) *row {
	if rec.ID == s.cfg.Self.ID {
		s.applySelf(rec)
		return nil
	}
	if severity(rec.State) == 0 {
		rec.State = Live
	}
	r := s.rows[rec.ID]
	if r == nil {
		// A part without a place is of no use, and a host that ended is not worth a row.
		if !rec.full() || rec.State == Dead || rec.State == Gone {
			return nil
		}
		r = s.add(rec.Host)
	}
	switch {
	case rec.Incarnation > r.rec.Incarnation:
		s.applyNewer(r, rec)
	case rec.Incarnation < r.rec.Incarnation:
		return r
	default:
		s.applySame(r, rec)
	}
	if rec.full() && rec.Host != r.rec.Host {
		s.move(r, rec.Host)
	}
	for service, g := range rec.Generations {
		s.adopted(r, service, g)
	}
	if direct {
		r.heard = s.now
		r.probe = probe{}
		s.fire(r, heard)
	} else if r.life == Unknown || r.life == Unreachable {
		s.fire(r, s.reach(r))
	}
	return r
}

// applyNewer takes a new run, or a return, of a host.
func (s *System) applyNewer(r *row, rec Record) {
	first := r.rec.Incarnation == 0
	host := r.rec.Host
	if rec.full() {
		host = rec.Host
	}
	if host.FailureDomain != r.rec.FailureDomain {
		s.move(r, host)
	}
	load := max(rec.LoadPermille, 0)
	r.rec = Record{Host: host, Incarnation: rec.Incarnation, Sequence: rec.Sequence, State: rec.State, LoadPermille: load}
	r.gens = map[string]generation{}
	r.ended = zeroTime
	r.heard = s.now
	r.probe = probe{}
	s.touchAll(r)
	switch {
	case rec.State != Live:
		if r.life == Dead || r.life == Gone || r.life == Leaving {
			// Only a restart takes a host out of the end of an earlier run.
			s.fire(r, restarted)
		}
		s.enter(r, rec.State)
	case first && r.life == Unknown:
		// The caller decides whether a host heard of for the first time can be reached.
	case s.isCut(r):
		s.fire(r, restarted)
		s.fire(r, cutOff)
	default:
		s.fire(r, restarted)
	}
}

// reach returns the trigger for a host that others say is live.
func (s *System) reach(r *row) string {
	if s.isCut(r) {
		return cutOff
	}
	return heard
}

func (s *System) applySame(r *row, rec Record) {
	if severity(rec.State) > severity(r.rec.State) {
		s.enter(r, rec.State)
		s.touchState(r)
	}
	if rec.Sequence < r.rec.Sequence {
		return
	}
	if rec.Sequence > r.rec.Sequence {
		r.rec.Sequence = rec.Sequence
	}
	if rec.LoadPermille >= 0 && rec.LoadPermille != r.rec.LoadPermille {
		r.rec.LoadPermille = rec.LoadPermille
		s.touchLoad(r)
	}
}

// enter takes a state that hosts tell each other and that ends a host's service.
func (s *System) enter(r *row, to State) {
	r.rec.State = to
	changed := false
	switch to {
	case Leaving:
		changed = s.fire(r, left)
	case Dead:
		r.ended = s.now
		changed = s.fire(r, confirmed)
	case Gone:
		r.ended = s.now
		s.fire(r, unlisted)
	}
	if changed {
		s.urgent = append(s.urgent, r)
	}
}

func (s *System) move(r *row, h Host) {
	if h.FailureDomain != r.rec.FailureDomain {
		contact := s.contacts[r.rec.ID]
		s.remove(r)
		r.rec.Host = h
		s.rows[h.ID] = r
		s.place(r)
		if contact != nil {
			s.contacts[h.ID] = contact
		}
	}
	r.rec.Host = h
	r.changeStatic = s.touch(r)
}

// applySelf answers a verdict about this host with a higher incarnation.
func (s *System) applySelf(rec Record) {
	if rec.Incarnation < s.self.rec.Incarnation {
		return
	}
	if rec.State == Leaving && s.self.rec.State != Leaving {
		s.drain()
		s.decide(DrainOrdered{cause: "host list, told by another host"})
		return
	}
	if severity(rec.State) > severity(s.self.rec.State) || rec.Incarnation > s.self.rec.Incarnation {
		s.self.rec.Incarnation = max(s.self.rec.Incarnation, rec.Incarnation)
		s.returned("told " + string(rec.State) + " by another host")
	}
}

// hostListRead merges the host list, which lags: it adds hosts and says who leaves, and it ends
// only hosts that nobody hears.
func (s *System) hostListRead(hosts []ListedHost) {
	listed := map[table.HostID]struct{}{}
	for _, h := range hosts {
		listed[h.ID] = struct{}{}
		if h.ID == s.cfg.Self.ID {
			if h.Leaving && s.self.rec.State != Leaving {
				s.drain()
				s.decide(DrainOrdered{cause: "host list"})
			}
			continue
		}
		r := s.rows[h.ID]
		if r == nil {
			r = s.add(h.Host)
		}
		if h.Leaving && r.rec.State == Live {
			s.enter(r, Leaving)
			s.touchState(r)
		}
		if h.Leaving && r.life == Unknown {
			s.fire(r, left)
		}
	}
	if len(hosts) == 0 {
		// An empty list is a fault of the list, since this host at least exists.
		return
	}
	s.dropUnlisted(listed)
}

// dropUnlisted ends unheard hosts that two readings in a row do not name.
func (s *System) dropUnlisted(listed map[table.HostID]struct{}) {
	const readings = 2
	for _, id := range slices.Sorted(maps.Keys(s.rows)) {
		r := s.rows[id]
		if _, ok := listed[id]; ok || id == s.cfg.Self.ID || r.life == Gone {
			delete(s.unlisted, id)
			continue
		}
		if r.life != Dead && r.life != Unreachable && r.life != Unknown {
			continue
		}
		if s.unlisted[id]++; s.unlisted[id] < readings {
			continue
		}
		delete(s.unlisted, id)
		s.enter(r, Gone)
		if r.rec.Incarnation > 0 {
			s.touchState(r)
		}
	}
}
