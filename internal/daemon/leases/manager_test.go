package leases_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/lease"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/leases"
)

type store struct {
	mu      sync.Mutex
	version int64
	value   []byte
}

func (s *store) Get(context.Context, string, string) ([]byte, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == 0 {
		return nil, 0, storage.ErrNotFound
	}
	return s.value, s.version, nil
}

func (s *store) Put(_ context.Context, _, _ string, expected int64, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected != s.version {
		return 0, storage.ErrConflict
	}
	s.version++
	s.value = value
	return s.version, nil
}

func start(t *testing.T, st *store, name string) *leases.Manager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := leases.New(leases.Config{
		Store:  st,
		Log:    log,
		System: lease.Config{Self: table.HostID(name), Incarnation: 1, Renewal: 20 * time.Millisecond},
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return m
}

// await polls until the lease is held, since Held has no notification.
func await(t *testing.T, m *leases.Manager) int64 {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(5 * time.Second)
	for {
		if fence, ok := m.Held("placement"); ok {
			return fence
		}
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatal("lease not held after 5 s")
		}
	}
}

// Guards against a lease that stays with its previous holder after ReleaseAll, and against a next holder whose fencing
// number is not higher.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	st := &store{}
	a, b := start(t, st, "a"), start(t, st, "b")
	a.Hold("placement")
	first := await(t, a)
	b.Hold("placement")
	_, ok := b.Held("placement")
	is.True(!ok)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(a.ReleaseAll(ctx))
	_, ok = a.Held("placement")
	is.True(!ok)
	is.True(await(t, b) > first)
}
