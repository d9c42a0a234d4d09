package admission

import (
	"container/heap"
	"math"
	"time"

	"waxwingplank/internal/core/table"
)

// flow holds the waiting requests of one workspace in one class.
//
// Start-time fair queueing: the class serves the flow with the lowest start tag. A tag is given to
// the head of the flow only, so a request that leaves the queue costs its workspace nothing.
type flow struct {
	workspace  table.WorkspaceID
	weight     float64
	start      float64
	finish     float64
	head, tail *item
	queued     int
	parked     int
	cost       float64
	activeAt   int
}

func (f *flow) append(it *item) {
	it.prev = f.tail
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
	f.queued++
	f.cost += it.cost
}

func (f *flow) unlink(it *item) {
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	f.queued--
	f.cost -= it.cost
}

// credit is the number of requests by which a flow that was idle may lag behind the others and still
// catch up. Small workspaces seldom have a request waiting at every host, and would otherwise lose the
// turns that pass in between.
const credit = 2

// flowHeap orders flows with waiting requests by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].workspace < h[j].workspace
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].activeAt = i
	h[j].activeAt = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.activeAt = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.activeAt = -1
	return f
}

// class holds the waiting requests of one priority.
type class struct {
	priority int
	virtual  float64
	flows    map[table.WorkspaceID]*flow
	active   flowHeap
	recovery recoveryHeap
	// Totals over queued requests, without parked ones.
	queued       int
	cost         float64
	recoveryCost float64
	activeWeight float64
	// Work taken from the queue a second, over about the last servedWindow.
	served   float64
	servedAt time.Time
}

// servedWindow is long enough to smooth single requests and short enough to follow a shift change.
const servedWindow = 2 * time.Second

// servedRate returns the work a second that the class has taken lately.
func (c *class) servedRate(now time.Time) float64 {
	if c.servedAt.IsZero() {
		return 0
	}
	return c.served * math.Exp(-now.Sub(c.servedAt).Seconds()/servedWindow.Seconds())
}

func (c *class) noteServed(now time.Time, cost float64) {
	c.served = c.servedRate(now) + cost/servedWindow.Seconds()
	c.servedAt = now
}

func newClass(priority int) *class {
	return &class{priority: priority, flows: map[table.WorkspaceID]*flow{}}
}

func (c *class) flow(workspace table.WorkspaceID, weight int) *flow {
	w := float64(max(weight, 1))
	f, ok := c.flows[workspace]
	if !ok {
		c.sweep()
		f = &flow{workspace: workspace, weight: w, activeAt: -1}
		c.flows[workspace] = f
	}
	if f.activeAt >= 0 {
		c.activeWeight += w - f.weight
	}
	f.weight = w
	return f
}

// sweep forgets idle flows that have been served no more than their share. It runs when idle flows
// outnumber active ones by far, so its cost is spread over the arrivals that made them.
func (c *class) sweep() {
	// Below this number the map is too small to matter.
	const keep = 1024
	if len(c.flows) < keep+2*len(c.active) {
		return
	}
	for id, f := range c.flows {
		if f.activeAt < 0 && f.parked == 0 && f.finish <= c.virtual {
			delete(c.flows, id)
		}
	}
}

func (c *class) add(it *item) {
	c.queued++
	c.cost += it.cost
	if it.recovery {
		c.recoveryCost += it.cost
		heap.Push(&c.recovery, it)
		return
	}
	f := it.flow
	f.append(it)
	if f.activeAt < 0 {
		f.start = max(c.virtual-credit*it.cost/f.weight, f.finish)
		c.activeWeight += f.weight
		heap.Push(&c.active, f)
	}
}

func (c *class) remove(it *item) {
	c.queued--
	c.cost -= it.cost
	if it.recovery {
		c.recoveryCost -= it.cost
		heap.Remove(&c.recovery, it.recoveryAt)
		return
	}
	f := it.flow
	f.unlink(it)
	if f.queued == 0 {
		c.activeWeight -= f.weight
		heap.Remove(&c.active, f.activeAt)
	}
}

// serve advances the tags of the flow for work that leaves the queue towards an endpoint.
func (c *class) serve(f *flow, cost float64) {
	start := max(c.virtual, f.finish)
	if f.activeAt >= 0 {
		start = f.start
	}
	c.virtual = max(c.virtual, start)
	f.finish = start + cost/f.weight
	if f.activeAt >= 0 {
		f.start = f.finish
		heap.Fix(&c.active, f.activeAt)
	}
}

// longest returns the flow with the most queued requests for its weight.
func (c *class) longest() *flow {
	var best *flow
	for _, f := range c.active {
		if best == nil || float64(f.queued)*best.weight > float64(best.queued)*f.weight {
			best = f
		}
	}
	return best
}
