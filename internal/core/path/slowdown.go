package path

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// slowRatio is the ratio of the observed event gaps to the expected ones from which a worker is asked for its
	// slowdown. All streams through the worker must exceed it. The expected gap follows from the model and from
	// the other streams.
	slowRatio = 1.45
	// minEvents is the number of events from which the gaps of a stream are evaluated.
	minEvents = 4
	// minStreams is the number of streams needed to determine the baseline.
	minStreams = 3
	// gapSmoothing is the weight of the newest gap in a stream's mean.
	gapSmoothing = 0.3
	// baselineQuantile is the share of streams that are faster than the baseline.
	baselineQuantile = 0.2
	// baselineFallWeight and baselineRiseWeight are the weights of a new sample of the baseline. It falls fast and
	// rises slowly, so that a worker that is slow for ten seconds does not become the baseline.
	baselineFallWeight = 0.2
	baselineRiseWeight = 0.01
	// slowdownTTL is how long a reported slowdown is valid. slowRecheckInterval is the interval at which a slow
	// worker is asked again.
	slowdownTTL         = 3 * time.Second
	slowRecheckInterval = time.Second
	// recheckInterval is the time after which a worker with normal speed may be asked again. Each report of normal
	// speed doubles it, at most maxRecheckShift times.
	recheckInterval = 2 * time.Second
	maxRecheckShift = 3
	// maxChecks is the largest number of workers that are asked at once, since each check has a cost.
	maxChecks = 4
	// checksPerSecond limits the checks of suspected workers by all hosts together. Each of many hosts has few streams to
	// compare and suspects many workers wrongly. A slow worker is on the paths of many hosts, which report their findings
	// to each other.
	checksPerSecond = 40
)

// recordGap adds the gap before an event to the stream's mean.
func (st *stream) recordGap(gap time.Duration) {
	if st.gap == 0 {
		st.gap = float64(gap)
	}
	st.gap += gapSmoothing * (float64(gap) - st.gap)
}

// slowdown returns the worker's slowdown, a factor where 1 is normal speed.
func (w *worker) slowdown() float64 { return max(w.ownSlowdown, w.peerSlowdown, 1) }

// SetSlowdown records the slowdown that a worker reported; 1 is normal speed.
func (s *System) SetSlowdown(now time.Time, id string, slowdown float64) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.ownSlowdown, w.ownSlowdownAt = slowdown, now
	if slowdown > 1 {
		w.normalChecks = 0
	} else {
		w.normalChecks++
	}
}

// SlowdownChecks returns the ids of the workers to be asked for their slowdown now: those through which all streams
// are slow for no known reason, and those that have reported a slowdown.
func (s *System) SlowdownChecks(now time.Time) []string {
	s.expireSlowdowns(now)
	gaps := s.relativeGaps(now)
	var known, suspected []string
	for _, id := range s.order {
		w := s.workers[id]
		switch {
		case w.ownSlowdown > 1 && now.Sub(w.ownSlowdownAt) >= slowRecheckInterval:
			known = append(known, id)
		case w.ownSlowdown <= 1 && w.peerSlowdown <= 1 && gaps[id] > slowRatio && now.Sub(w.checkedAt) >= recheckInterval<<min(w.normalChecks, maxRecheckShift):
			suspected = append(suspected, id)
		}
	}
	byGap := func(a, b string) int { return cmp.Compare(gaps[b], gaps[a]) }
	slices.SortStableFunc(known, byGap)
	slices.SortStableFunc(suspected, byGap)
	out := known[:min(len(known), maxChecks)]
	share := checksPerSecond / float64(s.peerCount+1)
	s.checks.SetLimitAt(now, rate.Limit(share))
	s.checks.SetBurstAt(now, max(int(share), 1))
	for _, id := range suspected {
		if len(out) >= maxChecks || !s.checks.AllowN(now, 1) {
			break
		}
		out = append(out, id)
	}
	for _, id := range out {
		s.workers[id].checkedAt = now
	}
	return out
}

func (s *System) expireSlowdowns(now time.Time) {
	for _, w := range s.workers {
		if now.Sub(w.ownSlowdownAt) > slowdownTTL {
			w.ownSlowdown = 1
		}
		if now.Sub(w.peerSlowdownAt) > slowdownTTL {
			w.peerSlowdown = 1
		}
	}
}

// relativeGaps returns for each worker the smallest gap ratio of the streams through it, relative to the baseline.
// It is nil if there are too few streams to compare.
func (s *System) relativeGaps(now time.Time) map[string]float64 {
	fastest := map[string]float64{}
	var ratios []float64
	for _, st := range s.streams {
		if st.events < minEvents || now.Sub(st.last) > minStallTimeout {
			continue
		}
		ratio := st.gap / s.passMs(st.path)
		ratios = append(ratios, ratio)
		for _, part := range st.path {
			if old, ok := fastest[part.Worker]; !ok || ratio < old {
				fastest[part.Worker] = ratio
			}
		}
	}
	if len(ratios) < minStreams {
		return nil
	}
	slices.Sort(ratios)
	sample := ratios[int(baselineQuantile*float64(len(ratios)))]
	switch {
	case s.baselineRatio == 0:
		s.baselineRatio = sample
	case sample < s.baselineRatio:
		s.baselineRatio += baselineFallWeight * (sample - s.baselineRatio)
	default:
		s.baselineRatio += baselineRiseWeight * (sample - s.baselineRatio)
	}
	for id := range fastest {
		fastest[id] /= s.baselineRatio
	}
	return fastest
}
