package routing

import (
	"container/heap"
	"math"
	"time"

	"waxwingplank/internal/core/table"
)

const (
	// maxDraws bounds the random draws for two usable candidates.
	maxDraws = 6
	// maxParkedTries bounds the parked requests looked at in one tick.
	maxParkedTries = 16
	// loadMemory is the age at which a load report counts for 1/e of a fresh one; reports come about
	// once a second.
	loadMemory = time.Second
	// loadShare is the most that a fresh load report counts against own in-flight counts.
	loadShare = 0.5
	// missCost is the difference in load up to which the pipeline that holds a preamble is preferred.
	missCost = 0.5
	// speedShare is the difference in load that twice the mean token interval is worth.
	speedShare = 0.25
)

// dispatch sends waiting requests to free slots, in the order of the queue.
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
			// The free slots are kept for recovery requests that were paced in this tick.
			break
		}
		t := s.pick(now, r, d)
		if t != nil {
			svc.queue.Take(now, id)
			s.start(now, r, t, d)
			continue
		}
		if d.recovery && !skipRecovery && d.paced() {
			skipRecovery = true
			continue
		}
		svc.queue.Park(id)
		svc.parked = append(svc.parked, r)
		r.parked = true
	}
	s.preempt(svc)
}

// preferCached returns a request near the head of the queue whose preamble belongs to a free pipeline, or
// is held by one, or else the head itself. Where slots are scarce the choice of a pipeline is small, but
// that of a request is not.
func (s *System) preferCached(svc *service, head table.RequestID) table.RequestID {
	if len(svc.preambles.rows) == 0 {
		return head
	}
	id, ok := svc.queue.Scan(head, func(id table.RequestID) int {
		p, ok := svc.preambles.rows[s.requests[id].cfg.Preamble]
		switch {
		case !ok:
			return 0
		case anyFree(svc.homesOf(p)):
			return 2
		case p.heldByFree():
			return 1
		}
		return 0
	})
	if !ok {
		return head
	}
	return id
}

func (p *preamble) heldByFree() bool {
	for _, h := range p.holders[:p.n] {
		if h.target.availAt >= 0 && h.current() {
			return true
		}
	}
	return false
}

func anyFree(targets []*target) bool {
	for _, t := range targets {
		if t.availAt >= 0 {
			return true
		}
	}
	return false
}

// dispatchParked tries requests again that could not use the pipelines that were free before.
func (s *System) dispatchParked(now time.Time, svc *service) {
	tries := min(len(svc.parked), maxParkedTries)
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
		svc.queue.Take(now, r.cfg.Request)
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

// freeSlots counts free slots over the available targets, at most as far as a few targets tell.
func (s *service) freeSlots() int {
	n := 0
	for i, t := range s.available {
		if i >= maxHolders*2 {
			break
		}
		n += t.limit - t.inflight
	}
	return n
}

// paced reports whether pacing was the only thing that kept a recovery request from a pipeline.
func (d *Dispatch) paced() bool {
	for _, c := range d.PassedOver() {
		if c.cause == CausePaced {
			return true
		}
	}
	return false
}

// start gives the request to the target.
func (s *System) start(now time.Time, r *request, t *target, d *Dispatch) {
	d.pipeline = t.pipeline
	r.target = t
	t.inflight++
	if d.recovery && t.pipeline.ID() != r.cfg.Prefer {
		t.pace.tokens--
	}
	for _, e := range t.endpoints {
		for _, c := range r.cfg.Isolation {
			e.crashes[c]++
		}
	}
	if r.cfg.Preamble != 0 {
		r.service.preambles.touch(r.cfg.Preamble).add(t)
	}
	if r.cfg.Preemptible && r.cfg.Repeatable && !r.service.plain {
		r.service.rememberPreemptible(r)
	}
	s.count(r, 1, -1)
	if t.factor() < 1 {
		t.probeAt = now.Add(max(t.probeEvery, probeInterval))
		heap.Push(&s.wakes, wakeEntry{at: t.probeAt, target: t})
	}
	t.service.refresh(now, s.hosts, t)
	s.out = append(s.out, d)
}

// pick returns the target for the request, or nil where none of the free ones may take it.
//
// It compares the holders of the request's preamble with two random targets. Random draws keep hosts
// that read the same late figures from choosing alike.
func (s *System) pick(now time.Time, r *request, d *Dispatch) *target {
	svc := r.service
	// Going on where the stream is held generates nothing again, so it is not paced either; any other target
	// begins at the first token.
	if t, ok := svc.targets[r.cfg.Prefer]; ok && s.usable(now, r, t, d) {
		d.cause = CauseHolds
		return t
	}
	var best *target
	score := math.Inf(1)
	seen := 0
	consider := func(t *target) {
		if t == best || !s.usable(now, r, t, d) {
			return
		}
		seen++
		v := svc.expected(now, r, t)
		if v >= score {
			d.pass(t, CauseLoad)
			return
		}
		if best != nil {
			d.pass(best, CauseLoad)
		}
		best, score = t, v
	}
	s.considerHolders(r, consider)
	drawn := 0
	for draw := 0; draw < maxDraws && drawn < 2 && len(svc.available) > 0; draw++ {
		before := seen
		consider(svc.available[s.rng.IntN(len(svc.available))])
		if seen > before {
			drawn++
		}
	}
	if best == nil {
		// The draws may have missed the only usable ones.
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
	case seen <= 1:
		d.cause = CauseOnly
	case r.cfg.Preamble != 0 && svc.preambles.touch(r.cfg.Preamble).belongs(best):
		d.cause = CauseCache
	default:
		d.cause = CauseFaster
	}
	return best
}

// considerHolders looks at the homes of the preamble and at its two latest holders.
func (s *System) considerHolders(r *request, consider func(*target)) {
	if r.cfg.Preamble == 0 {
		return
	}
	p := r.service.preambles.touch(r.cfg.Preamble)
	for _, t := range r.service.homesOf(p) {
		consider(t)
	}
	for i := p.n - 1; i >= 0 && i >= p.n-2; i-- {
		consider(p.holders[i].target)
	}
}

// usable reports whether the target may take the request, and notes the cause where it may not.
func (s *System) usable(now time.Time, r *request, t *target, d *Dispatch) bool {
	if t.granted && !now.Before(t.until) {
		t.service.refresh(now, s.hosts, t)
	}
	cause := Cause("")
	switch {
	case t.availAt < 0 && t.factor() < 1, t.service.risky(now, r, t):
		cause = CauseHealth
	case t.availAt < 0:
		cause = CauseFull
	case t.avoided(r.cfg.Avoid):
		cause = CauseAvoid
	case t.conflicts(r.cfg.Isolation):
		cause = CauseIsolation
	case d.recovery && t.pipeline.ID() != r.cfg.Prefer && !t.pace.ready(now, t.limit-t.inflight):
		cause = CausePaced
	default:
		return true
	}
	d.pass(t, cause)
	return false
}

// expected returns the cost of sending the request to the target, in parts of the target's slots.
//
// Own in-flight counts against the share come first; a load report is a hint that loses weight with its
// age. A pipeline that is slower than its own baseline, or than the service's mean, costs more, and so
// does one that must compute the preamble anew.
func (s *service) expected(now time.Time, r *request, t *target) float64 {
	load := float64(t.inflight) / float64(max(t.limit, 1))
	if e := t.busiest(); !e.loadAt.IsZero() {
		w := loadShare * math.Exp(-now.Sub(e.loadAt).Seconds()/loadMemory.Seconds())
		load += w * (e.load - load)
	}
	cost := load
	if r.cfg.Preamble != 0 && !s.preambles.touch(r.cfg.Preamble).belongs(t) {
		cost += missCost
	}
	if s.plain {
		return cost + speedShare*t.firstToken.ratio(s.firstToken)
	}
	return cost + speedShare*t.interval.ratio(s.interval) + max(0, t.interval.ratio(t.baseline)-1)
}

func (t *target) busiest() *endpoint {
	best := t.endpoints[0]
	for _, e := range t.endpoints[1:] {
		if e.load > best.load {
			best = e
		}
	}
	return best
}
