package stream

import (
	"container/heap"
	"time"

	"waxwingplank/internal/core/table"
)

// window limits the recoveries that one surviving endpoint takes in any interval. A token bucket would let
// through twice the share in the second after a pause.
type window struct {
	limit int
	// rated is the time at which the limit was set.
	rated  time.Time
	starts []time.Time
}

// open reports whether the survivor may take one more recovery.
func (w *window) open(now time.Time, interval time.Duration) bool {
	old := 0
	for old < len(w.starts) && now.Sub(w.starts[old]) >= interval {
		old++
	}
	w.starts = w.starts[old:]
	return len(w.starts) < w.limit
}

// pacer holds recoveries that have a pipeline and wait for their turn.
type pacer struct {
	cfg     Config
	windows map[table.EndpointID]*window
	queues  map[string]*queue
}

func newPacer(cfg Config) *pacer {
	return &pacer{cfg: cfg, windows: map[table.EndpointID]*window{}, queues: map[string]*queue{}}
}

// add queues a recovery and learns the free slots of its pipeline. A survivor always gets at least one
// recovery per interval.
func (p *pacer) add(now time.Time, r *row, free int) {
	limit := max(1, int(float64(free)*p.cfg.PaceShare))
	for _, st := range r.pipeline.Stages() {
		w := p.windows[st.Endpoint()]
		if w == nil {
			w = &window{}
			p.windows[st.Endpoint()] = w
		}
		// The free slots shrink while recoveries take them; the limit of an interval is that at its start.
		if limit > w.limit || now.Sub(w.rated) >= p.cfg.PaceInterval {
			w.limit, w.rated = limit, now
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

// evict takes the recoveries out of the queues of all pipelines that use the endpoint.
func (p *pacer) evict(id table.EndpointID) []*row {
	var out []*row
	for name, q := range p.queues {
		if len(q.rows) == 0 || !q.rows[0].pipeline.Uses(id) {
			continue
		}
		for _, r := range q.rows {
			if r.queued {
				r.queued = false
				out = append(out, r)
			}
		}
		delete(p.queues, name)
	}
	sortRows(out)
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
		if !p.windows[st.Endpoint()].open(now, p.cfg.PaceInterval) {
			return false
		}
	}
	for _, st := range r.pipeline.Stages() {
		w := p.windows[st.Endpoint()]
		w.starts = append(w.starts, now)
	}
	return true
}

func (p *pacer) drop(id string, q *queue) {
	if len(q.rows) == 0 {
		delete(p.queues, id)
	}
}

// forget removes windows without recent starts, so that the table holds only endpoints in recovery.
func (p *pacer) forget(now time.Time) {
	if len(p.queues) > 0 {
		return
	}
	for id, w := range p.windows {
		if w.open(now, p.cfg.PaceInterval) && len(w.starts) == 0 {
			delete(p.windows, id)
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
