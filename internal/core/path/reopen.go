package path

import (
	"math"
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/ended"
	"waxwingplank/internal/core/returns"
)

const (
	// initialLife is the expected duration of a stream before any has ended.
	initialLife = 2 * time.Second
	// keptAbsences is how many absences of cover are remembered. The longest of them counts, since a second refusal costs a caller
	// more than a longer wait.
	keptAbsences = 3
	// minAbsence is the shortest absence that counts. Shorter ones are ends that were wrongly reported, which a trial shows after a
	// second, and workers that hand over to others.
	minAbsence = 1200 * time.Millisecond
	// overdueShare is the share of the time without cover that is added to it once the estimate has passed.
	overdueShare = 0.5
	// minOpeningRate is the lowest rate that is assumed, in requests per second. At lower ones, all returns lie at the longest wait.
	minOpeningRate = 0.2
)

// absence is a time in which some layers are not held by any worker that is not known to have ended.
type absence struct {
	since time.Time
	// lapse is set if the end of the workers became known while they were listed.
	lapse bool
	// layers is the number of layers that one worker loads, rate the number of streams of this host that all the lost workers
	// carried in a second.
	layers int
	rate   float64
}

// Reopen estimates when a demand that was refused finds a path. The workers that the demand avoids count as usable.
func (s *System) Reopen(now time.Time, d Demand, why Refusal) returns.Opening {
	unknown := returns.Opening{At: now, Source: returns.Unknown}
	if s.engine == nil || s.engine.Layers == 0 {
		return unknown
	}
	switch why {
	case Uncovered:
		if missing := s.missingLayers(); missing > 0 {
			return s.coverOpening(now, d, missing)
		}
	case Full:
		return s.memoryOpening(now, d)
	case Accepted, Congested, Paused, Limited:
	}
	return unknown
}

// NextTrial returns when the first of the workers that seem to have ended may be tried, or the zero time if there is none.
func (s *System) NextTrial(now time.Time) time.Time {
	var next time.Time
	for _, w := range s.workers {
		if w.serving() && w.end.Excluded(now) && (next.IsZero() || w.end.NextTrial().Before(next)) {
			next = w.end.NextTrial()
		}
	}
	return next
}

// missingLayers returns how many layers are not held by any worker that is not known to have ended.
func (s *System) missingLayers() int {
	held := make([]bool, s.engine.Layers)
	for _, w := range s.workers {
		if !w.serving() || w.end.Known() {
			continue
		}
		for l := max(w.holds.From, 0); l < min(w.holds.To, len(held)); l++ {
			held[l] = true
		}
	}
	missing := 0
	for _, h := range held {
		if !h {
			missing++
		}
	}
	return missing
}

// coverOpening estimates when the missing layers are held again.
func (s *System) coverOpening(now time.Time, d Demand, missing int) returns.Opening {
	s.beginAbsence(now, d, missing)
	a := s.absence
	expected, source := time.Duration(0), returns.Ended
	for _, past := range s.absences {
		expected, source = max(expected, past), returns.Absences
	}
	if source == returns.Ended {
		expected = time.Duration(float64(s.engine.LoadTime) * float64(a.layers) / float64(s.engine.Layers))
		if a.lapse {
			expected += ended.EntryLapse
		}
	}
	at := a.since.Add(expected)
	if at.Before(now) {
		at, source = now.Add(time.Duration(overdueShare*float64(now.Sub(a.since)))), returns.Overdue
	}
	return returns.Opening{At: at, Rate: a.rate, Source: source}
}

// beginAbsence records that layers are missing, unless that is known.
func (s *System) beginAbsence(now time.Time, d Demand, missing int) {
	if !s.absence.since.IsZero() {
		return
	}
	a := absence{since: now, layers: missing}
	places := math.Inf(1)
	for l := range s.engine.Layers {
		if p := s.places(l, d); p > 0 {
			places = min(places, p)
		}
	}
	if !math.IsInf(places, 1) {
		a.rate = s.hostRate(places)
	}
	most := 0
	for _, w := range s.workers {
		if !w.serving() || !w.end.Known() {
			continue
		}
		a.lapse, most = true, max(most, w.holds.Len())
		if known := w.end.Since(); known.Before(a.since) {
			a.since = known
		}
	}
	if most > 0 {
		a.layers = min(most, missing)
	}
	s.absence = a
}

// observeCover records the end of an absence.
func (s *System) observeCover(now time.Time) {
	if s.absence.since.IsZero() || s.engine == nil || s.missingLayers() > 0 {
		return
	}
	if lasted := now.Sub(s.absence.since); lasted >= minAbsence {
		s.absences = append(s.absences, lasted)
		s.absences = s.absences[max(0, len(s.absences)-keptAbsences):]
	}
	s.absence = absence{}
}

// places returns how many streams like a demand fit on the workers that hold a layer, including those that have ended and are listed.
func (s *System) places(layer int, d Demand) float64 {
	n := 0.0
	for _, w := range s.workers {
		if w.serving() && w.holds.Contains(layer) {
			n += w.capacity * maxMemoryShare / math.Max(d.tokens()*float64(w.holds.Len()), 1)
		}
	}
	return n
}

// hostRate returns how many of this host's streams end in a second if some streams of all hosts are in progress.
func (s *System) hostRate(streams float64) float64 {
	life := time.Duration(s.meanLife.value).Seconds()
	return max(streams/life/float64(s.peerCount+1), minOpeningRate)
}

// memoryOpening estimates when enough of the streams on the workers that bind have ended to fit a demand.
func (s *System) memoryOpening(now time.Time, d Demand) returns.Opening {
	wait, streams := 0.0, math.Inf(1)
	for _, l := range s.fullLayers(now, d) {
		soonest, running := math.Inf(1), 0.0
		for _, w := range s.workers {
			if !s.binds(w, l) {
				continue
			}
			used, n := w.load(s.peers)
			running += n
			if n < 1 || used <= 0 {
				continue
			}
			short := used + d.tokens()*float64(w.holds.Len()) - w.capacity*maxMemoryShare
			soonest = min(soonest, math.Ceil(short/(used/n))*s.meanLife.value/n)
		}
		if math.IsInf(soonest, 1) {
			continue
		}
		wait, streams = max(wait, soonest), min(streams, running)
	}
	if math.IsInf(streams, 1) {
		return returns.Opening{At: now, Source: returns.Unknown}
	}
	return returns.Opening{At: now.Add(time.Duration(wait)), Rate: s.hostRate(streams), Source: returns.Running}
}

// fullLayers returns the layers all of whose holders have too little free memory for a demand, one for each set of holders at most.
func (s *System) fullLayers(now time.Time, d Demand) []int {
	reserved := s.reserve(now, d)
	var out []int
	for _, l := range cutsOf(s.candidatesOf(func(w *worker) bool { return w.serving() && !w.end.Known() }), deployment.Range{To: s.engine.Layers}) {
		held, free := false, false
		for _, w := range s.workers {
			if s.binds(w, l) {
				held = true
				free = free || !w.exceedsMemory(d, s.peers, reserved)
			}
		}
		if held && !free {
			out = append(out, l)
		}
	}
	return out
}

func (s *System) candidatesOf(use func(*worker) bool) (out []candidate) {
	for _, w := range s.workers {
		if use(w) {
			out = append(out, candidate{worker: w})
		}
	}
	return out
}

// binds reports whether a worker that is not known to have ended holds a layer.
func (s *System) binds(w *worker, layer int) bool {
	return w.serving() && !w.end.Known() && w.holds.Contains(layer)
}

// MeanLife returns how long streams have taken of late.
func (s *System) MeanLife() time.Duration { return time.Duration(s.meanLife.value) }

// recordLife adds the duration of a stream that has ended to the mean.
func (s *System) recordLife(st *stream) {
	if st.events > 1 {
		s.meanLife.add(st.last.Sub(st.begun))
	}
}
