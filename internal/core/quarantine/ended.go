package quarantine

import (
	"maps"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// breaks holds what connections show of the end of endpoints: one that breaks and a later one that is refused show it seconds
// before the list of endpoints does.
type breaks struct {
	// refusedAt is when an instance last refused a connection, endedAt when its end became known.
	refusedAt map[CrashID]time.Time
	endedAt   map[CrashID]time.Time
}

// evidenceTime is how long a broken connection and a refused one may be apart to show the end of an endpoint. An endpoint is
// back after some seconds at the same address.
const evidenceTime = 2 * time.Second

func newBreaks() breaks {
	return breaks{refusedAt: map[CrashID]time.Time{}, endedAt: map[CrashID]time.Time{}}
}

func (b *breaks) sweep(now time.Time, lifetime time.Duration) {
	maps.DeleteFunc(b.refusedAt, func(_ CrashID, at time.Time) bool { return now.Sub(at) > evidenceTime })
	maps.DeleteFunc(b.endedAt, func(_ CrashID, at time.Time) bool { return now.Sub(at) >= lifetime })
}

// ran handles a run that received its response for some time.
func (s *System) ran(now time.Time, e Ran) []Decision {
	r := s.streams[e.stream]
	if r == nil {
		return nil
	}
	r.ran = true
	delete(s.trials, e.stream)
	return sendMarks(s.parts.ran(now, r.parts))
}

// broken handles a connection that broke after the request was sent on it.
func (s *System) broken(now time.Time, e Broken) []Decision {
	r := s.streams[e.stream]
	if r == nil || len(r.endpoints) == 0 || !r.brokenAt.IsZero() {
		return nil
	}
	r.brokenAt = now
	delete(s.trials, e.stream)
	if at, ok := s.breaks.refusedAt[r.instance]; ok && now.Sub(at) <= evidenceTime {
		return s.ended(now, r.endpoints[0], r.instance)
	}
	return s.markParts(now, r.endpoints[0])
}

// endedWithConnection handles a response that may be complete or cut off by the end of its endpoint.
func (s *System) endedWithConnection(now time.Time, e EndedWithConnection) []Decision {
	if r := s.streams[e.stream]; r != nil {
		r.unproven = true
	}
	return s.broken(now, NewBroken(e.stream))
}

// complete clears the marks of a request whose response ended with its connection, unless the endpoint ended at that time.
func (s *System) complete(now time.Time, r *run) []Decision {
	if !r.unproven || (r.marked && r.brokenAt.Sub(r.markedAt) <= evidenceTime) {
		return nil
	}
	return s.completed(now, r.brokenAt, r.fingerprint)
}

// refused handles evidence that an instance of an endpoint has ended: a connection that its host refused because nothing listens
// there, or the mark of a peer.
func (s *System) refused(now time.Time, instance CrashID) []Decision {
	s.breaks.refusedAt[instance] = now
	endpoint := instance.Endpoint()
	for id := range s.running[endpoint] {
		r := s.streams[id]
		if r.instance == instance && !r.brokenAt.IsZero() && now.Sub(r.brokenAt) <= evidenceTime {
			return s.ended(now, endpoint, instance)
		}
	}
	return nil
}

// endedAtPeer handles the mark of a peer, which knows that an instance of an endpoint has ended.
func (s *System) endedAtPeer(now time.Time, instance CrashID) []Decision {
	_, ended := s.breaks.endedAt[instance]
	if _, known := s.breaks.refusedAt[instance]; known || ended || instance == "" {
		return nil
	}
	return s.refused(now, instance)
}

// ended handles the end of an instance of an endpoint.
func (s *System) ended(now time.Time, id table.EndpointID, instance CrashID) []Decision {
	_, known := s.breaks.endedAt[instance]
	if !known {
		s.breaks.endedAt[instance] = now
	}
	// The parts come first, because a crash that a refused part explains does not make the endpoint faulty.
	out := s.markParts(now, id)
	out = append(out, s.crashed(now, id, instance)...)
	if !known {
		out = append(out, EndpointEnded{endpoint: id, instance: instance})
	}
	return out
}

// markParts marks the parts of requests whose runs broke off at instances of an endpoint that have ended.
func (s *System) markParts(now time.Time, id table.EndpointID) []Decision {
	var marks []Mark
	for _, stream := range slices.Sorted(maps.Keys(s.running[id])) {
		r := s.streams[stream]
		if _, ended := s.breaks.endedAt[r.instance]; !ended || r.endpoints[0] != id || r.ran || r.brokenAt.IsZero() || r.partsMarked {
			continue
		}
		r.partsMarked = true
		marks = append(marks, s.parts.crashed(now, r.brokenAt, r.instance, r.parts)...)
	}
	return sendMarks(marks)
}

func sendMarks(marks []Mark) []Decision {
	if len(marks) == 0 {
		return nil
	}
	return []Decision{SendMarks{marks: marks}}
}
