package stream

import (
	"container/heap"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

type deadline struct {
	at     time.Time
	stream table.StreamID
}

// deadlines is a heap ordered by time. Entries of streams that have ended stay until their time is reached,
// which max_request_ms limits.
type deadlines struct{ all []deadline }

func (d *deadlines) add(at time.Time, id table.StreamID) { heap.Push(d, deadline{at, id}) }

func (d *deadlines) popDue(now time.Time) []table.StreamID {
	var due []table.StreamID
	for len(d.all) > 0 && !d.all[0].at.After(now) {
		if e, ok := heap.Pop(d).(deadline); ok {
			due = append(due, e.stream)
		}
	}
	return due
}

// Len implements heap.Interface.
func (d *deadlines) Len() int { return len(d.all) }

// Less implements heap.Interface.
func (d *deadlines) Less(i, j int) bool { return d.all[i].at.Before(d.all[j].at) }

// Swap implements heap.Interface.
func (d *deadlines) Swap(i, j int) { d.all[i], d.all[j] = d.all[j], d.all[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	if e, ok := x.(deadline); ok {
		d.all = append(d.all, e)
	}
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(d.all) - 1
	e := d.all[last]
	d.all = d.all[:last]
	return e
}

func sortedRows(set map[table.StreamID]*row) []*row {
	all := make([]*row, 0, len(set))
	for _, r := range set {
		all = append(all, r)
	}
	sortRows(all)
	return all
}

func sortRows(all []*row) {
	slices.SortFunc(all, func(a, b *row) int {
		if recoversBefore(a, b) {
			return -1
		}
		return 1
	})
}

func appendUnique(ids []table.EndpointID, id table.EndpointID) []table.EndpointID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

func withoutMethod(all []Option, m Method) []Option {
	return slices.DeleteFunc(all, func(o Option) bool { return o.method == m })
}
