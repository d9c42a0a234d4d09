package path

import (
	"math"
	"time"

	"waxwingplank/internal/core/deployment"
)

const (
	// demandWindow is the time over which the work asked for is averaged. A small host gets about a request of each class in a
	// second, and bursts last for several seconds.
	demandWindow = 4 * time.Second
	// demandRetention is how long a class counts as one that has asked for work. After it, a fifteenth of the average is left.
	demandRetention = 11 * time.Second
	// maxReservedShare bounds the share of a worker's memory that is reserved for other requests, so that each class has most of it.
	maxReservedShare = 1.0 / 3
	// reserveFromUse is the use of the memory from which a share of it is reserved, and fullReserveUse the use from which all of the
	// reserve is. On calm days the use stays below the first.
	reserveFromUse = 0.6
	fullReserveUse = 0.8
	// A class leaves no reserve while its served share is below minServedRatio of that of all classes down to it, and the whole
	// reserve from fullServedRatio on. A quarter is the least that must be served; the rest is a margin for the time that passes until
	// room is free. With 0.4 and 1, the three classes of the first case of testdata/reserve.txtar are served 0.865, 0.654 and 0.500
	// instead of 0.900, 0.613 and 0.369.
	minServedRatio  = 0.3
	fullServedRatio = 0.6
	// minLargeRatio is the part of the served share of a class below which its large requests are starved. It is above a quarter for
	// the same reason.
	minLargeRatio = 0.5
	// largeFactor is how many times the mean work of its class a large request needs. Such requests find room last.
	largeFactor = 2
)

// work is the recent work of the new requests of a class on this host, in tokens. The layers of a service are the same for all.
type work struct {
	asked, granted           float64
	requests                 float64
	largeAsked, largeGranted float64
	largeRequests            float64
	at                       time.Time
	// askedAt is when the class last asked for work.
	askedAt time.Time
}

// decayed returns the work at a time.
func (w work) decayed(now time.Time) work {
	if w.askedAt.IsZero() || now.Sub(w.askedAt) >= demandRetention {
		return work{at: now}
	}
	factor := math.Exp(-float64(max(now.Sub(w.at), 0)) / float64(demandWindow))
	for _, sum := range []*float64{&w.asked, &w.granted, &w.requests, &w.largeAsked, &w.largeGranted, &w.largeRequests} {
		*sum *= factor
	}
	w.at = now
	return w
}

// large reports whether a request needs far more than most of the class.
func (w work) large(d Demand) bool {
	return d.tokens()*w.requests > largeFactor*w.asked && w.requests > 0
}

// servedRatio returns the share of a class that was served over a share of others.
func servedRatio(granted, asked, otherGranted, otherAsked float64) float64 {
	if asked <= 0 || otherGranted <= 0 {
		return 1
	}
	return granted * otherAsked / (otherGranted * asked)
}

// placeable reports whether a worker could ever hold what a request needs. Others don't count: one absurd number would outweigh all
// other requests.
func (s *System) placeable(d Demand) bool {
	for _, w := range s.workers {
		if w.holds.Len() > 0 && d.tokens() >= 0 && d.tokens()*float64(w.holds.Len()) <= w.capacity*maxMemoryShare {
			return true
		}
	}
	return false
}

// RecordRequest records that a new request asks for a path. It is called once for each request, before it is first placed.
func (s *System) RecordRequest(now time.Time, d Demand) {
	if !s.placeable(d) {
		return
	}
	c := deployment.ClassOf(int(d.Class))
	w := s.work[c].decayed(now)
	if w.large(d) {
		w.largeAsked += d.tokens()
		w.largeRequests++
	}
	w.asked += d.tokens()
	w.requests++
	w.askedAt = now
	s.work[c] = w
}

// recordGrant records that a new request was placed.
func (s *System) recordGrant(now time.Time, d Demand) {
	c := deployment.ClassOf(int(d.Class))
	w := s.work[c].decayed(now)
	if w.large(d) {
		w.largeGranted += d.tokens()
	}
	w.granted += d.tokens()
	s.work[c] = w
}

// reserve is memory that a request must leave free on each worker.
type reserve struct {
	// share is the share of the memory that is kept for more urgent classes.
	share float64
	// tokens is the size of the large request of the same class for which room is kept.
	tokens float64
}

// of returns the share of a worker's memory that is reserved.
func (r reserve) of(w *worker) float64 {
	return min(r.share+r.tokens*float64(w.holds.Len())/math.Max(w.capacity, 1), maxReservedShare)
}

// reserve returns what a request must leave free. It is nothing if only one class has asked for work of late, if the workers have
// room, or if the response has begun.
func (s *System) reserve(now time.Time, d Demand) reserve {
	if d.Begun {
		return reserve{}
	}
	class := deployment.ClassOf(int(d.Class))
	own := s.work[class].decayed(now)
	var above, aboveGranted, others float64
	for c := range s.work {
		if deployment.Class(c) == class {
			continue
		}
		w := s.work[c].decayed(now)
		others += w.asked
		if deployment.Class(c) < class {
			above += w.asked
			aboveGranted += w.granted
		}
	}
	if others <= 0 {
		return reserve{}
	}
	ratio := servedRatio(own.granted, own.asked, aboveGranted+own.granted, above+own.asked)
	out := reserve{share: maxReservedShare * above / (others + own.asked) * ramp(ratio, minServedRatio, fullServedRatio)}
	if !own.large(d) && servedRatio(own.largeGranted, own.largeAsked, own.granted, own.asked) < minLargeRatio {
		out.tokens = own.largeAsked / own.largeRequests
	}
	if out == (reserve{}) {
		return out
	}
	pressure := ramp(s.tightestUse(now), reserveFromUse, fullReserveUse)
	return reserve{share: out.share * pressure, tokens: out.tokens * pressure}
}

// ramp rises from 0 to 1 between two values.
func ramp(x, from, to float64) float64 { return min(max((x-from)/(to-from), 0), 1) }

// ReservedShare returns the share of the memory of workers that is kept free of the requests of a class for more urgent ones.
func (s *System) ReservedShare(now time.Time, class deployment.Class) float64 {
	return s.reserve(now, Demand{Class: class}).share
}

// tightestUse returns the largest share in use of the memory of all usable workers of a layer.
func (s *System) tightestUse(now time.Time) float64 {
	if s.engine == nil {
		return 0
	}
	// The changes of the sums from one layer to the next.
	used, capacity := make([]float64, s.engine.Layers+1), make([]float64, s.engine.Layers+1)
	for _, w := range s.workers {
		if !w.usable(now) || w.holds.From < 0 || w.holds.To > s.engine.Layers {
			continue
		}
		u, _ := w.load(s.peers)
		used[w.holds.From] += u
		used[w.holds.To] -= u
		capacity[w.holds.From] += w.capacity
		capacity[w.holds.To] -= w.capacity
	}
	tightest, usedSum, capacitySum := 0.0, 0.0, 0.0
	for layer := range s.engine.Layers {
		usedSum += used[layer]
		capacitySum += capacity[layer]
		if capacitySum > 1 {
			tightest = max(tightest, usedSum/capacitySum)
		}
	}
	return tightest
}
