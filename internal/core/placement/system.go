package placement

import (
	"cmp"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

const (
	// minGain is what a move must gain: below it, the streams that must be drained and the layers that must
	// be loaded again cost more than measuring errors of the speed may be worth.
	minGain = 1.10
	// moveEvery is the least time between two moves, so that the speeds after one are measured before the next.
	moveEvery = time.Minute
	// maxTraffic is the part of the slots in use above which nothing is moved: a move takes a pipeline out.
	maxTraffic = 0.7
	// spread is how long a changed plan takes to reach all hosts: two reports of one second each, an owner
	// that is silent for 2 s, and a second in reserve.
	spread = 5 * time.Second
	// speedWeight is the weight of a new measurement of speed; reports come every few seconds.
	speedWeight = 0.2
	// reformAfter is how long a pipeline waits for a lost endpoint that no free one can replace: a restart
	// takes seconds, and re-forming loads weights on every other endpoint of the pipeline.
	reformAfter = 30 * time.Second
	// orderAgain is the time after which an order that is not yet met is sent again: the longest order.
	orderAgain = 5 * time.Second
)

// Config describes a System.
type Config struct{ Service table.ServiceID }

// System places the model of one service.
type System struct {
	service   table.ServiceID
	model     Model
	haveModel bool
	addresses map[string]bool
	endpoints map[string]*endpoint
	byID      map[table.EndpointID]*endpoint
	links     map[[2]string]time.Duration
	life      *life

	plan     Plan
	planRead bool
	pending  *Plan
	moved    time.Time
	changed  bool
	checked  time.Time

	loadsAtOnce    int
	bytesPerSecond int64
	permits        map[table.EndpointID]permit
	orders         uint64
	out            []Decision
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	cfg      DescribedConfig
	state    State
	speed    float64
	measured bool
	running  int
	queued   int
	loadAt   time.Time
	lostAt   time.Time
	// leftAt is since when the endpoint holds something that it should not.
	leftAt time.Time
	// order is the order in flight or not yet met, and orderAt when it was sent.
	order   string
	orderAt time.Time
	waiting bool
	// adapters holds those that this incarnation has loaded for the version.
	adapters map[string]bool
}

// New returns a system that decides nothing until it knows the document and the stored plan.
func New(cfg Config) *System {
	return &System{
		service: cfg.Service, addresses: map[string]bool{}, endpoints: map[string]*endpoint{},
		byID: map[table.EndpointID]*endpoint{}, links: map[[2]string]time.Duration{}, life: newLife(),
		permits: map[table.EndpointID]permit{},
	}
}

// Plan returns the plan in force.
func (s *System) Plan() Plan { return s.plan }

// State returns the state of the endpoint at an address.
func (s *System) State(address string) State {
	if e := s.endpoints[address]; e != nil {
		return e.state
	}
	return Unknown
}

// checkEvery is how often speeds are looked at for a move without any other event.
const checkEvery = 10 * time.Second

// Tick takes the events since the last call and returns what the daemon has to do.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.out = nil
	for _, e := range events {
		s.apply(now, e)
	}
	if !s.planRead || !s.haveModel {
		return nil
	}
	if s.pending == nil && s.complete() && (s.changed || now.Sub(s.checked) >= checkEvery) {
		s.changed, s.checked = false, now
		s.decide(now)
	}
	s.order(now)
	return s.out
}

// complete reports whether every endpoint was read or is lost, so that a new holder does not take those
// that it has not read yet for lost.
func (s *System) complete() bool {
	for _, e := range s.endpoints {
		if e.state == Unknown {
			return false
		}
	}
	return true
}

func (s *System) apply(now time.Time, e Event) {
	switch e := e.(type) {
	case DocumentChanged:
		s.document(e)
	case EndpointDescribed:
		s.describe(e.cfg)
	case EndpointLost:
		if x := s.endpoints[e.address]; x != nil && s.life.fire(x, silent) {
			x.order, x.waiting, x.adapters, x.lostAt = "", false, nil, now
			s.release(x.cfg.Endpoint)
			s.changed = true
		}
	case LoadReported:
		s.load(e.cfg)
	case LinkMeasured:
		s.links[linkKey(e.a, e.b)] = e.cost
	case LimitsRead:
		s.bytesPerSecond, s.loadsAtOnce = e.bytesPerSecond, e.loadsAtOnce
	case PlanRead:
		s.plan, s.planRead, s.changed, s.pending = e.plan, true, true, nil
	case PlanWritten:
		s.written(now, e)
	case OrderAnswered:
		s.answered(now, e)
	}
}

func (s *System) document(e DocumentChanged) {
	s.model, s.haveModel, s.changed = e.model, true, true
	s.addresses = map[string]bool{}
	for _, a := range e.addresses {
		s.addresses[a] = true
		if s.endpoints[a] == nil {
			s.endpoints[a] = &endpoint{cfg: DescribedConfig{Address: a}, state: Unknown, speed: 1}
		}
	}
	for a, x := range s.endpoints {
		if !s.addresses[a] {
			delete(s.endpoints, a)
			delete(s.byID, x.cfg.Endpoint)
		}
	}
}

func (s *System) describe(cfg DescribedConfig) {
	e := s.endpoints[cfg.Address]
	if e == nil {
		return
	}
	if e.cfg.Incarnation != cfg.Incarnation {
		e.adapters = nil
	}
	if e.state == Unknown || e.state == Lost || !slices.Equal(e.cfg.Holdings, cfg.Holdings) || e.cfg.Slots != cfg.Slots {
		s.changed = true
	}
	e.cfg = cfg
	s.byID[cfg.Endpoint] = e
	s.life.fire(e, described)
}

// load takes in the speed of an endpoint, in layers a second, and how many streams it runs.
func (s *System) load(cfg LoadConfig) {
	e := s.byID[cfg.Endpoint]
	if e == nil {
		return
	}
	e.running, e.queued, e.loadAt = cfg.Running, cfg.Queued, cfg.Measured
	layers := 0
	for _, h := range e.cfg.Holdings {
		if h.Model == s.model.Name {
			layers = max(layers, h.Layers.To-h.Layers.From)
		}
	}
	if cfg.Step <= 0 || layers == 0 {
		return
	}
	speed := float64(layers) / cfg.Step.Seconds()
	if !e.measured {
		e.speed, e.measured = speed, true
		return
	}
	e.speed += speedWeight * (speed - e.speed)
}

// estimate gives endpoints without a measurement the mean speed of their kind, or of all.
func (s *System) estimate() {
	sums, counts := map[string]float64{}, map[string]int{}
	for _, address := range sortedKeys(s.endpoints) {
		if e := s.endpoints[address]; e.measured {
			for _, kind := range []string{e.cfg.Accelerator, ""} {
				sums[kind] += e.speed
				counts[kind]++
			}
		}
	}
	for _, e := range s.endpoints {
		if e.measured {
			continue
		}
		e.speed = 1
		for _, kind := range []string{e.cfg.Accelerator, ""} {
			if counts[kind] > 0 {
				e.speed = sums[kind] / float64(counts[kind])
				break
			}
		}
	}
}

func (s *System) written(now time.Time, e PlanWritten) {
	if s.pending == nil || s.pending.Generation() != e.generation {
		return
	}
	if e.ok {
		s.plan = *s.pending
	}
	// A write that failed is decided again, on the plan that the daemon reads first.
	s.pending, s.changed = nil, !e.ok
	s.checked = now
}

// free returns the endpoints that have no part in the list and may get one, ordered by name.
func (s *System) free(list []Placed) (free []*endpoint, passed []Passed) {
	used := map[table.EndpointID]bool{}
	for _, p := range list {
		for _, st := range p.pipeline.Stages() {
			used[st.Endpoint()] = true
		}
	}
	for _, e := range s.endpoints {
		if used[e.cfg.Endpoint] || e.state == Unknown || e.state == Lost {
			continue
		}
		switch {
		case s.holdsOther(e):
			passed = append(passed, Passed{What: string(e.cfg.Endpoint), Cause: CauseOther})
		case s.capacity(e) < 1:
			passed = append(passed, Passed{What: string(e.cfg.Endpoint), Cause: CauseMemory})
		default:
			free = append(free, e)
		}
	}
	slices.SortFunc(free, func(a, b *endpoint) int { return cmp.Compare(a.cfg.Endpoint, b.cfg.Endpoint) })
	return free, passed
}

func (s *System) holdsOther(e *endpoint) bool {
	return slices.ContainsFunc(e.cfg.Holdings, func(h Holding) bool { return h.Model != s.model.Name })
}

// traffic returns the part of the slots in use.
func (s *System) traffic() float64 {
	running, slots := 0, 0
	for _, p := range s.plan.Pipelines() {
		if e := s.byID[p.pipeline.Stages()[0].Endpoint()]; e != nil {
			running += e.running + e.queued
			slots += p.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(running) / float64(slots)
}
