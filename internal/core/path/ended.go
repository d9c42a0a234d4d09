package path

import "time"

// RecordEnded excludes a worker from new paths for some time because a connection to it broke and a new one was refused. It
// reports whether that is new, as the other methods that record evidence do.
func (s *System) RecordEnded(now time.Time, id string) bool {
	w := s.workers[id]
	return w != nil && w.end.RecordEnd(now)
}

// RecordEndReport excludes a worker from new paths for some time because a peer has reported that it ended at the given time.
func (s *System) RecordEndReport(now, at time.Time, id string) bool {
	w := s.workers[id]
	return w != nil && w.end.RecordReport(now, at)
}

// RecordRefusedConnection records that a worker refused a connection.
func (s *System) RecordRefusedConnection(now time.Time, id string) bool {
	w := s.workers[id]
	return w != nil && w.end.RecordRefusedConnection(now)
}

// RecordResponse records that a worker responded to a request that was sent at the given time.
func (s *System) RecordResponse(sentAt time.Time, id string) {
	if w := s.workers[id]; w != nil {
		w.end.RecordResponse(sentAt)
	}
}

// Ended returns how many workers are excluded because they seem to have ended.
func (s *System) Ended(now time.Time) int {
	n := 0
	for _, w := range s.workers {
		if w.end.Excluded(now) {
			n++
		}
	}
	return n
}

// admitsAfterEnd reports whether what is known of the worker's end allows it on a path.
func (w *worker) admitsAfterEnd(now time.Time, d Demand) bool {
	return !w.end.Excluded(now) || (d.allowEnded && w.end.MayTry(now))
}

// mayTryEnded reports whether some worker that seems to have ended may be tried.
func (s *System) mayTryEnded(now time.Time) bool {
	for _, w := range s.workers {
		if w.serving() && w.end.Excluded(now) && w.end.MayTry(now) {
			return true
		}
	}
	return false
}

// beginTrials records that a stream tries the workers of its path that seem to have ended.
func (s *System) beginTrials(now time.Time, id string, p Path) {
	for _, part := range p {
		if w := s.workers[part.Worker]; w != nil {
			w.end.BeginTrial(now, id)
		}
	}
}

func (s *System) endTrials(id string, p Path) {
	for _, part := range p {
		if w := s.workers[part.Worker]; w != nil {
			w.end.EndTrial(id)
		}
	}
}
