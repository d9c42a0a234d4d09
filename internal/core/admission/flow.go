package admission

import (
	"container/heap"
	"math"
	"time"

	"waxwingplank/internal/core/table"
)

// flow holds the waiting requests of one workspace in one class.
//
// The class uses start-time fair queueing: it serves the flow with the lowest start tag. Only the head of a
// flow has a tag, so a request that is removed without being served costs its workspace nothing.
type flow struct {
	workspace   table.WorkspaceID
	weight      float64
	startTag    float64
	finishTag   float64
	head, tail  *item
	queued      int
	parked      int
	cost        float64
	activeIndex int
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

// idleCredit is the number of requests by which a flow that was idle may lag behind the others and still catch
// up. Small workspaces rarely have a request waiting at every host. Without the credit they would lose the turns
// that pass in between.
const idleCredit = 2

// flowHeap orders flows with waiting requests by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].workspace < h[j].workspace
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].activeIndex = i
	h[j].activeIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.activeIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.activeIndex = -1
	return f
}

// class holds the waiting requests of one priority.
type class struct {
	priority    int
	virtualTime float64
	flows       map[table.WorkspaceID]*flow
	active      flowHeap
	recovery    recoveryHeap
	// Totals over queued requests, excluding parked ones.
	queued       int
	cost         float64
	recoveryCost float64
	activeWeight float64
	// Work dequeued per second, averaged over about servedWindow.
	lastServedRate float64
	servedAt       time.Time
}

// servedWindow is long enough to smooth single requests and short enough to follow a shift change.
const servedWindow = 2 * time.Second

// servedRate returns the work per second that was recently dequeued from the class.
func (c *class) servedRate(now time.Time) float64 {
	if c.servedAt.IsZero() {
		return 0
	}
	return c.lastServedRate * math.Exp(-now.Sub(c.servedAt).Seconds()/servedWindow.Seconds())
}

func (c *class) recordServed(now time.Time, cost float64) {
	c.lastServedRate = c.servedRate(now) + cost/servedWindow.Seconds()
	c.servedAt = now
}

func newClass(priority int) *class {
	return &class{priority: priority, flows: map[table.WorkspaceID]*flow{}}
}

func (c *class) flow(workspace table.WorkspaceID, weight int) *flow {
	w := float64(max(weight, 1))
	f, ok := c.flows[workspace]
	if !ok {
		c.evictIdleFlows()
		f = &flow{workspace: workspace, weight: w, activeIndex: -1}
		c.flows[workspace] = f
	}
	if f.activeIndex >= 0 {
		c.activeWeight += w - f.weight
	}
	f.weight = w
	return f
}

// evictIdleFlows removes idle flows that have not received more than their share. It runs only when idle flows
// far outnumber active ones, which amortizes the cost over the arrivals that created them.
func (c *class) evictIdleFlows() {
	// With fewer flows the memory of the map is negligible.
	const minFlows = 1024
	if len(c.flows) < minFlows+2*len(c.active) {
		return
	}
	for id, f := range c.flows {
		if f.activeIndex < 0 && f.parked == 0 && f.finishTag <= c.virtualTime {
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
	if f.activeIndex < 0 {
		f.startTag = max(c.virtualTime-idleCredit*it.cost/f.weight, f.finishTag)
		c.activeWeight += f.weight
		heap.Push(&c.active, f)
	}
}

func (c *class) remove(it *item) {
	c.queued--
	c.cost -= it.cost
	if it.recovery {
		c.recoveryCost -= it.cost
		heap.Remove(&c.recovery, it.recoveryIndex)
		return
	}
	f := it.flow
	f.unlink(it)
	if f.queued == 0 {
		c.activeWeight -= f.weight
		heap.Remove(&c.active, f.activeIndex)
	}
}

// serve advances the tags of the flow for work that is dispatched to an endpoint.
func (c *class) serve(f *flow, cost float64) {
	start := max(c.virtualTime, f.finishTag)
	if f.activeIndex >= 0 {
		start = f.startTag
	}
	c.virtualTime = max(c.virtualTime, start)
	f.finishTag = start + cost/f.weight
	if f.activeIndex >= 0 {
		f.startTag = f.finishTag
		heap.Fix(&c.active, f.activeIndex)
	}
}

// longestFlow returns the flow with the most queued requests relative to its weight.
func (c *class) longestFlow() *flow {
	var best *flow
	for _, f := range c.active {
		if best == nil || float64(f.queued)*best.weight > float64(best.queued)*f.weight {
			best = f
		}
	}
	return best
}
