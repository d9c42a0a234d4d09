package admission

import (
	"time"

	"waxwingplank/internal/core/table"
)

// ItemConfig holds the fields of a request for Offer.
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
	// Key is the caller's idempotency key; without one, duplicates are not recognised.
	Key string
	// Recovery is true for a request that was running before. It is served before new requests of its class.
	Recovery bool
	// Since is the time from which the request has waited; recovery requests with the earliest time go first.
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
	// Indexes in the heaps; -1 means absent.
	deadlineIndex int
	recoveryIndex int
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
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.deadlineIndex = -1
	return it
}

// recoveryHeap orders recovery items by the time from which they have waited, oldest first.
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
	h[i].recoveryIndex = i
	h[j].recoveryIndex = j
}

// Push implements heap.Interface.
func (h *recoveryHeap) Push(x any) {
	it := x.(*item)
	it.recoveryIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *recoveryHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.recoveryIndex = -1
	return it
}
