package path

import (
	"math"
	"slices"
	"time"

	"waxwingplank/internal/core/deployment"
)

// Recovery is the action for a stalled stream: a Detour, a Restart or nothing.
type Recovery interface{ recovery() }

// Detour assigns the suspects' parts to other workers. The other workers keep the tokens that they have read.
type Detour struct{ path Path }

// Path returns the complete new path.
func (d Detour) Path() Path { return d.path }

// Restart runs the stream on another path, from its last event on.
type Restart struct {
	path   Path
	demand Demand
}

// Path returns the new path.
func (r Restart) Path() Path { return r.path }

// Demand returns the demand for which the new path was chosen.
func (r Restart) Demand() Demand { return r.demand }

func (Detour) recovery()  {}
func (Restart) recovery() {}

// restartMargin is how much sooner a detour must be ready to be preferred to a restart. It covers a cost that
// readyMs leaves out: the workers before the new one send all of the stream's tokens again, between the steps of
// other streams.
const restartMargin = 100 * time.Millisecond

// PlanRecovery returns the recovery with which a stream continues soonest without the suspects. A detour that crosses
// domains sends all of the stream's tokens over the link and delays everything queued behind them. A restart
// elsewhere reads the prompt again but sends little. PlanRecovery returns nil if there is no path, or if only a
// restart is possible and mayRestart is false.
func (s *System) PlanRecovery(now time.Time, id string, suspects map[string]bool, mayRestart bool, d Demand) Recovery {
	st := s.streams[id]
	if st == nil {
		return nil
	}
	// The caller waits for a response that has begun, or is about to.
	d.Begun = true
	detour := s.detour(now, id, suspects)
	var p Path
	if mayRestart {
		p, _ = s.Choose(now, d)
	}
	switch {
	case p == nil && detour == nil:
		return nil
	case p == nil:
		return Detour{path: detour}
	case detour == nil:
		return Restart{path: p, demand: d}
	}
	// The first token of a restarted stream also passes through all of its workers.
	restart := s.readyMs(now, nil, p, d) + s.passMs(p)
	if s.readyMs(now, st.path, detour, d)+float64(restartMargin)/float64(time.Millisecond) < restart {
		return Detour{path: detour}
	}
	return Restart{path: p, demand: d}
}

// readyMs returns the time in ms until the workers that are new on a path have read a stream's tokens: the backlog
// of these workers and of the links before them, and the reading itself.
func (s *System) readyMs(now time.Time, old, p Path, d Demand) float64 {
	ready := 0.0
	for i, part := range p {
		w := s.workers[part.Worker]
		if w == nil || slices.Contains(old, part) {
			continue
		}
		if i > 0 {
			if key, crossing := s.crossing(p[i-1], part); crossing {
				ready += s.linkWaitMs(now, key) + s.linkMs(float64(d.PromptTokens))
			}
		}
		// Prompts are forwarded in pieces, so workers in a row wait at the same time, but each reads the whole
		// prompt.
		ready = math.Max(ready, s.queueMs(now, w)) + s.readMs(w, part, d)
	}
	return ready
}

// passMs estimates the time in ms of one token through a path.
func (s *System) passMs(p Path) float64 {
	total := 0.0
	for _, part := range p {
		if w := s.workers[part.Worker]; w != nil {
			total += w.slowdown()*w.factors.StepFactor*s.engine.StepMs*float64(part.Range.Len())/float64(s.engine.Layers) + hopMs
		}
	}
	return total
}

// detour returns the path of a stream with the suspects' parts assigned to other workers. The other parts stay, so
// that their workers keep the tokens that they have read. It returns nil if the first worker is suspected or no other worker holds the
// layers.
func (s *System) detour(now time.Time, id string, suspects map[string]bool) Path {
	st := s.streams[id]
	if st == nil || len(st.path) == 0 || suspects[st.path[0].Worker] {
		return nil
	}
	d := st.demand
	d.Avoid, d.Begun = map[string]bool{}, true
	for w := range suspects {
		d.Avoid[w] = true
	}
	for _, part := range st.path {
		d.Avoid[part.Worker] = true
	}
	var out Path
	for i := 0; i < len(st.path); {
		if !suspects[st.path[i].Worker] {
			out = append(out, st.path[i])
			i++
			continue
		}
		span := deployment.Range{From: st.path[i].Range.From}
		for i < len(st.path) && suspects[st.path[i].Worker] {
			span.To = st.path[i].Range.To
			i++
		}
		filled, refusal := s.lowestCostPath(now, d, span)
		if refusal != Accepted {
			return nil
		}
		for _, part := range filled {
			d.Avoid[part.Worker] = true
		}
		out = append(out, filled...)
	}
	if len(out) > maxParts {
		return nil
	}
	return out
}
