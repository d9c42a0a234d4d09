package members_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/documents"
	"waxwingplank/internal/daemon/members"
	"waxwingplank/internal/peer/hostpb"
)

// fleet is a set of hosts in one process. Calls between them are direct function calls.
type fleet struct {
	t     *testing.T
	store *store
	mu    sync.Mutex
	hosts map[string]*members.Members
	list  []membership.ListedHost
	// listDown and marks are used by the goroutines of the hosts and guarded by mu.
	listDown bool
	marks    map[table.HostID]int
}

const fleetSize = 7

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: newStore(), hosts: map[string]*members.Members{}, marks: map[table.HostID]int{}}
	for i := range fleetSize {
		f.list = append(f.list, membership.ListedHost{Host: f.host(i)})
	}
	for i := range fleetSize {
		f.start(i)
	}
	return f
}

func (f *fleet) host(i int) membership.Host {
	return membership.Host{
		ID: table.HostID(fmt.Sprintf("h%d", i)), Address: fmt.Sprintf("caller-%d", i), PeerAddress: fmt.Sprintf("peer-%d", i),
		FailureDomain: fmt.Sprintf("d%d", i%3), Region: "r",
	}
}

func (f *fleet) start(i int, seeds ...membership.Host) *members.Members {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := f.host(i)
	m, err := members.New(members.Config{
		Self: h, SeedHosts: seeds, Peers: f, HostList: f, Objects: f.store, Log: log,
		OnMark: func(*hostpb.CrashMark) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.marks[h.ID]++
		},
	})
	is.New(f.t).NoErr(err)
	f.mu.Lock()
	f.hosts[h.PeerAddress] = m
	f.mu.Unlock()
	m.Start()
	return m
}

func (f *fleet) stop(i int) {
	f.mu.Lock()
	m := f.hosts[f.host(i).PeerAddress]
	delete(f.hosts, f.host(i).PeerAddress)
	f.mu.Unlock()
	m.Close()
}

func (f *fleet) close() {
	f.mu.Lock()
	all := f.hosts
	f.hosts = map[string]*members.Members{}
	f.mu.Unlock()
	for _, m := range all {
		m.Close()
	}
}

func (f *fleet) each(check func(*members.Members) bool) bool {
	f.mu.Lock()
	var all []*members.Members
	for _, m := range f.hosts {
		all = append(all, m)
	}
	f.mu.Unlock()
	for _, m := range all {
		if !check(m) {
			return false
		}
	}
	return true
}

// within advances the clock of the synctest bubble until every host passes the check.
func (f *fleet) within(d time.Duration, check func(*members.Members) bool) {
	f.t.Helper()
	for end := time.Now().Add(d); ; time.Sleep(20 * time.Millisecond) {
		if f.each(check) {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("does not hold within %v", d)
		}
	}
}

func (f *fleet) to(address string) (*members.Members, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.hosts[address]; m != nil {
		return m, nil
	}
	return nil, errors.New("no route to host")
}

func (f *fleet) Heartbeat(ctx context.Context, address string, in *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error) {
	m, err := f.to(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	return m.Heartbeat(ctx, in)
}

func (f *fleet) Probe(ctx context.Context, address string, in *hostpb.ProbeRequest) (*hostpb.ProbeReply, error) {
	m, err := f.to(address)
	if err != nil {
		return nil, err
	}
	return m.Probe(ctx, in)
}

func (f *fleet) FetchDocuments(ctx context.Context, address string, in *hostpb.FetchDocumentsRequest) (*hostpb.FetchDocumentsReply, error) {
	m, err := f.to(address)
	if err != nil {
		return nil, err
	}
	return m.FetchDocuments(ctx, in)
}

func (f *fleet) SpreadMarks(ctx context.Context, address string, in *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error) {
	m, err := f.to(address)
	if err != nil {
		return nil, err
	}
	return m.SpreadMarks(ctx, in)
}

func (f *fleet) List(context.Context) ([]membership.ListedHost, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listDown {
		return nil, errors.New("host list unavailable")
	}
	return append([]membership.ListedHost(nil), f.list...), nil
}

func doc(t *testing.T, queue int64) document.Document {
	t.Helper()
	d, err := document.New(document.Config{
		Service: "lots", Kind: document.Plain, Owner: "team", Endpoints: []string{"127.0.0.1:7201"},
		Calls:  []document.Call{{Method: "POST", Path: "registrations"}},
		Limits: document.Limits{Queue: queue, MaxTokens: 1, TimeoutMs: 1000},
	})
	is.New(t).NoErr(err)
	return d
}

func adopted(g uint64) func(*members.Members) bool {
	return func(m *members.Members) bool {
		d, ok := m.Document("lots")
		return ok && d.Generation() == g
	}
}

func live(n int) func(*members.Members) bool {
	return func(m *members.Members) bool { return len(m.Live()) == n }
}

// inFleet runs a test in a synctest bubble with its own clock, after all hosts have discovered each other.
func inFleet(t *testing.T, run func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.within(10*time.Second, live(fleetSize))
		run(t, f)
	})
}

func (f *fleet) apply(queue int64, expected uint64) document.Document {
	f.t.Helper()
	d, err := documents.Apply(context.Background(), f.store, doc(f.t, queue), expected)
	is.New(f.t).NoErr(err)
	return d
}

func (f *fleet) status() members.Status {
	var s members.Status
	o, err := f.store.Get(context.Background(), documents.KindStatus, "lots")
	if err != nil || json.Unmarshal(o.Value, &s) != nil {
		return members.Status{}
	}
	return s
}

// Guards against a document change that some host never adopts or that is never reported as in force.
func TestDocumentSpreadsAndIsReported(t *testing.T) {
	inFleet(t, func(_ *testing.T, f *fleet) {
		f.apply(1, 0)
		f.within(3*time.Second, adopted(1))
		f.apply(2, 1)
		f.within(3*time.Second, adopted(2))
		f.within(3*time.Second, func(m *members.Members) bool { return m.InForce("lots") == 2 })
		f.within(3*time.Second, func(*members.Members) bool {
			s := f.status()
			return s.InForce == 2 && s.Newest == 2 && len(s.NotInForce) == 0
		})
	})
}

// Guards against an accepted change that is lost because the platform becomes unavailable immediately afterwards.
func TestPlatformGoneRightAfterAccept(t *testing.T) {
	inFleet(t, func(_ *testing.T, f *fleet) {
		f.apply(1, 0)
		f.within(3*time.Second, adopted(1))
		d := f.apply(2, 1)
		f.store.setDown(true)
		m, err := f.to("peer-4")
		is.New(f.t).NoErr(err)
		m.AdoptWritten(d)
		f.within(3*time.Second, adopted(2))
	})
}

// Guards against a change that reverts because the platform was restored to an older state.
func TestRestoredPlatformGetsTheHigherGenerationBack(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.apply(1, 0)
		restore := f.store.backup()
		f.apply(2, 1)
		f.within(3*time.Second, adopted(2))
		restore()
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if !f.each(adopted(2)) {
				t.Fatal("a host went back to an older generation")
			}
		}
		o, err := f.store.Get(context.Background(), documents.KindServices, "lots")
		is.New(t).NoErr(err)
		d, err := document.Parse(o.Value)
		is.New(t).NoErr(err)
		is.New(t).Equal(d.Generation(), uint64(2))
	})
}

// Guards against an invalid stored document that replaces a valid one.
func TestBadStoredDocumentDisplacesNothing(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.apply(1, 0)
		f.within(3*time.Second, adopted(1))
		o, err := f.store.Get(context.Background(), documents.KindServices, "lots")
		is.New(t).NoErr(err)
		o.Value = []byte(`{"service": "lots", "generation": 9}`)
		_, err = f.store.Put(context.Background(), o)
		is.New(t).NoErr(err)
		time.Sleep(5 * time.Second)
		is.New(t).True(f.each(adopted(1)))
	})
}

// Guards against a host that cannot start while the platform and the host list are unavailable.
func TestStartDuringOutage(t *testing.T) {
	inFleet(t, func(_ *testing.T, f *fleet) {
		f.apply(1, 0)
		f.within(3*time.Second, adopted(1))
		f.stop(5)
		f.within(3*time.Second, live(fleetSize-1))
		f.store.setDown(true)
		f.mu.Lock()
		f.listDown = true
		f.mu.Unlock()
		f.start(5, f.host(0), f.host(2))
		f.within(3*time.Second, adopted(1))
		f.within(3*time.Second, live(fleetSize))
	})
}

// Guards against a leaving host that stays in the address lists for more than 3 s after the notice.
func TestDrainingHostLeavesTheAnswers(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		m, err := f.to("peer-3")
		is.New(t).NoErr(err)
		m.Drain()
		f.within(3*time.Second, func(m *members.Members) bool {
			for _, a := range m.Addresses(membership.AddressQuery{Service: "lots"}) {
				if a.Host == "h3" {
					return false
				}
			}
			return true
		})
	})
}

// Guards against a response to the caller before all peers have received the crash mark.
func TestMarksReachAllHostsBeforeSpreadReturns(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		m, err := f.to("peer-6")
		is.New(t).NoErr(err)
		began := time.Now()
		m.BroadcastMarks(t.Context(), []*hostpb.CrashMark{{Fingerprint: []byte("f"), Crash: "c"}})
		is.New(t).True(time.Since(began) < 500*time.Millisecond)
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		is.New(t).Equal(len(f.marks), fleetSize-1)
		for _, n := range f.marks {
			is.New(t).Equal(n, 1)
		}
	})
}

// Guards against callbacks that see an older generation after a newer one.
func TestCallbacksSeeRisingGenerations(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		m, err := f.to("peer-1")
		is.New(t).NoErr(err)
		var mu sync.Mutex
		var seen []uint64
		m.OnDocument(func(d document.Document) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, d.Generation())
		})
		for g := range uint64(5) {
			d := f.apply(int64(g)+1, g)
			go m.AdoptWritten(d)
			go m.AdoptWritten(d)
		}
		f.within(3*time.Second, adopted(5))
		mu.Lock()
		defer mu.Unlock()
		for i := range seen {
			is.New(t).True(i == 0 || seen[i] > seen[i-1])
		}
	})
}
