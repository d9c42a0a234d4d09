package orders_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/orders"
	"waxwingplank/internal/endpoint/engine"
)

// cluster is the platform and the engines that the hosts of a test share.
type cluster struct {
	now     time.Time
	version int64
	objects map[string]object
	// outage fails every call. loseResponse applies the next write but loses its response.
	outage, loseResponse bool
	engines              map[string]*worker
	loads                []load
	layers               int64
}

type object struct {
	value   []byte
	version int64
}

type load struct {
	at    time.Time
	bytes int64
}

type worker struct {
	id          string
	holdings    []engine.Holding
	fence       int64
	checks      bool
	running     int
	staleOrders int
	fences      []int64
}

// holder is one host with its own view of its lease.
type holder struct {
	w              *cluster
	orders         *orders.Executor
	fence          int64
	held           bool
	leaseRequested bool
	plan           placement.Plan
	// paused holds orders that are not sent yet although the lease was checked, while pause is set.
	pause  bool
	paused []func()
}

func newCluster(engines int, layers int64) *cluster {
	w := &cluster{now: time.Unix(1_700_000_000, 0), objects: map[string]object{}, engines: map[string]*worker{}, layers: layers}
	for i := range engines {
		w.engines[fmt.Sprintf("10.0.0.%d:7100", i+1)] = &worker{id: fmt.Sprintf("e%d", i)}
	}
	return w
}

func (w *cluster) Get(_ context.Context, kind, name string) ([]byte, int64, error) {
	if w.outage {
		return nil, 0, storage.ErrUnavailable
	}
	o, ok := w.objects[kind+"/"+name]
	if !ok {
		return nil, 0, storage.ErrNotFound
	}
	return o.value, o.version, nil
}

func (w *cluster) Put(_ context.Context, kind, name string, expected int64, value []byte) (int64, error) {
	if w.outage {
		return 0, storage.ErrUnavailable
	}
	if w.objects[kind+"/"+name].version != expected {
		return 0, storage.ErrConflict
	}
	w.version++
	w.objects[kind+"/"+name] = object{value: value, version: w.version}
	if w.loseResponse {
		w.loseResponse = false
		return 0, storage.ErrUnknown
	}
	return w.version, nil
}

const (
	rate       = 1000
	maxLoads   = 2
	layerBytes = 100
)

func (w *cluster) host(t *testing.T, services ...string) *holder {
	t.Helper()
	h := &holder{w: w}
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.orders = orders.New(orders.Config{
		Self: table.HostID(fmt.Sprintf("%p", h)), Leases: h, Store: w, Engines: h, Log: log,
		Clock:  func() time.Time { return w.now },
		Limits: func(context.Context) (int64, int, error) { return rate, maxLoads, nil },
		OnPlan: func(p placement.Plan) { h.plan = p }, RequestDescription: func(table.ServiceID, string) {},
		Go: func(work func()) { work() },
	})
	var addresses []string
	for a := range w.engines {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	for i, s := range services {
		part := addresses[i*len(addresses)/len(services) : (i+1)*len(addresses)/len(services)]
		doc, err := document.New(document.Config{
			Service: s, Generation: 1, Kind: document.Pipeline, Owner: "team",
			Model:      &document.Model{Name: "hake", Version: "7", Layers: w.layers, LayerBytes: layerBytes, KVBytesPerToken: 1},
			Endpoints:  part,
			Workspaces: []document.Workspace{{Name: "a", Weight: 1}},
			Kinds:      []document.RequestKind{{Name: "k", FirstTokenMs: 100}},
			Limits:     document.Limits{Queue: 10, MaxTokens: 10, TimeoutMs: 20_000},
		})
		is.New(t).NoErr(err)
		h.orders.ApplyDocument(doc)
		h.orders.SetOwned(table.ServiceID(s), true)
	}
	return h
}

// Hold, Release and Held implement orders.Leases.
func (h *holder) Hold(string) { h.leaseRequested = true }

func (h *holder) Release(string) { h.leaseRequested, h.held = false, false }

func (h *holder) Held(string) (int64, bool) { return h.fence, h.held }

// Order implements orders.Engines.
func (h *holder) Order(_ context.Context, address string, o engine.Order) error {
	if h.pause {
		h.paused = append(h.paused, func() { _ = h.w.apply(address, o) })
		return nil
	}
	return h.w.apply(address, o)
}

func (w *cluster) apply(address string, o engine.Order) error {
	e := w.engines[address]
	if o.Fence < e.fence {
		e.staleOrders++
		if e.checks {
			return fmt.Errorf("old fence %d", o.Fence)
		}
	}
	e.fence = max(e.fence, o.Fence)
	e.fences = append(e.fences, o.Fence)
	e.holdings = slices.DeleteFunc(slices.Clone(e.holdings), func(h engine.Holding) bool { return h.Version() == o.Version })
	if o.Kind == engine.OrderLoad {
		e.holdings = append(e.holdings, engine.NewHolding(o.Model, o.Version, o.Layers))
		w.loads = append(w.loads, load{at: w.now, bytes: int64(o.Layers.To-o.Layers.From) * layerBytes})
	}
	return nil
}

// advance moves the clock forward by d in steps of 200 ms. In each step the hosts read the engines of their services.
func (w *cluster) advance(d time.Duration, services map[*holder][]string) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(200 * time.Millisecond)
		for h, list := range services {
			for _, s := range list {
				for a, e := range w.engines {
					h.orders.HandleDescription(table.ServiceID(s), a, engine.NewDescription(engine.DescriptionConfig{
						Endpoint: table.EndpointID(e.id), FailureDomain: "d", MemoryBytes: 20 * layerBytes, Incarnation: 1,
						Slots: 4, ChecksFencing: e.checks, Holdings: e.holdings,
					}), engine.NewLoad(engine.LoadConfig{Incarnation: 1, Running: e.running, MeasuredAt: w.now}))
				}
			}
			h.orders.Step(context.Background())
		}
	}
}

// matches reports whether the engines hold exactly the layers of the plan.
func (w *cluster) matches(p placement.Plan) bool {
	for _, x := range p.Pipelines() {
		for _, st := range x.Pipeline().Stages() {
			e := w.engines[st.Address()]
			if !slices.Equal(e.holdings, []engine.Holding{engine.NewHolding(p.Model(), p.Version(), st.Layers())}) {
				return false
			}
		}
	}
	return p.Generation() > 0
}

func (w *cluster) storedGeneration(t *testing.T, service string) (generation uint64) {
	t.Helper()
	var p struct{ Generation uint64 }
	is.New(t).NoErr(json.Unmarshal(w.objects[orders.PlanKind+"/"+service].value, &p))
	return p.Generation
}

// Guards against placement without the lease, a holder that places nothing, and orders without the fencing number of
// the lease.
func TestPlacesUnderLease(t *testing.T) {
	is := is.New(t)
	w := newCluster(2, 20)
	h := w.host(t, "drafts")
	w.advance(5*time.Second, map[*holder][]string{h: {"drafts"}})
	is.True(h.leaseRequested)
	is.Equal(len(w.objects), 0) // nothing is written without the lease
	h.held, h.fence = true, 5
	w.advance(20*time.Second, map[*holder][]string{h: {"drafts"}})
	is.True(w.matches(h.plan))
	is.Equal(w.storedGeneration(t, "drafts"), uint64(1))
	for _, e := range w.engines {
		for _, f := range e.fences {
			is.Equal(f, int64(5))
		}
	}
}

// Guards against orders after the lease has ended by the holder's own clock.
func TestStopsWithoutLease(t *testing.T) {
	is := is.New(t)
	w := newCluster(2, 20)
	h := w.host(t, "drafts")
	h.held, h.fence = true, 5
	w.advance(20*time.Second, map[*holder][]string{h: {"drafts"}})
	h.held = false
	for _, e := range w.engines {
		e.holdings, e.fences = nil, nil
	}
	w.advance(30*time.Second, map[*holder][]string{h: {"drafts"}})
	for _, e := range w.engines {
		is.Equal(len(e.fences), 0)
	}
	is.Equal(h.plan.Generation(), uint64(1)) // the last plan stays in force
}

// Guards against wrong layers on an engine that ignores fencing numbers and executes a late order of a paused holder.
// The next holder must notice the layers in the engine's description and repair them.
func TestOldOrderOfPausedHolder(t *testing.T) {
	is := is.New(t)
	w := newCluster(2, 20)
	first, second := w.host(t, "drafts"), w.host(t, "drafts")
	first.held, first.fence, first.pause = true, 5, true
	w.advance(3*time.Second, map[*holder][]string{first: {"drafts"}})
	is.True(len(first.paused) > 0)
	// The lease and the wait after it have ended while the first holder is paused with unsent orders.
	first.held = false
	// The second holder's plan assigns the layers in the opposite order.
	delete(w.objects, orders.PlanKind+"/drafts")
	w.engines["10.0.0.1:7100"].holdings = []engine.Holding{engine.NewHolding("hake", "7", table.Layers{From: 10, To: 20})}
	w.engines["10.0.0.2:7100"].holdings = []engine.Holding{engine.NewHolding("hake", "7", table.Layers{From: 0, To: 10})}
	second.held, second.fence = true, 9
	w.advance(20*time.Second, map[*holder][]string{second: {"drafts"}})
	is.True(w.matches(second.plan))
	for _, e := range w.engines {
		e.fence = second.fence
	}
	for _, send := range first.paused {
		send()
	}
	staleOrders := 0
	for _, e := range w.engines {
		staleOrders += e.staleOrders
	}
	is.True(staleOrders > 0)         // an engine executed an order with an old fencing number
	is.True(!w.matches(second.plan)) // and holds the wrong layers
	// The second holder drops the permits of the first holder's loads 14 s after it first saw them.
	w.advance(40*time.Second, map[*holder][]string{second: {"drafts"}})
	is.True(w.matches(second.plan))
	is.Equal(w.storedGeneration(t, "drafts"), uint64(1)) // without another plan
}

// Guards against two holders that write conflicting plans. The version check of the object lets only one write succeed.
func TestConflictingPlans(t *testing.T) {
	is := is.New(t)
	w := newCluster(2, 20)
	first, second := w.host(t, "drafts"), w.host(t, "drafts")
	first.held, first.fence = true, 5
	w.advance(20*time.Second, map[*holder][]string{first: {"drafts"}})
	second.held, second.fence = true, 9
	w.engines["10.0.0.3:7100"] = &worker{id: "e2"}
	both := map[*holder][]string{first: {"drafts"}, second: {"drafts"}}
	w.advance(20*time.Second, both)
	is.Equal(first.plan.Generation(), second.plan.Generation())
	is.Equal(w.storedGeneration(t, "drafts"), second.plan.Generation())
	is.True(w.matches(second.plan))
}

// Guards against a plan that is lost or written twice because the platform fails during a placement.
func TestPlatformOutageDuringPlacement(t *testing.T) {
	is := is.New(t)
	w := newCluster(3, 20)
	h := w.host(t, "drafts")
	h.held, h.fence = true, 5
	one := map[*holder][]string{h: {"drafts"}}
	w.loseResponse = true
	w.advance(2*time.Second, one)
	is.Equal(w.storedGeneration(t, "drafts"), uint64(1))
	w.advance(20*time.Second, one)
	is.Equal(w.storedGeneration(t, "drafts"), uint64(1)) // the write with the lost response was found, not repeated
	is.True(w.matches(h.plan))
	before := h.plan
	w.outage = true
	w.engines[before.Pipelines()[0].Pipeline().Stages()[0].Address()].id = "renamed"
	w.advance(30*time.Second, one)
	is.Equal(h.plan.Generation(), before.Generation()) // the last plan stays in force
	w.outage = false
	w.advance(60*time.Second, one)
	is.Equal(w.storedGeneration(t, "drafts"), before.Generation()+1)
	is.True(w.matches(h.plan))
}

// Guards against services that each respect the limits of the weight store but together exceed them.
func TestServicesShareTheWeightStore(t *testing.T) {
	is := is.New(t)
	w := newCluster(8, 14)
	a, b := w.host(t, "drafts", "other"), w.host(t, "drafts", "other")
	a.orders.SetOwned("other", false)
	b.orders.SetOwned("drafts", false)
	a.held, a.fence, b.held, b.fence = true, 5, true, 6
	w.advance(60*time.Second, map[*holder][]string{a: {"drafts"}, b: {"other"}})
	is.True(w.matches(a.plan))
	is.True(w.matches(b.plan))
	is.Equal(len(w.loads), 8)
	for i := range w.loads {
		var sum int64
		for _, l := range w.loads[i:] {
			sum += l.bytes
			allowed := w.loads[i].at.Sub(l.at).Abs().Seconds()*rate + maxLoads*14*layerBytes
			is.True(float64(sum) <= allowed)
		}
	}
}
