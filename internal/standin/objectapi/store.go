package objectapi

import (
	"maps"
	"slices"
	"sync"
)

type object struct {
	version int64
	value   []byte
	deleted bool
}

type namedObject struct {
	name string
	object
}

// store holds all objects. Deleted objects are kept without a value, so that watches report them.
type store struct {
	mu        sync.Mutex
	version   int64
	kinds     map[string]map[string]object
	changed   chan struct{}
	snapshots []snapshot
}

type snapshot struct {
	version int64
	kinds   map[string]map[string]object
}

func newStore() *store {
	return &store{kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.kinds[kind][name]
	return r, ok && !r.deleted
}

// compareAndSwap writes the object if the current version is the expected one; 0 means that no object may
// exist. It returns the new version, or the current one if there is a conflict.
func (s *store) compareAndSwap(kind, name string, expected int64, next object) (version int64, ok bool) {
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
	s.notifyWatchers()
	return s.version, true
}

func (s *store) put(kind, name string, r object) {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = r
}

func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesAfter returns the objects changed after a version, oldest change first, and a channel that is
// closed by the next change. After version 0 it omits deleted objects, as a list does. After a restore a
// reader may have a version that is higher than the store's. It then gets the full list, and reset is true.
func (s *store) changesAfter(kind string, after int64) (objects []namedObject, version int64, reset bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reset = after > s.version
	if reset {
		after = 0
	}
	for name, r := range s.kinds[kind] {
		if r.version > after && (after > 0 || !r.deleted) {
			objects = append(objects, namedObject{name, r})
		}
	}
	slices.SortFunc(objects, func(a, b namedObject) int { return int(a.version - b.version) })
	return objects, s.version, reset, s.changed
}

func (s *store) snapshot() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append(s.snapshots, snapshot{version: s.version, kinds: cloneKinds(s.kinds)})
	return len(s.snapshots) - 1
}

// restore restores a snapshot. With rewind, the version counter is restored as well, so that versions are
// assigned again. Without it, every object that differs gets a new version.
func (s *store) restore(id int, rewind bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id < 0 || id >= len(s.snapshots) {
		return false
	}
	old := s.snapshots[id]
	if rewind {
		s.kinds, s.version = cloneKinds(old.kinds), old.version
		s.notifyWatchers()
		return true
	}
	for kind, objects := range cloneKinds(s.kinds) {
		for name, r := range objects {
			restored, ok := old.kinds[kind][name]
			if ok && restored.version == r.version {
				continue
			}
			if !ok {
				restored = object{deleted: true}
			}
			s.version++
			restored.version = s.version
			s.put(kind, name, restored)
		}
	}
	s.notifyWatchers()
	return true
}

func cloneKinds(kinds map[string]map[string]object) map[string]map[string]object {
	c := make(map[string]map[string]object, len(kinds))
	for kind, objects := range kinds {
		c[kind] = maps.Clone(objects)
	}
	return c
}
