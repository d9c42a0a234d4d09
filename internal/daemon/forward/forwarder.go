package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/balance"
	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/limit"
	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/retry"
	"waxwingplank/internal/core/returns"
)

// Config describes a Forwarder.
type Config struct {
	Endpoints Endpoints
	Log       Logger
	Metrics   *Metrics
	// Host is the name of this host, Domain its failure domain.
	Host   string
	Domain string
	Budget retry.Config
	Seed   int64
}

// Forwarder serves the calls that one host receives.
type Forwarder struct {
	cfg Config

	mu      sync.Mutex
	table   *deployment.Table
	models  map[string]*path.System
	plain   map[string]*balance.System
	budgets map[string]*retry.Budget
	// returns holds the callers that were refused and are due to return, by service.
	returns map[string]*returns.System
	runs    map[string]*run
	hosts   int
	byID    map[string]deployment.Endpoint
	leaving map[string]leavingInstance
	// verifying holds the instances of endpoints that are connected to because a connection to them broke.
	verifying map[instance]bool
	// closesAt is when a host that is leaving ends the calls in progress. refusing is set once it refuses all new ones.
	closesAt time.Time
	refusing bool
	crashes  *crashTracker
	limits   *limit.System
	// listed is set once there was a list of endpoints. loaded is closed once there is a configuration, too.
	listed bool
	loaded chan struct{}
}

// startTimeout is how long a call waits on a host that has just started for the configuration and the endpoints. Both
// arrive some milliseconds after the start, if the store or a peer responds at all.
const startTimeout = 250 * time.Millisecond

// New returns a forwarder without a configuration. It refuses calls until SetTable.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		cfg: cfg, hosts: 1, loaded: make(chan struct{}), leaving: map[string]leavingInstance{}, verifying: map[instance]bool{},
		models: map[string]*path.System{}, plain: map[string]*balance.System{},
		budgets: map[string]*retry.Budget{}, returns: map[string]*returns.System{}, runs: map[string]*run{}, byID: map[string]deployment.Endpoint{},
		limits: limit.New(limit.Config{Self: cfg.Host, Started: time.Now(), Seed: cfg.Seed}),
	}
	f.crashes = newCrashTracker(cfg.Log, f.recordEnded)
	cfg.Endpoints.OnLeaving(f.recordLeaving)
	return f
}

// SetTable applies a configuration.
func (f *Forwarder) SetTable(t *deployment.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = t
	f.markLoaded()
	for name, svc := range t.Services() {
		if svc.Engine != nil && svc.Engine.Layers > 0 {
			if f.models[name] == nil {
				f.models[name] = path.New(path.Config{Seed: f.cfg.Seed, Limits: f.limits})
			}
			f.models[name].SetEngine(svc.Engine)
		} else if f.plain[name] == nil {
			f.plain[name] = balance.New(balance.Config{Seed: f.cfg.Seed, Limits: f.limits})
		}
		if f.budgets[name] == nil {
			f.budgets[name] = retry.NewBudget(f.cfg.Budget)
		}
	}
	f.distributeEndpoints()
}

// SetEndpoints replaces the endpoints of all services.
func (f *Forwarder) SetEndpoints(list []deployment.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.byID
	f.byID = make(map[string]deployment.Endpoint, len(list))
	for _, e := range list {
		f.byID[e.ID] = f.withLeaving(e)
	}
	f.expireLeaving(time.Now())
	f.limits.SetEndpoints(list)
	f.listed = true
	f.markLoaded()
	f.recordCrashes(before, f.byID)
	f.distributeEndpoints()
}

func (f *Forwarder) markLoaded() {
	if f.table == nil || !f.listed {
		return
	}
	select {
	case <-f.loaded:
	default:
		close(f.loaded)
	}
}

// awaitStart waits until the configuration and the endpoints are loaded, at most startTimeout.
func (f *Forwarder) awaitStart(ctx context.Context) {
	select {
	case <-f.loaded:
		return
	default:
	}
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case <-f.loaded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Forwarder) distributeEndpoints() {
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

// SetHosts sets how many hosts share the budget for repeats, and the names of those that share the limits of endpoints.
func (f *Forwarder) SetHosts(n int, names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = n
	f.limits.SetHosts(time.Now(), names)
}

// Limited returns the number of endpoints with a limit.
func (f *Forwarder) Limited() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.Len()
}

// SetBudget changes the budget for repeats.
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

// SetClosing sets when this host ends the calls that are still in progress, because it is about to stop. Calls that can't be
// continued at another host are refused from now on if they may last longer.
func (f *Forwarder) SetClosing(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closesAt = at
}

// SetRefusing makes the forwarder refuse new calls, because the host is about to stop.
func (f *Forwarder) SetRefusing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing = true
}

// Running returns the number of calls in progress.
func (f *Forwarder) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

// Usage returns the load that this host's streams put on workers and links, and what endpoints have said of their limits.
func (f *Forwarder) Usage(now time.Time) path.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := path.NewUsage()
	for _, s := range f.models {
		s.Usage(now, out)
	}
	out.Limits = f.limits.Reports(now)
	return out
}

// SetPeerUsage replaces the load that the streams of other hosts put on workers and links, and takes over what endpoints have
// said to them of their limits.
func (f *Forwarder) SetPeerUsage(now time.Time, u path.Usage, peers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.models {
		s.SetPeerUsage(now, u, peers)
	}
	f.limits.Merge(now, u.Limits)
}

// Tick finds stalled streams and notifies their runs. It is called every few ms.
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

// Serve handles one call and writes its response.
func (f *Forwarder) Serve(ctx context.Context, call *Call, w http.ResponseWriter) {
	body := newRequestBody(call, w)
	defer body.release()
	f.serve(ctx, &run{f: f, call: call, w: w, body: body, stalled: make(chan path.Stalled, 1)})
	body.linger()
}

func (f *Forwarder) serve(ctx context.Context, r *run) {
	f.awaitStart(ctx)
	if why := f.admit(r); why != nil {
		r.reject(why)
		return
	}
	defer f.release(r)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if !r.readBody(ctx) {
		return
	}
	r.identify()
	r.recordArrival()
	if r.crashesEndpoints() {
		r.refuse(refusal{cause: causeCrashes, retryAfter: r.afterCrashes})
		return
	}
	if !r.awaitTurn(ctx) {
		return
	}
	if r.models != nil {
		r.serveStream(ctx)
	} else {
		r.servePlain(ctx)
	}
	r.body.awaitSend(ctx.Done())
}

// admit finds the route and the workspace of a call, or returns why it is rejected.
func (f *Forwarder) admit(r *run) *rejection {
	f.mu.Lock()
	defer f.mu.Unlock()
	call, t := r.call, f.table
	if t == nil {
		return &rejection{http.StatusServiceUnavailable, causeNoConfig, retryAfterStarting}
	}
	if limit := t.Limits().BodyBytes; limit > 0 {
		// A chunked body shows its length only as it is read.
		r.body.limit(limit)
	}
	route := t.Route(call.Host, call.Path)
	if route == nil {
		return &rejection{status: http.StatusNotFound, cause: causeNoRoute}
	}
	r.version = t.Version()
	if t.RequiresKey() && !route.Public {
		workspace := t.Workspace(call.Key)
		if workspace == nil {
			return &rejection{status: http.StatusUnauthorized, cause: causeNoKey}
		}
		r.workspace = workspace.Name
	} else if workspace := t.Workspace(call.Key); workspace != nil {
		r.workspace = workspace.Name
	}
	if limit := t.Limits().BodyBytes; limit > 0 && call.Length > limit {
		return &rejection{status: http.StatusRequestEntityTooLarge, cause: causeTooLarge}
	}
	if f.refusing {
		return &rejection{http.StatusServiceUnavailable, causeLeaving, retryAfterLeaving}
	}
	r.route = route
	r.service = route.Service(hashFraction(call.ID))
	r.models, r.balance, r.budget = f.models[r.service], f.plain[r.service], f.budgets[r.service]
	f.classify(r)
	if r.budget == nil {
		return &rejection{http.StatusServiceUnavailable, causeNoService, retryAfterStarting}
	}
	timeout := route.Timeout
	if call.Deadline > 0 && (timeout <= 0 || call.Deadline < timeout) {
		timeout = call.Deadline
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline = call.Received.Add(timeout)
	if !f.closesAt.IsZero() && r.deadline.After(f.closesAt) && !r.continuable() {
		return &rejection{http.StatusServiceUnavailable, causeLeaving, retryAfterLeaving}
	}
	r.budget.Request(call.Received)
	f.runs[call.ID] = r
	return nil
}

func (f *Forwarder) release(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[r.call.ID] == r {
		delete(f.runs, r.call.ID)
	}
	r.recordDeparture()
	if r.models != nil {
		r.models.End(r.call.ID)
	}
}

// hashFraction maps a request ID to a number between 0 and 1, so that every host chooses the same service for it.
func hashFraction(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / float64(uint64(1)<<bits)
}

func (f *Forwarder) endpoint(id string) deployment.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[id]
}
