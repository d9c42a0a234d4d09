package table

// Table stores rows by key and remembers which keys changed, so that a system can walk the changes only.
type Table[K comparable, V any] struct {
	rows    map[K]V
	changed map[K]struct{}
	order   []K
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{rows: map[K]V{}, changed: map[K]struct{}{}}
}

// Get returns the row under the key.
func (t *Table[K, V]) Get(key K) (V, bool) {
	v, ok := t.rows[key]
	return v, ok
}

// Put stores the row and marks the key as changed.
func (t *Table[K, V]) Put(key K, row V) {
	t.rows[key] = row
	t.mark(key)
}

// Delete removes the row and marks the key as changed.
func (t *Table[K, V]) Delete(key K) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	t.mark(key)
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Each calls f for every row, in no particular order, until f returns false.
func (t *Table[K, V]) Each(f func(K, V) bool) {
	for k, v := range t.rows {
		if !f(k, v) {
			return
		}
	}
}

// TakeChanged returns the keys changed since the last call, oldest change first.
func (t *Table[K, V]) TakeChanged() []K {
	keys := t.order
	t.order = nil
	clear(t.changed)
	return keys
}

func (t *Table[K, V]) mark(key K) {
	if _, ok := t.changed[key]; ok {
		return
	}
	t.changed[key] = struct{}{}
	t.order = append(t.order, key)
}
