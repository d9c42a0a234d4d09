package routing

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// Config describes a System.
type Config struct {
	// Seed of the generator for random choices; hosts need different seeds.
	Seed uint64
	// Hosts is the number of live hosts until a Hosts event says otherwise; zero means one.
	Hosts int
	// Rank of this host among the live hosts.
	Rank int
	// DemandInterval is the least time between reports of demand; zero means 250 ms, which is half
	// the heartbeat interval.
	DemandInterval time.Duration
}

// System chooses a pipeline or endpoint for each request of one host.
type System struct {
	rng       *rand.Rand
	hosts     Hosts
	services  map[table.ServiceID]*service
	order     []*service
	endpoints map[table.EndpointID]*endpoint
	targets   map[string][]*target
	requests  map[table.RequestID]*request
	wakes     wakeHeap
	demands   *table.Table[demandKey, demandRow]
	reported  time.Time
	interval  time.Duration
	expired   []table.RequestID
	out       []Decision
}

// New returns a System without services.
func New(cfg Config) *System {
	if cfg.DemandInterval <= 0 {
		cfg.DemandInterval = 250 * time.Millisecond
	}
	return &System{
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		hosts:     NewHosts(cfg.Hosts, cfg.Rank),
		services:  map[table.ServiceID]*service{},
		endpoints: map[table.EndpointID]*endpoint{},
		targets:   map[string][]*target{},
		requests:  map[table.RequestID]*request{},
		demands:   table.New[demandKey, demandRow](),
		interval:  cfg.DemandInterval,
	}
}

// Tick takes what happened and returns what to do. The slice is valid until the next call.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	clear(s.out)
	s.out = s.out[:0]
	s.wake(now)
	for _, e := range events {
		s.apply(now, e)
	}
	for _, svc := range s.order {
		if svc.queue.Len() > 0 {
			s.expire(now, svc)
			s.dispatch(now, svc)
		}
	}
	s.reportDemand(now)
	return s.out
}

// Waiting returns the number of requests that wait, over all services.
func (s *System) Waiting() int {
	n := 0
	for _, svc := range s.order {
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
		s.refreshAll(now)
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
		s.order = append(s.order, svc)
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
	svc.preambles.forgetHomes()
	s.refreshService(now, svc)
}

func (s *System) addTarget(svc *service, cfg PipelineConfig) {
	id := cfg.Pipeline.ID()
	t, ok := svc.retired[id]
	if ok {
		// The pipeline was taken out and comes back while requests run on it or its grant holds; both count on.
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

// removeTarget takes the pipeline out of the choice; its running requests end in their own time.
func (s *System) removeTarget(now time.Time, svc *service, t *target) {
	t.removed = true
	delete(svc.targets, t.id)
	svc.retired[t.id] = t
	svc.forgetRetired(now, t)
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
	svc.judge(t)
	svc.refresh(now, s.hosts, t)
	for _, p := range svc.preambles.rows {
		p.drop(t)
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

func (s *System) refreshAll(now time.Time) {
	for _, svc := range s.order {
		s.refreshService(now, svc)
	}
}

func (s *System) refreshService(now time.Time, svc *service) {
	for _, t := range svc.list {
		svc.judge(t)
	}
	for _, t := range svc.list {
		svc.refresh(now, s.hosts, t)
	}
	svc.updateRate()
}

// touch brings a target up to date after its counts or its health have changed.
func (s *System) touch(now time.Time, t *target) {
	svc := t.service
	if svc.judge(t) {
		s.refreshService(now, svc)
		return
	}
	svc.refresh(now, s.hosts, t)
}

func (s *System) setGrants(now time.Time, list []GrantConfig) {
	for _, g := range list {
		for _, t := range s.targets[g.Pipeline] {
			if t.granted && g.Sequence < t.sequence && now.Before(t.until) {
				continue
			}
			t.granted, t.grant, t.sequence = true, g.Slots, g.Sequence
			t.until = now.Add(g.Lifetime)
			heap.Push(&s.wakes, wakeEntry{at: t.until, target: t})
			t.service.refresh(now, s.hosts, t)
			t.service.updateRate()
		}
	}
}

func (s *System) setLoad(now time.Time, list []LoadConfig) {
	for _, l := range list {
		e, ok := s.endpoints[l.Endpoint]
		if !ok || l.Measured.Before(e.loadAt) {
			continue
		}
		e.loadAt = l.Measured
		e.load = float64(l.Running+l.Queued) / float64(max(l.Slots, 1))
		for _, t := range e.targets {
			if t.probing {
				t.service.refresh(now, s.hosts, t)
			}
		}
	}
}

// cacheEvents updates what is known of prefix caches. After a gap an eviction may have been missed, so
// what was known of the endpoint before no longer counts.
func (s *System) cacheEvents(e CacheEvents) {
	ep, ok := s.endpoints[e.endpoint]
	if !ok {
		return
	}
	for _, c := range e.list {
		gap := ep.cacheSeq != 0 && c.Sequence > ep.cacheSeq+1
		if c.Sequence <= ep.cacheSeq {
			continue
		}
		ep.cacheSeq = c.Sequence
		for _, t := range ep.targets {
			if t.endpoints[0] != ep {
				// A prefix helps only where every stage holds it; the first stage reports for all.
				continue
			}
			ps := &t.service.preambles
			if gap {
				t.cacheGaps++
			}
			switch c.Kind {
			case CacheStored:
				ps.touch(c.Prefix).add(t)
			case CacheEvicted:
				if p, ok := ps.rows[c.Prefix]; ok {
					p.drop(t)
				}
			}
		}
	}
}

func (s *System) refuse(r *request, code outcome.Code, message string, retryAfter time.Duration) {
	s.out = append(s.out, Refuse{request: r.cfg.Request, refusal: outcome.NewRefusal(outcome.RefusalConfig{
		Code: code, Message: message, Facts: r.facts(), RetryAfter: s.spread(retryAfter),
	})})
}

// spread adds up to a fifth, so that refused callers do not return all at once, and sets a lower bound.
func (s *System) spread(d time.Duration) time.Duration {
	// A caller that is told to return within less than this would only be refused again.
	const least = 100 * time.Millisecond
	d = max(d, least)
	return d + time.Duration(s.rng.Int64N(int64(d/5)+1))
}

// wakeEntry is a time at which the limit of a target may change without an event.
type wakeEntry struct {
	at     time.Time
	target *target
}

type wakeHeap []wakeEntry

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h wakeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) { *h = append(*h, x.(wakeEntry)) }

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *System) wake(now time.Time) {
	for len(s.wakes) > 0 && !s.wakes[0].at.After(now) {
		e := heap.Pop(&s.wakes).(wakeEntry)
		svc := e.target.service
		svc.refresh(now, s.hosts, e.target)
		svc.forgetRetired(now, e.target)
	}
}
