package placement

import (
	"cmp"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

const (
	// minMoveGain is the least ratio of the new rate to the old one for a move. A smaller gain may be an error in
	// the measured speeds and does not justify draining streams and reloading layers.
	minMoveGain = 1.10
	// minMoveInterval is the minimum interval between two moves, so that speeds are measured after one move and
	// before the next.
	minMoveInterval = time.Minute
	// maxMoveUtilization is the share of slots in use above which no pipeline is moved, because a move takes a
	// pipeline out of service.
	maxMoveUtilization = 0.7
	// planPropagationTime is the longest time for a changed plan to reach all hosts: two report intervals of 1 s,
	// an owner that is unresponsive for 2 s, and 1 s in reserve.
	planPropagationTime = 5 * time.Second
	// speedSampleWeight is the weight of a new sample in the moving average of the speed; reports arrive every few
	// seconds.
	speedSampleWeight = 0.2
	// replacementWait is how long a pipeline waits for a lost endpoint that no free one can replace. A restart
	// takes seconds, whereas forming a new pipeline loads weights on every remaining endpoint.
	replacementWait = 30 * time.Second
	// orderRetryInterval is the time after which an unfulfilled order is sent again. It is the longest time that an
	// order takes.
	orderRetryInterval = 5 * time.Second
)

// Config describes a System.
type Config struct{ Service table.ServiceID }

// System plans the placement of one service's model.
type System struct {
	service   table.ServiceID
	model     Model
	hasModel  bool
	addresses map[string]bool
	endpoints map[string]*endpoint
	byID      map[table.EndpointID]*endpoint
	links     map[[2]string]time.Duration
	lifecycle *lifecycle

	plan          Plan
	planRead      bool
	pending       *Plan
	movedAt       time.Time
	needsDecision bool
	checkedAt     time.Time

	maxConcurrentLoads int
	bytesPerSecond     int64
	permits            map[table.EndpointID]permit
	orderCount         uint64
	decisions          []Decision
}

// endpoint is the last known state of one endpoint.
type endpoint struct {
	cfg      DescribedConfig
	state    State
	speed    float64
	measured bool
	running  int
	queued   int
	loadAt   time.Time
	lostAt   time.Time
	// unwantedSince is the time since which the endpoint holds layers that are not in the plan; zero if it holds
	// none.
	unwantedSince time.Time
	// orderID is the ID of the order that is in flight or not yet fulfilled. orderAt is when it was last sent or
	// answered.
	orderID        string
	orderAt        time.Time
	awaitingAnswer bool
	// adapters holds the adapters, as VERSION/ADAPTER, that this incarnation has loaded.
	adapters map[string]bool
}

// New returns a system that makes no decisions until it has received the document and the stored plan.
func New(cfg Config) *System {
	return &System{
		service: cfg.Service, addresses: map[string]bool{}, endpoints: map[string]*endpoint{},
		byID: map[table.EndpointID]*endpoint{}, links: map[[2]string]time.Duration{}, lifecycle: newLifecycle(),
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

// moveCheckInterval is the interval at which speeds are checked for a possible move when no other event occurs.
const moveCheckInterval = 10 * time.Second

// Tick applies the events since the last call and returns the decisions that the daemon must carry out.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.decisions = nil
	for _, e := range events {
		s.apply(now, e)
	}
	if !s.planRead || !s.hasModel {
		return nil
	}
	if s.pending == nil && s.allEndpointsRead() && (s.needsDecision || now.Sub(s.checkedAt) >= moveCheckInterval) {
		s.needsDecision, s.checkedAt = false, now
		s.decide(now)
	}
	s.sendOrders(now)
	return s.decisions
}

// allEndpointsRead reports whether every endpoint has been read or is lost. Until then, a new holder of the
// service would mistake endpoints that it has not read yet for lost ones.
func (s *System) allEndpointsRead() bool {
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
		s.applyDocument(e)
	case EndpointDescribed:
		s.applyDescription(e.cfg)
	case EndpointLost:
		if x := s.endpoints[e.address]; x != nil && s.lifecycle.fire(x, unresponsive) {
			x.orderID, x.awaitingAnswer, x.adapters, x.lostAt = "", false, nil, now
			s.releasePermit(x.cfg.Endpoint)
			s.needsDecision = true
		}
	case LoadReported:
		s.applyLoad(e.cfg)
	case LinkMeasured:
		s.links[linkKey(e.a, e.b)] = e.cost
	case LimitsRead:
		s.bytesPerSecond, s.maxConcurrentLoads = e.bytesPerSecond, e.maxConcurrentLoads
	case PlanRead:
		s.plan, s.planRead, s.needsDecision, s.pending = e.plan, true, true, nil
	case PlanWritten:
		s.applyPlanWritten(now, e)
	case OrderAnswered:
		s.applyOrderAnswered(now, e)
	}
}

func (s *System) applyDocument(e DocumentChanged) {
	s.model, s.hasModel, s.needsDecision = e.model, true, true
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

func (s *System) applyDescription(cfg DescribedConfig) {
	e := s.endpoints[cfg.Address]
	if e == nil {
		return
	}
	if e.cfg.Incarnation != cfg.Incarnation {
		e.adapters = nil
	}
	if e.state == Unknown || e.state == Lost || !slices.Equal(e.cfg.Holdings, cfg.Holdings) || e.cfg.Slots != cfg.Slots {
		s.needsDecision = true
	}
	e.cfg = cfg
	s.byID[cfg.Endpoint] = e
	s.lifecycle.fire(e, described)
}

// applyLoad updates the speed of an endpoint, in layers per second, and its number of running and queued streams.
func (s *System) applyLoad(cfg EndpointLoadConfig) {
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
	if cfg.TimePerToken <= 0 || layers == 0 {
		return
	}
	speed := float64(layers) / cfg.TimePerToken.Seconds()
	if !e.measured {
		e.speed, e.measured = speed, true
		return
	}
	e.speed += speedSampleWeight * (speed - e.speed)
}

// estimateSpeeds assigns endpoints without a measurement the mean speed of their accelerator kind, or of all
// endpoints if none of that kind was measured.
func (s *System) estimateSpeeds() {
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

func (s *System) applyPlanWritten(now time.Time, e PlanWritten) {
	if s.pending == nil || s.pending.Generation() != e.generation {
		return
	}
	if e.ok {
		s.plan = *s.pending
	}
	// After a failed write, the daemon reads the stored plan and the decision is made again from it.
	s.pending, s.needsDecision = nil, !e.ok
	s.checkedAt = now
}

// freeEndpoints returns the endpoints that are in no pipeline of the list and can be placed, ordered by name. It
// also returns the rejected ones, with the cause.
func (s *System) freeEndpoints(list []PlacedPipeline) (free []*endpoint, rejected []Rejected) {
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
		case s.holdsOtherModel(e):
			rejected = append(rejected, Rejected{Candidate: string(e.cfg.Endpoint), Cause: CauseOtherModel})
		case s.capacity(e) < 1:
			rejected = append(rejected, Rejected{Candidate: string(e.cfg.Endpoint), Cause: CauseMemory})
		default:
			free = append(free, e)
		}
	}
	slices.SortFunc(free, func(a, b *endpoint) int { return cmp.Compare(a.cfg.Endpoint, b.cfg.Endpoint) })
	return free, rejected
}

func (s *System) holdsOtherModel(e *endpoint) bool {
	return slices.ContainsFunc(e.cfg.Holdings, func(h Holding) bool { return h.Model != s.model.Name })
}

// utilization returns the share of slots in use. Queued streams count too, so it can exceed 1.
func (s *System) utilization() float64 {
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
