package routing

import (
	"container/heap"
	"math"
	"time"

	"waxwingplank/internal/core/table"
)

const (
	// maxDraws bounds the random draws made to find two usable candidates.
	maxDraws = 6
	// maxParkedAttempts bounds the parked requests tried in one tick.
	maxParkedAttempts = 16
	// loadDecay is the age at which the weight of a load report has decayed to 1/e. Reports arrive about once
	// a second.
	loadDecay = time.Second
	// maxLoadWeight is the weight of a fresh load report relative to this host's own in-flight counts.
	maxLoadWeight = 0.5
	// cacheMissPenalty is the difference in load up to which a pipeline that holds the preamble is preferred.
	cacheMissPenalty = 0.5
	// slownessWeight is the difference in load that is equivalent to a doubled mean token interval.
	slownessWeight = 0.25
)

// dispatch assigns waiting requests to free slots, in the order of the queue.
func (s *System) dispatch(now time.Time, svc *service) {
	s.dispatchParked(now, svc)
	skipRecovery := false
	for len(svc.available) > 0 {
		id, recovery, ok := svc.queue.Next(skipRecovery)
		if !ok {
			break
		}
		if !recovery {
			id = s.preferCached(svc, id)
		}
		r := s.requests[id]
		d := &Dispatch{request: id, service: svc.id, waited: now.Sub(r.arrived), retry: r.retry}
		d.recovery = recovery && !r.retry
		if skipRecovery && svc.freeSlots() <= svc.queue.RecoveryAhead(r.cfg.Priority) {
			// The free slots are reserved for recovery requests that were rate limited in this tick.
			break
		}
		t := s.pick(now, r, d)
		if t != nil {
			svc.queue.Dequeue(now, id)
			s.start(now, r, t, d)
			continue
		}
		if d.recovery && !skipRecovery && d.recoveryRateLimited() {
			skipRecovery = true
			continue
		}
		svc.queue.Park(id)
		svc.parked = append(svc.parked, r)
		r.parked = true
	}
	s.preempt(svc)
}

// preferCached returns a request near the head of the queue for which a pipeline with a free slot is
// assigned to its preamble or holds it, or otherwise the head itself. When slots are scarce, there are few
// pipelines to choose from, but many requests.
func (s *System) preferCached(svc *service, head table.RequestID) table.RequestID {
	if len(svc.preambles.rows) == 0 {
		return head
	}
	id, ok := svc.queue.Scan(head, func(id table.RequestID) int {
		p, ok := svc.preambles.rows[s.requests[id].cfg.Preamble]
		switch {
		case !ok:
			return 0
		case anyAvailable(svc.assignedTargets(p)):
			return 2
		case p.hasAvailableHolder():
			return 1
		}
		return 0
	})
	if !ok {
		return head
	}
	return id
}

func (p *preamble) hasAvailableHolder() bool {
	for _, h := range p.holders[:p.holderCount] {
		if h.target.availableIndex >= 0 && h.upToDate() {
			return true
		}
	}
	return false
}

func anyAvailable(targets []*target) bool {
	for _, t := range targets {
		if t.availableIndex >= 0 {
			return true
		}
	}
	return false
}

// dispatchParked retries requests that could not use the pipelines that were free earlier.
func (s *System) dispatchParked(now time.Time, svc *service) {
	tries := min(len(svc.parked), maxParkedAttempts)
	for i := 0; i < tries && len(svc.available) > 0; i++ {
		r := svc.parked[0]
		svc.parked = svc.parked[1:]
		d := &Dispatch{
			request: r.cfg.Request, service: svc.id, waited: now.Sub(r.arrived), retry: r.retry,
			recovery: r.cfg.Recovery,
		}
		t := s.pick(now, r, d)
		if t == nil {
			svc.parked = append(svc.parked, r)
			continue
		}
		r.parked = false
		svc.queue.Dequeue(now, r.cfg.Request)
		s.start(now, r, t, d)
	}
}

func (s *service) unpark(r *request) {
	if !r.parked {
		return
	}
	r.parked = false
	for i, p := range s.parked {
		if p == r {
			s.parked = append(s.parked[:i:i], s.parked[i+1:]...)
			return
		}
	}
}

// freeSlots counts the free slots of a few available targets, which is a lower bound of the total.
func (s *service) freeSlots() int {
	n := 0
	for i, t := range s.available {
		if i >= maxHolders*2 {
			break
		}
		n += t.limit - t.inFlight
	}
	return n
}

// recoveryRateLimited reports whether the recovery rate limit rejected any of the pipelines.
func (d *Dispatch) recoveryRateLimited() bool {
	for _, c := range d.Rejected() {
		if c.cause == CauseRecoveryRateLimit {
			return true
		}
	}
	return false
}

// start dispatches the request to the target.
func (s *System) start(now time.Time, r *request, t *target, d *Dispatch) {
	d.pipeline = t.pipeline
	r.target = t
	t.inFlight++
	if d.recovery && t.pipeline.ID() != r.cfg.PreferredPipeline {
		t.recoveryLimiter.tokens--
	}
	for _, e := range t.endpoints {
		for _, c := range r.cfg.CrashMarks {
			e.crashes[c]++
		}
	}
	if r.cfg.Preamble != 0 {
		r.service.preambles.getOrCreate(r.cfg.Preamble).addHolder(t)
	}
	if r.cfg.Preemptible && r.cfg.Repeatable && !r.service.plain {
		r.service.addPreemptible(r)
	}
	s.addDemand(r, 1, -1)
	if t.healthFactor() < 1 {
		t.probeAt = now.Add(max(t.probeDelay, minProbeInterval))
		heap.Push(&s.timers, timer{at: t.probeAt, target: t})
	}
	t.service.updateLimit(now, s.hosts, t)
	s.decisions = append(s.decisions, d)
}

// pick returns the target for the request, or nil if it may not use any of the free ones.
//
// It compares the targets that are assigned to the request's preamble or hold it with two random targets.
// Random draws keep hosts that read the same outdated load reports from making the same choice.
func (s *System) pick(now time.Time, r *request, d *Dispatch) *target {
	svc := r.service
	// A stream that continues on the pipeline that holds it generates no token again, so the recovery rate
	// limit does not apply. Any other target starts from the first token.
	if t, ok := svc.targets[r.cfg.PreferredPipeline]; ok && s.usable(now, r, t, d) {
		d.cause = CauseMayHoldStream
		return t
	}
	var best *target
	score := math.Inf(1)
	usable := 0
	consider := func(t *target) {
		if t == best || !s.usable(now, r, t, d) {
			return
		}
		usable++
		v := svc.expectedCost(now, r, t)
		if v >= score {
			d.reject(t, CauseSlower)
			return
		}
		if best != nil {
			d.reject(best, CauseSlower)
		}
		best, score = t, v
	}
	s.considerCached(r, consider)
	drawn := 0
	for draw := 0; draw < maxDraws && drawn < 2 && len(svc.available) > 0; draw++ {
		before := usable
		consider(svc.available[s.rng.IntN(len(svc.available))])
		if usable > before {
			drawn++
		}
	}
	if best == nil {
		// The draws may have missed the only usable targets.
		for _, t := range svc.available {
			if s.usable(now, r, t, d) {
				best = t
				break
			}
		}
	}
	if best == nil {
		return nil
	}
	switch {
	case usable <= 1:
		d.cause = CauseOnlyCandidate
	case r.cfg.Preamble != 0 && svc.preambles.getOrCreate(r.cfg.Preamble).hasAffinity(best):
		d.cause = CausePrefixCached
	default:
		d.cause = CauseLowestTime
	}
	return best
}

// considerCached considers the targets assigned to the preamble and its two latest holders.
func (s *System) considerCached(r *request, consider func(*target)) {
	if r.cfg.Preamble == 0 {
		return
	}
	p := r.service.preambles.getOrCreate(r.cfg.Preamble)
	for _, t := range r.service.assignedTargets(p) {
		consider(t)
	}
	for i := p.holderCount - 1; i >= 0 && i >= p.holderCount-2; i-- {
		consider(p.holders[i].target)
	}
}

// usable reports whether the request may be sent to the target, and records the cause if not.
func (s *System) usable(now time.Time, r *request, t *target, d *Dispatch) bool {
	if t.granted && !now.Before(t.grantUntil) {
		t.service.updateLimit(now, s.hosts, t)
	}
	cause := Cause("")
	switch {
	case t.availableIndex < 0 && t.healthFactor() < 1, t.service.riskyProbe(now, r, t):
		cause = CauseDegraded
	case t.availableIndex < 0:
		cause = CauseNoFreeSlot
	case t.avoided(r.cfg.AvoidEndpoints):
		cause = CauseAvoided
	case t.runsCrash(r.cfg.CrashMarks):
		cause = CauseIsolation
	case d.recovery && t.pipeline.ID() != r.cfg.PreferredPipeline && !t.recoveryLimiter.ready(now, t.limit-t.inFlight):
		cause = CauseRecoveryRateLimit
	default:
		return true
	}
	d.reject(t, cause)
	return false
}

// expectedCost returns the cost of sending the request to the target, as a fraction of the target's slots.
//
// The base is this host's own in-flight count relative to its share of the slots. A load report adjusts it
// with a weight that decays with age. The cost increases for a pipeline that is slower than its own baseline
// or than the service's mean, and for one that must compute the preamble again.
func (s *service) expectedCost(now time.Time, r *request, t *target) float64 {
	load := float64(t.inFlight) / float64(max(t.limit, 1))
	if e := t.busiestEndpoint(); !e.loadMeasuredAt.IsZero() {
		w := maxLoadWeight * math.Exp(-now.Sub(e.loadMeasuredAt).Seconds()/loadDecay.Seconds())
		load += w * (e.load - load)
	}
	cost := load
	if r.cfg.Preamble != 0 && !s.preambles.getOrCreate(r.cfg.Preamble).hasAffinity(t) {
		cost += cacheMissPenalty
	}
	if s.plain {
		return cost + slownessWeight*t.firstToken.ratio(s.firstToken)
	}
	return cost + slownessWeight*t.tokenInterval.ratio(s.tokenInterval) + max(0, t.tokenInterval.ratio(t.baselineInterval)-1)
}

func (t *target) busiestEndpoint() *endpoint {
	best := t.endpoints[0]
	for _, e := range t.endpoints[1:] {
		if e.load > best.load {
			best = e
		}
	}
	return best
}
