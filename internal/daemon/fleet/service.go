package fleet

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/journal"
	"waxwingplank/internal/endpoint/engine"
)

const (
	// describeInterval is the minimum interval between two descriptions of an engine. They change only with
	// orders and restarts, and pollers report restarts without delay.
	describeInterval = 5 * time.Second
	// describesPerSecond bounds the descriptions that the owner of one service reads.
	describesPerSecond = 10
	// describeRetryDelay is the delay after a description that failed.
	describeRetryDelay = 500 * time.Millisecond
	// lostAfterFailures is the number of failed reads, half a second apart, after which an engine is lost: 2 s.
	lostAfterFailures = 4
)

// service holds the state of one service on this host.
type service struct {
	fleet   *Fleet
	id      table.ServiceID
	plain   bool
	model   document.Model
	weights map[uint32]int
	units   map[string]*unit
	byHash  map[uint64]*unit
	catalog catalog
	plan    placement.Plan
	// highestGeneration is the highest catalog generation that this host had or that another host reported.
	highestGeneration uint64
	publishedKey      string
	// ready is closed after the first pipelines have been sent to routing.
	ready     chan struct{}
	published bool
	owner     table.HostID

	// The fields below are used while this host owns the service.
	engines    map[string]*engineState
	ownerSince time.Time
	// secondHostReplied is true once the host ranked second has replied, or if there is none. Until then it
	// may have a catalog that this host must continue.
	secondHostReplied bool
	dirty             bool
}

// engineState is the state of one engine on the owner of its service.
type engineState struct {
	address  string
	desc     *engine.Description
	failures int
	next     time.Time
	busy     bool
}

func newService(f *Fleet, id table.ServiceID) *service {
	return &service{fleet: f, id: id, units: map[string]*unit{}, engines: map[string]*engineState{}, ready: make(chan struct{})}
}

func (s *service) applyDocument(doc document.Document) {
	model, isPipeline := doc.Model()
	s.plain, s.model, s.dirty = !isPipeline, model, true
	s.weights = map[uint32]int{}
	for _, w := range doc.Workspaces() {
		s.weights[workspaceHash(table.WorkspaceID(w.Name))] = int(w.Weight)
	}
	if s.plain {
		s.setUnits(plainEndpoints(doc))
		return
	}
	old := s.engines
	s.engines = map[string]*engineState{}
	for _, address := range doc.Endpoints() {
		if s.engines[address] = old[address]; s.engines[address] == nil {
			s.engines[address] = &engineState{address: address}
		}
	}
}

func workspaceHash(id table.WorkspaceID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func plainEndpoints(doc document.Document) []routing.PipelineConfig {
	// A plain service publishes no load. The bound keeps one instance from receiving every call of a burst.
	const maxConcurrentCalls = 256
	var out []routing.PipelineConfig
	for _, address := range doc.Endpoints() {
		stage := table.NewStage(table.StageConfig{Endpoint: table.EndpointID(address), Address: address})
		out = append(out, routing.PipelineConfig{Pipeline: table.NewPipeline([]table.Stage{stage}), Slots: maxConcurrentCalls})
	}
	return out
}

// setUnits replaces the units. Units that remain keep their state as owner and user.
func (s *service) setUnits(list []routing.PipelineConfig) {
	old := s.units
	s.units, s.byHash = map[string]*unit{}, map[uint64]*unit{}
	for _, p := range list {
		id := p.Pipeline.ID()
		u := old[id]
		if u == nil {
			u = &unit{id: id, hash: xxhash.Sum64String(id), service: s}
		}
		u.pipeline, u.slots, u.interval = p.Pipeline, p.Slots, p.Interval
		s.units[id] = u
		s.byHash[u.hash] = u
	}
	s.fleet.assignmentsStale = true
}

// selectUnits recomputes the units that this host uses and sends those that are not lost to routing.
func (s *service) selectUnits() {
	all := make([]*unit, 0, len(s.units))
	for _, u := range s.units {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b *unit) int { return strings.Compare(a.id, b.id) })
	chosen := subset(s.fleet.cfg.Self, len(s.fleet.live), all)
	use := map[*unit]bool{}
	var list []routing.PipelineConfig
	key := ""
	for _, u := range chosen {
		use[u] = true
		if !u.lost {
			list = append(list, routing.PipelineConfig{Pipeline: u.pipeline, Slots: u.slots, Interval: u.interval})
			key += u.id + "/" + strconv.Itoa(u.slots) + " "
		}
	}
	for _, u := range all {
		if u.used != use[u] {
			u.used, u.unansweredSince = use[u], time.Time{}
		}
	}
	if key == s.publishedKey {
		return
	}
	if !s.published {
		s.published = true
		s.fleet.ready = append(s.fleet.ready, s.ready)
	}
	s.publishedKey = key
	s.publish(list, len(all))
}

func (s *service) publish(list []routing.PipelineConfig, total int) {
	f := s.fleet
	if s.plain {
		var out []routing.PlainEndpointConfig
		for _, p := range list {
			stage := p.Pipeline.Stages()[0]
			out = append(out, routing.PlainEndpointConfig{Endpoint: stage.Endpoint(), Address: stage.Address(), Slots: p.Slots})
		}
		f.events = append(f.events, routing.NewPlainEndpoints(s.id, out))
	} else {
		f.events = append(f.events, routing.NewPipelines(s.id, list))
	}
	f.journalDecision("pipelines", journal.Fields{
		"service": string(s.id), "pipelines": s.publishedKey, "passed_over": total - len(list), "cause": "used_and_answering",
		"catalog": s.catalog.generation, "plan": s.catalog.plan,
	})
}

// ranking returns the live hosts by rank for the service. The first one owns it.
func (s *service) ranking() []table.HostID {
	return membership.SortByRank("service/"+string(s.id), s.fleet.live)
}

func (s *service) owned() bool { return !s.plain && s.owner == s.fleet.cfg.Self && s.owner != "" }

// updateCatalog determines the owner of the service. For an owned service it also updates the catalog and
// returns the reads that are due.
func (s *service) updateCatalog(ctx context.Context, now time.Time) []func() {
	if s.plain {
		return nil
	}
	if s.fleet.assignmentsStale || s.owner == "" {
		owner := table.HostID("")
		if ranked := s.ranking(); len(ranked) > 0 {
			owner = ranked[0]
			s.secondHostReplied = s.secondHostReplied || len(ranked) == 1
		}
		if owner != s.owner {
			s.owner, s.ownerSince, s.dirty = owner, now, true
			s.notifyPlacement(func(p Placement) { p.SetOwned(s.id, owner == s.fleet.cfg.Self) })
		}
	}
	if !s.owned() {
		return nil
	}
	work := s.dueDescriptions(ctx, now)
	if s.catalog.generation == 0 && !s.secondHostReplied && now.Sub(s.ownerSince) < ownerTimeout {
		return work
	}
	if s.dirty || s.highestGeneration > s.catalog.generation {
		s.rebuildCatalog(now)
	}
	return work
}

// dueDescriptions returns the reads of descriptions that are due.
func (s *service) dueDescriptions(ctx context.Context, now time.Time) []func() {
	var work []func()
	for _, e := range s.engines {
		if e.busy || now.Before(e.next) {
			continue
		}
		e.busy = true
		work = append(work, func() {
			desc, err := s.fleet.cfg.Engines.Describe(ctx, e.address)
			var load engine.Load
			if err == nil && s.fleet.cfg.Placement != nil {
				load, err = s.fleet.cfg.Engines.Load(ctx, e.address)
			}
			if ctx.Err() != nil {
				return
			}
			s.fleet.mu.Lock()
			s.handleDescription(e, desc, load, err)
			changed := s.dirty
			s.fleet.mu.Unlock()
			s.fleet.flush()
			if changed {
				s.fleet.requestStep()
			}
		})
	}
	return work
}

// notifyPlacement calls the placement after the lock is released.
func (s *service) notifyPlacement(call func(Placement)) {
	if p := s.fleet.cfg.Placement; p != nil {
		s.fleet.callbacks = append(s.fleet.callbacks, func() { call(p) })
	}
}

func (s *service) handleDescription(e *engineState, desc engine.Description, load engine.Load, err error) {
	now := s.fleet.cfg.Clock()
	e.busy = false
	if err != nil {
		s.fleet.journalMalformed(e.address, err)
		e.failures++
		e.next = now.Add(describeRetryDelay)
		s.dirty = s.dirty || e.failures == lostAfterFailures || e.desc == nil
		if e.failures > lostAfterFailures {
			e.next = now.Add(describeInterval)
		}
		if e.failures >= lostAfterFailures {
			s.notifyPlacement(func(p Placement) { p.HandleEndpointLost(s.id, e.address) })
		}
		return
	}
	s.dirty = s.dirty || e.desc == nil || e.failures >= lostAfterFailures || !sameDescription(*e.desc, desc)
	e.desc, e.failures = &desc, 0
	e.next = now.Add(max(describeInterval, time.Duration(len(s.engines))*time.Second/describesPerSecond))
	s.fleet.observeIncarnation(desc.Endpoint(), desc.Incarnation())
	s.notifyPlacement(func(p Placement) { p.HandleDescription(s.id, e.address, desc, load) })
}

func sameDescription(a, b engine.Description) bool {
	return a.Endpoint() == b.Endpoint() && a.Incarnation() == b.Incarnation() && a.Slots() == b.Slots() &&
		slices.Equal(a.Holdings(), b.Holdings())
}

// scheduleDescribe makes the owner of the service read the descriptions of engines that a poller reported.
func (s *service) scheduleDescribe(endpoints []string) {
	for _, e := range s.engines {
		if e.desc != nil && slices.Contains(endpoints, string(e.desc.Endpoint())) {
			e.next = time.Time{}
		}
	}
}

// rebuildCatalog forms the catalog again and gives it the next generation if it changed or another host
// reported a higher one.
func (s *service) rebuildCatalog(now time.Time) {
	c, complete := s.nextCatalog()
	if !complete && now.Sub(s.ownerSince) < ownerTimeout {
		// With engines that are still unread, the pipelines might be joined in another way a moment later.
		return
	}
	s.dirty = false
	if c.key() == s.catalog.key() && s.highestGeneration <= s.catalog.generation && s.catalog.generation > 0 {
		return
	}
	c.generation, c.host = max(s.highestGeneration, s.catalog.generation)+1, s.fleet.cfg.Self
	s.fleet.journalDecision("catalog", journal.Fields{
		"service": string(s.id), "generation": c.generation, "pipelines": c.key(), "engines": len(s.engines),
	})
	s.setCatalog(c)
}

// nextCatalog returns the catalog that the service should have; complete is false while engines are unread.
//
// With a plan, it lists the pipelines of the plan whose stages hold their layers. Without one, it keeps
// the pipelines of the last catalog whose stages still hold theirs, and joins the other engines to new
// pipelines. An owner that could not read the plan keeps the last catalog and forms no new pipelines.
func (s *service) nextCatalog() (c catalog, complete bool) {
	list := s.catalog.pipelines
	c = catalog{version: s.model.Version}
	switch {
	case s.plan.Generation() > 0 && s.plan.Generation() >= s.catalog.plan:
		c.plan, c.version, list = s.plan.Generation(), s.plan.Version(), pipelinesOfPlan(s.plan)
	case s.catalog.plan > 0:
		c.plan, c.version = s.catalog.plan, s.catalog.version
	}
	model := s.model
	model.Version = c.version
	holders, unread := s.holdings(model)
	for _, p := range list {
		route, ok := s.route(p, holders, unread)
		if !ok {
			continue
		}
		for _, e := range route {
			delete(holders, e.Endpoint)
		}
		if len(route) == len(p.Pipeline.Stages()) {
			interval := p.Interval
			p = pipelineFromRoute(route)
			p.Interval = interval
		}
		c.pipelines = append(c.pipelines, p)
	}
	if c.plan == 0 {
		var unused []placement.EndpointHolding
		for _, e := range holders {
			unused = append(unused, e)
		}
		c.pipelines = append(c.pipelines, assemble(model, unused)...)
	}
	return c, len(unread) == 0
}

func pipelinesOfPlan(p placement.Plan) []routing.PipelineConfig {
	var out []routing.PipelineConfig
	for _, x := range p.Pipelines() {
		out = append(out, routing.PipelineConfig{Pipeline: x.Pipeline(), Slots: x.Slots(), Interval: x.Interval()})
	}
	return out
}

// holdings returns the engines that hold layers of the model, and the addresses that were not read yet.
func (s *service) holdings(model document.Model) (map[table.EndpointID]holding, map[string]bool) {
	holders, unread := map[table.EndpointID]holding{}, map[string]bool{}
	for address, e := range s.engines {
		switch {
		case e.desc == nil && e.failures == 0:
			unread[address] = true
		case e.desc != nil && e.failures < lostAfterFailures:
			if h, ok := e.holding(model); ok {
				holders[h.Endpoint] = h
			}
		}
	}
	return holders, unread
}

type holding = placement.EndpointHolding

// route returns the engines of a pipeline that hold their stages, and false if one does not. Engines not
// read yet are left out of the route and assumed to hold their stage as before.
func (s *service) route(p routing.PipelineConfig, holders map[table.EndpointID]holding, unread map[string]bool) ([]holding, bool) {
	var route []holding
	for _, st := range p.Pipeline.Stages() {
		e, ok := holders[st.Endpoint()]
		switch {
		case ok && e.Layers == st.Layers() && e.Address == st.Address():
			route = append(route, e)
		case !unread[st.Address()]:
			return nil, false
		}
	}
	return route, p.Pipeline.Covers(int(s.model.Layers))
}

// holding returns the layers of the model that the engine holds, and false if it holds none.
func (e *engineState) holding(model document.Model) (placement.EndpointHolding, bool) {
	for _, h := range e.desc.Holdings() {
		if h.Model() == model.Name && h.Version() == model.Version {
			return placement.EndpointHolding{
				Endpoint: e.desc.Endpoint(), Address: e.address, FailureDomain: e.desc.FailureDomain(),
				Slots: e.desc.Slots(), Layers: h.Layers(),
			}, true
		}
	}
	return placement.EndpointHolding{}, false
}

// setCatalog applies a catalog on this host.
func (s *service) setCatalog(c catalog) {
	s.catalog = c
	s.highestGeneration = max(s.highestGeneration, c.generation)
	s.setUnits(c.pipelines)
}
