package members_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"waxwingplank/internal/daemon/documents"
)

// store is an in-memory object API with injectable faults.
type store struct {
	mu      sync.Mutex
	version int64
	objects map[string]documents.Object
	down    bool
	// lose makes the responses to the next writes get lost. A write takes effect if its entry is true.
	lose []bool
	puts int
}

func newStore() *store { return &store{objects: map[string]documents.Object{}} }

func key(kind, name string) string { return kind + "/" + name }

func (s *store) Get(_ context.Context, kind, name string) (documents.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return documents.Object{}, documents.ErrUnavailable
	}
	o, ok := s.objects[key(kind, name)]
	if !ok {
		return o, documents.ErrNotFound
	}
	return o, nil
}

func (s *store) List(_ context.Context, kind string) (documents.Snapshot, error) {
	return s.since(kind, 0)
}

func (s *store) since(kind string, after int64) (documents.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return documents.Snapshot{}, documents.ErrUnavailable
	}
	out := documents.Snapshot{Version: s.version}
	for _, o := range s.objects {
		if o.Kind == kind && o.Version > after {
			out.Objects = append(out.Objects, o)
		}
	}
	return out, nil
}

func (s *store) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (documents.Snapshot, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		out, err := s.since(kind, after)
		if err != nil || len(out.Objects) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return out, err
		}
	}
}

func (s *store) Put(_ context.Context, o documents.Object) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.down {
		return 0, documents.ErrUnavailable
	}
	if len(s.lose) > 0 {
		effect := s.lose[0]
		s.lose = s.lose[1:]
		if effect {
			_, _ = s.put(o)
		}
		return 0, documents.ErrUnknown
	}
	return s.put(o)
}

func (s *store) put(o documents.Object) (int64, error) {
	k := key(o.Kind, o.Name)
	if s.objects[k].Version != o.Version {
		return 0, fmt.Errorf("put %s: %w", k, documents.ErrConflict)
	}
	s.version++
	o.Version = s.version
	s.objects[k] = o
	return s.version, nil
}

// backup saves the current state and returns a function that restores it.
func (s *store) backup() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := map[string]documents.Object{}
	for k, o := range s.objects {
		old[k] = o
	}
	version := s.version
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.objects, s.version = old, version
	}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}
