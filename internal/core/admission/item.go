package admission

import (
	"time"

	"waxwingplank/internal/core/table"
)

// ItemConfig describes a request that asks for a place in the queue.
type ItemConfig struct {
	Request   table.RequestID
	Workspace table.WorkspaceID
	// Priority 0 is the highest class.
	Priority int
	// Weight is the workspace's share within its class; values below 1 count as 1.
	Weight int
	// Cost is the expected work in tokens, or 1 for a plain call; values below 1 count as 1.
	Cost float64
	// Deadline is the time by which the request must have left the queue; zero means none.
	Deadline time.Time
	// Key is the caller's idempotency key; empty means that duplicates cannot be recognised.
	Key string
	// Recovery marks a request that was running before and goes before new work of its class.
	Recovery bool
	// Since orders recovery requests, oldest promise first.
	Since      time.Time
	FirstSend  bool
	Repeatable bool
}

type itemKey struct {
	workspace table.WorkspaceID
	key       string
}

type item struct {
	id         table.RequestID
	workspace  table.WorkspaceID
	key        string
	cost       float64
	deadline   time.Time
	since      time.Time
	recovery   bool
	parked     bool
	repeatable bool
	bypassed   int
	class      *class
	flow       *flow
	prev, next *item
	// Positions in the heaps; -1 means absent.
	deadlineAt int
	recoveryAt int
}

// deadlineHeap orders items by deadline.
type deadlineHeap []*item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if !h[i].deadline.Equal(h[j].deadline) {
		return h[i].deadline.Before(h[j].deadline)
	}
	return h[i].id < h[j].id
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineAt = i
	h[j].deadlineAt = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.deadlineAt = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.deadlineAt = -1
	return it
}

// recoveryHeap orders recovery items by the age of the promise to the caller.
type recoveryHeap []*item

func (h recoveryHeap) Len() int { return len(h) }

func (h recoveryHeap) Less(i, j int) bool {
	if !h[i].since.Equal(h[j].since) {
		return h[i].since.Before(h[j].since)
	}
	return h[i].id < h[j].id
}

func (h recoveryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].recoveryAt = i
	h[j].recoveryAt = j
}

// Push implements heap.Interface.
func (h *recoveryHeap) Push(x any) {
	it := x.(*item)
	it.recoveryAt = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *recoveryHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.recoveryAt = -1
	return it
}
