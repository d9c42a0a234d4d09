package benchload

import "math/rand/v2"

// baseline sends each call to an engine on arrival. The engine queues the calls that it cannot run yet.
type baseline struct {
	w      *world
	choose func(b *baseline) *engine
	rng    *rand.Rand
	turn   int
	// Loads are reported every second. Choices use seen, the report before the last one.
	seen, reported []float64
	at             float64
	// avoidUntil is the time until which an engine with a failed attempt is skipped.
	avoidUntil []float64
	now        float64
}

// avoidFor is the time in seconds for which a baseline skips an unresponsive engine.
const avoidFor = 5.0

func newBaseline(w *world, choose func(b *baseline) *engine) *baseline {
	n := len(w.engines)
	return &baseline{
		w: w, choose: choose, rng: rand.New(rand.NewPCG(w.sc.seed, 4)), at: -1,
		seen: make([]float64, n), reported: make([]float64, n), avoidUntil: make([]float64, n),
	}
}

func roundRobin(b *baseline) *engine {
	for range b.w.engines {
		b.turn = (b.turn + 1) % len(b.w.engines)
		if b.avoidUntil[b.turn] <= b.now {
			break
		}
	}
	return b.w.engines[b.turn]
}

func leastReported(b *baseline) *engine {
	best := -1
	for i := range b.w.engines {
		if b.avoidUntil[i] > b.now {
			continue
		}
		if best < 0 || b.seen[i] < b.seen[best] {
			best = i
		}
	}
	return b.w.engines[max(best, 0)]
}

func twoChoices(b *baseline) *engine {
	draw := func() int {
		for range 8 {
			if i := b.rng.IntN(len(b.w.engines)); b.avoidUntil[i] <= b.now {
				return i
			}
		}
		return b.rng.IntN(len(b.w.engines))
	}
	i, j := draw(), draw()
	if b.seen[j] < b.seen[i] {
		i = j
	}
	return b.w.engines[i]
}

func (b *baseline) arrive(now float64, c *call) {
	b.now = now
	e := b.choose(b)
	c.sent = now
	e.open(now, c)
}

func (b *baseline) failed(now float64, c *call) {
	b.avoidUntil[c.engineIndex] = now + avoidFor
	b.arrive(now, c)
}

func (b *baseline) leave(float64, *call)             {}
func (b *baseline) progress(float64, *call, float64) {}
func (b *baseline) finished(float64, *call)          {}

func (b *baseline) tick(now float64) {
	if now-b.at < divideEvery {
		return
	}
	b.at = now
	copy(b.seen, b.reported)
	for i, e := range b.w.engines {
		b.reported[i] = float64(len(e.running)+len(e.waiting)) / float64(e.slots)
	}
}
