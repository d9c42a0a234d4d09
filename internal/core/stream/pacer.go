package stream

import (
	"container/heap"
	"time"

	"waxwingplank/internal/core/table"
)

// window is a sliding-window rate limit on the recoveries that one endpoint receives. A token bucket would
// admit twice the share in the second after a pause.
type window struct {
	limit int
	// limitSetAt is the time at which limit was set.
	limitSetAt time.Time
	starts     []time.Time
}

// hasCapacity reports whether the endpoint may receive one more recovery.
func (w *window) hasCapacity(now time.Time, interval time.Duration) bool {
	old := 0
	for old < len(w.starts) && now.Sub(w.starts[old]) >= interval {
		old++
	}
	w.starts = w.starts[old:]
	return len(w.starts) < w.limit
}

// pacer limits the rate of recoveries. It queues recoveries that have a pipeline until they may start.
type pacer struct {
	cfg     Config
	windows map[table.EndpointID]*window
	queues  map[string]*queue
}

func newPacer(cfg Config) *pacer {
	return &pacer{cfg: cfg, windows: map[table.EndpointID]*window{}, queues: map[string]*queue{}}
}

// add queues a recovery and sets the limits of its endpoints from the free slots of its pipeline. The limit is
// at least one recovery per interval.
func (p *pacer) add(now time.Time, r *row, free int) {
	limit := max(1, int(float64(free)*p.cfg.RecoveryShare))
	for _, st := range r.pipeline.Stages() {
		w := p.windows[st.Endpoint()]
		if w == nil {
			w = &window{}
			p.windows[st.Endpoint()] = w
		}
		// Recoveries reduce the number of free slots as they start, so a limit is not lowered within an interval.
		if limit > w.limit || now.Sub(w.limitSetAt) >= p.cfg.RecoveryInterval {
			w.limit, w.limitSetAt = limit, now
		}
	}
	q := p.queues[r.pipeline.ID()]
	if q == nil {
		q = &queue{}
		p.queues[r.pipeline.ID()] = q
	}
	heap.Push(q, r)
}

// popReady removes and returns the recoveries that may start now, in the order of recoversBefore across all
// pipelines.
func (p *pacer) popReady(now time.Time) []*row {
	var out []*row
	blocked := map[string]bool{}
	for {
		id, q := p.nextQueue(blocked)
		if q == nil {
			break
		}
		r := q.rows[0]
		if !r.queued {
			heap.Pop(q)
			p.deleteIfEmpty(id, q)
			continue
		}
		if !p.reserve(now, r) {
			blocked[id] = true
			continue
		}
		heap.Pop(q)
		p.deleteIfEmpty(id, q)
		r.queued = false
		out = append(out, r)
	}
	p.deleteIdleWindows(now)
	return out
}

// evict removes and returns the queued recoveries of all pipelines that use the endpoint.
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

func (p *pacer) nextQueue(blocked map[string]bool) (string, *queue) {
	var id string
	var found *queue
	for k, q := range p.queues {
		if blocked[k] || len(q.rows) == 0 {
			continue
		}
		if found == nil || recoversBefore(q.rows[0], found.rows[0]) {
			id, found = k, q
		}
	}
	return id, found
}

func (p *pacer) reserve(now time.Time, r *row) bool {
	for _, st := range r.pipeline.Stages() {
		if !p.windows[st.Endpoint()].hasCapacity(now, p.cfg.RecoveryInterval) {
			return false
		}
	}
	for _, st := range r.pipeline.Stages() {
		w := p.windows[st.Endpoint()]
		w.starts = append(w.starts, now)
	}
	return true
}

func (p *pacer) deleteIfEmpty(id string, q *queue) {
	if len(q.rows) == 0 {
		delete(p.queues, id)
	}
}

// deleteIdleWindows removes windows without recent starts once no recovery is queued, so that the map holds only
// endpoints that take part in recoveries.
func (p *pacer) deleteIdleWindows(now time.Time) {
	if len(p.queues) > 0 {
		return
	}
	for id, w := range p.windows {
		if w.hasCapacity(now, p.cfg.RecoveryInterval) && len(w.starts) == 0 {
			delete(p.windows, id)
		}
	}
}

// queue is a heap of recoveries in the order of recoversBefore.
type queue struct{ rows []*row }

// recoversBefore orders by priority, the highest first, then by the time by which progress is due, then by stream
// ID so that the order is deterministic.
func recoversBefore(a, b *row) bool {
	if a.open.Priority != b.open.Priority {
		return a.open.Priority < b.open.Priority
	}
	if !a.open.ProgressDue.Equal(b.open.ProgressDue) {
		return a.open.ProgressDue.Before(b.open.ProgressDue)
	}
	return a.open.Stream < b.open.Stream
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.rows) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool { return recoversBefore(q.rows[i], q.rows[j]) }

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
