package objectapi_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/platform/hostlist"
	client "waxwingplank/internal/platform/objectapi"
	"waxwingplank/internal/platform/weightstore"
	"waxwingplank/internal/standin/objectapi"
)

func start(t *testing.T, cfg objectapi.Config) (*objectapi.Server, *client.Client) {
	t.Helper()
	s := objectapi.New(cfg)
	is.New(t).NoErr(s.Start("127.0.0.1:0"))
	c := client.New(client.Config{Address: s.Address(), Timeout: 300 * time.Millisecond})
	t.Cleanup(func() {
		c.Close()
		_ = s.Close()
	})
	return s, c
}

func put(c *client.Client, name string, expected int64) (int64, error) {
	return c.Put(context.Background(), client.Write{Kind: "leases", Name: name, Value: []byte(name), Expected: expected})
}

// Guards against two holders of one lease: of two writes that expect one version, only the first may succeed.
func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := start(t, objectapi.Config{})
	first, err := put(c, "a/b", 0)
	is.NoErr(err)
	other, err := put(c, "b", 0)
	is.NoErr(err)
	is.True(other > first) // the store has one version counter for all objects
	_, err = put(c, "a/b", 0)
	is.True(errors.Is(err, client.ErrConflict))
	current, known := client.CurrentVersion(err)
	is.True(known)
	is.Equal(current, first)
	second, err := put(c, "a/b", first)
	is.NoErr(err)
	_, err = put(c, "a/b", first)
	is.True(errors.Is(err, client.ErrConflict))
	o, err := c.Get(ctx, "leases", "a/b")
	is.NoErr(err)
	is.Equal(o.Version(), second)
	is.Equal(string(o.Value()), "a/b")
	is.True(errors.Is(c.Delete(ctx, "leases", "a/b", first), client.ErrConflict))
	is.NoErr(c.Delete(ctx, "leases", "a/b", second))
	_, err = c.Get(ctx, "leases", "a/b")
	is.True(errors.Is(err, client.ErrNotFound))
	list, err := c.List(ctx, "leases")
	is.NoErr(err)
	is.Equal(len(list.Objects()), 1)
	is.Equal(s.Calls()["put leases"], 5)
}

// Guards against a watch that misses a change between two polls.
func TestWatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c := start(t, objectapi.Config{})
	first, err := put(c, "a", 0)
	is.NoErr(err)
	seen := make(chan client.Snapshot, 1)
	go func() {
		s, _ := c.Watch(ctx, "leases", first, 5*time.Second)
		seen <- s
	}()
	is.NoErr(c.Delete(ctx, "leases", "a", first))
	s := <-seen
	is.Equal(len(s.Objects()), 1)
	is.True(s.Objects()[0].Deleted())
	unchanged, err := c.Watch(ctx, "leases", s.Version(), 20*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(unchanged.Objects()), 0)
	is.Equal(unchanged.Version(), s.Version())
}

// Guards against injected faults that do not reach the client. Each case states the error and the effect.
func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults objectapi.Faults
		want   error
		effect bool
		late   bool
	}{
		{"none", objectapi.Faults{}, nil, true, false},
		{"fails", objectapi.Faults{FailWrites: 1}, client.ErrUnavailable, false, false},
		{"fails with 500", objectapi.Faults{FailWrites: 1, FailStatus: 500}, client.ErrEffectUnknown, false, false},
		{"answer lost", objectapi.Faults{LoseAnswers: 1}, client.ErrEffectUnknown, true, false},
		{"answer late", objectapi.Faults{LateAnswers: 1, LateMS: 600}, client.ErrEffectUnknown, true, false},
		{"effect late", objectapi.Faults{LateEffects: 1, LateMS: 600}, client.ErrEffectUnknown, false, true},
		{"other kind", objectapi.Faults{FailWrites: 1, Kind: "services"}, nil, true, false},
		{"outage", objectapi.Faults{Outage: objectapi.Unavailable}, client.ErrUnavailable, false, false},
		{"closed", objectapi.Faults{Outage: objectapi.Closed}, client.ErrEffectUnknown, false, false},
		{"silent", objectapi.Faults{Outage: objectapi.Unresponsive}, client.ErrEffectUnknown, false, false},
		{"delayed", objectapi.Faults{DelayMS: 20}, nil, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, c := start(t, objectapi.Config{})
			s.SetFaults(tc.faults)
			_, err := put(c, "a", 0)
			is.True(errors.Is(err, tc.want))
			s.SetFaults(objectapi.Faults{})
			_, err = c.Get(context.Background(), "leases", "a")
			is.Equal(err == nil, tc.effect)
			if tc.late {
				seen, err := c.Watch(context.Background(), "leases", 0, 5*time.Second)
				is.NoErr(err)
				is.Equal(len(seen.Objects()), 1) // the write in flight took effect after the client's timeout
			}
		})
	}
}

// Guards against a platform without rate limits, which would hide a client that sends too many calls.
func TestRateLimits(t *testing.T) {
	is := is.New(t)
	s, c := start(t, objectapi.Config{WritesPerSecond: 10, ReadsPerSecond: 10})
	limited := 0
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		if _, err := put(c, name, 0); errors.Is(err, client.ErrUnavailable) {
			is.Equal(client.RetryAfter(err), time.Second)
			limited++
		}
	}
	is.True(limited >= 3) // the burst is 2
	is.Equal(s.Calls()["limited leases"], limited)
	is.Equal(s.Calls()["put leases"], 6)
}

// Guards against a restore that watches do not report.
func TestRestore(t *testing.T) {
	for _, rewind := range []bool{false, true} {
		is := is.New(t)
		ctx := context.Background()
		s, c := start(t, objectapi.Config{})
		old, err := put(c, "a", 0)
		is.NoErr(err)
		id := s.Snapshot()
		_, err = put(c, "a", old)
		is.NoErr(err)
		latest, err := put(c, "b", 0)
		is.NoErr(err)
		is.True(s.Restore(id, rewind))
		seen, err := c.Watch(ctx, "leases", latest, time.Second)
		is.NoErr(err)
		is.Equal(seen.Reset(), rewind)
		a, err := c.Get(ctx, "leases", "a")
		is.NoErr(err)
		is.Equal(a.Version() == old, rewind)
		is.Equal(a.Version() > latest, !rewind)
		_, err = c.Get(ctx, "leases", "b")
		is.True(errors.Is(err, client.ErrNotFound))
	}
}

// Guards against a host list that never changes or that changes before its lag has passed.
func TestHostsAndLimits(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, _ := start(t, objectapi.Config{
		Hosts: []objectapi.Host{{Host: "h1", PeerAddress: "a:2", State: "live"}}, WeightLoadsAtOnce: 2,
	})
	c := hostlist.New(hostlist.Config{Address: s.Address()})
	leaving := []objectapi.Host{{Host: "h1", PeerAddress: "a:2", State: "leaving"}}
	s.SetHosts(leaving, time.Hour)
	hosts, err := c.List(ctx)
	is.NoErr(err)
	is.Equal(hosts[0].State(), hostlist.Live)
	s.SetHosts(leaving, 0)
	hosts, err = c.List(ctx)
	is.NoErr(err)
	is.Equal(hosts[0].State(), hostlist.Leaving)
	l, err := weightstore.New(weightstore.Config{Address: s.Address()}).Limits(ctx)
	is.NoErr(err)
	is.Equal(l.LoadsAtOnce(), 2)
	is.True(l.BytesPerSecond() > 0)
}

// Guards against control requests over HTTP that do not work; test programs in other processes use them.
func TestControlOverHTTP(t *testing.T) {
	is := is.New(t)
	s, c := start(t, objectapi.Config{})
	post := func(path, body string) int {
		res, err := http.Post("http://"+s.Address()+path, "application/json", bytes.NewBufferString(body))
		is.NoErr(err)
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode
	}
	is.Equal(post("/standin/snapshots", ""), http.StatusOK)
	is.Equal(post("/standin/faults", `{"outage":"unavailable"}`), http.StatusOK)
	_, err := put(c, "a", 0)
	is.True(errors.Is(err, client.ErrUnavailable))
	is.Equal(post("/standin/faults", `{}`), http.StatusOK)
	_, err = put(c, "a", 0)
	is.NoErr(err)
	is.Equal(post("/standin/restore", `{"snapshot":0}`), http.StatusOK)
	is.Equal(post("/standin/restore", `{"snapshot":7}`), http.StatusNotFound)
	_, err = c.Get(context.Background(), "leases", "a")
	is.True(errors.Is(err, client.ErrNotFound))
	is.Equal(post("/standin/hosts", `{"hosts":[{"host":"h1","peer_address":"a:2","state":"live"}],"lag_ms":0}`), http.StatusOK)
	hosts, err := hostlist.New(hostlist.Config{Address: s.Address()}).List(context.Background())
	is.NoErr(err)
	is.Equal(len(hosts), 1)
}
