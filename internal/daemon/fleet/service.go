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
	// describeEvery is the least time between two descriptions of an engine, which change only with
	// orders and restarts; pollers report restarts at once.
	describeEvery = 5 * time.Second
	// describesPerSecond bounds the descriptions that the owner of one service reads.
	describesPerSecond = 10
	// describeAgain is the pause after a description that failed or is in doubt.
	describeAgain = 500 * time.Millisecond
	// lostAfter is the number of reads, half a second apart, that fail before an engine counts as lost: 2 s.
	lostAfter = 4
)

// service is one service on this host.
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
	// seen is the highest generation of a catalog that another host has named.
	seen uint64
	last string
	// ready is closed once routing was told the first pipelines.
	ready chan struct{}
	told  bool
	owner table.HostID

	// The rest is used while this host owns the service.
	engines map[string]*described
	since   time.Time
	// asked is true once the host ranked second has answered, or where there is none.
	asked bool
	dirty bool
}

// described is one engine as the owner of its service sees it.
type described struct {
	address  string
	desc     *engine.Description
	failures int
	next     time.Time
	busy     bool
}

func newService(f *Fleet, id table.ServiceID) *service {
	return &service{fleet: f, id: id, units: map[string]*unit{}, engines: map[string]*described{}, ready: make(chan struct{})}
}

func (s *service) adopt(doc document.Document) {
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
	s.engines = map[string]*described{}
	for _, address := range doc.Endpoints() {
		if s.engines[address] = old[address]; s.engines[address] == nil {
			s.engines[address] = &described{address: address}
		}
	}
}

func workspaceHash(id table.WorkspaceID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func plainEndpoints(doc document.Document) []routing.PipelineConfig {
	// A plain service publishes no load; the bound keeps one instance from taking every call of a burst.
	const callsAtOnce = 256
	var out []routing.PipelineConfig
	for _, address := range doc.Endpoints() {
		stage := table.NewStage(table.StageConfig{Endpoint: table.EndpointID(address), Address: address})
		out = append(out, routing.PipelineConfig{Pipeline: table.NewPipeline([]table.Stage{stage}), Slots: callsAtOnce})
	}
	return out
}

// setUnits replaces the units; those that stay keep their owner's and user's state.
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
	s.fleet.stale = true
}

// choose recomputes the units that this host uses and tells routing of those that answer.
func (s *service) choose() {
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
			u.used, u.unanswered = use[u], time.Time{}
		}
	}
	if key == s.last {
		return
	}
	if !s.told {
		s.told = true
		s.fleet.ready = append(s.fleet.ready, s.ready)
	}
	s.last = key
	s.publish(list, len(all))
}

func (s *service) publish(list []routing.PipelineConfig, known int) {
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
	f.decided("pipelines", journal.Fields{
		"service": string(s.id), "pipelines": s.last, "passed_over": known - len(list), "cause": "used_and_answering",
		"catalog": s.catalog.generation, "plan": s.catalog.plan,
	})
}

// ranking returns the live hosts by rank for the service; the first one owns it.
func (s *service) ranking() []table.HostID {
	return membership.SortByRank("service/"+string(s.id), s.fleet.live)
}

func (s *service) owned() bool { return !s.plain && s.owner == s.fleet.cfg.Self && s.owner != "" }

// form keeps the catalog of an owned service up to date and returns the reads that are due.
func (s *service) form(ctx context.Context, now time.Time) []func() {
	if s.plain {
		return nil
	}
	if s.fleet.stale || s.owner == "" {
		owner := table.HostID("")
		if ranked := s.ranking(); len(ranked) > 0 {
			owner = ranked[0]
			s.asked = s.asked || len(ranked) == 1
		}
		if owner != s.owner {
			s.owner, s.since, s.dirty = owner, now, true
			s.tell(func(p Placement) { p.Own(s.id, owner == s.fleet.cfg.Self) })
		}
	}
	if !s.owned() {
		return nil
	}
	work := s.describe(ctx, now)
	if s.catalog.generation == 0 && !s.asked && now.Sub(s.since) < ownerSilent {
		return work
	}
	if s.dirty || s.seen > s.catalog.generation {
		s.rebuild(now)
	}
	return work
}

// describe returns the reads of descriptions that are due.
func (s *service) describe(ctx context.Context, now time.Time) []func() {
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
			s.described(e, desc, load, err)
			changed := s.dirty
			s.fleet.mu.Unlock()
			s.fleet.flush()
			if changed {
				s.fleet.soon()
			}
		})
	}
	return work
}

// tell hands something to the placement once the lock is released.
func (s *service) tell(call func(Placement)) {
	if p := s.fleet.cfg.Placement; p != nil {
		s.fleet.calls = append(s.fleet.calls, func() { call(p) })
	}
}

func (s *service) described(e *described, desc engine.Description, load engine.Load, err error) {
	now := s.fleet.cfg.Clock()
	e.busy = false
	if err != nil {
		e.failures++
		e.next = now.Add(describeAgain)
		s.dirty = s.dirty || e.failures == lostAfter || e.desc == nil
		if e.failures > lostAfter {
			e.next = now.Add(describeEvery)
		}
		if e.failures >= lostAfter {
			s.tell(func(p Placement) { p.Lost(s.id, e.address) })
		}
		return
	}
	s.dirty = s.dirty || e.desc == nil || e.failures >= lostAfter || !sameDescription(*e.desc, desc)
	e.desc, e.failures = &desc, 0
	e.next = now.Add(max(describeEvery, time.Duration(len(s.engines))*time.Second/describesPerSecond))
	s.fleet.seen(desc.Endpoint(), desc.Incarnation())
	s.tell(func(p Placement) { p.Described(s.id, e.address, desc, load) })
}

func sameDescription(a, b engine.Description) bool {
	return a.Endpoint() == b.Endpoint() && a.Incarnation() == b.Incarnation() && a.Slots() == b.Slots() &&
		slices.Equal(a.Holdings(), b.Holdings())
}

// doubt makes the owner of the service look at engines again that a poller reported.
func (s *service) doubt(endpoints []string) {
	for _, e := range s.engines {
		if e.desc != nil && slices.Contains(endpoints, string(e.desc.Endpoint())) {
			e.next = time.Time{}
		}
	}
}

// rebuild forms the catalog anew and gives it the next generation where it changed.
func (s *service) rebuild(now time.Time) {
	c, complete := s.next()
	if !complete && now.Sub(s.since) < ownerSilent {
		// Engines not looked at yet might otherwise be paired in another way a moment later.
		return
	}
	s.dirty = false
	if c.key() == s.catalog.key() && s.seen <= s.catalog.generation && s.catalog.generation > 0 {
		return
	}
	c.generation, c.host = max(s.seen, s.catalog.generation)+1, s.fleet.cfg.Self
	s.fleet.decided("catalog", journal.Fields{
		"service": string(s.id), "generation": c.generation, "pipelines": c.key(), "engines": len(s.engines),
	})
	s.take(c)
}

// next returns the catalog that the service should have; complete is false while engines are still unread.
//
// With a plan, it lists the pipelines of the plan whose stages hold their layers. Without one, it keeps
// the pipelines of the last catalog whose stages still hold theirs, and joins the other engines. An owner
// that could not read the plan keeps to the last catalog and joins nothing.
func (s *service) next() (c catalog, complete bool) {
	list := s.catalog.pipelines
	c = catalog{version: s.model.Version}
	switch {
	case s.plan.Generation() > 0 && s.plan.Generation() >= s.catalog.plan:
		c.plan, c.version, list = s.plan.Generation(), s.plan.Version(), planned(s.plan)
	case s.catalog.plan > 0:
		c.plan, c.version = s.catalog.plan, s.catalog.version
	}
	model := s.model
	model.Version = c.version
	known, unknown := s.held(model)
	for _, p := range list {
		route, ok := s.route(p, known, unknown)
		if !ok {
			continue
		}
		for _, e := range route {
			delete(known, e.Endpoint)
		}
		if len(route) == len(p.Pipeline.Stages()) {
			interval := p.Interval
			p = joined(route)
			p.Interval = interval
		}
		c.pipelines = append(c.pipelines, p)
	}
	if c.plan == 0 {
		var rest []placement.EndpointHolding
		for _, e := range known {
			rest = append(rest, e)
		}
		c.pipelines = append(c.pipelines, assemble(model, rest)...)
	}
	return c, len(unknown) == 0
}

func planned(p placement.Plan) []routing.PipelineConfig {
	var out []routing.PipelineConfig
	for _, x := range p.Pipelines() {
		out = append(out, routing.PipelineConfig{Pipeline: x.Pipeline(), Slots: x.Slots(), Interval: x.Interval()})
	}
	return out
}

// held returns the engines that hold layers of the model, and the addresses that were not read yet.
func (s *service) held(model document.Model) (map[table.EndpointID]held, map[string]bool) {
	known, unknown := map[table.EndpointID]held{}, map[string]bool{}
	for address, e := range s.engines {
		switch {
		case e.desc == nil && e.failures == 0:
			unknown[address] = true
		case e.desc != nil && e.failures < lostAfter:
			if h, ok := e.held(model); ok {
				known[h.Endpoint] = h
			}
		}
	}
	return known, unknown
}

type held = placement.EndpointHolding

// route returns the engines of a pipeline that are known to hold their stages, and false where one does
// not; engines not read yet are taken to hold what they did.
func (s *service) route(p routing.PipelineConfig, known map[table.EndpointID]held, unknown map[string]bool) ([]held, bool) {
	var route []held
	for _, st := range p.Pipeline.Stages() {
		e, ok := known[st.Endpoint()]
		switch {
		case ok && e.Layers == st.Layers() && e.Address == st.Address():
			route = append(route, e)
		case !unknown[st.Address()]:
			return nil, false
		}
	}
	return route, p.Pipeline.Covers(int(s.model.Layers))
}

// held returns what the engine holds of the model, and false where it holds none of it.
func (e *described) held(model document.Model) (placement.EndpointHolding, bool) {
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

// take puts a catalog in force on this host.
func (s *service) take(c catalog) {
	s.catalog = c
	s.seen = max(s.seen, c.generation)
	s.setUnits(c.pipelines)
}
