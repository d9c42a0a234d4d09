package placement

import (
	"cmp"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// decide computes the next plan and asks for its write where it differs.
func (s *System) decide(now time.Time) {
	s.estimate()
	next := s.plan
	next.cfg.Service = s.service
	var reasons []Reason
	note := func(list ...Reason) { reasons = append(reasons, list...) }
	next, why := s.version(next)
	note(why...)
	kept, why := s.keep(now, next.Pipelines())
	note(why...)
	if s.plan.Generation() == 0 {
		kept, why = s.adopt()
		note(why...)
	}
	free, passed := s.free(kept)
	formed, left := s.form(free)
	for _, p := range formed {
		note(Reason{Chosen: p.key(), Cause: CauseFree, Passed: passed})
	}
	if len(formed) == 0 && len(left) > 0 {
		passed = append(passed, names(left, CauseLeftOver)...)
	}
	list := append(kept, formed...)
	if next.with(list).key() == s.plan.key() {
		list, why = s.move(now, list, left)
		note(why...)
	}
	next = next.with(list)
	if next.key() == s.plan.key() || (s.plan.Generation() == 0 && len(list) == 0) {
		return
	}
	if len(reasons) == 0 {
		reasons = append(reasons, Reason{Chosen: "no pipeline", Cause: CauseLeftOver, Passed: passed})
	}
	next.cfg.Generation = s.plan.Generation() + 1
	s.pending = &next
	s.out = append(s.out, PlanChanged{plan: next, reasons: reasons})
}

func names(list []*endpoint, cause Cause) []Passed {
	var out []Passed
	for _, e := range list {
		out = append(out, Passed{What: string(e.cfg.Endpoint), Cause: cause})
	}
	return out
}

// version follows the document to another model or version.
func (s *System) version(p Plan) (Plan, []Reason) {
	m := s.model
	covers := func(x Placed) bool { return x.pipeline.Covers(m.Layers) }
	switch {
	case p.Generation() == 0:
		p.cfg.Model, p.cfg.Version = m.Name, m.Version
		return p, nil
	case p.Model() != m.Name || slices.ContainsFunc(p.Pipelines(), func(x Placed) bool { return !covers(x) }):
		p.cfg.Model, p.cfg.Version, p.cfg.Next, p.cfg.Pipelines = m.Name, m.Version, "", nil
		return p, []Reason{{Chosen: m.Name + "/" + m.Version, Cause: CauseModel}}
	case p.Version() == m.Version:
		p.cfg.Next = ""
		return p, nil
	case p.Next() == m.Version && s.allHold(p, m.Version):
		p.cfg.Version, p.cfg.Next = m.Version, ""
		return p, []Reason{{Chosen: m.Version, Cause: CauseVersion}}
	case p.Next() == m.Version:
		return p, nil
	}
	if tight := s.noRoom(p); len(tight) > 0 {
		// Both versions do not fit: the endpoints load the new one after their streams have ended.
		p.cfg.Version, p.cfg.Next = m.Version, ""
		return p, []Reason{{Chosen: m.Version, Cause: CauseMemory, Passed: tight}}
	}
	p.cfg.Next = m.Version
	return p, []Reason{{Chosen: m.Version, Cause: CauseLoading}}
}

// noRoom returns the endpoints whose memory does not hold two versions of their layers.
func (s *System) noRoom(p Plan) []Passed {
	var out []Passed
	for _, x := range p.Pipelines() {
		for _, st := range x.pipeline.Stages() {
			e := s.byID[st.Endpoint()]
			if e != nil && 2*s.bytes(st.Layers()) > e.cfg.MemoryBytes {
				out = append(out, Passed{What: string(st.Endpoint()), Cause: CauseMemory})
			}
		}
	}
	return out
}

func (s *System) bytes(l table.Layers) int64 { return int64(l.To-l.From) * s.model.LayerBytes }

func (s *System) allHold(p Plan, version string) bool {
	for _, x := range p.Pipelines() {
		for _, st := range x.pipeline.Stages() {
			e := s.byID[st.Endpoint()]
			if e != nil && e.state != Lost && !e.holds(Holding{Model: s.model.Name, Version: version, Layers: st.Layers()}) {
				return false
			}
		}
	}
	return true
}

func (e *endpoint) holds(h Holding) bool { return slices.Contains(e.cfg.Holdings, h) }

// adopt begins with the pipelines that the endpoints form already, so that the first plan moves nothing.
func (s *System) adopt() ([]Placed, []Reason) {
	var held []Held
	for _, e := range s.endpoints {
		if e.state == Unknown || e.state == Lost {
			continue
		}
		for _, h := range e.cfg.Holdings {
			if h.Model == s.model.Name && h.Version == s.model.Version && h.Layers.To-h.Layers.From <= s.most(e) {
				held = append(held, Held{
					Endpoint: e.cfg.Endpoint, Address: e.cfg.Address, FailureDomain: e.cfg.FailureDomain, Layers: h.Layers,
				})
				break
			}
		}
	}
	var out []Placed
	var reasons []Reason
	for _, route := range Chains(s.model.Layers, held) {
		var stages []table.Stage
		for _, h := range route {
			stages = append(stages, table.NewStage(table.StageConfig{Endpoint: h.Endpoint, Address: h.Address, Layers: h.Layers}))
		}
		if p, ok := s.measured(table.NewPipeline(stages)); ok {
			out = append(out, p)
			reasons = append(reasons, Reason{Chosen: p.key(), Cause: CauseAdopted})
		}
	}
	return out, reasons
}

// most returns the layers that an endpoint may hold at all; what it holds already may leave less for KV
// cache than a new placement would.
func (s *System) most(e *endpoint) int {
	if s.model.LayerBytes <= 0 {
		return s.model.Layers
	}
	return int(e.cfg.MemoryBytes / s.model.LayerBytes)
}

// keep keeps whole pipelines, and repairs broken ones from free endpoints. Where none fits, the other
// endpoints of the pipeline become free.
func (s *System) keep(now time.Time, list []Placed) ([]Placed, []Reason) {
	var whole, broken []Placed
	for _, p := range list {
		if len(s.missing(p)) == 0 {
			if current, ok := s.measured(p.pipeline); ok {
				whole = append(whole, current)
			}
			continue
		}
		broken = append(broken, p)
	}
	var reasons []Reason
	for i, p := range broken {
		// The stages of the other broken pipelines are kept for their own repair.
		free, _ := s.free(append(slices.Clone(whole), broken[i:]...))
		fixed, reason, ok := s.repair(p, free)
		switch {
		case ok:
			whole = append(whole, fixed)
			reasons = append(reasons, reason)
		case s.mayReturn(now, p):
			whole = append(whole, p)
		default:
			reasons = append(reasons, reason)
		}
	}
	return whole, reasons
}

// mayReturn reports whether all missing endpoints were lost only lately.
func (s *System) mayReturn(now time.Time, p Placed) bool {
	for _, st := range s.missing(p) {
		e := s.endpoints[st.Address()]
		if e == nil || e.state != Lost || now.Sub(e.lostAt) >= reformAfter {
			return false
		}
	}
	return true
}

// missing returns the stages of the pipeline whose endpoints are lost or no longer the service's.
func (s *System) missing(p Placed) []table.Stage {
	var out []table.Stage
	for _, st := range p.pipeline.Stages() {
		e := s.endpoints[st.Address()]
		if e == nil || e.state == Lost || e.cfg.Endpoint != st.Endpoint() || s.bytes(st.Layers()) > e.cfg.MemoryBytes {
			out = append(out, st)
		}
	}
	return out
}

// repair replaces the missing stages of a pipeline by free endpoints that hold as many layers.
func (s *System) repair(p Placed, free []*endpoint) (Placed, Reason, bool) {
	missing := s.missing(p)
	stages := slices.Clone(p.pipeline.Stages())
	reason := Reason{Cause: CauseReplaced}
	for i, st := range stages {
		if !slices.Contains(missing, st) {
			continue
		}
		var best *endpoint
		for _, e := range s.byFit(free, stages, i) {
			switch {
			case s.capacity(e) < st.Layers().To-st.Layers().From:
				reason.Passed = append(reason.Passed, Passed{What: string(e.cfg.Endpoint), Cause: CauseMemory})
			case s.neighbour(stages, missing, i, e) > maxLink:
				reason.Passed = append(reason.Passed, Passed{What: string(e.cfg.Endpoint), Cause: CauseLink})
			case best == nil:
				best = e
			default:
				reason.Passed = append(reason.Passed, Passed{What: string(e.cfg.Endpoint), Cause: CauseSlowerPeer})
			}
		}
		if best == nil {
			reason.Chosen, reason.Cause = p.key(), CauseReformed
			return Placed{}, reason, false
		}
		free = without(free, []*endpoint{best})
		stages[i] = table.NewStage(table.StageConfig{Endpoint: best.cfg.Endpoint, Address: best.cfg.Address, Layers: st.Layers()})
	}
	fixed, ok := s.measured(table.NewPipeline(stages))
	reason.Chosen = fixed.key()
	return fixed, reason, ok
}

// byFit orders free endpoints for a stage: those with the cheapest links to its neighbours first, then the
// fastest.
func (s *System) byFit(free []*endpoint, stages []table.Stage, i int) []*endpoint {
	out := slices.Clone(free)
	slices.SortStableFunc(out, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(s.neighbour(stages, nil, i, a), s.neighbour(stages, nil, i, b)), cmp.Compare(b.speed, a.speed))
	})
	return out
}

// neighbour returns the dearest link between an endpoint and the neighbours of the stage that it would take.
func (s *System) neighbour(stages, missing []table.Stage, i int, e *endpoint) time.Duration {
	cost := time.Duration(0)
	for _, k := range []int{i - 1, i + 1} {
		if k < 0 || k >= len(stages) || slices.Contains(missing, stages[k]) {
			continue
		}
		if n := s.byID[stages[k].Endpoint()]; n != nil {
			cost = max(cost, s.link(n.cfg.FailureDomain, e.cfg.FailureDomain))
		}
	}
	return cost
}

// move replaces one pipeline by those that its endpoints, with the free ones of its failure domain, could
// form, if that gains enough and nothing else is under way.
func (s *System) move(now time.Time, list []Placed, free []*endpoint) ([]Placed, []Reason) {
	if !s.settled() || (!s.moved.IsZero() && now.Sub(s.moved) < moveEvery) {
		return list, nil
	}
	best, gain := -1, minGain
	var replaced []Placed
	var passed []Passed
	for i, p := range list {
		group := s.members(p)
		if slices.ContainsFunc(group, func(e *endpoint) bool { return !e.measured }) {
			// Nothing that runs is moved for an estimate.
			continue
		}
		for _, e := range free {
			if e.cfg.FailureDomain == group[0].cfg.FailureDomain {
				group = append(group, e)
			}
		}
		formed, _ := s.form(group)
		g := rate(formed) / max(p.rate(), 1e-9)
		switch {
		case g >= gain:
			best, gain, replaced = i, g, formed
		case g > 1:
			passed = append(passed, Passed{What: p.key(), Cause: CauseSmallGain})
		}
	}
	if best < 0 {
		return list, nil
	}
	if s.traffic() > maxTraffic {
		return list, nil
	}
	s.moved = now
	var reasons []Reason
	for _, p := range replaced {
		reasons = append(reasons, Reason{Chosen: p.key(), Cause: CauseGain, Passed: passed})
	}
	return append(slices.Delete(slices.Clone(list), best, best+1), replaced...), reasons
}

func (s *System) members(p Placed) []*endpoint {
	var out []*endpoint
	for _, st := range p.pipeline.Stages() {
		out = append(out, s.byID[st.Endpoint()])
	}
	return out
}

// settled reports whether every endpoint of the plan serves.
func (s *System) settled() bool {
	for _, p := range s.plan.Pipelines() {
		for _, e := range s.members(p) {
			if e == nil || e.state != Serving {
				return false
			}
		}
	}
	return s.plan.Next() == ""
}
