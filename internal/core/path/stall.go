package path

import (
	"math"
	"sort"
	"time"
)

const (
	// initialGap and initialFirstWait are the expected waits for the next and the first event before any was
	// measured.
	initialGap       = 40 * time.Millisecond
	initialFirstWait = 120 * time.Millisecond
	// A stream is stalled after stallGapFactor times the mean gap, but not before minStallTimeout, so that one
	// slow step raises no alarm. Before its first event it is stalled after firstStallFactor times the mean wait,
	// at least minFirstTimeout.
	stallGapFactor   = 3
	minStallTimeout  = 90 * time.Millisecond
	firstStallFactor = 3
	minFirstTimeout  = 300 * time.Millisecond
	// manySuspectsFactor lengthens the timeout while too few other streams show which worker is at fault.
	manySuspectsFactor = 4
	// fewSuspects is the number of suspected workers that a new path can do without.
	fewSuspects = 3
	// clearingMargin is how much later than a stalled stream another one must have progressed to clear the workers
	// they share.
	clearingMargin = 15 * time.Millisecond
	// suspicionPeriod is how long a worker is excluded at first. An unresponsive endpoint leaves the list within
	// three heartbeats of about a second.
	suspicionPeriod    = 1500 * time.Millisecond
	maxExclusionPeriod = 12 * time.Second
	// maxSuspicionShift bounds the doubling of the suspicion period; at this shift it exceeds maxExclusionPeriod.
	maxSuspicionShift = 5
	// maxStallShift keeps the growing timeout below the time after which callers abandon a request.
	maxStallShift = 3
	// failureSmoothing is the weight of the newest request in a worker's share of failures.
	failureSmoothing = 0.1
	// refusalPeriod is how long a worker that refused a request is excluded at first. A worker short of memory has
	// capacity again once a stream has ended; one that is draining does not come back.
	refusalPeriod   = 500 * time.Millisecond
	maxRefusalShift = 5
	// suspectedPathFactor shortens the timeout for streams through a worker that is already suspected.
	suspectedPathFactor = 0.6
	// averageSmoothing is the weight of a new sample in an average.
	averageSmoothing = 0.05
)

// average is an exponentially weighted mean of durations in nanoseconds.
type average struct{ value float64 }

func (a *average) add(d time.Duration) { a.value += averageSmoothing * (float64(d) - a.value) }

func (a *average) scaled(factor int) time.Duration { return time.Duration(a.value * float64(factor)) }

// stream is a running stream of this host.
type stream struct {
	path     Path
	demand   Demand
	begun    time.Time
	last     time.Time
	events   int
	reported bool
	// stalls counts how often the stream was found stalled; each stall doubles its timeout.
	stalls int
	// gap is the mean gap between its events, in ns.
	gap float64
}

// Stalled describes a stalled stream and the workers that may have stalled it.
type Stalled struct {
	Stream   string
	Suspects map[string]bool
	IdleTime time.Duration
}

// Progress records an event of a stream.
func (s *System) Progress(now time.Time, id string) {
	st := s.streams[id]
	if st == nil {
		return
	}
	if st.events == 0 {
		s.meanFirstWait.add(now.Sub(st.last))
	} else {
		s.meanGap.add(now.Sub(st.last))
		st.recordGap(now.Sub(st.last))
	}
	st.events++
	st.last, st.reported = now, false
	first := st.events == 1
	for _, part := range st.path {
		if w := s.workers[part.Worker]; w != nil {
			w.end.RecordEvent(now)
			if first && !st.begun.Before(w.refusedUntil) {
				w.refusals = 0
			}
			if now.Before(w.suspectUntil) && now.Sub(w.suspectedAt) < clearingMargin {
				// Events that were in flight when the worker stalled do not clear it.
				continue
			}
			w.progressedAt, w.suspicions, w.suspectUntil = now, 0, time.Time{}
			if w.refusals == 0 {
				w.trial = ""
			}
		}
	}
}

// Suspect excludes a worker from new paths for some time. The worker is named by its id or address.
func (s *System) Suspect(now time.Time, name string) {
	for _, w := range s.workers {
		if w.endpoint.ID != name && w.endpoint.Address != name {
			continue
		}
		if now.Before(w.suspectUntil) {
			return
		}
		w.trial, w.suspectedAt = "", now
		w.suspectUntil = now.Add(min(suspicionPeriod<<min(w.suspicions, maxSuspicionShift), maxExclusionPeriod))
		w.suspicions++
		return
	}
}

// RecordSend records whether a worker responded to a request that was sent to it. A worker that fails some of its
// requests gets fewer new ones, however many others it serves.
func (s *System) RecordSend(id string, responded bool) {
	w := s.workers[id]
	if w == nil {
		return
	}
	failed := 1.0
	if responded {
		failed = 0
	}
	w.failures += failureSmoothing * (failed - w.failures)
}

// RecordRefusal excludes a worker that refused a request from new paths for some time. The worker is named by its
// address.
func (s *System) RecordRefusal(now time.Time, address string) {
	for _, w := range s.workers {
		if w.endpoint.Address != address || now.Before(w.refusedUntil) {
			continue
		}
		w.trial = ""
		w.refusedUntil = now.Add(min(refusalPeriod<<min(w.refusals, maxRefusalShift), maxExclusionPeriod))
		w.refusals++
	}
}

// Suspected returns the workers that are suspected now and excluded from new paths.
func (s *System) Suspected(now time.Time) []string {
	var out []string
	for _, id := range s.order {
		if now.Before(s.workers[id].suspectUntil) {
			out = append(out, id)
		}
	}
	return out
}

// CapacityReport describes the workers in the log line of a refusal.
type CapacityReport struct {
	Workers   int      `json:"workers"`
	Suspected []string `json:"suspected"`
	Refusing  []string `json:"refusing"`
	// Full lists the workers without enough free memory for the demand.
	Full  []string `json:"full"`
	Peers int      `json:"peers"`
	// Links holds the use of the links between domains, as a share.
	Links map[string]float64 `json:"links,omitempty"`
	// Reserved is the share of the memory of workers that is kept free for more urgent classes.
	Reserved float64 `json:"reserved,omitempty"`
}

// CapacityReport returns the reasons why workers cannot serve a demand.
func (s *System) CapacityReport(now time.Time, d Demand) CapacityReport {
	const hundredths = 100
	out := CapacityReport{Workers: len(s.order), Suspected: s.Suspected(now), Peers: s.peers, Links: map[string]float64{}}
	reserved := s.reserve(now, d)
	out.Reserved = math.Round(reserved.share*hundredths) / hundredths
	for _, id := range s.order {
		w := s.workers[id]
		if now.Before(w.refusedUntil) || now.Before(w.peerRefusedUntil) {
			out.Refusing = append(out.Refusing, id)
		}
		if w.exceedsMemory(d, s.peers, reserved) {
			out.Full = append(out.Full, id)
		}
	}
	for key, u := range s.linkUses(now) {
		out.Links[key.name()] = math.Round(u*hundredths) / hundredths
	}
	return out
}

// Tick returns the streams that have stalled since the last call.
func (s *System) Tick(now time.Time) []Stalled {
	s.observeCover(now)
	var out []Stalled
	counts := map[string]int{}
	for id, st := range s.streams {
		suspects := s.stallSuspects(now, st)
		if st.reported || len(suspects) == 0 {
			continue
		}
		st.reported = true
		st.stalls++
		out = append(out, Stalled{Stream: id, Suspects: suspects, IdleTime: now.Sub(st.last)})
		if len(suspects) <= fewSuspects {
			for w := range suspects {
				counts[w]++
			}
		}
	}
	s.suspectMostFrequent(now, counts)
	sort.Slice(out, func(i, j int) bool { return out[i].Stream < out[j].Stream })
	return out
}

// stallSuspects returns the workers that may stall a stream, or none if its timeout has not passed.
func (s *System) stallSuspects(now time.Time, st *stream) map[string]bool {
	limit := max(s.meanGap.scaled(stallGapFactor), minStallTimeout)
	if st.events == 0 {
		limit = max(s.meanFirstWait.scaled(firstStallFactor), minFirstTimeout)
	}
	idle := now.Sub(st.last)
	suspectedLimit := time.Duration(float64(limit) * suspectedPathFactor)
	if idle < suspectedLimit {
		return nil
	}
	if st.events > 0 && s.throughSuspect(now, st) {
		limit = suspectedLimit
	}
	limit <<= min(st.stalls, maxStallShift)
	if idle < limit {
		return nil
	}
	// If all workers on the path make progress, the stream is only waiting for its turn, and a new path would add
	// load.
	suspects := s.uncleared(st)
	if len(suspects) > fewSuspects && idle < manySuspectsFactor*limit {
		return nil
	}
	return suspects
}

// throughSuspect reports whether a worker of the stream's path is suspected.
func (s *System) throughSuspect(now time.Time, st *stream) bool {
	for _, part := range st.path {
		if w := s.workers[part.Worker]; w == nil || now.Before(w.suspectUntil) {
			return true
		}
	}
	return false
}

// uncleared returns the workers of a stalled stream through which no other stream has progressed since it stalled.
func (s *System) uncleared(st *stream) map[string]bool {
	out := map[string]bool{}
	for _, part := range st.path {
		w := s.workers[part.Worker]
		if w == nil || !w.progressedAt.After(st.last.Add(clearingMargin)) {
			out[part.Worker] = true
		}
	}
	return out
}

// suspectMostFrequent suspects the workers that are suspects of the most stalled streams.
func (s *System) suspectMostFrequent(now time.Time, counts map[string]int) {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	for id, n := range counts {
		if n == most {
			s.Suspect(now, id)
		}
	}
}

// PathOf returns the path of a stream.
func (s *System) PathOf(id string) Path {
	if st := s.streams[id]; st != nil {
		return st.path
	}
	return nil
}
