package routing

import (
	"time"

	"waxwingplank/internal/core/admission"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// request is one copy of a request that waits or runs on this host.
type request struct {
	cfg     ArrivedConfig
	service *service
	target  *target
	arrived time.Time
	charged float64
	// sent is true as soon as a byte may have gone to an endpoint.
	sent   bool
	retry  bool
	parked bool
	// stopping is true while a preemption is under way.
	stopping bool
}

// facts returns what is known for the outcome of a refusal.
func (r *request) facts() outcome.Facts {
	return outcome.Facts{
		BytesSent: r.sent || r.cfg.Recovery,
		FirstSend: r.cfg.FirstSend,
		// A call that may not be repeated is claimed before its dispatch, perhaps already.
		Claimed: r.service.plain && !r.cfg.Repeatable,
	}
}

// service holds the pipelines and the queue of one service.
type service struct {
	id      table.ServiceID
	plain   bool
	queue   *admission.Queue
	targets map[string]*target
	list    []*target
	// Targets taken out of the list on which requests still run or whose grant still holds.
	retired map[string]*target
	// Targets with a free slot, in no order, for random choice without a walk.
	available []*target
	limit     int
	// The part of limit that consists of probes.
	probes    int
	bad       int
	guard     bool
	preambles preambles
	parked    []*request
	// Mean tokens of an answer and seconds of a slot for each token.
	tokens     ewma
	perToken   ewma
	interval   ewma
	firstToken ewma
	budget     budget
	// Dispatched requests that may be preempted, by class, latest last; ended ones are dropped when met.
	preemptible map[int][]*request
	// The number of preemptions under way.
	preempting int
}

func newService(id table.ServiceID) *service {
	return &service{
		id:          id,
		queue:       admission.New(admission.Config{}),
		targets:     map[string]*target{},
		retired:     map[string]*target{},
		preambles:   newPreambles(),
		budget:      newBudget(),
		preemptible: map[int][]*request{},
	}
}

// cost returns the expected work of a request: the mean length of answers, as far as the caller allows it.
func (s *service) cost(r *request) float64 {
	if s.plain {
		return 1
	}
	limit := float64(r.cfg.MaxTokens)
	return min(limit, s.tokens.or(limit))
}

// updateRate tells the queue how much work all slots serve together.
func (s *service) updateRate() {
	if !s.perToken.ok || s.perToken.v <= 0 {
		return
	}
	s.queue.SetRate(float64(s.limit) / s.perToken.v)
}

// refresh recomputes whether the target may take a request now.
func (s *service) refresh(now time.Time, hosts Hosts, t *target) {
	limit := 0
	if t.probing {
		s.probes -= t.limit
	}
	t.probing = false
	if !t.removed {
		limit = t.share(now, hosts)
		if f := t.factor(); f < 1 && !s.guard {
			reduced := int(float64(limit) * f)
			t.probing = reduced == 0
			if t.probing && limit > 0 && t.probeDue(now) {
				reduced = 1
			}
			limit = reduced
		}
	}
	s.limit += limit - t.limit
	t.limit = limit
	if t.probing {
		s.probes += limit
	}
	s.setAvailable(t, t.inflight < limit)
}

// risky reports whether the request would put a stream at risk that has failed before: as the probe of a
// pipeline that failed lately, while others have slots.
func (s *service) risky(now time.Time, r *request, t *target) bool {
	return t.probing && r.cfg.Recovery && s.limit > s.probes && now.Before(t.failedAt.Add(maxProbeInterval))
}

func (s *service) setAvailable(t *target, available bool) {
	switch {
	case available && t.availAt < 0:
		t.availAt = len(s.available)
		s.available = append(s.available, t)
	case !available && t.availAt >= 0:
		last := s.available[len(s.available)-1]
		s.available[t.availAt] = last
		last.availAt = t.availAt
		s.available[len(s.available)-1] = nil
		s.available = s.available[:len(s.available)-1]
		t.availAt = -1
	}
}

// forgetRetired drops a target that was taken out of the list, unless requests run on it or its grant holds.
func (s *service) forgetRetired(now time.Time, t *target) {
	held := t.granted && now.Before(t.until)
	if t.removed && t.inflight == 0 && !held && s.retired[t.id] == t {
		delete(s.retired, t.id)
	}
}

// judge records whether the target counts as bad, and turns the pool guard on or off. It reports
// whether the guard changed, which concerns every target of the service.
//
// With more than half of the pool bad, the cause is more likely common to all of it, and leaving out
// the bad ones would only overload the rest.
func (s *service) judge(t *target) bool {
	degraded := !t.removed && t.factor() < degradedBelow
	if degraded != t.degraded {
		t.degraded = degraded
		if degraded {
			s.bad++
		} else {
			s.bad--
		}
	}
	guard := 2*s.bad > len(s.list)
	changed := guard != s.guard
	s.guard = guard
	return changed
}

// budget is a token bucket that allows retries for a tenth of recent requests.
type budget struct{ tokens float64 }

const (
	retryShare = 0.1
	// retryBurst lets a rarely used service retry at all, and bounds the retries after a quiet time.
	retryBurst = 10
)

func newBudget() budget { return budget{tokens: 1} }

func (b *budget) earn() { b.tokens = min(retryBurst, b.tokens+retryShare) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
