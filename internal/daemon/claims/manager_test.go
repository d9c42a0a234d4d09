package claims_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/daemon/claims"
)

type object struct {
	value   []byte
	version int64
}

type store struct {
	mu      sync.Mutex
	objects map[string]object
	version int64
	down    bool
	// hang makes writes take effect but return only when the context of the call ends.
	hang bool
}

func (s *store) Get(_ context.Context, kind, name string) ([]byte, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	switch {
	case s.down:
		return nil, 0, storage.ErrUnavailable
	case !ok:
		return nil, 0, storage.ErrNotFound
	}
	return o.value, o.version, nil
}

func (s *store) Put(ctx context.Context, kind, name string, expected int64, value []byte) (int64, error) {
	version, hang, err := s.put(kind, name, expected, value)
	if hang {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return version, err
}

func (s *store) put(kind, name string, expected int64, value []byte) (int64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, false, storage.ErrUnavailable
	}
	if s.objects[kind+"/"+name].version != expected {
		return 0, s.hang, storage.ErrConflict
	}
	s.version++
	s.objects[kind+"/"+name] = object{value: value, version: s.version}
	return s.version, s.hang, nil
}

func (s *store) Delete(_ context.Context, kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, kind+"/"+name)
	return nil
}

func (s *store) List(context.Context, string) ([]string, error) { return nil, nil }

func (s *store) set(down, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.hang = down, hang
}

func start(t *testing.T, st *store, seed uint64) (m *claims.Manager, stop func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m = claims.New(claims.Config{
		Store:       st,
		Log:         log,
		CallTimeout: 50 * time.Millisecond,
		System:      claim.Config{Shards: 4, FlushInterval: time.Millisecond, InlineBytes: 1000, Seed: [2]uint64{seed, 1}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(ended)
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return m, stop
}

func key(t *testing.T, unique string) claim.Key {
	t.Helper()
	text := strconv.FormatInt(time.Now().Unix(), 10) + "-" + unique
	k, err := claim.NewKey(claim.KeyConfig{Workspace: "w", Service: "s", Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Guards against granting two claims for one key when copies reach two hosts at once.
func TestCopiesOnTwoHosts(t *testing.T) {
	st := &store{objects: map[string]object{}}
	a, _ := start(t, st, 1)
	b, _ := start(t, st, 2)
	var mu sync.Mutex
	granted := map[int]int{}
	var wg sync.WaitGroup
	for i := range 300 {
		k := key(t, fmt.Sprint(i))
		for _, host := range []*claims.Manager{a, b, a} {
			wg.Go(func() {
				r, err := host.Claim(context.Background(), k)
				if err != nil {
					t.Error(err)
				}
				if r.Status() == claim.Granted {
					mu.Lock()
					granted[i]++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	for i := range 300 {
		if granted[i] != 1 {
			t.Errorf("key %d: %d permissions", i, granted[i])
		}
	}
}

// Guards against a caller that waits for the whole duration of an outage, and against the outcome "not run" for a
// claim that may have been stored. Also checks that a recorded refusal and a recorded response reach the next host.
func TestOutageAndLostAnswer(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	st := &store{objects: map[string]object{}}
	a, stopA := start(t, st, 1)

	st.set(true, false)
	refused, err := a.Claim(ctx, key(t, "down"))
	is.NoErr(err)
	is.Equal(refused.Status(), claim.Unavailable)
	is.True(refused.RetryAfter() > 0)
	is.Equal(outcome.Classify(refused.Facts(true)), outcome.NotRun)
	is.Equal(outcome.Classify(refused.Facts(false)), outcome.MayHaveRun)

	st.set(false, true)
	b, _ := start(t, st, 2)
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	lost := key(t, "lost")
	r, err := b.Claim(short, lost)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(outcome.Classify(r.Facts(true)), outcome.MayHaveRun)

	st.set(false, false)
	c, stopC := start(t, st, 3)
	r, err = c.Claim(ctx, lost)
	is.NoErr(err)
	is.Equal(r.Status(), claim.Claimed)

	done, never := key(t, "done"), key(t, "never")
	r, err = c.Claim(ctx, done)
	is.NoErr(err)
	is.Equal(r.Status(), claim.Granted)
	c.RecordResponse(done, claim.NewAnswer(claim.AnswerConfig{Status: 201, Body: []byte("lot 7")}))
	recorded, err := c.Refuse(ctx, never, outcome.QueueFull)
	is.NoErr(err)
	is.True(recorded)
	stopC() // writes the response

	d, _ := start(t, st, 4)
	r, err = d.Claim(ctx, done)
	is.NoErr(err)
	is.Equal(string(r.Answer().Body()), "lot 7")
	r, err = d.Claim(ctx, never)
	is.NoErr(err)
	is.Equal(r.Status(), claim.Refused)
	recorded, err = d.Refuse(ctx, done, outcome.QueueFull)
	is.NoErr(err)
	is.True(!recorded)
	stopA()
	_, err = a.Claim(ctx, key(t, "stopped"))
	is.True(err != nil)
}
