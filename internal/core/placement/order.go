package placement

import (
	"slices"
	"strconv"
	"time"

	"waxwingplank/internal/core/table"
)

// permit is one of the loads that the weight store allows at once.
type permit struct {
	// until is when the load ends at the permit's part of the store's rate; done is set once it has ended.
	until time.Time
	done  bool
}

// order sends what brings the endpoints to the plan in force, one order at a time for each.
func (s *System) order(now time.Time) {
	if s.plan.Generation() == 0 {
		return
	}
	for id, l := range s.permits {
		if l.done && !now.Before(l.until) {
			delete(s.permits, id)
		}
	}
	for _, address := range sortedKeys(s.endpoints) {
		e := s.endpoints[address]
		if e.state == Unknown || e.state == Lost {
			continue
		}
		s.orderEndpoint(now, e)
	}
}

func (s *System) orderEndpoint(now time.Time, e *endpoint) {
	layers, placed := s.plan.stageOf(e.cfg.Endpoint)
	unwanted, missing := s.difference(e, layers, placed)
	serves := placed && e.holds(Holding{Model: s.plan.Model(), Version: s.plan.Version(), Layers: layers})
	s.step(e, placed, serves, len(unwanted) == 0)
	if len(missing) == 0 {
		s.release(e.cfg.Endpoint)
	}
	if len(unwanted) == 0 {
		e.leftAt = time.Time{}
	} else if e.leftAt.IsZero() {
		e.leftAt = now
	}
	if e.waiting || (e.order != "" && now.Sub(e.orderAt) < orderAgain) {
		return
	}
	e.order = ""
	if len(unwanted) > 0 && s.drained(now, e) {
		h := unwanted[0]
		// A range that another one of the same version replaces goes with the load of that.
		if !slices.ContainsFunc(missing, func(m Holding) bool { return m.Version == h.Version }) {
			s.send(now, e, SendOrder{kind: Unload, model: h.Model, version: h.Version, layers: h.Layers})
			return
		}
	}
	for _, h := range missing {
		replaces := slices.ContainsFunc(unwanted, func(u Holding) bool { return u.Version == h.Version })
		if (replaces && !s.drained(now, e)) || !s.fits(e, h, replaces) || !s.permit(now, e, s.bytes(h.Layers)) {
			continue
		}
		s.send(now, e, SendOrder{kind: Load, model: h.Model, version: h.Version, layers: h.Layers, bytes: s.bytes(h.Layers)})
		return
	}
	if placed && len(missing) == 0 {
		s.orderAdapter(now, e, layers)
	}
}

// orderAdapter loads the adapters; descriptions do not list them, so an accepted order counts until the
// endpoint restarts.
func (s *System) orderAdapter(now time.Time, e *endpoint, layers table.Layers) {
	for _, a := range s.model.Adapters {
		if !e.adapters[s.plan.Version()+"/"+a] {
			s.send(now, e, SendOrder{kind: Load, model: s.model.Name, version: s.plan.Version(), adapter: a, layers: layers})
			return
		}
	}
}

// difference returns what the endpoint holds of the model and should not, and what it lacks.
func (s *System) difference(e *endpoint, layers table.Layers, placed bool) (unwanted, missing []Holding) {
	var want []Holding
	if placed {
		want = append(want, Holding{Model: s.plan.Model(), Version: s.plan.Version(), Layers: layers})
		if s.plan.Next() != "" {
			want = append(want, Holding{Model: s.plan.Model(), Version: s.plan.Next(), Layers: layers})
		}
	}
	for _, h := range e.cfg.Holdings {
		if h.Model == s.plan.Model() && !slices.Contains(want, h) {
			unwanted = append(unwanted, h)
		}
	}
	for _, h := range want {
		if !e.holds(h) {
			missing = append(missing, h)
		}
	}
	return unwanted, missing
}

// step moves the endpoint's life cycle to what its holdings say.
func (s *System) step(e *endpoint, inPlan, serves, clean bool) {
	switch {
	case serves:
		if e.state != Serving {
			s.life.fire(e, placed)
			s.life.fire(e, loaded)
		}
	case inPlan:
		if e.state != Loading {
			s.life.fire(e, placed)
		}
	default:
		s.life.fire(e, displaced)
		if clean {
			s.life.fire(e, drained)
		}
	}
}

// drained reports whether no stream can use what the endpoint should no longer hold: a load measured after
// the plan has reached all hosts shows none, or the longest stream has passed.
func (s *System) drained(now time.Time, e *endpoint) bool {
	if e.leftAt.IsZero() {
		return true
	}
	since := e.leftAt.Add(spread)
	idle := e.running == 0 && e.queued == 0 && e.loadAt.After(since)
	return idle || now.After(since.Add(s.model.Lifetime))
}

// fits reports whether the endpoint's memory takes the holding beside the others.
func (s *System) fits(e *endpoint, h Holding, replaces bool) bool {
	used := s.bytes(h.Layers)
	for _, x := range e.cfg.Holdings {
		if replaces && x.Model == h.Model && x.Version == h.Version {
			continue
		}
		used += s.bytes(x.Layers)
	}
	return used <= e.cfg.MemoryBytes
}

// permit takes one of the loads that the store allows at once and reports whether there was one. A load
// keeps its permit for as long as it takes at the permit's part of the rate, so that all loads together stay
// within the rate however fast a single one is.
func (s *System) permit(now time.Time, e *endpoint, bytes int64) bool {
	if _, ok := s.permits[e.cfg.Endpoint]; ok {
		return true
	}
	if s.loadsAtOnce < 1 || s.bytesPerSecond < 1 || len(s.permits) >= s.loadsAtOnce {
		return false
	}
	seconds := float64(bytes) * float64(s.loadsAtOnce) / float64(s.bytesPerSecond)
	s.permits[e.cfg.Endpoint] = permit{until: now.Add(time.Duration(seconds * float64(time.Second)))}
	return true
}

func (s *System) release(id table.EndpointID) {
	if l, ok := s.permits[id]; ok {
		l.done = true
		s.permits[id] = l
	}
}

func (s *System) send(now time.Time, e *endpoint, o SendOrder) {
	s.orders++
	o.id = string(s.service) + "-" + strconv.FormatUint(s.plan.Generation(), 10) + "-" + strconv.FormatUint(s.orders, 10)
	o.endpoint, o.address = e.cfg.Endpoint, e.cfg.Address
	e.order, e.orderAt, e.waiting = o.id, now, true
	if o.adapter != "" {
		e.order += "/" + s.plan.Version() + "/" + o.adapter
		o.id = e.order
	}
	s.out = append(s.out, o)
}

// answered ends the wait for an order. Whether it was met is read from the description, not believed.
func (s *System) answered(now time.Time, a OrderAnswered) {
	for _, e := range s.endpoints {
		if e.order != a.order || e.order == "" {
			continue
		}
		e.waiting, e.orderAt = false, now
		for _, adapter := range s.model.Adapters {
			key := s.plan.Version() + "/" + adapter
			if a.ok && len(a.order) > len(key) && a.order[len(a.order)-len(key):] == key {
				if e.adapters == nil {
					e.adapters = map[string]bool{}
				}
				e.adapters[key] = true
				e.order = ""
			}
		}
	}
}
