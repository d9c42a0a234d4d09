package returns

import (
	"math"
	"math/rand"
	"time"
)

const (
	// maxAfter bounds the time that a caller is told to wait. Layers of a lost worker are held again after 4 to 8 s; a caller with
	// 20 s that returns after 6 s can be refused once more and still be served.
	maxAfter = 6 * time.Second
	// remainingDivisor is the share of their remaining time up to which callers honour Retry-After.
	remainingDivisor = 3
	// repeatFactor is how much longer a caller waits that is refused again.
	repeatFactor = 1.5
	// capSpread is the share of the longest possible wait over which callers return for whom the estimate lies after it.
	capSpread = 0.1
	// draws is how many times are drawn for a return. With few, returns bunch by chance; each costs a pass over the callers.
	draws = 6
	// neighbours is the number of callers that return within the time that is compared.
	neighbours = 6
	// minReturnShare and maxReturnShare bound the share of the capacity that is left for callers that return. New callers take the
	// rest. Where they take all, returns must not be put off without end, so a quarter is assumed.
	minReturnShare = 0.25
	maxReturnShare = 0.75
	// arrivalWindow is the time over which the rate of new callers is averaged. It is longer than a burst of some seconds.
	arrivalWindow = 10 * time.Second
	// keptAfterDue is how long a caller is remembered that has not returned. It may have returned to another host.
	keptAfterDue = 2 * time.Second
	// maxKept bounds the callers that are remembered, since each refusal passes over all of them some times, 0.1 ms at this number.
	maxKept = 1024
)

// Caller identifies a caller's request by the fingerprint of its content, which is the same when the caller returns.
type Caller [32]byte

// Config describes a System.
type Config struct {
	// Seed seeds the spread of the returns.
	Seed int64
}

// Refusal describes a caller that is refused.
type Refusal struct {
	Caller Caller
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	Opening  Opening
	// Minimum is the shortest wait. If the rate of the opening is not known, returns are spread over as much again.
	Minimum time.Duration
	// Deadline is the caller's deadline, and AnswerTime the time that it needs for the answer once it has returned.
	Deadline   time.Time
	AnswerTime time.Duration
}

// Plan is what a refused caller is told.
type Plan struct {
	after    time.Duration
	estimate time.Duration
	source   Source
	again    bool
	inTime   bool
}

// After returns when the caller shall return.
func (p Plan) After() time.Duration { return p.after }

// Estimate returns the time until there is capacity, and Source where it is from.
func (p Plan) Estimate() time.Duration { return p.estimate }

// Source returns what the estimate was derived from.
func (p Plan) Source() Source { return p.source }

// Again reports whether the caller had been refused before.
func (p Plan) Again() bool { return p.again }

// InTime reports whether the caller's deadline allows it to return.
func (p Plan) InTime() bool { return p.inTime }

// entry is a caller that was refused.
type entry struct {
	priority int
	due      time.Time
	after    time.Duration
	// back is set once the caller has returned.
	back bool
}

// System knows the callers of one service that this host has refused and that are due to return.
type System struct {
	random  *rand.Rand
	callers map[Caller]*entry
	// arrivals is the decayed number of new callers at arrivedAt. firstAt is when the first one came.
	arrivals  float64
	arrivedAt time.Time
	firstAt   time.Time
}

// New returns a system without callers.
func New(cfg Config) *System {
	return &System{random: rand.New(rand.NewSource(cfg.Seed)), callers: map[Caller]*entry{}}
}

// Arrive records that a caller has come, and reports whether it was refused before.
func (s *System) Arrive(now time.Time, c Caller) bool {
	if e := s.callers[c]; e != nil {
		e.back = true
		return true
	}
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	s.arrivals, s.arrivedAt = s.decayedArrivals(now)+1, now
	return false
}

// Leave records that a caller was served or has given up.
func (s *System) Leave(c Caller) {
	if e := s.callers[c]; e != nil && e.back {
		delete(s.callers, c)
	}
}

// Due returns how many callers are due to return.
func (s *System) Due(now time.Time) int { return s.due(now, math.MaxInt) }

// Refuse returns what a refused caller is told, and expects it back then.
func (s *System) Refuse(now time.Time, r Refusal) Plan {
	s.expire(now)
	known := s.callers[r.Caller]
	p := Plan{estimate: max(r.Opening.At.Sub(now), 0), source: r.Opening.Source, again: known != nil}
	longest := min((r.Deadline.Sub(now)-r.AnswerTime)/remainingDivisor, maxAfter)
	if longest < r.Minimum {
		// The caller can't return in time, so it takes no place of others that can.
		p.after = min(max(p.estimate, r.Minimum)+time.Duration(s.random.Float64()*float64(r.Minimum)), max(maxAfter, r.Minimum))
		delete(s.callers, r.Caller)
		return p
	}
	p.inTime = true
	first := max(p.estimate, r.Minimum)
	if known != nil {
		first = max(first, time.Duration(float64(known.after)*repeatFactor))
	}
	p.after = s.spread(now, r, first, longest)
	if known == nil && len(s.callers) >= maxKept {
		return p
	}
	s.callers[r.Caller] = &entry{priority: r.Priority, due: now.Add(p.after), after: p.after}
	return p
}

// spread returns a time from first to longest for a caller. The callers that are due need an interval in which each finds a place;
// the more urgent ones return in its earlier half. Of some times drawn there, the one at which the fewest others return is chosen.
func (s *System) spread(now time.Time, r Refusal, first, longest time.Duration) time.Duration {
	if first >= longest {
		return s.leastCrowded(now, time.Duration((1-capSpread)*float64(longest)), longest, capSpread*longest.Seconds()/2)
	}
	if r.Opening.Rate <= 0 {
		return min(first+time.Duration(s.random.Float64()*float64(r.Minimum)), longest)
	}
	rate := r.Opening.Rate * s.returnShare(now, r.Opening.Rate)
	all := float64(s.due(now, math.MaxInt) + 1)
	from := min(float64(s.due(now, r.Priority-1)), all/2)
	to := max(float64(s.due(now, r.Priority)+1), all/2)
	begin, end := first+seconds(from/rate), first+seconds(to/rate)
	if begin > longest {
		begin = first + (longest-first)/2
	}
	return s.leastCrowded(now, begin, min(end, longest), neighbours/rate/2)
}

// leastCrowded returns a time between two, at which the fewest callers are due within a radius in seconds.
func (s *System) leastCrowded(now time.Time, from, to time.Duration, radius float64) time.Duration {
	var best time.Duration
	fewest := math.MaxInt
	for range draws {
		after := from + time.Duration(s.random.Float64()*float64(to-from))
		n := 0
		for _, e := range s.callers {
			if !e.back && math.Abs(e.due.Sub(now.Add(after)).Seconds()) < radius {
				n++
			}
		}
		if n < fewest || (n == fewest && after < best) {
			best, fewest = after, n
		}
	}
	return best
}

// due returns how many callers are due to return that are at least as urgent as a priority.
func (s *System) due(now time.Time, priority int) int {
	n := 0
	for _, e := range s.callers {
		if !e.back && e.due.After(now) && e.priority <= priority {
			n++
		}
	}
	return n
}

// returnShare returns the share of a rate that new callers leave.
func (s *System) returnShare(now time.Time, rate float64) float64 {
	window := min(max(now.Sub(s.firstAt), time.Second), arrivalWindow)
	// A decayed sum over a window that has just begun covers less than the whole window.
	covered := arrivalWindow.Seconds() * (1 - math.Exp(-float64(window)/float64(arrivalWindow)))
	free := 1 - s.decayedArrivals(now)/covered/rate
	return min(max(free, minReturnShare), maxReturnShare)
}

func (s *System) decayedArrivals(now time.Time) float64 {
	return s.arrivals * math.Exp(-float64(max(now.Sub(s.arrivedAt), 0))/float64(arrivalWindow))
}

// expire forgets the callers that have not returned.
func (s *System) expire(now time.Time) {
	for c, e := range s.callers {
		if !e.back && now.Sub(e.due) > keptAfterDue {
			delete(s.callers, c)
		}
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
