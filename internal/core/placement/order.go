package placement

import (
	"slices"
	"strconv"
	"time"

	"waxwingplank/internal/core/table"
)

// permit is one of the concurrent loads that the weight store allows.
type permit struct {
	// until is when the load ends at its share of the store's rate. done is set once the load has ended.
	until time.Time
	done  bool
}

// sendOrders sends the orders that bring the endpoints to the plan in force, one at a time for each endpoint.
func (s *System) sendOrders(now time.Time) {
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
	layers, placed := s.plan.layersOf(e.cfg.Endpoint)
	unwanted, missing := s.difference(e, layers, placed)
	serves := placed && e.holds(Holding{Model: s.plan.Model(), Version: s.plan.Version(), Layers: layers})
	s.updateState(e, placed, serves, len(unwanted) == 0)
	if len(missing) == 0 {
		s.releasePermit(e.cfg.Endpoint)
	}
	if len(unwanted) == 0 {
		e.unwantedSince = time.Time{}
	} else if e.unwantedSince.IsZero() {
		e.unwantedSince = now
	}
	if e.awaitingAnswer || (e.orderID != "" && now.Sub(e.orderAt) < orderRetryInterval) {
		return
	}
	e.orderID = ""
	if len(unwanted) > 0 && s.drained(now, e) {
		h := unwanted[0]
		// Loading another range of the same version replaces this one, so it needs no unload order.
		if !slices.ContainsFunc(missing, func(m Holding) bool { return m.Version == h.Version }) {
			s.sendOrder(now, e, SendOrder{kind: Unload, model: h.Model, version: h.Version, layers: h.Layers})
			return
		}
	}
	for _, h := range missing {
		replaces := slices.ContainsFunc(unwanted, func(u Holding) bool { return u.Version == h.Version })
		if (replaces && !s.drained(now, e)) || !s.fits(e, h, replaces) || !s.acquirePermit(now, e, s.bytes(h.Layers)) {
			continue
		}
		s.sendOrder(now, e, SendOrder{kind: Load, model: h.Model, version: h.Version, layers: h.Layers, bytes: s.bytes(h.Layers)})
		return
	}
	if placed && len(missing) == 0 {
		s.orderMissingAdapter(now, e, layers)
	}
}

// orderMissingAdapter orders the next adapter that is missing. Descriptions do not list adapters, so an adapter
// counts as loaded from the accepted order until the endpoint restarts.
func (s *System) orderMissingAdapter(now time.Time, e *endpoint, layers table.Layers) {
	for _, a := range s.model.Adapters {
		if !e.adapters[s.plan.Version()+"/"+a] {
			s.sendOrder(now, e, SendOrder{kind: Load, model: s.model.Name, version: s.plan.Version(), adapter: a, layers: layers})
			return
		}
	}
}

// difference compares the endpoint's holdings of the model with the plan. It returns the holdings that are
// not in the plan and those that are missing.
func (s *System) difference(e *endpoint, layers table.Layers, placed bool) (unwanted, missing []Holding) {
	var want []Holding
	if placed {
		want = append(want, Holding{Model: s.plan.Model(), Version: s.plan.Version(), Layers: layers})
		if s.plan.NextVersion() != "" {
			want = append(want, Holding{Model: s.plan.Model(), Version: s.plan.NextVersion(), Layers: layers})
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

// updateState moves the endpoint to the state that matches its holdings.
func (s *System) updateState(e *endpoint, inPlan, serves, clean bool) {
	switch {
	case serves:
		if e.state != Serving {
			s.lifecycle.fire(e, placed)
			s.lifecycle.fire(e, loaded)
		}
	case inPlan:
		if e.state != Loading {
			s.lifecycle.fire(e, placed)
		}
	default:
		s.lifecycle.fire(e, displaced)
		if clean {
			s.lifecycle.fire(e, drained)
		}
	}
}

// drained reports whether no stream can still use the layers that the endpoint should no longer hold. That is
// so once a load measured after the plan has reached all hosts shows no streams, or once the maximum lifetime
// of a stream has passed since then.
func (s *System) drained(now time.Time, e *endpoint) bool {
	if e.unwantedSince.IsZero() {
		return true
	}
	since := e.unwantedSince.Add(planPropagationTime)
	idle := e.running == 0 && e.queued == 0 && e.loadAt.After(since)
	return idle || now.After(since.Add(s.model.MaxStreamDuration))
}

// fits reports whether the endpoint has memory for the holding beside its others. If replaces is set, the
// holding that it replaces does not count.
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

// acquirePermit acquires one of the concurrent loads that the store allows and reports whether one was free. A
// load keeps its permit for at least the time that it takes at its share of the rate, so that all loads
// together stay within the rate even if a single load finishes faster.
func (s *System) acquirePermit(now time.Time, e *endpoint, bytes int64) bool {
	if _, ok := s.permits[e.cfg.Endpoint]; ok {
		return true
	}
	if s.maxConcurrentLoads < 1 || s.bytesPerSecond < 1 || len(s.permits) >= s.maxConcurrentLoads {
		return false
	}
	seconds := float64(bytes) * float64(s.maxConcurrentLoads) / float64(s.bytesPerSecond)
	s.permits[e.cfg.Endpoint] = permit{until: now.Add(time.Duration(seconds * float64(time.Second)))}
	return true
}

func (s *System) releasePermit(id table.EndpointID) {
	if l, ok := s.permits[id]; ok {
		l.done = true
		s.permits[id] = l
	}
}

func (s *System) sendOrder(now time.Time, e *endpoint, o SendOrder) {
	s.orderCount++
	o.id = string(s.service) + "-" + strconv.FormatUint(s.plan.Generation(), 10) + "-" + strconv.FormatUint(s.orderCount, 10)
	o.endpoint, o.address = e.cfg.Endpoint, e.cfg.Address
	e.orderID, e.orderAt, e.awaitingAnswer = o.id, now, true
	if o.adapter != "" {
		e.orderID += "/" + s.plan.Version() + "/" + o.adapter
		o.id = e.orderID
	}
	s.decisions = append(s.decisions, o)
}

// applyOrderAnswered ends the wait for an order. For layers, the answer is not trusted: the next description
// shows whether the order was fulfilled.
func (s *System) applyOrderAnswered(now time.Time, a OrderAnswered) {
	for _, e := range s.endpoints {
		if e.orderID != a.orderID || e.orderID == "" {
			continue
		}
		e.awaitingAnswer, e.orderAt = false, now
		for _, adapter := range s.model.Adapters {
			key := s.plan.Version() + "/" + adapter
			if a.ok && len(a.orderID) > len(key) && a.orderID[len(a.orderID)-len(key):] == key {
				if e.adapters == nil {
					e.adapters = map[string]bool{}
				}
				e.adapters[key] = true
				e.orderID = ""
			}
		}
	}
}
