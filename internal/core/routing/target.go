package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/table"
)

// endpoint is one engine or plain instance. Pipelines of several services may share it.
type endpoint struct {
	id      table.EndpointID
	targets []*target
	health  health
	// Number of running requests marked with each crash.
	crashes        map[string]int
	load           float64
	loadMeasuredAt time.Time
	cacheSequence  uint64
}

// target is one pipeline of one service. A plain instance is a pipeline of one stage.
type target struct {
	id        string
	service   *service
	pipeline  table.Pipeline
	endpoints []*endpoint
	slots     int
	hash      uint64

	inFlight      int
	grantedSlots  int
	granted       bool
	grantSequence uint64
	grantUntil    time.Time

	health           health
	speedHealth      health
	tokenInterval    ewma
	baselineInterval ewma
	firstToken       ewma

	probeAt         time.Time
	probeDelay      time.Duration
	probing         bool
	failedAt        time.Time
	recoveryLimiter recoveryLimiter
	limit           int
	degraded        bool
	availableIndex  int
	removed         bool
	// Number of gaps in the sequence of cache events so far.
	cacheGaps int
}

func newTarget(svc *service, cfg PipelineConfig) *target {
	t := &target{
		id: cfg.Pipeline.ID(), service: svc, pipeline: cfg.Pipeline, slots: cfg.Slots,
		hash: xxhash.Sum64String(cfg.Pipeline.ID()), health: newHealth(), speedHealth: newHealth(), availableIndex: -1,
	}
	if cfg.Interval > 0 {
		t.baselineInterval.set(cfg.Interval.Seconds())
	}
	return t
}

// slotShare returns the slots that this host may use: its grant, or an equal share of the slots until a grant
// arrives. The equal shares of all hosts add up to the slots while the hosts agree on the list of live hosts.
func (t *target) slotShare(now time.Time, hosts Hosts) int {
	if t.granted && now.Before(t.grantUntil) {
		return t.grantedSlots
	}
	n := t.slots / hosts.live
	rank := (uint64(hosts.rank) + t.hash) % uint64(hosts.live)
	if rank < uint64(t.slots%hosts.live) {
		n++
	}
	return n
}

// healthFactor returns the fraction of its slot share that the pipeline's health allows.
func (t *target) healthFactor() float64 {
	f := min(t.health.value(), t.speedHealth.value())
	for _, e := range t.endpoints {
		f = min(f, e.health.value())
	}
	return f
}

// probeDue reports whether a pipeline without slots may receive one request. A load report measured after the
// failure shows that the stages respond again. Without one, the probe waits for maxProbeInterval.
func (t *target) probeDue(now time.Time) bool {
	if now.Before(t.probeAt) {
		return false
	}
	for _, e := range t.endpoints {
		if !e.loadMeasuredAt.IsZero() && !e.loadMeasuredAt.After(t.failedAt) {
			return !now.Before(t.failedAt.Add(maxProbeInterval))
		}
	}
	return true
}

// recordInterval adds a token interval in seconds. If the pipeline is much slower than its own long-term
// baseline, its load is reduced in proportion. The comparison with its own baseline keeps pipelines on slower
// accelerators from counting as degraded.
func (t *target) recordInterval(interval float64) {
	t.tokenInterval.add(interval, intervalWeight)
	t.baselineInterval.add(interval, baselineWeight)
	t.speedHealth.v = 1
	if allowed := slowThreshold * t.baselineInterval.value; t.tokenInterval.value > allowed {
		t.speedHealth.v = max(minHealth, allowed/t.tokenInterval.value)
	}
}

// runsCrash reports whether a stage runs a request that is marked with one of the crashes.
func (t *target) runsCrash(crashes []string) bool {
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

// recoveryLimiter limits the rate at which a pipeline starts recovery requests, since each of them begins with
// a prefill of the whole text so far.
type recoveryLimiter struct {
	tokens     float64
	refilledAt time.Time
}

// ready refills the token bucket and reports whether a recovery request may start. The rate per second and the
// size of the bucket are a quarter of the free slots. The minimum rate of one per second lets recovery continue
// while every slot is in use.
func (l *recoveryLimiter) ready(now time.Time, free int) bool {
	rate := max(1, float64(free)/4)
	if l.refilledAt.IsZero() {
		l.tokens = rate
	} else {
		l.tokens = min(rate, l.tokens+now.Sub(l.refilledAt).Seconds()*rate)
	}
	l.refilledAt = now
	return l.tokens >= 1
}
