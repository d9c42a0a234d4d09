package admission

import (
	"container/heap"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

// Verdict tells what became of a request that asked for a place.
type Verdict string

// The verdicts of Offer.
const (
	// Admitted means that the request waits.
	Admitted Verdict = "admitted"
	// Joined means that the request took the place of an earlier copy with the same key.
	Joined Verdict = "joined"
	// Duplicate means that an earlier copy waits and the call may not be repeated.
	Duplicate Verdict = "duplicate"
	// Full means that the queue, or the workspace's part of it, is full.
	Full Verdict = "full"
	// TooLate means that the estimated wait passes the deadline.
	TooLate Verdict = "too_late"
)

// Config describes a Queue.
type Config struct {
	// Total bounds the number of waiting requests; zero means 512, the default of the documents.
	Total int
	// PerWorkspace bounds one workspace's waiting requests; zero means a quarter of Total, so that
	// no three workspaces can fill the queue.
	PerWorkspace int
}

// recoveryFactor bounds recovery requests, which may exceed Total: refusing them loses answers that were
// begun, but a wave of resumed streams must not take all memory either.
const recoveryFactor = 2

// Result is the answer to Offer.
type Result struct {
	verdict  Verdict
	wait     time.Duration
	replaced table.RequestID
}

// Verdict returns what became of the request.
func (r Result) Verdict() Verdict { return r.verdict }

// Wait returns the estimated wait.
func (r Result) Wait() time.Duration { return r.wait }

// Replaced returns the waiting request that lost its place, or an empty identifier.
func (r Result) Replaced() table.RequestID { return r.replaced }

// Queue holds the waiting requests of one service.
type Queue struct {
	total        int
	perWorkspace int
	classes      []*class
	items        map[table.RequestID]*item
	keys         map[itemKey]*item
	deadlines    deadlineHeap
	// Served work in cost units a second; zero means unknown.
	rate float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{items: map[table.RequestID]*item{}, keys: map[itemKey]*item{}}
	q.SetLimits(cfg.Total, cfg.PerWorkspace)
	return q
}

// SetLimits changes the bounds; zero means the defaults of Config. Waiting requests stay.
func (q *Queue) SetLimits(total, perWorkspace int) {
	if total <= 0 {
		total = 512
	}
	if perWorkspace <= 0 {
		perWorkspace = max(1, total/4)
	}
	q.total, q.perWorkspace = total, perWorkspace
}

// Len returns the number of waiting requests, parked ones included.
func (q *Queue) Len() int { return len(q.items) }

// SetRate sets the work served a second, from which waits are estimated.
func (q *Queue) SetRate(costPerSecond float64) { q.rate = costPerSecond }

// Offer asks for a place in the queue.
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
		if !q.room(cfg, f) {
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

// room reports whether the workspace may hold one more waiting request. Resent copies may fill only
// half of each bound, so that a wave of retries cannot displace first sends.
func (q *Queue) room(cfg ItemConfig, f *flow) bool {
	limit, total := q.perWorkspace, q.total
	if !cfg.FirstSend {
		limit, total = max(1, limit/2), max(1, total/2)
	}
	if f.queued+f.parked >= limit {
		return false
	}
	return cfg.FirstSend || len(q.items) < total
}

// victim returns the waiting request that gives way to an arrival when the queue is full: the newest
// one of the flow that is longest for its weight, in the lowest class not above the arrival's.
// Requests that were running before never give way.
func (q *Queue) victim(c *class, f *flow) *item {
	for _, low := range slices.Backward(q.classes) {
		if low.priority < c.priority {
			return nil
		}
		long := low.longest()
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

// join gives a later copy of a waiting request the place of the earlier copy, since the caller of the
// earlier copy has most likely gone. A call that may not be repeated keeps its first copy.
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
		// The later copy may have other constraints, so it is tried anew.
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
		deadlineAt: -1, recoveryAt: -1,
	}
	q.items[it.id] = it
	if it.key != "" {
		q.keys[itemKey{it.workspace, it.key}] = it
	}
	q.schedule(it)
	c.add(it)
}

func (q *Queue) schedule(it *item) {
	if it.deadlineAt >= 0 {
		heap.Remove(&q.deadlines, it.deadlineAt)
	}
	if !it.deadline.IsZero() {
		heap.Push(&q.deadlines, it)
	}
}

// Next returns the request to be served next. With skipRecovery, recovery requests are passed over.
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
	// scanFlows and scanFlow bound the flows looked at and the requests of each: at most 160 requests at
	// well under 0.1 us each.
	scanFlows = 10
	scanFlow  = 16
	// maxBypass bounds how often the request that is next may be passed over, so that it starts late by
	// no more than this many slots.
	maxBypass = 16
)

// Scan calls rate for a few requests that might be served instead of the one that is next. It returns the
// first rated 2 or more, or else the first rated 1. Within the flow of the next request this moves no
// share at all; requests of the flows after it are charged like any other, so their workspaces wait longer
// afterwards.
func (q *Queue) Scan(next table.RequestID, rate func(table.RequestID) int) (table.RequestID, bool) {
	head, ok := q.items[next]
	if !ok || head.recovery || head.bypassed >= maxBypass {
		return "", false
	}
	var best *item
	c := head.class
	for _, f := range c.active[:min(scanFlows, len(c.active))] {
		n := 0
		for it := f.head; it != nil && n < scanFlow; it = it.next {
			n++
			rating := rate(it.id)
			if rating >= 2 {
				return head.giveWay(it), true
			}
			if rating == 1 && best == nil {
				best = it
			}
		}
	}
	if best == nil {
		return "", false
	}
	return head.giveWay(best), true
}

// giveWay counts that another request goes first, and returns it.
func (it *item) giveWay(other *item) table.RequestID {
	if other != it {
		it.bypassed++
	}
	return other.id
}

// RecoveryAhead returns the number of waiting recovery requests of the class and the classes above it.
func (q *Queue) RecoveryAhead(priority int) int {
	n := 0
	for _, c := range q.classes {
		if c.priority <= priority {
			n += len(c.recovery)
		}
	}
	return n
}

// Waiting returns the number of requests of the class that wait, without parked ones.
func (q *Queue) Waiting(priority int) int { return q.class(priority).queued }

// Take removes a request that goes to an endpoint and charges its workspace for it.
func (q *Queue) Take(now time.Time, id table.RequestID) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	it.class.noteServed(now, it.cost)
	if !it.recovery {
		it.class.serve(it.flow, it.cost)
	}
	q.discard(it)
}

// Remove removes a request that will not be served, and reports whether it waited.
func (q *Queue) Remove(id table.RequestID) bool {
	it, ok := q.items[id]
	if ok {
		q.discard(it)
	}
	return ok
}

// Park sets a request aside that no endpoint may take now. It keeps its deadline and its place in
// the bounds, but no longer stands before others.
func (q *Queue) Park(id table.RequestID) {
	it, ok := q.items[id]
	if !ok || it.parked {
		return
	}
	it.class.remove(it)
	it.parked = true
	it.flow.parked++
}

// Expire removes the requests whose deadline has passed and appends them to ids.
func (q *Queue) Expire(now time.Time, ids []table.RequestID) []table.RequestID {
	for len(q.deadlines) > 0 && !q.deadlines[0].deadline.After(now) {
		it := q.deadlines[0]
		ids = append(ids, it.id)
		q.discard(it)
	}
	return ids
}

// Adjust corrects the charge of a workspace by the difference between real and expected work.
func (q *Queue) Adjust(priority int, workspace table.WorkspaceID, difference float64) {
	c := q.class(priority)
	f, ok := c.flows[workspace]
	if !ok {
		return
	}
	d := difference / f.weight
	f.finish = max(0, f.finish+d)
	if f.activeAt >= 0 {
		f.start = max(0, f.start+d)
		heap.Fix(&c.active, f.activeAt)
	}
}

// Wait estimates how long a new request of the workspace would wait.
func (q *Queue) Wait(now time.Time, priority int, workspace table.WorkspaceID, weight int) time.Duration {
	c := q.class(priority)
	return q.estimate(now, c, c.flow(workspace, weight))
}

// estimate divides the work that will be served before a new request of the flow by the rate that the
// higher classes leave. Fair queueing serves the flow at its share of the class, but never later than
// the whole class.
func (q *Queue) estimate(now time.Time, c *class, f *flow) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	// leastRest keeps the estimate finite while higher classes use everything for a moment.
	const leastRest = 0.05
	ahead, rate := c.recoveryCost, q.rate
	for _, other := range q.classes {
		if other.priority < c.priority {
			ahead += other.cost
			rate -= other.servedRate(now)
		}
	}
	rate = max(rate, q.rate*leastRest)
	weights := c.activeWeight
	if f.activeAt < 0 {
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
	if it.deadlineAt >= 0 {
		heap.Remove(&q.deadlines, it.deadlineAt)
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
