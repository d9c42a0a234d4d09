package membership

import (
	"maps"
	"slices"

	"waxwingplank/internal/core/table"
)

// apply merges a record that another host sent. For the state, the higher (incarnation, severity)
// wins. For the load, the higher (incarnation, sequence) wins. Each generation keeps its highest
// value within an incarnation.
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
		// A partial record without addresses cannot be used, and a host that has ended needs no row.
		if !rec.hasHost() || rec.State == Dead || rec.State == Removed {
			return nil
		}
		r = s.add(rec.Host)
	}
	switch {
	case rec.Incarnation > r.rec.Incarnation:
		s.applyNewIncarnation(r, rec)
	case rec.Incarnation < r.rec.Incarnation:
		return r
	default:
		s.applySameIncarnation(r, rec)
	}
	if rec.hasHost() && rec.Host != r.rec.Host {
		s.updateHost(r, rec.Host)
	}
	for service, g := range rec.Generations {
		s.recordAdoption(r, service, g)
	}
	if direct {
		r.lastSeen = s.now
		r.probe = probe{}
		s.fire(r, triggerSeen)
	} else if r.lifecycle == Unknown || r.lifecycle == Unreachable {
		s.fire(r, s.reachTrigger(r))
	}
	return r
}

// applyNewIncarnation applies a record with a higher incarnation: the host has restarted, or
// has resumed after a pause.
func (s *System) applyNewIncarnation(r *row, rec Record) {
	first := r.rec.Incarnation == 0
	host := r.rec.Host
	if rec.hasHost() {
		host = rec.Host
	}
	if host.FailureDomain != r.rec.FailureDomain {
		s.updateHost(r, host)
	}
	load := max(rec.LoadPermille, 0)
	r.rec = Record{Host: host, Incarnation: rec.Incarnation, Sequence: rec.Sequence, State: rec.State, LoadPermille: load}
	r.generations = map[string]generation{}
	r.endedAt = zeroTime
	r.lastSeen = s.now
	r.probe = probe{}
	s.touchAll(r)
	switch {
	case rec.State != Live:
		if r.lifecycle == Dead || r.lifecycle == Removed || r.lifecycle == Leaving {
			// Only the restart trigger leaves an end state of an earlier incarnation.
			s.fire(r, triggerRestarted)
		}
		s.setEndState(r, rec.State)
	case first && r.lifecycle == Unknown:
		// The caller decides whether a host that appears for the first time is reachable.
	case s.isDomainUnreachable(r):
		s.fire(r, triggerRestarted)
		s.fire(r, triggerUnreachable)
	default:
		s.fire(r, triggerRestarted)
	}
}

// reachTrigger returns the trigger for a host that other hosts report as live.
func (s *System) reachTrigger(r *row) string {
	if s.isDomainUnreachable(r) {
		return triggerUnreachable
	}
	return triggerSeen
}

func (s *System) applySameIncarnation(r *row, rec Record) {
	if severity(rec.State) > severity(r.rec.State) {
		s.setEndState(r, rec.State)
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

// setEndState sets a state that ends the service of a host and that hosts report to each other.
func (s *System) setEndState(r *row, to State) {
	r.rec.State = to
	changed := false
	switch to {
	case Leaving:
		changed = s.fire(r, triggerLeaving)
	case Dead:
		r.endedAt = s.now
		changed = s.fire(r, triggerConfirmedDead)
	case Removed:
		r.endedAt = s.now
		s.fire(r, triggerUnlisted)
	}
	if changed {
		s.urgent = append(s.urgent, r)
	}
}

func (s *System) updateHost(r *row, h Host) {
	if h.FailureDomain != r.rec.FailureDomain {
		contact := s.contacts[r.rec.ID]
		s.remove(r)
		r.rec.Host = h
		s.rows[h.ID] = r
		s.insertByRank(r)
		if contact != nil {
			s.contacts[h.ID] = contact
		}
	}
	r.rec.Host = h
	r.hostChange = s.touch(r)
}

// applySelf handles a record about this host. It drains if the host list ordered it, and raises
// the incarnation to refute any other state.
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
		s.raiseIncarnation("told " + string(rec.State) + " by another host")
	}
}

// hostListRead merges the host list, which lags behind. The list adds hosts and marks leaving
// ones. Hosts that are missing from it are marked as removed only if they are unresponsive.
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
			s.setEndState(r, Leaving)
			s.touchState(r)
		}
		if h.Leaving && r.lifecycle == Unknown {
			s.fire(r, triggerLeaving)
		}
	}
	if len(hosts) == 0 {
		// An empty list is faulty, since it should name at least this host.
		return
	}
	s.markUnlistedRemoved(listed)
}

// markUnlistedRemoved marks unresponsive hosts as removed if two consecutive readings do not name them.
func (s *System) markUnlistedRemoved(listed map[table.HostID]struct{}) {
	const readings = 2
	for _, id := range slices.Sorted(maps.Keys(s.rows)) {
		r := s.rows[id]
		if _, ok := listed[id]; ok || id == s.cfg.Self.ID || r.lifecycle == Removed {
			delete(s.unlistedReadings, id)
			continue
		}
		if r.lifecycle != Dead && r.lifecycle != Unreachable && r.lifecycle != Unknown {
			continue
		}
		if s.unlistedReadings[id]++; s.unlistedReadings[id] < readings {
			continue
		}
		delete(s.unlistedReadings, id)
		s.setEndState(r, Removed)
		if r.rec.Incarnation > 0 {
			s.touchState(r)
		}
	}
}
