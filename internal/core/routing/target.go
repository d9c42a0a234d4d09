package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/table"
)

// endpoint is one engine or plain instance; pipelines of several services may share it.
type endpoint struct {
	id      table.EndpointID
	targets []*target
	health  health
	// Running marked requests by crash.
	crashes  map[string]int
	load     float64
	loadAt   time.Time
	cacheSeq uint64
}

// target is one pipeline of one service, or one plain instance as a pipeline of one stage.
type target struct {
	id        string
	service   *service
	pipeline  table.Pipeline
	endpoints []*endpoint
	slots     int
	hash      uint64

	inflight int
	grant    int
	granted  bool
	sequence uint64
	until    time.Time

	health     health
	slow       health
	interval   ewma
	baseline   ewma
	firstToken ewma

	probeAt    time.Time
	probeEvery time.Duration
	probing    bool
	failedAt   time.Time
	pace       pace
	limit      int
	degraded   bool
	availAt    int
	removed    bool
	// Gaps in the cache events so far.
	cacheGaps int
}

func newTarget(svc *service, cfg PipelineConfig) *target {
	t := &target{
		id: cfg.Pipeline.ID(), service: svc, pipeline: cfg.Pipeline, slots: cfg.Slots,
		hash: xxhash.Sum64String(cfg.Pipeline.ID()), health: newHealth(), slow: newHealth(), availAt: -1,
	}
	if cfg.Interval > 0 {
		t.baseline.set(cfg.Interval.Seconds())
	}
	return t
}

// share returns the slots that this host may use: its grant, or until one arrives an equal part of the
// slots. The parts of all hosts add up to the slots while the hosts agree on the list of live hosts.
func (t *target) share(now time.Time, hosts Hosts) int {
	if t.granted && now.Before(t.until) {
		return t.grant
	}
	n := t.slots / hosts.live
	rank := (uint64(hosts.rank) + t.hash) % uint64(hosts.live)
	if rank < uint64(t.slots%hosts.live) {
		n++
	}
	return n
}

// factor returns the part of its share that the pipeline earns by its health.
func (t *target) factor() float64 {
	f := min(t.health.value(), t.slow.value())
	for _, e := range t.endpoints {
		f = min(f, e.health.value())
	}
	return f
}

// probeDue reports whether a pipeline without work may get one request. A load report taken after the
// failure shows that the stages answer again; without one, a probe waits for the longest interval.
func (t *target) probeDue(now time.Time) bool {
	if now.Before(t.probeAt) {
		return false
	}
	for _, e := range t.endpoints {
		if !e.loadAt.IsZero() && !e.loadAt.After(t.failedAt) {
			return !now.Before(t.failedAt.Add(maxProbeInterval))
		}
	}
	return true
}

// measure adds a token interval in seconds. A pipeline that is much slower than its own long-term
// baseline keeps the part of its work that its speed allows; pipelines of slower accelerators are thus
// not mistaken for degraded ones.
func (t *target) measure(interval float64) {
	t.interval.add(interval, intervalWeight)
	t.baseline.add(interval, baselineWeight)
	t.slow.v = 1
	if allowed := slowRatio * t.baseline.v; t.interval.v > allowed {
		t.slow.v = max(healthFloor, allowed/t.interval.v)
	}
}

// conflicts reports whether a stage runs a request marked with one of the crashes.
func (t *target) conflicts(crashes []string) bool {
	for _, e := range t.endpoints {
		if len(e.crashes) == 0 {
			continue
		}
		for _, c := range crashes {
			if e.crashes[c] > 0 {
				return true
			}
		}
	}
	return false
}

func (t *target) avoided(avoid []table.EndpointID) bool {
	for _, id := range avoid {
		if t.pipeline.Uses(id) {
			return true
		}
	}
	return false
}

// pace limits how fast a pipeline takes recovery requests, since each of them starts with a prefill of
// the whole text so far.
type pace struct {
	tokens float64
	at     time.Time
}

// ready refills at a quarter of the free slots a second, and holds at most as many. One a second is
// always allowed, so that recovery goes on while every slot is in use.
func (p *pace) ready(now time.Time, free int) bool {
	quarter := max(1, float64(free)/4)
	if p.at.IsZero() {
		p.tokens = quarter
	} else {
		p.tokens = min(quarter, p.tokens+now.Sub(p.at).Seconds()*quarter)
	}
	p.at = now
	return p.tokens >= 1
}
