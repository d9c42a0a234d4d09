package routing

import (
	"container/heap"
	"time"

	"waxwingplank/internal/core/admission"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

func (s *System) arrived(now time.Time, cfg ArrivedConfig) {
	if old, ok := s.requests[cfg.Request]; ok {
		if old.target == nil {
			// The request is already queued. Refusing or queueing this duplicate would also end the queued one.
			return
		}
		// The request was queued again without a report of its failed attempt, so its slot is released first.
		s.releaseSlot(now, old)
	}
	svc := s.service(cfg.Service)
	r := &request{cfg: cfg, service: svc, arrived: now}
	svc.retryBudget.deposit()
	if len(svc.list) == 0 && !cfg.Recovery {
		s.refuse(r, outcome.NoCapacity, "no endpoint of service "+string(cfg.Service)+" is known", time.Second)
		return
	}
	if s.resumeInPlace(now, r) {
		return
	}
	s.enqueue(now, r)
}

// resumeInPlace dispatches a stream to the healthy pipeline that still holds it, even if this host has no free
// slot there. The stream already occupies its slot at the engines, under the share of the host that died.
func (s *System) resumeInPlace(now time.Time, r *request) bool {
	t, ok := r.service.targets[r.cfg.PreferredPipeline]
	if !ok || !r.cfg.Recovery || t.healthFactor() < 1 || t.avoided(r.cfg.AvoidEndpoints) || t.runsCrash(r.cfg.CrashMarks) {
		return false
	}
	s.requests[r.cfg.Request] = r
	s.addDemand(r, 0, 1)
	s.start(now, r, t, &Dispatch{request: r.cfg.Request, service: r.service.id, recovery: true, cause: CauseMayHoldStream})
	return true
}

func (s *System) enqueue(now time.Time, r *request) {
	svc, cfg := r.service, &r.cfg
	r.chargedCost = svc.cost(r)
	res := svc.queue.Offer(now, admission.ItemConfig{
		Request: cfg.Request, Workspace: cfg.Workspace, Priority: cfg.Priority, Weight: cfg.Weight,
		Cost: r.chargedCost, Deadline: cfg.Deadline, Key: cfg.Key, Recovery: cfg.Recovery || r.retry,
		Since: s.waitingSince(r), FirstSend: cfg.FirstSend, Repeatable: cfg.Repeatable,
	})
	switch res.Verdict() {
	case admission.Full:
		s.refuse(r, outcome.QueueFull, "the queue of the service, or the workspace's part of it, is full", res.Wait())
		return
	case admission.TooLate:
		s.refuse(r, outcome.DeadlineTooShort, "the estimated wait passes the deadline", res.Wait())
		return
	case admission.Duplicate:
		r.cfg.FirstSend = false
		s.refuse(r, outcome.Conflict, "an earlier copy of the request waits", res.Wait())
		return
	case admission.Joined:
		s.supersede(res.Replaced())
	}
	if victim := res.Replaced(); victim != "" && res.Verdict() == admission.Admitted {
		s.displace(now, victim)
	}
	s.requests[cfg.Request] = r
	s.addDemand(r, 0, 1)
}

func (s *System) waitingSince(r *request) time.Time {
	if r.cfg.WaitingSince.IsZero() {
		return r.arrived
	}
	return r.cfg.WaitingSince
}

// supersede refuses the earlier copy of a request that a later copy has replaced in the queue. The later copy
// will run, so the refusal must not report the outcome "not run".
func (s *System) supersede(id table.RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	r.cfg.FirstSend = false
	s.dropWaiting(r)
	s.refuse(r, outcome.Conflict, "a later copy of the request took its place", 0)
}

// displace refuses a waiting request that was evicted in favour of one of a higher class or of a workspace
// with fewer waiting requests for its weight.
func (s *System) displace(now time.Time, id table.RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	s.dropWaiting(r)
	wait := r.service.queue.Wait(now, r.cfg.Priority, r.cfg.Workspace, r.cfg.Weight)
	s.refuse(r, outcome.QueueFull, "the request gave way to one with a better claim to the queue", wait)
}

// dropWaiting removes the state of a waiting request that has left the queue.
func (s *System) dropWaiting(r *request) {
	delete(s.requests, r.cfg.Request)
	r.service.unpark(r)
	s.addDemand(r, 0, -1)
}

func (s *System) expire(now time.Time, svc *service) {
	s.expired = svc.queue.Expire(now, s.expired[:0])
	for _, id := range s.expired {
		r, ok := s.requests[id]
		if !ok {
			continue
		}
		s.dropWaiting(r)
		wait := svc.queue.Wait(now, r.cfg.Priority, r.cfg.Workspace, r.cfg.Weight)
		s.refuse(r, outcome.Timeout, "the deadline passed while the request waited", wait)
	}
}

func (s *System) departed(now time.Time, id table.RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	if r.target != nil {
		s.releaseSlot(now, r)
		return
	}
	r.service.queue.Remove(id)
	s.dropWaiting(r)
	s.decisions = append(s.decisions, Drop{request: id})
}

// releaseSlot frees the slot of a running request and removes the request.
func (s *System) releaseSlot(now time.Time, r *request) {
	t := r.target
	t.inFlight--
	r.target = nil
	for _, e := range t.endpoints {
		for _, c := range r.cfg.CrashMarks {
			if e.crashes[c]--; e.crashes[c] <= 0 {
				delete(e.crashes, c)
			}
		}
		if t.removed && len(e.targets) == 0 && len(e.crashes) == 0 {
			delete(s.endpoints, e.id)
		}
	}
	r.service.removeRetired(now, t)
	delete(s.requests, r.cfg.Request)
	if r.preempting {
		r.service.preemptions--
	}
	s.addDemand(r, -1, 0)
	s.updateTarget(now, t)
}

func (s *System) finished(now time.Time, e Finished) {
	r, ok := s.requests[e.request]
	if !ok || r.target == nil {
		return
	}
	svc, t := r.service, r.target
	// Averages over about the last 50 responses, to smooth their different lengths.
	const weight = 0.02
	tokens := float64(max(e.tokens, 1))
	svc.meanTokens.add(tokens, weight)
	svc.secondsPerToken.add(e.elapsed.Seconds()/tokens, weight)
	if !svc.plain && !r.cfg.Recovery {
		svc.queue.Adjust(r.cfg.Priority, r.cfg.Workspace, tokens-r.chargedCost)
	}
	if svc.plain {
		t.firstToken.add(e.elapsed.Seconds(), intervalWeight)
		svc.firstToken.add(e.elapsed.Seconds(), intervalWeight/10)
	}
	s.recordSuccess(t)
	s.releaseSlot(now, r)
	svc.updateRate()
}

func (s *System) recordSuccess(t *target) {
	t.health.recordSuccess()
	t.probeDelay = 0
	for _, e := range t.endpoints {
		if e.health.v < 1 {
			e.health.recordSuccess()
		}
	}
}

func (s *System) progress(now time.Time, e Progress) {
	r, ok := s.requests[e.request]
	if !ok || r.target == nil {
		return
	}
	t := r.target
	if e.firstToken > 0 {
		t.firstToken.add(e.firstToken.Seconds(), intervalWeight)
		r.service.firstToken.add(e.firstToken.Seconds(), intervalWeight/10)
		if t.healthFactor() < 1 {
			s.recordSuccess(t)
			s.updateTarget(now, t)
		}
	}
	if e.interval > 0 {
		t.recordInterval(e.interval.Seconds())
		r.service.tokenInterval.add(e.interval.Seconds(), intervalWeight/10)
		if t.speedHealth.value() < 1 || t.limit < t.slotShare(now, s.hosts) {
			s.updateTarget(now, t)
		}
	}
}

func (s *System) attemptFailed(now time.Time, e AttemptFailed) {
	r, ok := s.requests[e.request]
	if !ok || r.target == nil {
		return
	}
	t, svc := r.target, r.service
	switch e.reason {
	case ReasonBusy, ReasonPreempted:
		// Neither reason affects the health of the endpoint.
	default:
		s.recordFailure(now, t, e.endpoint)
	}
	s.releaseSlot(now, r)
	if !svc.plain {
		// The stream system decides on recovery and submits the request again.
		return
	}
	r.sent = r.sent || e.reason != ReasonConnect
	if !r.cfg.Repeatable {
		s.refuse(r, outcome.EndpointFailed, "the endpoint failed during a call that may not be repeated", 0)
		return
	}
	if !svc.retryBudget.tryWithdraw() {
		s.refuse(r, outcome.EndpointFailed, "the endpoint failed and the retry budget is used up", time.Second)
		return
	}
	if !r.cfg.Deadline.IsZero() && !now.Before(r.cfg.Deadline) {
		s.refuse(r, outcome.Timeout, "the deadline passed before a retry", 0)
		return
	}
	r.retry = true
	r.cfg.AvoidEndpoints = append(r.cfg.AvoidEndpoints[:len(r.cfg.AvoidEndpoints):len(r.cfg.AvoidEndpoints)], t.endpoints[0].id)
	if svc.allAvoided(r.cfg.AvoidEndpoints) {
		s.refuse(r, outcome.EndpointFailed, "every endpoint of the service has failed this request", time.Second)
		return
	}
	s.enqueue(now, r)
}

// allAvoided reports whether no target is left for a retry. It compares the lengths first, because the avoid
// list of a retried request is short; only very small services need the scan.
func (s *service) allAvoided(avoid []table.EndpointID) bool {
	if len(avoid) < len(s.list) {
		return false
	}
	for _, t := range s.list {
		if !t.avoided(avoid) {
			return false
		}
	}
	return true
}

// recordFailure lowers the health of the failing stage, or of the whole pipeline if the stage is unknown.
func (s *System) recordFailure(now time.Time, t *target, id table.EndpointID) {
	for _, e := range t.endpoints {
		if e.id != id {
			continue
		}
		e.health.recordFailure()
		for _, other := range e.targets {
			s.scheduleProbe(now, other)
		}
		return
	}
	t.health.recordFailure()
	s.scheduleProbe(now, t)
}

// scheduleProbe sets the time of the next probe of a pipeline after a failure. Each failed probe doubles the
// delay, since a probe costs a request the time until the failure is detected.
func (s *System) scheduleProbe(now time.Time, t *target) {
	t.failedAt = now
	heap.Push(&s.timers, timer{at: now.Add(maxProbeInterval), target: t})
	if !now.Before(t.probeAt) {
		t.probeDelay = min(max(2*t.probeDelay, minProbeInterval), maxProbeInterval)
		t.probeAt = now.Add(t.probeDelay)
		heap.Push(&s.timers, timer{at: t.probeAt, target: t})
	}
	s.updateTarget(now, t)
}
