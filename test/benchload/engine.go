package benchload

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"waxwingplank/internal/core/table"
)

const (
	// promptPerWork is the number of prompt tokens whose prefill costs as much as one generated token. Prefill
	// processes whole blocks of a prompt at once.
	promptPerWork = 20
	// prefillPerSecond is the maximum work per second of a single prefill: 2,000 prompt tokens/s.
	prefillPerSecond = 100
	preambleTokens   = 400
	suffixTokens     = 60
	// cacheEntries is the number of preambles that fit into the cache of a pipeline.
	cacheEntries = 12
)

// accelerator is a type of stage, with its work per second and the duration of one step in seconds.
type accelerator struct {
	perSecond float64
	step      float64
}

// The types are assumptions. They differ by a factor of about five, which is the property that matters.
var accelerators = []accelerator{
	{perSecond: 1600, step: 0.008},
	{perSecond: 800, step: 0.014},
	{perSecond: 2400, step: 0.006},
	{perSecond: 1200, step: 0.010},
	{perSecond: 500, step: 0.013},
}

type cacheEvent struct {
	sequence uint64
	stored   bool
	prefix   uint64
	at       float64
}

// engine simulates one pipeline of three stages: processor sharing up to the rate of its slowest stage, a
// lower bound on the token interval from its steps and links, and a bounded prefix cache.
type engine struct {
	pipeline table.Pipeline
	domain   int
	rate     float64
	base     float64
	slow     float64
	slots    int
	down     bool
	running  []*call
	waiting  []*call
	cache    []uint64
	sequence uint64
	events   []cacheEvent
	index    int
	opened   int
	hits     int
}

func newEngines(kinds, pipelines int) []*engine {
	engines := make([]*engine, pipelines)
	for i := range engines {
		kind := accelerators[i%kinds]
		e := &engine{index: i, domain: i % 3, rate: kind.perSecond}
		var stages []table.Stage
		for stage := range 3 {
			// Links within a failure domain take 0.2 ms; every fourth pipeline crosses domains at 1 ms.
			link := 0.0002
			if i%4 == 3 {
				link = 0.001
			}
			e.base += kind.step + link
			stages = append(stages, table.NewStage(table.StageConfig{
				Endpoint: table.EndpointID(fmt.Sprintf("w%02d%c", i, 'a'+stage)),
				Layers:   table.Layers{From: 8 * stage, To: 8*stage + 8},
			}))
		}
		e.pipeline = table.NewPipeline(stages)
		// An engine offers an eighth more slots than the streams that saturate its slowest stage.
		e.slots = int(e.rate * e.base * 1.125)
		engines[i] = e
	}
	return engines
}

// bound returns the useful tokens per second that the engines could generate if every preamble was cached.
// The slowest stage limits each pipeline, and the slots limit its streams. Each response costs the prefill of
// its own part of the prompt in addition to its tokens.
func bound(engines []*engine) float64 {
	total := 0.0
	for _, e := range engines {
		if e.down {
			continue
		}
		total += min(e.rate, float64(e.slots)/e.base)
	}
	return total * meanTokens / (meanTokens + suffixTokens/promptPerWork)
}

// hit reports whether the preamble is cached and marks it as the most recently used.
func (e *engine) hit(preamble uint64) bool {
	i := slices.Index(e.cache, preamble)
	if i < 0 {
		return false
	}
	e.cache = append(slices.Delete(e.cache, i, i+1), preamble)
	return true
}

// store caches a preamble and evicts the least recently used one if the cache is full.
func (e *engine) store(now float64, preamble uint64) {
	if e.hit(preamble) {
		return
	}
	if len(e.cache) == cacheEntries {
		e.sequence++
		e.events = append(e.events, cacheEvent{sequence: e.sequence, prefix: e.cache[0], at: now})
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	e.sequence++
	e.events = append(e.events, cacheEvent{sequence: e.sequence, stored: true, prefix: preamble, at: now})
	e.cache = append(e.cache, preamble)
}

// open assigns a call to a slot, or to the engine's own queue if it is down or all slots are in use.
func (e *engine) open(now float64, c *call) {
	c.engine, c.engineIndex, c.lastSeen = e, e.index, now
	if e.down || len(e.running) >= e.slots {
		e.waiting = append(e.waiting, c)
		return
	}
	e.begin(now, c)
}

func (e *engine) begin(now float64, c *call) {
	prompt := suffixTokens + c.generated
	e.opened++
	if e.hit(c.preamble) {
		e.hits++
	} else {
		prompt += preambleTokens
	}
	c.prefill = float64(prompt) / promptPerWork
	c.part, c.lastSeen = 0, now
	e.running = append(e.running, c)
}

func (e *engine) remove(c *call) {
	if i := slices.Index(e.running, c); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if i := slices.Index(e.waiting, c); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	c.engine = nil
}

// step simulates the engine for dt seconds and reports generated tokens and finished calls to w.
func (e *engine) step(now, dt float64, w *world) {
	if e.down {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.begin(now, c)
	}
	tokenRate := 1 / (e.base + e.slow)
	demand := 0.0
	for _, c := range e.running {
		if c.prefill > 0 {
			demand += prefillPerSecond
		} else {
			demand += tokenRate
		}
	}
	scale := 1.0
	if demand > e.rate {
		scale = e.rate / demand
	}
	var ended []*call
	for _, c := range e.running {
		c.lastSeen = now
		left := dt
		if c.prefill > 0 {
			used := min(left, c.prefill/(prefillPerSecond*scale))
			c.prefill -= used * prefillPerSecond * scale
			left -= used
			if c.prefill > 1e-9 {
				continue
			}
			c.prefill = 0
			e.store(now, c.preamble)
		}
		rate := tokenRate * scale
		for left > 0 && c.generated < c.tokens {
			used := min(left, (1-c.part)/rate)
			c.part += used * rate
			left -= used
			if c.part > 1-1e-9 {
				c.part = 0
				c.generated++
				w.token(c, now+dt-left)
			}
		}
		if c.generated >= c.tokens {
			ended = append(ended, c)
		}
	}
	for _, c := range ended {
		e.remove(c)
		w.end(c, now+dt)
	}
}

// takeEvents removes and returns the cache events older than the lag, of which one in ten is lost.
func (e *engine) takeEvents(now, lag float64, rng *rand.Rand) []cacheEvent {
	var out []cacheEvent
	for len(e.events) > 0 && e.events[0].at < now-lag {
		if rng.Float64() > 0.1 {
			out = append(out, e.events[0])
		}
		e.events = e.events[1:]
	}
	return out
}
