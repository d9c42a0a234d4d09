package stream

import (
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// suspectFor is the time for which every stream avoids an endpoint that was found at fault: reported load
// lags by seconds, so a router may still take a dead endpoint for the least busy one.
const suspectFor = 5 * time.Second

// suspect notes an endpoint at fault. Recoveries that wait for their turn on it ask for another pipeline;
// without this, a fault of several pipelines held them up for a turn on each dead one.
func (s *System) suspect(now time.Time, id table.EndpointID) {
	_, known := s.suspects[id]
	s.suspects[id] = now
	if known {
		return
	}
	for _, r := range s.pace.evict(id) {
		r.avoid = addOnce(r.avoid, id)
		s.ask(r)
	}
}

func (s *System) forgetSuspects(now time.Time) {
	for id, at := range s.suspects {
		if now.Sub(at) >= suspectFor {
			delete(s.suspects, id)
		}
	}
}

// avoid returns the endpoints that failed the stream and those found at fault lately.
func (s *System) avoid(r *row) []table.EndpointID {
	out := slices.Clone(r.avoid)
	for id := range s.suspects {
		out = addOnce(out, id)
	}
	slices.Sort(out)
	return out
}
