package balance

import "time"

// trialName names the request that tries an endpoint that seems to have ended; there is one at a time.
const trialName = "trial"

// RecordEnded excludes an endpoint for some time because a connection to it broke and a new one was refused. It
// reports whether that is new, as the other methods that record evidence do.
func (s *System) RecordEnded(now time.Time, id string) bool {
	e := s.endpoints[id]
	return e != nil && e.end.RecordEnd(now)
}

// RecordEndReport excludes an endpoint for some time because a peer has reported that it ended at the given time.
func (s *System) RecordEndReport(now, at time.Time, id string) bool {
	e := s.endpoints[id]
	return e != nil && e.end.RecordReport(now, at)
}

// RecordRefusedConnection records that an endpoint refused a connection.
func (s *System) RecordRefusedConnection(now time.Time, id string) bool {
	e := s.endpoints[id]
	return e != nil && e.end.RecordRefusedConnection(now)
}

// RecordResponse records that an endpoint responded to a request that was sent at the given time.
func (s *System) RecordResponse(sentAt time.Time, id string) {
	if e := s.endpoints[id]; e != nil {
		e.end.RecordResponse(sentAt)
	}
}

// Ended returns how many endpoints are excluded because they seem to have ended.
func (s *System) Ended(now time.Time) int {
	n := 0
	for _, e := range s.endpoints {
		if e.end.Excluded(now) {
			n++
		}
	}
	return n
}
