package stream

import (
	"container/heap"
	"time"

	"waxwingplank/internal/core/table"
)

// bucket limits the recoveries that one surviving endpoint takes.
type bucket struct {
	tokens float64
	rate   float64
	at     time.Time
}

// fill adds the allowance for the time passed; a survivor always gets at least one start per interval.
func (b *bucket) fill(now time.Time, cfg Config) {
	limit := b.rate
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens += limit * float64(passed) / float64(cfg.PaceInterval)
		b.at = now
	}
	if b.tokens > limit {
		b.tokens = limit
	}
}

// pacer holds recoveries that have a pipeline and wait for their turn.
type pacer struct {
	cfg     Config
	buckets map[table.EndpointID]*bucket
	queues  map[string]*queue
}

func newPacer(cfg Config) *pacer {
	return &pacer{cfg: cfg, buckets: map[table.EndpointID]*bucket{}, queues: map[string]*queue{}}
}

// add queues a recovery and learns the free slots of its pipeline.
func (p *pacer) add(now time.Time, r *row, free int) {
	limit := float64(free) * p.cfg.PaceShare
	if limit < 1 {
		limit = 1
	}
	for _, st := range r.pipeline.Stages() {
		b := p.buckets[st.Endpoint()]
		if b == nil {
			b = &bucket{tokens: limit, rate: limit, at: now}
			p.buckets[st.Endpoint()] = b
			continue
		}
		b.fill(now, p.cfg)
		// The free slots shrink while recoveries take them; the limit of an interval is that at its start.
		if limit > b.rate || b.tokens >= b.rate {
			b.rate = limit
			b.tokens = min(b.tokens, limit)
		}
	}
	q := p.queues[r.pipeline.ID()]
	if q == nil {
		q = &queue{}
		p.queues[r.pipeline.ID()] = q
	}
	heap.Push(q, r)
}

// take returns the recoveries that may start now, in order of priority and promise across all pipelines.
func (p *pacer) take(now time.Time) []*row {
	var out []*row
	blocked := map[string]bool{}
	for {
		id, q := p.best(blocked)
		if q == nil {
			break
		}
		r := q.rows[0]
		if !r.queued {
			heap.Pop(q)
			p.drop(id, q)
			continue
		}
		if !p.spend(now, r) {
			blocked[id] = true
			continue
		}
		heap.Pop(q)
		p.drop(id, q)
		r.queued = false
		out = append(out, r)
	}
	p.forget(now)
	return out
}

func (p *pacer) best(blocked map[string]bool) (string, *queue) {
	var id string
	var found *queue
	for k, q := range p.queues {
		if blocked[k] || len(q.rows) == 0 {
			continue
		}
		if found == nil || before(q.rows[0], found.rows[0]) {
			id, found = k, q
		}
	}
	return id, found
}

func (p *pacer) spend(now time.Time, r *row) bool {
	for _, st := range r.pipeline.Stages() {
		b := p.buckets[st.Endpoint()]
		b.fill(now, p.cfg)
		if b.tokens < 1 {
			return false
		}
	}
	for _, st := range r.pipeline.Stages() {
		p.buckets[st.Endpoint()].tokens--
	}
	return true
}

func (p *pacer) drop(id string, q *queue) {
	if len(q.rows) == 0 {
		delete(p.queues, id)
	}
}

// forget removes buckets that are full again, so that the table holds only endpoints in recovery.
func (p *pacer) forget(now time.Time) {
	if len(p.queues) > 0 {
		return
	}
	for id, b := range p.buckets {
		if now.Sub(b.at) >= p.cfg.PaceInterval {
			delete(p.buckets, id)
		}
	}
}

// queue is a heap of recoveries, highest priority and oldest promise first.
type queue struct{ rows []*row }

// before orders by priority, then by promise, then by identifier to be the same on every run.
func before(a, b *row) bool {
	if a.open.Priority != b.open.Priority {
		return a.open.Priority < b.open.Priority
	}
	if !a.open.Promised.Equal(b.open.Promised) {
		return a.open.Promised.Before(b.open.Promised)
	}
	return a.open.Stream < b.open.Stream
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.rows) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool { return before(q.rows[i], q.rows[j]) }

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.rows[i], q.rows[j] = q.rows[j], q.rows[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if r, ok := x.(*row); ok {
		q.rows = append(q.rows, r)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.rows) - 1
	r := q.rows[last]
	q.rows[last] = nil
	q.rows = q.rows[:last]
	return r
}
