package objectapi

import (
	"maps"
	"slices"
	"sync"
)

type row struct {
	version int64
	value   []byte
	deleted bool
}

type namedRow struct {
	name string
	row
}

// store holds all objects. Deleted ones stay as rows without a value, so that a watch reports them.
type store struct {
	mu        sync.Mutex
	version   int64
	kinds     map[string]map[string]row
	changed   chan struct{}
	snapshots []snapshot
}

type snapshot struct {
	version int64
	kinds   map[string]map[string]row
}

func newStore() *store {
	return &store{kinds: map[string]map[string]row{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.kinds[kind][name]
	return r, ok && !r.deleted
}

// change writes the row if the current version is the expected one, where 0 means that no object may
// exist. It returns the new version, or the current one of a conflict.
func (s *store) change(kind, name string, expected int64, next row) (version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := int64(0)
	if r, found := s.kinds[kind][name]; found && !r.deleted {
		current = r.version
	}
	if current != expected {
		return current, false
	}
	s.version++
	next.version = s.version
	s.put(kind, name, next)
	s.wake()
	return s.version, true
}

func (s *store) put(kind, name string, r row) {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]row{}
	}
	s.kinds[kind][name] = r
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the rows changed after a version, oldest change first, and a channel closed by the
// next change. After zero it leaves out deleted rows, as a list does. A version from the future, which a
// reader has after a restore, gets the full list and reset.
func (s *store) since(kind string, after int64) (rows []namedRow, version int64, reset bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reset = after > s.version
	if reset {
		after = 0
	}
	for name, r := range s.kinds[kind] {
		if r.version > after && (after > 0 || !r.deleted) {
			rows = append(rows, namedRow{name, r})
		}
	}
	slices.SortFunc(rows, func(a, b namedRow) int { return int(a.version - b.version) })
	return rows, s.version, reset, s.changed
}

func (s *store) snapshot() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append(s.snapshots, snapshot{version: s.version, kinds: cloneKinds(s.kinds)})
	return len(s.snapshots) - 1
}

// restore brings back an older state. With rewind the versions go back too, so that they are given
// out again; otherwise every object that differs gets a new version.
func (s *store) restore(id int, rewind bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id < 0 || id >= len(s.snapshots) {
		return false
	}
	old := s.snapshots[id]
	if rewind {
		s.kinds, s.version = cloneKinds(old.kinds), old.version
		s.wake()
		return true
	}
	for kind, rows := range cloneKinds(s.kinds) {
		for name, r := range rows {
			was, ok := old.kinds[kind][name]
			if ok && was.version == r.version {
				continue
			}
			if !ok {
				was = row{deleted: true}
			}
			s.version++
			was.version = s.version
			s.put(kind, name, was)
		}
	}
	s.wake()
	return true
}

func cloneKinds(kinds map[string]map[string]row) map[string]map[string]row {
	c := make(map[string]map[string]row, len(kinds))
	for kind, rows := range kinds {
		c[kind] = maps.Clone(rows)
	}
	return c
}
