package table

// Table stores rows by key and tracks the changed keys, so that a reader can process only the
// changes.
type Table[K comparable, V any] struct {
	rows         map[K]V
	changed      map[K]struct{}
	changedOrder []K
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{rows: map[K]V{}, changed: map[K]struct{}{}}
}

// Get returns the row of the key and whether it exists.
func (t *Table[K, V]) Get(key K) (V, bool) {
	v, ok := t.rows[key]
	return v, ok
}

// Put stores the row under the key and marks the key as changed.
func (t *Table[K, V]) Put(key K, row V) {
	t.rows[key] = row
	t.mark(key)
}

// Delete removes the row of the key, if it exists, and marks the key as changed.
func (t *Table[K, V]) Delete(key K) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	t.mark(key)
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Each calls f for every row, in unspecified order, until f returns false.
func (t *Table[K, V]) Each(f func(K, V) bool) {
	for k, v := range t.rows {
		if !f(k, v) {
			return
		}
	}
}

// TakeChanged returns the keys that changed since the last call, in the order of their first change,
// and clears the list.
func (t *Table[K, V]) TakeChanged() []K {
	keys := t.changedOrder
	t.changedOrder = nil
	clear(t.changed)
	return keys
}

func (t *Table[K, V]) mark(key K) {
	if _, ok := t.changed[key]; ok {
		return
	}
	t.changed[key] = struct{}{}
	t.changedOrder = append(t.changedOrder, key)
}
