package benchclaims

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"waxwingplank/internal/core/storage"
)

type object struct {
	value   []byte
	version int64
}

// store is an object store with a limit on writes and a fixed time per call.
type store struct {
	mu       sync.Mutex
	objects  map[string]object
	version  int64
	limit    *rate.Limiter
	perCall  time.Duration
	writes   int
	written  int
	conflict int
}

func newStore(writesPerS int, perCall time.Duration) *store {
	return &store{
		objects: map[string]object{},
		limit:   rate.NewLimiter(rate.Limit(writesPerS), 1),
		perCall: perCall,
	}
}

// Get implements claims.Store.
func (s *store) Get(_ context.Context, kind, name string) ([]byte, int64, error) {
	time.Sleep(s.perCall)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return nil, 0, storage.ErrNotFound
	}
	return o.value, o.version, nil
}

// Put implements claims.Store.
func (s *store) Put(ctx context.Context, kind, name string, expected int64, value []byte) (int64, error) {
	if err := s.limit.Wait(ctx); err != nil {
		return 0, storage.ErrUnavailable
	}
	time.Sleep(s.perCall)
	return s.put(kind+"/"+name, expected, value)
}

func (s *store) put(name string, expected int64, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.objects[name].version != expected {
		s.conflict++
		return 0, storage.ErrConflict
	}
	s.version++
	s.written += len(value)
	s.objects[name] = object{value: value, version: s.version}
	return s.version, nil
}

// Delete implements claims.Store.
func (s *store) Delete(_ context.Context, kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, kind+"/"+name)
	return nil
}

// List implements claims.Store.
func (s *store) List(context.Context, string) ([]string, error) { return nil, nil }
