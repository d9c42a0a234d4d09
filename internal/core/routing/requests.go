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
			// The request waits already; a second answer to it would end the first.
			return
		}
		// A requeued request whose failed attempt was not reported gives its slot back first.
		s.release(now, old)
	}
	svc := s.service(cfg.Service)
	r := &request{cfg: cfg, service: svc, arrived: now}
	svc.budget.earn()
	if len(svc.list) == 0 && !cfg.Recovery {
		s.refuse(r, outcome.NoCapacity, "no endpoint of service "+string(cfg.Service)+" is known", time.Second)
		return
	}
	if s.resumeInPlace(now, r) {
		return
	}
	s.enqueue(now, r)
}

// resumeInPlace sends a stream back to the healthy pipeline that still holds it, whether or not this host has
// a free slot there: the stream occupies its slot at the engines in any case, under the share of the host
// that died.
func (s *System) resumeInPlace(now time.Time, r *request) bool {
	t, ok := r.service.targets[r.cfg.Prefer]
	if !ok || !r.cfg.Recovery || t.factor() < 1 || t.avoided(r.cfg.Avoid) || t.conflicts(r.cfg.Isolation) {
		return false
	}
	s.requests[r.cfg.Request] = r
	s.count(r, 0, 1)
	s.start(now, r, t, &Dispatch{request: r.cfg.Request, service: r.service.id, recovery: true, cause: CauseHolds})
	return true
}

func (s *System) enqueue(now time.Time, r *request) {
	svc, cfg := r.service, &r.cfg
	r.charged = svc.cost(r)
	res := svc.queue.Offer(now, admission.ItemConfig{
		Request: cfg.Request, Workspace: cfg.Workspace, Priority: cfg.Priority, Weight: cfg.Weight,
		Cost: r.charged, Deadline: cfg.Deadline, Key: cfg.Key, Recovery: cfg.Recovery || r.retry,
		Since: s.since(r), FirstSend: cfg.FirstSend, Repeatable: cfg.Repeatable,
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
	s.count(r, 0, 1)
}

func (s *System) since(r *request) time.Time {
	if r.cfg.Since.IsZero() {
		return r.arrived
	}
	return r.cfg.Since
}

// supersede ends the earlier copy of a request whose place a later copy has taken. The later copy will
// run, so the earlier caller cannot be told "not run".
func (s *System) supersede(id table.RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	r.cfg.FirstSend = false
	s.forget(r)
	s.refuse(r, outcome.Conflict, "a later copy of the request took its place", 0)
}

// displace ends a waiting request that gave way to one of a higher class or a smaller workspace.
func (s *System) displace(now time.Time, id table.RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	s.forget(r)
	wait := r.service.queue.Wait(now, r.cfg.Priority, r.cfg.Workspace, r.cfg.Weight)
	s.refuse(r, outcome.QueueFull, "the request gave way to one with a better claim to the queue", wait)
}

// forget drops the state of a waiting request that has left the queue.
func (s *System) forget(r *request) {
	delete(s.requests, r.cfg.Request)
	r.service.unpark(r)
	s.count(r, 0, -1)
}

func (s *System) expire(now time.Time, svc *service) {
	s.expired = svc.queue.Expire(now, s.expired[:0])
	for _, id := range s.expired {
		r, ok := s.requests[id]
		if !ok {
			continue
		}
		s.forget(r)
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
		s.release(now, r)
		return
	}
	r.service.queue.Remove(id)
	s.forget(r)
	s.out = append(s.out, Drop{request: id})
}

// release gives back the slot of a running request and forgets the request.
func (s *System) release(now time.Time, r *request) {
	t := r.target
	t.inflight--
	r.target = nil
	for _, e := range t.endpoints {
		for _, c := range r.cfg.Isolation {
			if e.crashes[c]--; e.crashes[c] <= 0 {
				delete(e.crashes, c)
			}
		}
		if t.removed && len(e.targets) == 0 && len(e.crashes) == 0 {
			delete(s.endpoints, e.id)
		}
	}
	r.service.forgetRetired(now, t)
	delete(s.requests, r.cfg.Request)
	if r.stopping {
		r.service.preempting--
	}
	s.count(r, -1, 0)
	s.touch(now, t)
}

func (s *System) finished(now time.Time, e Finished) {
	r, ok := s.requests[e.request]
	if !ok || r.target == nil {
		return
	}
	svc, t := r.service, r.target
	// Averages over about the last 50 answers, which smooths their different lengths.
	const weight = 0.02
	tokens := float64(max(e.tokens, 1))
	svc.tokens.add(tokens, weight)
	svc.perToken.add(e.elapsed.Seconds()/tokens, weight)
	if !svc.plain && !r.cfg.Recovery {
		svc.queue.Adjust(r.cfg.Priority, r.cfg.Workspace, tokens-r.charged)
	}
	if svc.plain {
		t.firstToken.add(e.elapsed.Seconds(), intervalWeight)
		svc.firstToken.add(e.elapsed.Seconds(), intervalWeight/10)
	}
	s.succeed(t)
	s.release(now, r)
	svc.updateRate()
}

func (s *System) succeed(t *target) {
	t.health.succeed()
	t.probeEvery = 0
	for _, e := range t.endpoints {
		if e.health.v < 1 {
			e.health.succeed()
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
		if t.factor() < 1 {
			s.succeed(t)
			s.touch(now, t)
		}
	}
	if e.interval > 0 {
		t.measure(e.interval.Seconds())
		r.service.interval.add(e.interval.Seconds(), intervalWeight/10)
		if t.slow.value() < 1 || t.limit < t.share(now, s.hosts) {
			s.touch(now, t)
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
		// Neither says anything about the health of the endpoint.
	default:
		s.blame(now, t, e.endpoint)
	}
	s.release(now, r)
	if !svc.plain {
		// The stream system decides on recovery and sends the request again.
		return
	}
	r.sent = r.sent || e.reason != ReasonConnect
	if !r.cfg.Repeatable {
		s.refuse(r, outcome.EndpointFailed, "the endpoint failed during a call that may not be repeated", 0)
		return
	}
	if !svc.budget.spend() {
		s.refuse(r, outcome.EndpointFailed, "the endpoint failed and the retry budget is used up", time.Second)
		return
	}
	if !r.cfg.Deadline.IsZero() && !now.Before(r.cfg.Deadline) {
		s.refuse(r, outcome.Timeout, "the deadline passed before a retry", 0)
		return
	}
	r.retry = true
	r.cfg.Avoid = append(r.cfg.Avoid[:len(r.cfg.Avoid):len(r.cfg.Avoid)], t.endpoints[0].id)
	if svc.allAvoided(r.cfg.Avoid) {
		s.refuse(r, outcome.EndpointFailed, "every endpoint of the service has failed this request", time.Second)
		return
	}
	s.enqueue(now, r)
}

// allAvoided reports whether no target is left for a retry. The list of a retried request is short, so
// the walk is over the list in all but the smallest services.
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

// blame lowers the health of the failing stage, or of the pipeline where the stage is not known.
func (s *System) blame(now time.Time, t *target, id table.EndpointID) {
	for _, e := range t.endpoints {
		if e.id != id {
			continue
		}
		e.health.fail()
		for _, other := range e.targets {
			s.punish(now, other)
		}
		return
	}
	t.health.fail()
	s.punish(now, t)
}

// punish spaces the next probe of a pipeline after a failure. A failed probe doubles the distance, since
// each one costs a request the time until the failure is noticed.
func (s *System) punish(now time.Time, t *target) {
	t.failedAt = now
	heap.Push(&s.wakes, wakeEntry{at: now.Add(maxProbeInterval), target: t})
	if !now.Before(t.probeAt) {
		t.probeEvery = min(max(2*t.probeEvery, probeInterval), maxProbeInterval)
		t.probeAt = now.Add(t.probeEvery)
		heap.Push(&s.wakes, wakeEntry{at: t.probeAt, target: t})
	}
	s.touch(now, t)
}
