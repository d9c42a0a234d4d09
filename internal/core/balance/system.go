package balance

import (
	"math/rand"
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/ended"
	"waxwingplank/internal/core/limit"
)

const (
	// failureSmoothing is the weight of the newest request in an endpoint's share of failures.
	failureSmoothing = 0.2
	// failureWeight makes an endpoint that fails every request cost as much as one with 20 more requests per slot.
	// It still gets a few requests, which show when it has recovered.
	failureWeight = 20
	// suspicionPeriod is how long an unreachable endpoint is avoided.
	suspicionPeriod = time.Second
	// failureHalfLife is the time in which the failure share of an endpoint without requests halves.
	failureHalfLife = 2 * time.Second
)

// Result is the outcome of a request at an endpoint.
type Result string

// The results of requests.
const (
	Served Result = "served"
	// Refused means that the endpoint did not run the request.
	Refused Result = "refused"
	// Paused means that the endpoint did not run the request and wants no others for some time, which is no failure.
	Paused Result = "paused"
	// Failed means that the endpoint ran or may have run the request and sent no valid response.
	Failed Result = "failed"
	// Unreached means that nothing was sent.
	Unreached Result = "unreached"
	// Abandoned means that the caller left, which does not count against the endpoint.
	Abandoned Result = "abandoned"
)

type endpoint struct {
	entry        deployment.Endpoint
	running      int
	peerRunning  int
	failures     float64
	failuresAt   time.Time
	suspectUntil time.Time
	// pausedUntil is the end of the time for which the endpoint wants no requests.
	pausedUntil time.Time
	// end is what is known of the end of the endpoint's instance.
	end ended.State
}

// Config describes a System.
type Config struct {
	// Seed seeds the random choice between equal endpoints.
	Seed int64
	// Limits holds the request rates that endpoints have named; nil stands for none.
	Limits *limit.System
}

// System balances requests over the endpoints of one plain service.
type System struct {
	endpoints map[string]*endpoint
	order     []string
	random    *rand.Rand
	limits    *limit.System
}

// New returns a system without endpoints.
func New(cfg Config) *System {
	return &System{endpoints: map[string]*endpoint{}, random: rand.New(rand.NewSource(cfg.Seed)), limits: cfg.Limits}
}

// SetEndpoints replaces the endpoints. A restarted endpoint has no failures.
func (s *System) SetEndpoints(list []deployment.Endpoint) {
	next := make(map[string]*endpoint, len(list))
	s.order = s.order[:0]
	for _, e := range list {
		old := s.endpoints[e.ID]
		if old == nil || !old.entry.SameInstance(e) {
			old = &endpoint{}
		}
		old.entry = e
		next[e.ID] = old
		s.order = append(s.order, e.ID)
	}
	s.endpoints = next
}

// Pick returns the endpoint for a request and counts the request there. Endpoints in tried are skipped. Endpoints
// that were unreachable recently are used only if there is no other, and those that seem to have ended only for trials.
func (s *System) Pick(now time.Time, domain string, tried map[string]bool) (deployment.Endpoint, bool) {
	best := s.lowestCost(now, domain, tried, false)
	if best == nil {
		best = s.lowestCost(now, domain, tried, true)
	}
	if best == nil {
		return deployment.Endpoint{}, false
	}
	s.limits.Take(now, best.entry.ID)
	best.end.BeginTrial(now, trialName)
	best.running++
	return best.entry, true
}

// lowestCost returns the endpoint with the lowest cost, or nil. With trial, it is one that seems to have ended and may be tried.
func (s *System) lowestCost(now time.Time, domain string, tried map[string]bool, trial bool) *endpoint {
	var best *endpoint
	bestCost := 0.0
	for _, id := range s.order {
		e := s.endpoints[id]
		if tried[id] || e.entry.State != deployment.Ready || now.Before(e.pausedUntil) || !s.limits.Allows(now, id) {
			continue
		}
		if e.end.Excluded(now) != trial || (trial && !e.end.MayTry(now)) {
			continue
		}
		cost := s.cost(now, e, domain)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (s *System) cost(now time.Time, e *endpoint, domain string) float64 {
	const (
		suspectedCost   = 1000
		crossDomainCost = 0.1
	)
	cost := float64(e.running+e.peerRunning)/float64(max(e.entry.Slots, 1)) + 0.2*s.random.Float64()
	failures := e.failures
	for idle := now.Sub(e.failuresAt); idle > failureHalfLife && failures > 0.01; idle -= failureHalfLife {
		failures /= 2
	}
	cost += failureWeight * failures * failures
	if now.Before(e.suspectUntil) {
		cost += suspectedCost
	}
	if domain != e.entry.Domain {
		cost += crossDomainCost
	}
	return cost
}

// Done records the outcome of a request at an endpoint.
func (s *System) Done(now time.Time, id string, result Result) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	e.running = max(e.running-1, 0)
	e.end.EndTrial(trialName)
	failure := 0.0
	switch result {
	case Abandoned, Paused:
		return
	case Served:
	case Refused:
		failure = 0.5
	case Failed:
		failure = 1
	case Unreached:
		failure = 1
		e.suspectUntil = now.Add(suspicionPeriod)
	}
	e.failures += failureSmoothing * (failure - e.failures)
	e.failuresAt = now
}

// RecordPause excludes an endpoint for some time because it wants no requests.
func (s *System) RecordPause(now time.Time, id string, pause time.Duration) {
	if e := s.endpoints[id]; e != nil {
		e.pausedUntil = now.Add(pause)
	}
}

// LimitEnd returns when the first endpoint with a limit takes the next request of this host, or the zero time if there is none
// that is ready and not paused.
func (s *System) LimitEnd(now time.Time) time.Time {
	var end time.Time
	for id, e := range s.endpoints {
		if e.entry.State != deployment.Ready || e.end.Excluded(now) || now.Before(e.pausedUntil) || s.limits.Allows(now, id) {
			continue
		}
		if next := s.limits.Next(now, id); end.IsZero() || next.Before(end) {
			end = next
		}
	}
	return end
}

// PauseEnd returns when the first endpoint takes requests again, or the zero time if some endpoint takes them now or none will.
func (s *System) PauseEnd(now time.Time) time.Time {
	var end time.Time
	for _, e := range s.endpoints {
		if e.entry.State != deployment.Ready || e.end.Excluded(now) {
			continue
		}
		if !now.Before(e.pausedUntil) {
			return time.Time{}
		}
		if end.IsZero() || e.pausedUntil.Before(end) {
			end = e.pausedUntil
		}
	}
	return end
}
