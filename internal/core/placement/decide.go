package placement

import (
	"cmp"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// decide computes the next plan and requests its write if it differs from the current one.
func (s *System) decide(now time.Time) {
	s.estimateSpeeds()
	next := s.plan
	next.cfg.Service = s.service
	var reasons []Reason
	addReasons := func(list ...Reason) { reasons = append(reasons, list...) }
	next, added := s.applyVersion(next)
	addReasons(added...)
	kept, added := s.keepOrRepair(now, next.Pipelines())
	addReasons(added...)
	if s.plan.Generation() == 0 {
		kept, added = s.adopt()
		addReasons(added...)
	}
	free, rejected := s.freeEndpoints(kept)
	formed, left := s.formPipelines(free)
	for _, p := range formed {
		addReasons(Reason{Chosen: p.key(), Cause: CauseFree, Rejected: rejected})
	}
	if len(formed) == 0 && len(left) > 0 {
		rejected = append(rejected, rejectAll(left, CauseLeftOver)...)
	}
	list := append(kept, formed...)
	if next.withPipelines(list).key() == s.plan.key() {
		list, added = s.move(now, list, left)
		addReasons(added...)
	}
	next = next.withPipelines(list)
	if next.key() == s.plan.key() || (s.plan.Generation() == 0 && len(list) == 0) {
		return
	}
	if len(reasons) == 0 {
		reasons = append(reasons, Reason{Chosen: "no pipeline", Cause: CauseLeftOver, Rejected: rejected})
	}
	next.cfg.Generation = s.plan.Generation() + 1
	s.pending = &next
	s.decisions = append(s.decisions, PlanChanged{plan: next, reasons: reasons})
}

func rejectAll(list []*endpoint, cause Cause) []Rejected {
	var out []Rejected
	for _, e := range list {
		out = append(out, Rejected{Candidate: string(e.cfg.Endpoint), Cause: cause})
	}
	return out
}

// applyVersion applies a change of model or version in the document to the plan.
func (s *System) applyVersion(p Plan) (Plan, []Reason) {
	m := s.model
	covers := func(x PlacedPipeline) bool { return x.pipeline.Covers(m.Layers) }
	switch {
	case p.Generation() == 0:
		p.cfg.Model, p.cfg.Version = m.Name, m.Version
		return p, nil
	case p.Model() != m.Name || slices.ContainsFunc(p.Pipelines(), func(x PlacedPipeline) bool { return !covers(x) }):
		p.cfg.Model, p.cfg.Version, p.cfg.NextVersion, p.cfg.Pipelines = m.Name, m.Version, "", nil
		return p, []Reason{{Chosen: m.Name + "/" + m.Version, Cause: CauseModel}}
	case p.Version() == m.Version:
		p.cfg.NextVersion = ""
		return p, nil
	case p.NextVersion() == m.Version && s.allHold(p, m.Version):
		p.cfg.Version, p.cfg.NextVersion = m.Version, ""
		return p, []Reason{{Chosen: m.Version, Cause: CauseVersion}}
	case p.NextVersion() == m.Version:
		return p, nil
	}
	if tooSmall := s.endpointsShortOfMemory(p); len(tooSmall) > 0 {
		// Both versions do not fit in memory, so the endpoints load the new one after their streams have ended.
		p.cfg.Version, p.cfg.NextVersion = m.Version, ""
		return p, []Reason{{Chosen: m.Version, Cause: CauseMemory, Rejected: tooSmall}}
	}
	p.cfg.NextVersion = m.Version
	return p, []Reason{{Chosen: m.Version, Cause: CauseLoading}}
}

// endpointsShortOfMemory returns the endpoints that have too little memory for two versions of their layers.
func (s *System) endpointsShortOfMemory(p Plan) []Rejected {
	var out []Rejected
	for _, x := range p.Pipelines() {
		for _, st := range x.pipeline.Stages() {
			e := s.byID[st.Endpoint()]
			if e != nil && 2*s.bytes(st.Layers()) > e.cfg.MemoryBytes {
				out = append(out, Rejected{Candidate: string(st.Endpoint()), Cause: CauseMemory})
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

// adopt returns the pipelines that the endpoints already form, so that the first plan moves no layers.
func (s *System) adopt() ([]PlacedPipeline, []Reason) {
	var held []EndpointHolding
	for _, e := range s.endpoints {
		if e.state == Unknown || e.state == Lost {
			continue
		}
		for _, h := range e.cfg.Holdings {
			if h.Model == s.model.Name && h.Version == s.model.Version && h.Layers.To-h.Layers.From <= s.maxLayers(e) {
				held = append(held, EndpointHolding{
					Endpoint: e.cfg.Endpoint, Address: e.cfg.Address, FailureDomain: e.cfg.FailureDomain, Layers: h.Layers,
				})
				break
			}
		}
	}
	var out []PlacedPipeline
	var reasons []Reason
	for _, route := range FormRoutes(s.model.Layers, held) {
		var stages []table.Stage
		for _, h := range route {
			stages = append(stages, table.NewStage(table.StageConfig{Endpoint: h.Endpoint, Address: h.Address, Layers: h.Layers}))
		}
		if p, ok := s.withRates(table.NewPipeline(stages)); ok {
			out = append(out, p)
			reasons = append(reasons, Reason{Chosen: p.key(), Cause: CauseAdopted})
		}
	}
	return out, reasons
}

// maxLayers returns the maximum number of layers that fit into the endpoint's memory. Unlike capacity, it
// reserves nothing for the KV cache, because layers that are already loaded may leave less for it than a new
// placement would.
func (s *System) maxLayers(e *endpoint) int {
	if s.model.LayerBytes <= 0 {
		return s.model.Layers
	}
	return int(e.cfg.MemoryBytes / s.model.LayerBytes)
}

// keepOrRepair keeps intact pipelines and repairs broken ones with free endpoints. If no free endpoint fits
// and the missing ones were not lost recently, the pipeline is dissolved and its other endpoints become free.
func (s *System) keepOrRepair(now time.Time, list []PlacedPipeline) ([]PlacedPipeline, []Reason) {
	var intact, broken []PlacedPipeline
	for _, p := range list {
		if len(s.missingStages(p)) == 0 {
			if current, ok := s.withRates(p.pipeline); ok {
				intact = append(intact, current)
			}
			continue
		}
		broken = append(broken, p)
	}
	var reasons []Reason
	for i, p := range broken {
		// Endpoints of the other broken pipelines are not free: they are reserved for their own repair.
		free, _ := s.freeEndpoints(append(slices.Clone(intact), broken[i:]...))
		fixed, reason, ok := s.repair(p, free)
		switch {
		case ok:
			intact = append(intact, fixed)
			reasons = append(reasons, reason)
		case s.lostRecently(now, p):
			intact = append(intact, p)
		default:
			reasons = append(reasons, reason)
		}
	}
	return intact, reasons
}

// lostRecently reports whether all missing endpoints of the pipeline were lost less than
// replacementWait ago.
func (s *System) lostRecently(now time.Time, p PlacedPipeline) bool {
	for _, st := range s.missingStages(p) {
		e := s.endpoints[st.Address()]
		if e == nil || e.state != Lost || now.Sub(e.lostAt) >= replacementWait {
			return false
		}
	}
	return true
}

// missingStages returns the stages of the pipeline whose endpoints are lost, no longer belong to the service, or
// have too little memory for the stage.
func (s *System) missingStages(p PlacedPipeline) []table.Stage {
	var out []table.Stage
	for _, st := range p.pipeline.Stages() {
		e := s.endpoints[st.Address()]
		if e == nil || e.state == Lost || e.cfg.Endpoint != st.Endpoint() || s.bytes(st.Layers()) > e.cfg.MemoryBytes {
			out = append(out, st)
		}
	}
	return out
}

// repair replaces the missing stages of a pipeline with free endpoints that have capacity for the same layers.
func (s *System) repair(p PlacedPipeline, free []*endpoint) (PlacedPipeline, Reason, bool) {
	missing := s.missingStages(p)
	stages := slices.Clone(p.pipeline.Stages())
	reason := Reason{Cause: CauseReplaced}
	for i, st := range stages {
		if !slices.Contains(missing, st) {
			continue
		}
		var best *endpoint
		for _, e := range s.sortByFit(free, stages, i) {
			switch {
			case s.capacity(e) < st.Layers().To-st.Layers().From:
				reason.Rejected = append(reason.Rejected, Rejected{Candidate: string(e.cfg.Endpoint), Cause: CauseMemory})
			case s.neighbourLinkCost(stages, missing, i, e) > maxLinkCost:
				reason.Rejected = append(reason.Rejected, Rejected{Candidate: string(e.cfg.Endpoint), Cause: CauseLink})
			case best == nil:
				best = e
			default:
				reason.Rejected = append(reason.Rejected, Rejected{Candidate: string(e.cfg.Endpoint), Cause: CauseSlowerPeer})
			}
		}
		if best == nil {
			reason.Chosen, reason.Cause = p.key(), CauseReformed
			return PlacedPipeline{}, reason, false
		}
		free = without(free, []*endpoint{best})
		stages[i] = table.NewStage(table.StageConfig{Endpoint: best.cfg.Endpoint, Address: best.cfg.Address, Layers: st.Layers()})
	}
	fixed, ok := s.withRates(table.NewPipeline(stages))
	reason.Chosen = fixed.key()
	return fixed, reason, ok
}

// sortByFit returns the free endpoints sorted for a stage: by the cost of their links to its neighbours, then
// by speed, the fastest first.
func (s *System) sortByFit(free []*endpoint, stages []table.Stage, i int) []*endpoint {
	out := slices.Clone(free)
	slices.SortStableFunc(out, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(s.neighbourLinkCost(stages, nil, i, a), s.neighbourLinkCost(stages, nil, i, b)), cmp.Compare(b.speed, a.speed))
	})
	return out
}

// neighbourLinkCost returns the highest link cost between an endpoint and the neighbours of stage i, which the
// endpoint would take over. Missing neighbours are skipped.
func (s *System) neighbourLinkCost(stages, missing []table.Stage, i int, e *endpoint) time.Duration {
	cost := time.Duration(0)
	for _, k := range []int{i - 1, i + 1} {
		if k < 0 || k >= len(stages) || slices.Contains(missing, stages[k]) {
			continue
		}
		if n := s.byID[stages[k].Endpoint()]; n != nil {
			cost = max(cost, s.linkCost(n.cfg.FailureDomain, e.cfg.FailureDomain))
		}
	}
	return cost
}

// move replaces one pipeline with the pipelines that its endpoints and the free ones of its failure domain
// could form. It does so only if the gain is sufficient and no other change is in progress.
func (s *System) move(now time.Time, list []PlacedPipeline, free []*endpoint) ([]PlacedPipeline, []Reason) {
	if !s.settled() || (!s.movedAt.IsZero() && now.Sub(s.movedAt) < minMoveInterval) {
		return list, nil
	}
	best, gain := -1, minMoveGain
	var replaced []PlacedPipeline
	var rejected []Rejected
	for i, p := range list {
		group := s.members(p)
		if slices.ContainsFunc(group, func(e *endpoint) bool { return !e.measured }) {
			// A running pipeline is not moved on an estimated speed.
			continue
		}
		for _, e := range free {
			if e.cfg.FailureDomain == group[0].cfg.FailureDomain {
				group = append(group, e)
			}
		}
		formed, _ := s.formPipelines(group)
		g := totalRate(formed) / max(p.rate(), 1e-9)
		switch {
		case g >= gain:
			best, gain, replaced = i, g, formed
		case g > 1:
			rejected = append(rejected, Rejected{Candidate: p.key(), Cause: CauseSmallGain})
		}
	}
	if best < 0 {
		return list, nil
	}
	if s.utilization() > maxMoveUtilization {
		return list, nil
	}
	s.movedAt = now
	var reasons []Reason
	for _, p := range replaced {
		reasons = append(reasons, Reason{Chosen: p.key(), Cause: CauseGain, Rejected: rejected})
	}
	return append(slices.Delete(slices.Clone(list), best, best+1), replaced...), reasons
}

func (s *System) members(p PlacedPipeline) []*endpoint {
	var out []*endpoint
	for _, st := range p.pipeline.Stages() {
		out = append(out, s.byID[st.Endpoint()])
	}
	return out
}

// settled reports whether every endpoint of the plan is serving and no version change is in progress.
func (s *System) settled() bool {
	for _, p := range s.plan.Pipelines() {
		for _, e := range s.members(p) {
			if e == nil || e.state != Serving {
				return false
			}
		}
	}
	return s.plan.NextVersion() == ""
}
