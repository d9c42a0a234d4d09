package routing

import (
	"time"

	"waxwingplank/internal/core/admission"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// request is one copy of a request that is queued or running on this host.
type request struct {
	cfg         ArrivedConfig
	service     *service
	target      *target
	arrived     time.Time
	chargedCost float64
	// sent is true once a byte may have been sent to an endpoint.
	sent   bool
	retry  bool
	parked bool
	// preempting is true while a preemption of the request is in progress.
	preempting bool
}

// facts returns the facts from which the outcome of a refusal is derived.
func (r *request) facts() outcome.Facts {
	return outcome.Facts{
		BytesSent: r.sent || r.cfg.Recovery,
		FirstSend: r.cfg.FirstSend,
		// A call that may not be repeated is claimed before its dispatch, so it may already be claimed.
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
	// Removed targets on which requests still run or whose grant is still valid.
	retired map[string]*target
	// Targets with a free slot in no particular order, so that a random choice needs no scan.
	available []*target
	limit     int
	// The part of limit that belongs to probed targets.
	probes          int
	degradedTargets int
	poolGuard       bool
	preambles       preambles
	parked          []*request
	// Mean tokens of a response, and mean seconds of slot time for each token.
	meanTokens      ewma
	secondsPerToken ewma
	tokenInterval   ewma
	firstToken      ewma
	retryBudget     retryBudget
	// Dispatched requests that may be preempted, by class in order of dispatch. Ended requests are removed
	// lazily.
	preemptible map[int][]*request
	// The number of preemptions in progress.
	preemptions int
}

func newService(id table.ServiceID) *service {
	return &service{
		id:          id,
		queue:       admission.New(admission.Config{}),
		targets:     map[string]*target{},
		retired:     map[string]*target{},
		preambles:   newPreambles(),
		retryBudget: newRetryBudget(),
		preemptible: map[int][]*request{},
	}
}

// cost returns the expected work of a request: the mean length of responses, bounded by the caller's
// MaxTokens.
func (s *service) cost(r *request) float64 {
	if s.plain {
		return 1
	}
	limit := float64(r.cfg.MaxTokens)
	return min(limit, s.meanTokens.valueOr(limit))
}

// updateRate sets the rate of the queue to the work that all slots serve together.
func (s *service) updateRate() {
	if !s.secondsPerToken.valid || s.secondsPerToken.value <= 0 {
		return
	}
	s.queue.SetRate(float64(s.limit) / s.secondsPerToken.value)
}

// updateLimit recomputes how many requests the target may run, and with that whether it has a free slot.
func (s *service) updateLimit(now time.Time, hosts Hosts, t *target) {
	limit := 0
	if t.probing {
		s.probes -= t.limit
	}
	t.probing = false
	if !t.removed {
		limit = t.slotShare(now, hosts)
		if f := t.healthFactor(); f < 1 && !s.poolGuard {
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
	s.setAvailable(t, t.inFlight < limit)
}

// riskyProbe reports whether the request is a recovery that would probe a pipeline with a recent failure,
// while other pipelines have slots. A stream that has failed before should not be put at risk again.
func (s *service) riskyProbe(now time.Time, r *request, t *target) bool {
	return t.probing && r.cfg.Recovery && s.limit > s.probes && now.Before(t.failedAt.Add(maxProbeInterval))
}

func (s *service) setAvailable(t *target, available bool) {
	switch {
	case available && t.availableIndex < 0:
		t.availableIndex = len(s.available)
		s.available = append(s.available, t)
	case !available && t.availableIndex >= 0:
		last := s.available[len(s.available)-1]
		s.available[t.availableIndex] = last
		last.availableIndex = t.availableIndex
		s.available[len(s.available)-1] = nil
		s.available = s.available[:len(s.available)-1]
		t.availableIndex = -1
	}
}

// removeRetired discards a removed target, unless requests run on it or its grant is valid.
func (s *service) removeRetired(now time.Time, t *target) {
	held := t.granted && now.Before(t.grantUntil)
	if t.removed && t.inFlight == 0 && !held && s.retired[t.id] == t {
		delete(s.retired, t.id)
	}
}

// updateDegraded records whether the target counts as degraded, and turns the pool guard on or off. It
// reports whether the guard changed, which affects every target of the service.
//
// The guard disables the reduction of limits by health. If more than half of the pool is degraded, the cause
// is most likely common to all of it, and excluding the degraded targets would overload the others.
func (s *service) updateDegraded(t *target) bool {
	degraded := !t.removed && t.healthFactor() < degradedThreshold
	if degraded != t.degraded {
		t.degraded = degraded
		if degraded {
			s.degradedTargets++
		} else {
			s.degradedTargets--
		}
	}
	guard := 2*s.degradedTargets > len(s.list)
	changed := guard != s.poolGuard
	s.poolGuard = guard
	return changed
}

// retryBudget is a token bucket that allows retries for a tenth of recent requests.
type retryBudget struct{ tokens float64 }

const (
	retryRatio = 0.1
	// retryBurst allows some retries in a service with little traffic, and bounds the retries after an idle
	// period.
	retryBurst = 10
)

func newRetryBudget() retryBudget { return retryBudget{tokens: 1} }

func (b *retryBudget) deposit() { b.tokens = min(retryBurst, b.tokens+retryRatio) }

func (b *retryBudget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
