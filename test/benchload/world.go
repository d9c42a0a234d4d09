package benchload

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingplank/internal/core/outcome"
)

const (
	hostCount = 8
	// stepSeconds is the resolution of the simulated time.
	stepSeconds = 0.005
	// idleTimeout is the time in seconds after which an attempt on an unresponsive stage fails.
	idleTimeout = 1.0
	// warmUp is the period in seconds that the throughput figures exclude.
	warmUp = 10.0
)

// epoch is the clock reading at simulated second 0.
var epoch = time.Unix(1_700_000_000, 0)

func clock(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// fault is applied at a simulated time and removed at another, in seconds.
type fault struct {
	at, until float64
	apply     func(engines []*engine, on bool)
}

// scenario is one load with its faults. Times are in seconds; load is a fraction of the capacity.
type scenario struct {
	name     string
	seed     uint64
	kinds    int
	seconds  float64
	load     float64
	surge    float64
	surgeAt  float64
	surgeFor float64
	faults   []fault
	// from and to delimit the period in which throughput is measured.
	from, to float64
}

// router assigns calls to engines.
type router interface {
	arrive(now float64, c *call)
	leave(now float64, c *call)
	failed(now float64, c *call)
	progress(now float64, c *call, interval float64)
	finished(now float64, c *call)
	tick(now float64)
}

// world simulates one scenario under one router.
type world struct {
	sc       scenario
	engines  []*engine
	router   router
	rng      *rand.Rand
	calls    []*call
	active   []*call
	resends  []*call
	capacity float64

	useful     float64
	raw        float64
	bound      float64
	byShare    []float64
	firsts     map[string]*hdrhistogram.Histogram
	intervals  *hdrhistogram.Histogram
	recovery   *hdrhistogram.Histogram
	refused    map[outcome.Code]int
	retryAfter *hdrhistogram.Histogram
	resent     int
	resentOK   int
	lost       int
	late       int
	sumBound   float64
	steps      int
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func newWorld(sc scenario, build func(*world) router) *world {
	w := &world{
		sc: sc, engines: newEngines(sc.kinds, 15), rng: rand.New(rand.NewPCG(sc.seed, 2)),
		byShare: make([]float64, len(workspaces)),
		firsts:  map[string]*hdrhistogram.Histogram{}, intervals: newHistogram(), recovery: newHistogram(),
		refused: map[outcome.Code]int{}, retryAfter: newHistogram(),
	}
	for _, k := range kinds {
		w.firsts[k.name] = newHistogram()
	}
	w.capacity = bound(w.engines)
	w.calls = arrivals(sc, hostCount, w.capacity)
	w.router = build(w)
	return w
}

// run simulates the scenario.
func (w *world) run() {
	next := 0
	for step := 0; float64(step)*stepSeconds < w.sc.seconds; step++ {
		now := float64(step) * stepSeconds
		for _, f := range w.sc.faults {
			if crosses(now, f.at) {
				f.apply(w.engines, true)
			}
			if crosses(now, f.until) {
				f.apply(w.engines, false)
			}
		}
		for next < len(w.calls) && w.calls[next].arrived <= now {
			w.active = append(w.active, w.calls[next])
			w.router.arrive(now, w.calls[next])
			next++
		}
		w.resend(now)
		if step%10 == 0 {
			w.watch(now)
		}
		w.router.tick(now)
		for _, e := range w.engines {
			e.step(now, stepSeconds, w)
		}
		if now >= w.sc.from && now < w.sc.to {
			w.sumBound += bound(w.engines)
			w.steps++
		}
	}
	w.bound = w.sumBound / float64(max(w.steps, 1))
}

func crosses(now, at float64) bool { return at > 0 && now >= at && now-stepSeconds < at }

// watch detects attempts on unresponsive engines and callers that disconnect. It checks calls in order of arrival
// so that the same seed gives the same run.
func (w *world) watch(now float64) {
	w.active = slices.DeleteFunc(w.active, func(c *call) bool { return c.ended })
	for _, c := range w.active {
		if c.ended {
			continue
		}
		if c.first == 0 && now >= c.leaves {
			w.router.leave(now, c)
			w.drop(c)
			continue
		}
		if c.engine != nil && c.engine.down && now-c.lastSeen >= idleTimeout {
			c.engine.remove(c)
			c.part = 0
			if c.first > 0 && c.brokenAt == 0 {
				c.brokenAt = c.last
			}
			w.router.failed(now, c)
		}
	}
}

func (w *world) drop(c *call) {
	c.ended = true
	if c.engine != nil {
		c.engine.remove(c)
	}
}

func (w *world) token(c *call, at float64) {
	if c.first == 0 {
		c.first = at
		_ = w.firsts[c.kind.name].RecordValue(micros(at - c.arrived))
		w.router.progress(at, c, 0)
		c.marked, c.markedAt = at, c.generated
		if at-c.arrived > c.kind.firstToken {
			w.late++
		}
	} else {
		if c.brokenAt > 0 {
			_ = w.recovery.RecordValue(micros(at - c.brokenAt))
			c.brokenAt = 0
			c.marked, c.markedAt = at, c.generated
		}
		_ = w.intervals.RecordValue(micros(at - c.last))
	}
	c.last = at
	if n := c.generated - c.markedAt; n >= 16 {
		w.router.progress(at, c, (at-c.marked)/float64(n))
		c.marked, c.markedAt = at, c.generated
	}
	if at >= w.sc.from && at < w.sc.to {
		w.raw++
		if c.first-c.arrived <= c.kind.firstToken {
			w.useful++
			w.byShare[c.workspace]++
		}
	}
}

func micros(seconds float64) int64 { return max(1, int64(seconds*1e6)) }

func (w *world) end(c *call, at float64) {
	c.ended = true
	if c.resend {
		w.resentOK++
	}
	w.router.finished(at, c)
}

// refuse ends a call. Half of the refused callers retry once, after the retry delay in the refusal.
func (w *world) refuse(now float64, c *call, r *outcome.Refusal) {
	w.drop(c)
	w.refused[r.Code()]++
	if c.first > 0 {
		w.lost++
	}
	_ = w.retryAfter.RecordValue(micros(r.RetryAfter().Seconds()))
	if c.resend || w.rng.Float64() < 0.5 {
		return
	}
	again := *c
	again.id += "-2"
	again.resend = true
	again.arrived = now + r.RetryAfter().Seconds()
	again.leaves = again.arrived + 2*c.kind.firstToken
	again.ended, again.engine, again.generated, again.first = false, nil, 0, 0
	w.resends = append(w.resends, &again)
}

// resend starts the retries that are due.
func (w *world) resend(now float64) {
	later := w.resends[:0]
	for _, c := range w.resends {
		if c.arrived > now {
			later = append(later, c)
			continue
		}
		w.resent++
		w.active = append(w.active, c)
		w.router.arrive(now, c)
	}
	w.resends = later
}
