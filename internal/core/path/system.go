package path

import (
	"math/rand"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/limit"
)

// Config describes a System.
type Config struct {
	// Seed seeds the random jitter of costs.
	Seed int64
	// Limits holds the request rates that workers have named; nil stands for none.
	Limits *limit.System
}

// System chooses paths over the workers of one model service and tracks the load that this host puts on them.
type System struct {
	engine  *deployment.Engine
	workers map[string]*worker
	order   []string
	streams map[string]*stream
	random  *rand.Rand
	limits  *limit.System
	// work holds the recent work of each class.
	work [deployment.LowestClass + 1]work
	// peers is the number of other hosts that are assumed to add load like this one, peerCount that of all others.
	peers     int
	peerCount int
	// checks limits how often workers are asked for their slowdown.
	checks      *rate.Limiter
	domainLinks map[domainPair]*domainLink
	// peerLinkRates holds the rates of other hosts over the links between domains, in bytes per second.
	peerLinkRates   map[string]float64
	peersReportedAt time.Time
	// meanGap is the mean gap between events and meanFirstWait the mean wait for the first event, over all streams.
	meanGap       average
	meanFirstWait average
	// baselineRatio is the normal ratio of observed to modelled event gaps.
	baselineRatio float64
	// meanLife is the mean duration of streams. absence is the time without cover in progress, if any, and absences the durations of
	// the last ones.
	meanLife average
	absence  absence
	absences []time.Duration
}

// New returns a system without workers.
func New(cfg Config) *System {
	return &System{
		workers:       map[string]*worker{},
		streams:       map[string]*stream{},
		domainLinks:   map[domainPair]*domainLink{},
		limits:        cfg.Limits,
		random:        rand.New(rand.NewSource(cfg.Seed)),
		checks:        rate.NewLimiter(checksPerSecond, checksPerSecond),
		meanGap:       average{value: float64(initialGap)},
		meanFirstWait: average{value: float64(initialFirstWait)},
		meanLife:      average{value: float64(initialLife)},
	}
}

// SetEngine sets the speeds and sizes of the service.
func (s *System) SetEngine(e *deployment.Engine) { s.engine = e }

// SetEndpoints replaces the workers. A restarted worker has neither suspicions nor load.
func (s *System) SetEndpoints(list []deployment.Endpoint) {
	next := make(map[string]*worker, len(list))
	s.order = s.order[:0]
	for _, e := range list {
		w := s.workers[e.ID]
		if w == nil || !w.endpoint.SameInstance(e) {
			w = &worker{}
		}
		w.endpoint, w.holds = e, e.Layers
		if s.engine != nil {
			w.factors = s.engine.Accelerator(e.Accelerator)
			w.capacity = s.contextCapacity(e)
		}
		next[e.ID] = w
		s.order = append(s.order, e.ID)
	}
	s.workers = next
	slices.Sort(s.order)
}

// contextCapacity returns the memory for requests, in tokens x layers.
func (s *System) contextCapacity(e deployment.Endpoint) float64 {
	const bytesPerMB = 1e6
	free := s.engine.Accelerator(e.Accelerator).SizeMB
	free -= float64(e.Layers.Len()) * s.engine.LayerMB
	if s.engine.ContextTokenBytes <= 0 || s.engine.Layers == 0 {
		return 0
	}
	return max(free, 0) * bytesPerMB / (s.engine.ContextTokenBytes / float64(s.engine.Layers))
}

// Streams returns how many streams of this host are running.
func (s *System) Streams() int { return len(s.streams) }

// Begin records that a stream was sent on a path. An earlier path of the stream is released.
func (s *System) Begin(now time.Time, id string, p Path, d Demand) {
	if s.streams[id] == nil {
		s.recordGrant(now, d)
	}
	s.release(id)
	s.streams[id] = &stream{path: p, demand: d, begun: now, last: now}
	s.charge(id, p, d, 1)
	s.beginTrials(now, id, p)
	s.recordPromptReads(now, nil, p, d)
	s.recordTransfers(now, nil, p, d)
}

// Reroute replaces the path of a running stream.
func (s *System) Reroute(now time.Time, id string, p Path) {
	st := s.streams[id]
	if st == nil {
		return
	}
	s.charge(id, st.path, st.demand, -1)
	old := st.path
	st.path, st.last, st.reported = p, now, false
	s.charge(id, p, st.demand, 1)
	s.recordPromptReads(now, old, p, st.demand)
	s.recordTransfers(now, old, p, st.demand)
}

// recordPromptReads adds the reading of a prompt to the backlog of the workers that are new on a path.
func (s *System) recordPromptReads(now time.Time, old, p Path, d Demand) {
	if s.engine.ReadTokensPerMs <= 0 {
		return
	}
	for _, part := range p {
		w := s.workers[part.Worker]
		if w == nil || slices.Contains(old, part) {
			continue
		}
		w.backlog, w.backlogAt = w.remainingBacklog(now)+s.readMs(w, part, d), now
	}
}

// readMs returns the time in ms that a worker needs to read a prompt for its part of a path.
func (s *System) readMs(w *worker, part Part, d Demand) float64 {
	if s.engine.ReadTokensPerMs <= 0 {
		return 0
	}
	share := float64(part.Range.Len()) / float64(s.engine.Layers)
	return float64(d.PromptTokens) * share * w.factors.ReadFactor * w.slowdown() / s.engine.ReadTokensPerMs
}

// queueMs returns the time in ms that a worker needs for its backlog of all hosts. Each peer is assumed to send as
// much as this host.
func (s *System) queueMs(now time.Time, w *worker) float64 {
	return w.remainingBacklog(now) * float64(s.peers+1)
}

// End releases the path and the load of a stream.
func (s *System) End(id string) {
	if st := s.streams[id]; st != nil {
		s.recordLife(st)
	}
	s.release(id)
}

func (s *System) release(id string) {
	if st := s.streams[id]; st != nil {
		s.endTrials(id, st.path)
		s.charge(id, st.path, st.demand, -1)
		delete(s.streams, id)
	}
}

func (s *System) charge(id string, p Path, d Demand, sign int) {
	for _, part := range p {
		w := s.workers[part.Worker]
		if w == nil {
			continue
		}
		if sign > 0 && w.suspicions+w.refusals > 0 && w.trial == "" {
			w.trial = id
		} else if sign < 0 && w.trial == id {
			w.trial = ""
		}
		w.used = max(w.used+float64(sign)*d.tokens()*float64(part.Range.Len()), 0)
		w.streams = max(w.streams+sign, 0)
		if sign > 0 {
			w.addedUsed += d.tokens() * float64(part.Range.Len())
			w.addedStreams++
		}
	}
}

// Covered reports whether a path over all layers exists now for a demand of no tokens.
func (s *System) Covered(now time.Time) bool {
	_, refusal := s.Choose(now, Demand{})
	return refusal == Accepted
}
