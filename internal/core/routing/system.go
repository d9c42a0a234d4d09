package routing

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// Config holds the settings of a System.
type Config struct {
	// Seed of the generator for random choices; each host needs a different one.
	Seed uint64
	// Hosts is the number of live hosts until the first Hosts event; zero means one.
	Hosts int
	// Rank of this host among the live hosts, counted from zero.
	Rank int
	// DemandInterval is the minimum time between demand reports. Zero means 250 ms, which is half the
	// heartbeat interval.
	DemandInterval time.Duration
}

// System chooses a pipeline or endpoint for each request of one host.
type System struct {
	rng              *rand.Rand
	hosts            Hosts
	services         map[table.ServiceID]*service
	serviceList      []*service
	endpoints        map[table.EndpointID]*endpoint
	targets          map[string][]*target
	requests         map[table.RequestID]*request
	timers           timerHeap
	demands          *table.Table[demandKey, demandRow]
	demandReportedAt time.Time
	demandInterval   time.Duration
	expired          []table.RequestID
	decisions        []Decision
}

// New returns a System without services.
func New(cfg Config) *System {
	if cfg.DemandInterval <= 0 {
		cfg.DemandInterval = 250 * time.Millisecond
	}
	return &System{
		rng:            rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		hosts:          NewHosts(cfg.Hosts, cfg.Rank),
		services:       map[table.ServiceID]*service{},
		endpoints:      map[table.EndpointID]*endpoint{},
		targets:        map[string][]*target{},
		requests:       map[table.RequestID]*request{},
		demands:        table.New[demandKey, demandRow](),
		demandInterval: cfg.DemandInterval,
	}
}

// Tick applies the events and returns the resulting decisions. The slice is valid until the next call.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	clear(s.decisions)
	s.decisions = s.decisions[:0]
	s.runTimers(now)
	for _, e := range events {
		s.apply(now, e)
	}
	for _, svc := range s.serviceList {
		if svc.queue.Len() > 0 {
			s.expire(now, svc)
			s.dispatch(now, svc)
		}
	}
	s.reportDemand(now)
	return s.decisions
}

// Waiting returns the number of queued requests over all services.
func (s *System) Waiting() int {
	n := 0
	for _, svc := range s.serviceList {
		n += svc.queue.Len()
	}
	return n
}

func (s *System) apply(now time.Time, e Event) {
	switch e := e.(type) {
	case Arrived:
		s.arrived(now, e.cfg)
	case Departed:
		s.departed(now, e.request)
	case Finished:
		s.finished(now, e)
	case AttemptFailed:
		s.attemptFailed(now, e)
	case Progress:
		s.progress(now, e)
	case Pipelines:
		s.setPipelines(now, e)
	case Limits:
		s.setLimits(e.cfg)
	case Hosts:
		s.hosts = e
		s.updateAllLimits(now)
	case Grants:
		s.setGrants(now, e.list)
	case Load:
		s.setLoad(now, e.list)
	case CacheEvents:
		s.cacheEvents(e)
	}
}

func (s *System) service(id table.ServiceID) *service {
	svc, ok := s.services[id]
	if !ok {
		svc = newService(id)
		s.services[id] = svc
		s.serviceList = append(s.serviceList, svc)
	}
	return svc
}

func (s *System) setLimits(cfg LimitsConfig) {
	s.service(cfg.Service).queue.SetLimits(cfg.Queue, cfg.QueuePerWorkspace)
}

func (s *System) setPipelines(now time.Time, e Pipelines) {
	svc := s.service(e.service)
	svc.plain = e.plain
	kept := make(map[string]bool, len(e.list))
	for _, cfg := range e.list {
		id := cfg.Pipeline.ID()
		kept[id] = true
		if t, ok := svc.targets[id]; ok {
			t.slots = cfg.Slots
			continue
		}
		s.addTarget(svc, cfg)
	}
	list := svc.list[:0]
	for _, t := range svc.list {
		if kept[t.id] {
			list = append(list, t)
			continue
		}
		s.removeTarget(now, svc, t)
	}
	clear(svc.list[len(list):])
	svc.list = list
	svc.preambles.clearAssignments()
	s.updateLimits(now, svc)
}

func (s *System) addTarget(svc *service, cfg PipelineConfig) {
	id := cfg.Pipeline.ID()
	t, ok := svc.retired[id]
	if ok {
		// The pipeline was removed and is added again while requests run on it or its grant is valid. Its
		// in-flight count and its grant continue to apply.
		delete(svc.retired, id)
		t.removed, t.slots, t.pipeline, t.endpoints = false, cfg.Slots, cfg.Pipeline, nil
	} else {
		t = newTarget(svc, cfg)
	}
	for _, stage := range cfg.Pipeline.Stages() {
		e, ok := s.endpoints[stage.Endpoint()]
		if !ok {
			e = &endpoint{id: stage.Endpoint(), health: newHealth(), crashes: map[string]int{}}
			s.endpoints[e.id] = e
		}
		e.targets = append(e.targets, t)
		t.endpoints = append(t.endpoints, e)
	}
	svc.targets[t.id] = t
	svc.list = append(svc.list, t)
	s.targets[t.id] = append(s.targets[t.id], t)
}

// removeTarget excludes the pipeline from selection. Requests that run on it are not interrupted.
func (s *System) removeTarget(now time.Time, svc *service, t *target) {
	t.removed = true
	delete(svc.targets, t.id)
	svc.retired[t.id] = t
	svc.removeRetired(now, t)
	s.targets[t.id] = without(s.targets[t.id], t)
	if len(s.targets[t.id]) == 0 {
		delete(s.targets, t.id)
	}
	for _, e := range t.endpoints {
		e.targets = without(e.targets, t)
		if len(e.targets) == 0 && len(e.crashes) == 0 {
			delete(s.endpoints, e.id)
		}
	}
	svc.updateDegraded(t)
	svc.updateLimit(now, s.hosts, t)
	for _, p := range svc.preambles.rows {
		p.dropHolder(t)
	}
}

func without(list []*target, t *target) []*target {
	for i, x := range list {
		if x == t {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (s *System) updateAllLimits(now time.Time) {
	for _, svc := range s.serviceList {
		s.updateLimits(now, svc)
	}
}

func (s *System) updateLimits(now time.Time, svc *service) {
	for _, t := range svc.list {
		svc.updateDegraded(t)
	}
	for _, t := range svc.list {
		svc.updateLimit(now, s.hosts, t)
	}
	svc.updateRate()
}

// updateTarget recomputes the limit of a target after its in-flight count or its health has changed.
func (s *System) updateTarget(now time.Time, t *target) {
	svc := t.service
	if svc.updateDegraded(t) {
		s.updateLimits(now, svc)
		return
	}
	svc.updateLimit(now, s.hosts, t)
}

func (s *System) setGrants(now time.Time, list []GrantConfig) {
	for _, g := range list {
		for _, t := range s.targets[g.Pipeline] {
			if t.granted && g.Sequence < t.grantSequence && now.Before(t.grantUntil) {
				continue
			}
			t.granted, t.grantedSlots, t.grantSequence = true, g.Slots, g.Sequence
			t.grantUntil = now.Add(g.Lifetime)
			heap.Push(&s.timers, timer{at: t.grantUntil, target: t})
			t.service.updateLimit(now, s.hosts, t)
			t.service.updateRate()
		}
	}
}

func (s *System) setLoad(now time.Time, list []LoadConfig) {
	for _, l := range list {
		e, ok := s.endpoints[l.Endpoint]
		if !ok || l.MeasuredAt.Before(e.loadMeasuredAt) {
			continue
		}
		e.loadMeasuredAt = l.MeasuredAt
		e.load = float64(l.Running+l.Queued) / float64(max(l.Slots, 1))
		for _, t := range e.targets {
			if t.probing {
				t.service.updateLimit(now, s.hosts, t)
			}
		}
	}
}

// cacheEvents updates which pipelines hold which prefixes. After a gap in the sequence an eviction may have
// been missed, so the entries recorded before the gap become invalid.
func (s *System) cacheEvents(e CacheEvents) {
	ep, ok := s.endpoints[e.endpoint]
	if !ok {
		return
	}
	for _, c := range e.list {
		gap := ep.cacheSequence != 0 && c.Sequence > ep.cacheSequence+1
		if c.Sequence <= ep.cacheSequence {
			continue
		}
		ep.cacheSequence = c.Sequence
		for _, t := range ep.targets {
			if t.endpoints[0] != ep {
				// A prefix is only useful if every stage holds it. The first stage reports for all stages.
				continue
			}
			ps := &t.service.preambles
			if gap {
				t.cacheGaps++
			}
			switch c.Kind {
			case CacheStored:
				ps.getOrCreate(c.Prefix).addHolder(t)
			case CacheEvicted:
				if p, ok := ps.rows[c.Prefix]; ok {
					p.dropHolder(t)
				}
			}
		}
	}
}

func (s *System) refuse(r *request, code outcome.Code, message string, retryAfter time.Duration) {
	s.decisions = append(s.decisions, Refuse{request: r.cfg.Request, refusal: outcome.NewRefusal(outcome.RefusalConfig{
		Code: code, Message: message, Facts: r.facts(), RetryAfter: s.addJitter(retryAfter),
	})})
}

// addJitter adds up to 20% to the delay, so that refused callers do not all retry at the same time. It also
// enforces a minimum delay.
func (s *System) addJitter(d time.Duration) time.Duration {
	// A caller that retries sooner than this would most likely be refused again.
	const minDelay = 100 * time.Millisecond
	d = max(d, minDelay)
	return d + time.Duration(s.rng.Int64N(int64(d/5)+1))
}

// timer is a time at which the limit of a target may change without an event, such as the end of a grant.
type timer struct {
	at     time.Time
	target *target
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *System) runTimers(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		e := heap.Pop(&s.timers).(timer)
		svc := e.target.service
		svc.updateLimit(now, s.hosts, e.target)
		svc.removeRetired(now, e.target)
	}
}
