package stream

import (
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// suspectDuration is how long every stream avoids an endpoint that was found at fault. Reported load lags by
// seconds, so a router may still choose a dead endpoint as the least busy one.
const suspectDuration = 5 * time.Second

// markSuspect records an endpoint at fault. Recoveries that are queued for it request another pipeline. Otherwise,
// when several pipelines fail, a recovery would wait for its turn on each dead one.
func (s *System) markSuspect(now time.Time, id table.EndpointID) {
	_, suspected := s.suspects[id]
	s.suspects[id] = now
	if suspected {
		return
	}
	for _, r := range s.pacer.evict(id) {
		r.avoid = appendUnique(r.avoid, id)
		s.requestPipeline(r)
	}
}

func (s *System) expireSuspects(now time.Time) {
	for id, at := range s.suspects {
		if now.Sub(at) >= suspectDuration {
			delete(s.suspects, id)
		}
	}
}

// endpointsToAvoid returns the endpoints that failed the stream and the current suspects.
func (s *System) endpointsToAvoid(r *row) []table.EndpointID {
	out := slices.Clone(r.avoid)
	for id := range s.suspects {
		out = appendUnique(out, id)
	}
	slices.Sort(out)
	return out
}
