package balance

import (
	"math/rand"
	"time"

	"waxwingplank/internal/core/deployment"
)

const (
	// smoothing is the weight of the newest request in an endpoint's share of failures.
	smoothing = 0.2
	// failureWeight makes an endpoint that fails every request as unattractive as one with 20 more requests
	// a slot, so that it gets a few requests that show when it has recovered.
	failureWeight = 20
	// suspicion is how long an endpoint that could not be reached is left out.
	suspicion = time.Second
	// recovery is the time in which an endpoint's share of failures halves while it gets no requests.
	recovery = 2 * time.Second
)

// Result is how a request at an endpoint ended.
type Result string

// The results of requests.
const (
	Served Result = "served"
	// Refused means that the endpoint did not run the request.
	Refused Result = "refused"
	// Failed means that the endpoint ran or may have run the request and gave no good answer.
	Failed Result = "failed"
	// Unreached means that nothing was sent.
	Unreached Result = "unreached"
	// Abandoned says nothing of the endpoint: the caller left.
	Abandoned Result = "abandoned"
)

type endpoint struct {
	entry        deployment.Endpoint
	running      int
	peerRunning  int
	failures     float64
	at           time.Time
	suspectUntil time.Time
}

// Config describes a System.
type Config struct {
	// Seed feeds the choice between equal endpoints.
	Seed int64
}

// System keeps the endpoints of one plain service.
type System struct {
	endpoints map[string]*endpoint
	order     []string
	random    *rand.Rand
}

// New returns a system without endpoints.
func New(cfg Config) *System {
	return &System{endpoints: map[string]*endpoint{}, random: rand.New(rand.NewSource(cfg.Seed))}
}

// SetEndpoints replaces the endpoints; one that started anew has no failures.
func (s *System) SetEndpoints(list []deployment.Endpoint) {
	next := make(map[string]*endpoint, len(list))
	s.order = s.order[:0]
	for _, e := range list {
		old := s.endpoints[e.ID]
		if old == nil || !old.entry.Same(e) {
			old = &endpoint{}
		}
		old.entry = e
		next[e.ID] = old
		s.order = append(s.order, e.ID)
	}
	s.endpoints = next
}

// Pick returns the endpoint for a request and counts the request there. Endpoints in tried are left out; those
// that could not be reached lately are used only where there is no other.
func (s *System) Pick(now time.Time, domain string, tried map[string]bool) (deployment.Endpoint, bool) {
	var best *endpoint
	bestCost := 0.0
	for _, id := range s.order {
		e := s.endpoints[id]
		if tried[id] || e.entry.State != deployment.Ready {
			continue
		}
		cost := s.cost(now, e, domain)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return deployment.Endpoint{}, false
	}
	best.running++
	return best.entry, true
}

func (s *System) cost(now time.Time, e *endpoint, domain string) float64 {
	const (
		suspected = 1000
		away      = 0.1
	)
	cost := float64(e.running+e.peerRunning)/float64(max(e.entry.Slots, 1)) + 0.2*s.random.Float64()
	failures := e.failures
	for idle := now.Sub(e.at); idle > recovery && failures > 0.01; idle -= recovery {
		failures /= 2
	}
	cost += failureWeight * failures * failures
	if now.Before(e.suspectUntil) {
		cost += suspected
	}
	if domain != e.entry.Domain {
		cost += away
	}
	return cost
}

// Done notes the end of a request at an endpoint.
func (s *System) Done(now time.Time, id string, result Result) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	e.running = max(e.running-1, 0)
	failure := 0.0
	switch result {
	case Abandoned:
		return
	case Served:
	case Refused:
		failure = 0.5
	case Failed:
		failure = 1
	case Unreached:
		failure = 1
		e.suspectUntil = now.Add(suspicion)
	}
	e.failures += smoothing * (failure - e.failures)
	e.at = now
}
