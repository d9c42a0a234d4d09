package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/balance"
	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/retry"
)

// Config describes a Forwarder.
type Config struct {
	Endpoints Endpoints
	Log       Logger
	Metrics   *Metrics
	// Domain is the failure domain of this host.
	Domain string
	Budget retry.Config
	Seed   int64
}

// Forwarder serves the calls of one host.
type Forwarder struct {
	cfg Config

	mu       sync.Mutex
	table    *deployment.Table
	models   map[string]*path.System
	plain    map[string]*balance.System
	budgets  map[string]*retry.Budget
	runs     map[string]*run
	hosts    int
	byID     map[string]deployment.Endpoint
	refusing bool
	crashes  *crashes
}

// New returns a forwarder without a configuration.
func New(cfg Config) *Forwarder {
	return &Forwarder{
		cfg: cfg, hosts: 1,
		models: map[string]*path.System{}, plain: map[string]*balance.System{},
		budgets: map[string]*retry.Budget{}, runs: map[string]*run{}, byID: map[string]deployment.Endpoint{}, crashes: newCrashes(),
	}
}

// SetTable puts a configuration in force.
func (f *Forwarder) SetTable(t *deployment.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = t
	for name, svc := range t.Services() {
		if svc.Engine != nil && svc.Engine.Layers > 0 {
			if f.models[name] == nil {
				f.models[name] = path.New(path.Config{Seed: f.cfg.Seed})
			}
			f.models[name].SetEngine(svc.Engine)
		} else if f.plain[name] == nil {
			f.plain[name] = balance.New(balance.Config{Seed: f.cfg.Seed})
		}
		if f.budgets[name] == nil {
			f.budgets[name] = retry.NewBudget(f.cfg.Budget)
		}
	}
	f.spreadEndpoints()
}

// SetEndpoints replaces the endpoints of all services.
func (f *Forwarder) SetEndpoints(list []deployment.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.byID
	f.byID = make(map[string]deployment.Endpoint, len(list))
	for _, e := range list {
		f.byID[e.ID] = e
	}
	f.noteCrashes(before, f.byID)
	f.spreadEndpoints()
}

func (f *Forwarder) spreadEndpoints() {
	byService := map[string][]deployment.Endpoint{}
	for _, e := range f.byID {
		byService[e.Service] = append(byService[e.Service], e)
	}
	for name, s := range f.models {
		s.SetEndpoints(byService[name])
	}
	for name, s := range f.plain {
		s.SetEndpoints(byService[name])
	}
}

// SetHosts tells how many hosts share the budget of repeats.
func (f *Forwarder) SetHosts(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = n
}

// SetBudget changes the budget of repeats.
func (f *Forwarder) SetBudget(cfg retry.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.Budget == cfg {
		return
	}
	f.cfg.Budget = cfg
	for _, b := range f.budgets {
		b.SetConfig(time.Now(), cfg)
	}
}

// SetRefusing makes the forwarder refuse new calls, as a host that is about to stop does.
func (f *Forwarder) SetRefusing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing = true
}

// Running returns the number of calls that are being served.
func (f *Forwarder) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

// Usage returns what this host's streams use of the workers and links.
func (f *Forwarder) Usage(now time.Time) path.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := path.NewUsage()
	for _, s := range f.models {
		s.Usage(now, out)
	}
	return out
}

// SetPeerUsage replaces what the streams of other hosts use.
func (f *Forwarder) SetPeerUsage(now time.Time, u path.Usage, peers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.models {
		s.SetPeerUsage(now, u, peers)
	}
}

// Tick looks for streams that have fallen silent and tells their runs; it is called every few ms.
func (f *Forwarder) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.models {
		for _, st := range s.Tick(now) {
			if r := f.runs[st.Stream]; r != nil {
				select {
				case r.stalled <- st:
				default:
				}
			}
		}
	}
}

// Serve answers one call.
func (f *Forwarder) Serve(ctx context.Context, call *Call, w http.ResponseWriter) {
	r := f.admit(call, w)
	if r == nil {
		return
	}
	defer f.end(r)
	ctx, cancel := context.WithDeadline(ctx, r.until)
	defer cancel()
	if !r.readBody(ctx) {
		return
	}
	if r.crashesEndpoints() {
		r.refuse(refusal{cause: causeCrashes, after: retryCrashing})
		return
	}
	if r.models != nil {
		r.stream(ctx)
		return
	}
	r.plainCall(ctx)
}

// admit finds the route and the workspace of a call, or answers it.
func (f *Forwarder) admit(call *Call, w http.ResponseWriter) *run {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &run{f: f, call: call, w: w, stalled: make(chan path.Stalled, 1)}
	t := f.table
	if t == nil {
		r.refuse(refusal{cause: causeNoConfig, after: retryStarting})
		return nil
	}
	route := t.Route(call.Host, call.Path)
	if route == nil {
		r.answer(http.StatusNotFound, causeNoRoute)
		return nil
	}
	if t.RequiresKey() && !route.Public {
		workspace := t.Workspace(call.Key)
		if workspace == nil {
			r.answer(http.StatusUnauthorized, causeNoKey)
			return nil
		}
		r.workspace = workspace.Name
	} else if workspace := t.Workspace(call.Key); workspace != nil {
		r.workspace = workspace.Name
	}
	if limit := t.Limits().BodyBytes; limit > 0 && call.Length > limit {
		r.answer(http.StatusRequestEntityTooLarge, causeTooLarge)
		return nil
	}
	if f.refusing {
		r.refuse(refusal{cause: causeLeaving, after: retryElsewhere})
		return nil
	}
	r.route, r.version = route, t.Version()
	r.service = route.Service(point(call.ID))
	r.models, r.balance, r.budget = f.models[r.service], f.plain[r.service], f.budgets[r.service]
	if r.budget == nil {
		r.refuse(refusal{cause: causeNoService, after: retryStarting})
		return nil
	}
	wait := route.Timeout
	if call.Deadline > 0 && (wait <= 0 || call.Deadline < wait) {
		wait = call.Deadline
	}
	if wait <= 0 {
		wait = defaultWait
	}
	r.until = call.Received.Add(wait)
	r.budget.Request(call.Received)
	f.runs[call.ID] = r
	return r
}

func (f *Forwarder) end(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[r.call.ID] == r {
		delete(f.runs, r.call.ID)
	}
	if r.models != nil {
		r.models.End(r.call.ID)
	}
}

// point places a request between 0 and 1 by its id, so that its service is the same on every host.
func point(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / float64(uint64(1)<<bits)
}

func (f *Forwarder) endpoint(id string) deployment.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[id]
}
