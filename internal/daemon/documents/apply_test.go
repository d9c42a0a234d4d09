package documents_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/daemon/documents"
)

// fakeObjects is a fake object API with one object. Each write has the next of the outcomes.
type fakeObjects struct {
	documents.Objects
	mu       sync.Mutex
	object   documents.Object
	outcomes []string
	reads    int
	failRead int
	// beforeRead runs once before the second read and simulates a concurrent write.
	beforeRead func(*fakeObjects)
}

func (m *fakeObjects) Get(context.Context, string, string) (documents.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.failRead > 0 && m.reads > 1 {
		m.failRead--
		return documents.Object{}, documents.ErrUnavailable
	}
	if m.beforeRead != nil && m.reads > 1 {
		m.beforeRead(m)
		m.beforeRead = nil
	}
	if m.object.Version == 0 {
		return documents.Object{}, documents.ErrNotFound
	}
	return m.object, nil
}

func (m *fakeObjects) Put(_ context.Context, o documents.Object) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome := "ok"
	if len(m.outcomes) > 0 {
		outcome, m.outcomes = m.outcomes[0], m.outcomes[1:]
	}
	if outcome == "unavailable" {
		return 0, documents.ErrUnavailable
	}
	if outcome != "lost" {
		if o.Version != m.object.Version {
			return 0, documents.ErrConflict
		}
		o.Version++
		m.object = o
	}
	if outcome != "ok" {
		return 0, documents.ErrUnknown
	}
	return o.Version, nil
}

func (m *fakeObjects) generation(t *testing.T) uint64 {
	t.Helper()
	d, err := document.Parse(m.object.Value)
	is.New(t).NoErr(err)
	return d.Generation()
}

func doc(t *testing.T, owner string) document.Document {
	t.Helper()
	d, err := document.New(document.Config{
		Service: "lots", Kind: document.Plain, Owner: owner, Endpoints: []string{"127.0.0.1:7201"},
		Calls:  []document.Call{{Method: "POST", Path: "registrations"}},
		Limits: document.Limits{Queue: 1, MaxTokens: 1, TimeoutMs: 1000},
	})
	is.New(t).NoErr(err)
	return d
}

// Guards against losing a change or writing it twice when the response to its write is lost.
func TestLostAnswersAreSettled(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []string
		failRead int
		err      error
	}{
		{"answered", nil, 0, nil},
		{"took effect", []string{"effect"}, 0, nil},
		{"never arrived", []string{"lost"}, 0, nil},
		{"lost twice, then effect", []string{"lost", "lost", "effect"}, 0, nil},
		{"took effect, reads fail for a while", []string{"effect"}, 5, nil},
		{"reads fail until the deadline", []string{"effect"}, 1 << 30, documents.ErrUnknown},
		{"not done", []string{"unavailable"}, 0, documents.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := &fakeObjects{outcomes: c.outcomes, failRead: c.failRead}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				d, err := documents.Apply(ctx, m, doc(t, "a"), 0)
				if c.err != nil {
					is.True(errors.Is(err, c.err))
					return
				}
				is.NoErr(err)
				is.Equal(d.Generation(), uint64(1))
				is.Equal(m.generation(t), uint64(1))
				is.Equal(m.object.Version, int64(1)) // written once
			})
		})
	}
}

// Guards against reporting a conflict for a change that had taken effect before another change replaced it.
func TestReplacedLostWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	m := &fakeObjects{outcomes: []string{"effect"}}
	m.beforeRead = func(m *fakeObjects) {
		v, err := doc(t, "b").WithGeneration(2).Canonical()
		is.NoErr(err)
		m.object.Version, m.object.Value = m.object.Version+1, v
	}
	_, err := documents.Apply(t.Context(), m, doc(t, "a"), 0)
	is.True(errors.Is(err, documents.ErrUnknown))
}

// Guards against reporting success to more than one of several operators who change the same generation.
func TestTwoOperatorsRace(t *testing.T) {
	for range 50 {
		is := is.New(t)
		m := &fakeObjects{}
		_, err := documents.Apply(t.Context(), m, doc(t, "first"), 0)
		is.NoErr(err)
		owners := []string{"a", "b", "c"}
		errs := make([]error, len(owners))
		var wg sync.WaitGroup
		for i, owner := range owners {
			wg.Go(func() { _, errs[i] = documents.Apply(t.Context(), m, doc(t, owner), 1) })
		}
		wg.Wait()
		stored, err := document.Parse(m.object.Value)
		is.NoErr(err)
		is.Equal(stored.Generation(), uint64(2))
		won := 0
		for i, err := range errs {
			if err == nil {
				won++
				is.Equal(stored.Owner(), owners[i])
				continue
			}
			var c *documents.Conflict
			is.True(errors.As(err, &c))
			is.Equal(c.Stored().Owner(), stored.Owner())
			is.Equal(c.Refused().Owner(), owners[i])
		}
		is.Equal(won, 1)
	}
}

// Guards against writing an invalid document to the object API.
func TestBadDocumentIsNotWritten(t *testing.T) {
	m := &fakeObjects{}
	_, err := documents.Apply(t.Context(), m, document.Document{}, 0)
	is.New(t).True(err != nil)
	is.New(t).Equal(m.reads, 0)
}
