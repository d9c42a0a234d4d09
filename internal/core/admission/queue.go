package admission

import (
	"container/heap"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// Verdict is the result of adding a request to the queue.
type Verdict string

// The verdicts of Offer.
const (
	// Admitted means that the request was added to the queue.
	Admitted Verdict = "admitted"
	// Joined means that the request replaced an earlier copy with the same key.
	Joined Verdict = "joined"
	// Duplicate means that the request itself already waits, or an earlier copy of a call that may not be
	// repeated.
	Duplicate Verdict = "duplicate"
	// Full means that the queue, or the workspace's share of it, is full.
	Full Verdict = "full"
	// TooLate means that the estimated wait exceeds the time until the deadline.
	TooLate Verdict = "too_late"
)

// Config holds the limits of a Queue.
type Config struct {
	// Total bounds the number of waiting requests; zero means 512, which is also the default in service documents.
	Total int
	// PerWorkspace bounds the waiting requests of one workspace. Zero means a quarter of Total, so that three
	// workspaces cannot fill the queue.
	PerWorkspace int
}

// recoveryFactor bounds the queue length up to which recovery requests are admitted, as a multiple of Total.
// They may exceed Total because refusing them loses responses that have already begun. The bound keeps a burst
// of resumed streams from exhausting the memory.
const recoveryFactor = 2

// Result is the result of Offer.
type Result struct {
	verdict  Verdict
	wait     time.Duration
	replaced table.RequestID
}

// Verdict returns whether the request was admitted, or why not.
func (r Result) Verdict() Verdict { return r.verdict }

// Wait returns the estimated wait.
func (r Result) Wait() time.Duration { return r.wait }

// Replaced returns the ID of the waiting request that was replaced or evicted; empty if there was none.
func (r Result) Replaced() table.RequestID { return r.replaced }

// Queue holds the waiting requests of one service.
type Queue struct {
	total        int
	perWorkspace int
	classes      []*class
	items        map[table.RequestID]*item
	keys         map[itemKey]*item
	deadlines    deadlineHeap
	// Work served per second, in cost units; zero means unknown.
	serviceRate float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{items: map[table.RequestID]*item{}, keys: map[itemKey]*item{}}
	q.SetLimits(cfg.Total, cfg.PerWorkspace)
	return q
}

// SetLimits changes the limits; zero means the defaults of Config. Requests that already wait stay in the queue.
func (q *Queue) SetLimits(total, perWorkspace int) {
	if total <= 0 {
		total = 512
	}
	if perWorkspace <= 0 {
		perWorkspace = max(1, total/4)
	}
	q.total, q.perWorkspace = total, perWorkspace
}

// Len returns the number of waiting requests, including parked ones.
func (q *Queue) Len() int { return len(q.items) }

// SetRate sets the work served per second, which is used to estimate waiting times.
func (q *Queue) SetRate(costPerSecond float64) { q.serviceRate = costPerSecond }

// Offer adds the request to the queue if the limits and its deadline allow that.
func (q *Queue) Offer(now time.Time, cfg ItemConfig) Result {
	c := q.class(cfg.Priority)
	f := c.flow(cfg.Workspace, cfg.Weight)
	cost := max(cfg.Cost, 1)
	wait := q.estimate(now, c, f)
	if _, ok := q.items[cfg.Request]; ok {
		return Result{verdict: Duplicate, wait: wait}
	}
	if earlier, ok := q.keys[itemKey{cfg.Workspace, cfg.Key}]; ok && cfg.Key != "" {
		return q.join(earlier, cfg)
	}
	res := Result{verdict: Admitted, wait: wait}
	if cfg.Recovery && len(q.items) >= recoveryFactor*q.total {
		return Result{verdict: Full, wait: wait}
	}
	if !cfg.Recovery {
		if !cfg.Deadline.IsZero() && now.Add(wait).After(cfg.Deadline) {
			return Result{verdict: TooLate, wait: wait}
		}
		if !q.hasCapacity(cfg, f) {
			return Result{verdict: Full, wait: wait}
		}
		if len(q.items) >= q.total {
			victim := q.victim(c, f)
			if victim == nil {
				return Result{verdict: Full, wait: wait}
			}
			res.replaced = victim.id
			q.discard(victim)
		}
	}
	q.insert(c, f, cost, cfg)
	return res
}

// hasCapacity reports whether the workspace may add another waiting request. Resent copies may fill only half
// of each limit, so that a burst of retries cannot displace first sends.
func (q *Queue) hasCapacity(cfg ItemConfig, f *flow) bool {
	limit, total := q.perWorkspace, q.total
	if !cfg.FirstSend {
		limit, total = max(1, limit/2), max(1, total/2)
	}
	if f.queued+f.parked >= limit {
		return false
	}
	return cfg.FirstSend || len(q.items) < total
}

// victim returns the waiting request to evict for an arrival when the queue is full. It is the newest request of
// the flow with the most requests for its weight, in the lowest possible class that is not above that of the
// arrival. Requests that were running before are never evicted.
func (q *Queue) victim(c *class, f *flow) *item {
	for _, low := range slices.Backward(q.classes) {
		if low.priority < c.priority {
			return nil
		}
		long := low.longestFlow()
		if long == nil {
			continue
		}
		if low.priority > c.priority {
			return long.tail
		}
		if float64(long.queued)*f.weight > float64(f.queued+1)*long.weight {
			return long.tail
		}
	}
	return nil
}

// join replaces a waiting request with a later copy, since the caller of the earlier copy has most likely
// disconnected. A call that may not be repeated keeps its first copy.
func (q *Queue) join(earlier *item, cfg ItemConfig) Result {
	if !earlier.repeatable || !cfg.Repeatable {
		return Result{verdict: Duplicate}
	}
	old := earlier.id
	delete(q.items, old)
	earlier.id = cfg.Request
	q.items[cfg.Request] = earlier
	earlier.deadline = cfg.Deadline
	q.schedule(earlier)
	if earlier.parked {
		// The later copy may have different constraints, so it returns to the active queue.
		earlier.parked = false
		earlier.flow.parked--
		earlier.class.add(earlier)
	}
	return Result{verdict: Joined, replaced: old}
}

func (q *Queue) insert(c *class, f *flow, cost float64, cfg ItemConfig) {
	it := &item{
		id: cfg.Request, workspace: cfg.Workspace, key: cfg.Key, cost: cost, deadline: cfg.Deadline,
		since: cfg.Since, recovery: cfg.Recovery, repeatable: cfg.Repeatable, class: c, flow: f,
		deadlineIndex: -1, recoveryIndex: -1,
	}
	q.items[it.id] = it
	if it.key != "" {
		q.keys[itemKey{it.workspace, it.key}] = it
	}
	q.schedule(it)
	c.add(it)
}

func (q *Queue) schedule(it *item) {
	if it.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, it.deadlineIndex)
	}
	if !it.deadline.IsZero() {
		heap.Push(&q.deadlines, it)
	}
}

// Next returns the request to serve next. With skipRecovery, recovery requests are ignored.
func (q *Queue) Next(skipRecovery bool) (id table.RequestID, recovery, ok bool) {
	for _, c := range q.classes {
		if !skipRecovery && len(c.recovery) > 0 {
			return c.recovery[0].id, true, true
		}
		if len(c.active) > 0 {
			return c.active[0].head.id, false, true
		}
	}
	return "", false, false
}

const (
	// maxScanFlows and maxScanPerFlow bound the flows that Scan inspects and the requests in each: at most 160
	// requests at well under 0.1 us each.
	maxScanFlows   = 10
	maxScanPerFlow = 16
	// maxBypass bounds how often the request at the head may be bypassed, and thus its delay to this number of
	// slots.
	maxBypass = 16
)

// Scan calls rate for some requests near the head of the queue that might be served before it. It returns the
// first request rated 2 or more, or otherwise the first one rated 1. Reordering within the flow of the head does
// not affect the shares. Requests of later flows are charged as usual, so their workspaces wait longer
// afterwards.
func (q *Queue) Scan(next table.RequestID, rate func(table.RequestID) int) (table.RequestID, bool) {
	head, ok := q.items[next]
	if !ok || head.recovery || head.bypassed >= maxBypass {
		return "", false
	}
	var best *item
	c := head.class
	for _, f := range c.active[:min(maxScanFlows, len(c.active))] {
		n := 0
		for it := f.head; it != nil && n < maxScanPerFlow; it = it.next {
			n++
			rating := rate(it.id)
			if rating >= 2 {
				return head.recordBypass(it), true
			}
			if rating == 1 && best == nil {
				best = it
			}
		}
	}
	if best == nil {
		return "", false
	}
	return head.recordBypass(best), true
}

// recordBypass counts that another request is served before this one, and returns the ID of the other request.
func (it *item) recordBypass(other *item) table.RequestID {
	if other != it {
		it.bypassed++
	}
	return other.id
}

// RecoveryAhead returns the number of waiting recovery requests of the class and of all higher classes.
func (q *Queue) RecoveryAhead(priority int) int {
	n := 0
	for _, c := range q.classes {
		if c.priority <= priority {
			n += len(c.recovery)
		}
	}
	return n
}

// Waiting returns the number of waiting requests of the class, excluding parked ones.
func (q *Queue) Waiting(priority int) int { return q.class(priority).queued }

// Dequeue removes a request that is being dispatched and charges its workspace for the cost.
func (q *Queue) Dequeue(now time.Time, id table.RequestID) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	it.class.recordServed(now, it.cost)
	if !it.recovery {
		it.class.serve(it.flow, it.cost)
	}
	q.discard(it)
}

// Remove removes a request that will not be served, and reports whether it was waiting.
func (q *Queue) Remove(id table.RequestID) bool {
	it, ok := q.items[id]
	if ok {
		q.discard(it)
	}
	return ok
}

// Park sets aside a request that no endpoint can currently accept. The request keeps its deadline and counts
// towards the limits, but no longer blocks the requests behind it.
func (q *Queue) Park(id table.RequestID) {
	it, ok := q.items[id]
	if !ok || it.parked {
		return
	}
	it.class.remove(it)
	it.parked = true
	it.flow.parked++
}

// Expire removes the requests whose deadline has passed and appends their IDs to ids.
func (q *Queue) Expire(now time.Time, ids []table.RequestID) []table.RequestID {
	for len(q.deadlines) > 0 && !q.deadlines[0].deadline.After(now) {
		it := q.deadlines[0]
		ids = append(ids, it.id)
		q.discard(it)
	}
	return ids
}

// Adjust corrects the charge of a workspace by the difference between actual and expected work.
func (q *Queue) Adjust(priority int, workspace table.WorkspaceID, difference float64) {
	c := q.class(priority)
	f, ok := c.flows[workspace]
	if !ok {
		return
	}
	d := difference / f.weight
	f.finishTag = max(0, f.finishTag+d)
	if f.activeIndex >= 0 {
		f.startTag = max(0, f.startTag+d)
		heap.Fix(&c.active, f.activeIndex)
	}
}

// Wait estimates the waiting time of a new request of the workspace.
func (q *Queue) Wait(now time.Time, priority int, workspace table.WorkspaceID, weight int) time.Duration {
	c := q.class(priority)
	return q.estimate(now, c, c.flow(workspace, weight))
}

// estimate divides the work that will be served before a new request of the flow by the service rate that
// higher classes leave. Fair queueing serves the flow at its share of the class. The wait never exceeds the
// time to serve the whole class.
func (q *Queue) estimate(now time.Time, c *class, f *flow) time.Duration {
	if q.serviceRate <= 0 {
		return 0
	}
	// minRateShare keeps the estimate finite while higher classes temporarily use the whole rate.
	const minRateShare = 0.05
	ahead, rate := c.recoveryCost, q.serviceRate
	for _, other := range q.classes {
		if other.priority < c.priority {
			ahead += other.cost
			rate -= other.servedRate(now)
		}
	}
	rate = max(rate, q.serviceRate*minRateShare)
	weights := c.activeWeight
	if f.activeIndex < 0 {
		weights += f.weight
	}
	ahead += min(c.cost-c.recoveryCost, f.cost*weights/f.weight)
	return time.Duration(ahead / rate * float64(time.Second))
}

func (q *Queue) discard(it *item) {
	delete(q.items, it.id)
	if it.key != "" {
		delete(q.keys, itemKey{it.workspace, it.key})
	}
	if it.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, it.deadlineIndex)
	}
	if it.parked {
		it.flow.parked--
		return
	}
	it.class.remove(it)
}

func (q *Queue) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return c.priority - p })
	if !ok {
		q.classes = slices.Insert(q.classes, i, newClass(priority))
	}
	return q.classes[i]
}
