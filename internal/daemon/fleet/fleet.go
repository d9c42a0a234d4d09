package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/share"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/journal"
	"waxwingplank/internal/endpoint/engine"
	"waxwingplank/internal/endpoint/http1"
	"waxwingplank/internal/peer/hostpb"
)

const (
	// stepInterval bounds how late due work starts. It is small against the 2 s within which an unresponsive
	// owner or engine must be detected.
	stepInterval = 100 * time.Millisecond
	// reportInterval is the interval between demand reports. Grants last three intervals.
	reportInterval = time.Second
	// reportRetryDelay is the delay after a report that failed.
	reportRetryDelay = 500 * time.Millisecond
	// catalogRetryDelay is the delay after a report that left this host without a catalog.
	catalogRetryDelay = 100 * time.Millisecond
	// ownerTimeout is how long an owner may leave reports unanswered before a host polls the engines itself.
	ownerTimeout = 2 * time.Second
	// collectPeriod is how long a new owner collects reports before it grants slots. Every host that sees it
	// as the owner reports within reportInterval and names the slots that it still holds from the last owner.
	collectPeriod = reportInterval + 2*stepInterval
	// pauseThreshold is the gap between two steps after which this host may have lost its ownership.
	pauseThreshold = 1500 * time.Millisecond
)

// Engines reads engines. engine.Client implements it.
type Engines interface {
	Describe(ctx context.Context, address string) (engine.Description, error)
	Load(ctx context.Context, address string) (engine.Load, error)
	Events(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error)
}

// Peers calls other hosts. host.Client implements it.
type Peers interface {
	ReportDemand(ctx context.Context, address string, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error)
}

// Placement places the models of services. orders.Executor implements it. Its methods must not block.
type Placement interface {
	// SetOwned sets whether this host owns the service.
	SetOwned(service table.ServiceID, owned bool)
	// HandleDescription handles the description and load of an engine of an owned service.
	HandleDescription(service table.ServiceID, address string, desc engine.Description, load engine.Load)
	// HandleEndpointLost handles the loss of an engine of an owned service that does not respond.
	HandleEndpointLost(service table.ServiceID, address string)
}

// Config holds the settings and dependencies of a Fleet.
type Config struct {
	Self    table.HostID
	Engines Engines
	Peers   Peers
	// Live returns the live hosts, and Address the peer address of one.
	Live    func() []table.HostID
	Address func(table.HostID) (string, bool)
	Journal *journal.Journal
	// Post sends events to routing.
	Post func(...routing.Event)
	// OnIncarnation is called with each new incarnation of an engine.
	OnIncarnation func(table.EndpointID, uint64)
	// OnCrash is called with an engine whose incarnation was raised, and the previous incarnation.
	OnCrash func(table.EndpointID, uint64)
	// Placement, if set, is notified of the engines of services that this host owns.
	Placement Placement
	Clock     func() time.Time
	// Go runs a function concurrently with the step; nil starts a goroutine. Tests and benchmarks call the
	// function directly.
	Go func(func())
}

// Fleet holds the state that this host has of the pipelines of all services.
type Fleet struct {
	cfg     Config
	workers sync.WaitGroup
	wake    chan struct{}

	demandMu sync.Mutex
	demands  map[table.ServiceID]map[demandKey]demandRow

	// flushMu keeps the events for routing in order. It is locked before mu.
	flushMu sync.Mutex

	mu               sync.Mutex
	services         map[table.ServiceID]*service
	readers          map[table.EndpointID]*reader
	reporters        map[table.HostID]*reporter
	live             []table.HostID
	assignmentsStale bool
	lastStep         time.Time
	// incarnations holds the highest incarnation of each engine that this host read or an owner reported.
	incarnations map[table.EndpointID]uint64
	// appliedGrants counts the grants that were passed on to routing.
	appliedGrants uint64
	events        []routing.Event
	callbacks     []func()
	// ready holds channels to close after the collected events are posted.
	ready []chan struct{}
}

type demandKey struct {
	workspace table.WorkspaceID
	priority  int
}

type demandRow struct{ running, queued int }

// New returns a fleet, which is active while Run is running.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:          cfg,
		wake:         make(chan struct{}, 1),
		demands:      map[table.ServiceID]map[demandKey]demandRow{},
		services:     map[table.ServiceID]*service{},
		readers:      map[table.EndpointID]*reader{},
		reporters:    map[table.HostID]*reporter{},
		incarnations: map[table.EndpointID]uint64{},
	}
	if f.cfg.Go == nil {
		f.cfg.Go = func(work func()) { f.workers.Go(work) }
	}
	return f
}

// Run calls Step at each interval until the context ends, then waits for the started work.
func (f *Fleet) Run(ctx context.Context) {
	defer f.workers.Wait()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		f.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// requestStep makes Run step again without waiting for the ticker. A host that has just started refuses
// requests until it has the pipelines, so no step towards that may be delayed.
func (f *Fleet) requestStep() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// RecordDemand records the running and queued requests of a workspace for a service on this host.
func (f *Fleet) RecordDemand(d routing.Demand) {
	f.SetDemand(d.Service(), d.Workspace(), d.Priority(), d.Running(), d.Queued())
}

// SetDemand is RecordDemand with separate arguments.
func (f *Fleet) SetDemand(service table.ServiceID, workspace table.WorkspaceID, priority, running, queued int) {
	f.demandMu.Lock()
	defer f.demandMu.Unlock()
	rows := f.demands[service]
	if rows == nil {
		rows = map[demandKey]demandRow{}
		f.demands[service] = rows
	}
	key := demandKey{workspace, priority}
	if running == 0 && queued == 0 {
		delete(rows, key)
		return
	}
	rows[key] = demandRow{running: running, queued: queued}
}

// ApplyDocument applies a service document.
func (f *Fleet) ApplyDocument(doc document.Document) {
	f.mu.Lock()
	f.applyDocument(doc)
	f.mu.Unlock()
	f.flush()
	f.requestStep()
}

func (f *Fleet) applyDocument(doc document.Document) {
	f.events = append(f.events, routing.NewLimits(routing.LimitsConfig{Service: doc.Service(), Queue: int(doc.Limits().Queue)}))
	svc := f.services[doc.Service()]
	if svc == nil {
		svc = newService(f, doc.Service())
		f.services[doc.Service()] = svc
	}
	svc.applyDocument(doc)
	f.assignmentsStale = true
}

// SetPlan applies a plan on the owner of its service, which distributes it in the catalog.
func (f *Fleet) SetPlan(p placement.Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[p.Service()]; svc != nil && p.Generation() > svc.plan.Generation() {
		svc.plan, svc.dirty = p, true
	}
}

// DescribeNow makes the owner of a service read the description of an engine in the next step.
func (f *Fleet) DescribeNow(service table.ServiceID, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[service]; svc != nil && svc.engines[address] != nil {
		svc.engines[address].next = time.Time{}
	}
}

// ModelVersion returns the version of the model that the pipelines of the service hold, or an empty string
// if this host does not have it.
func (f *Fleet) ModelVersion(service table.ServiceID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[service]; svc != nil {
		return svc.catalog.version
	}
	return ""
}

// Step starts the work that is due. Run calls it; tests and benchmarks may call it instead.
func (f *Fleet) Step(ctx context.Context) {
	now := f.cfg.Clock()
	live := f.cfg.Live()
	f.mu.Lock()
	work := f.step(ctx, now, live)
	f.mu.Unlock()
	f.flush()
	for _, w := range work {
		f.cfg.Go(w)
	}
}

func (f *Fleet) step(ctx context.Context, now time.Time, live []table.HostID) []func() {
	paused := !f.lastStep.IsZero() && now.Sub(f.lastStep) > pauseThreshold
	f.lastStep = now
	if paused {
		f.restartOwnership(now)
	}
	if !slices.Equal(live, f.live) {
		f.live = slices.Clone(live)
		f.assignmentsStale = true
	}
	var work []func()
	for _, svc := range f.services {
		work = append(work, svc.updateCatalog(ctx, now)...)
	}
	if f.assignmentsStale {
		f.assignmentsStale = false
		f.assign(now)
	}
	work = append(work, f.dueReads(ctx, now)...)
	return append(work, f.dueReports(ctx, now)...)
}

// restartOwnership makes this host collect reports again like a new owner. Another host may have granted
// slots while this one was paused.
func (f *Fleet) restartOwnership(now time.Time) {
	for _, svc := range f.services {
		for _, u := range svc.units {
			if u.owned() {
				u.startOwnership(now)
			}
		}
	}
}

// assign recomputes the owner of each pipeline and the pipelines that this host uses.
func (f *Fleet) assign(now time.Time) {
	for _, svc := range f.services {
		for _, u := range svc.units {
			u.assign(now, f.live)
		}
		svc.selectUnits()
	}
}

// flush delivers the collected events and callbacks. It does so without mu, because their receivers may
// wait for that lock.
func (f *Fleet) flush() {
	f.flushMu.Lock()
	defer f.flushMu.Unlock()
	f.mu.Lock()
	events, callbacks, ready := f.events, f.callbacks, f.ready
	f.events, f.callbacks, f.ready = nil, nil, nil
	f.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
	if len(events) > 0 {
		f.cfg.Post(events...)
	}
	for _, c := range ready {
		close(c)
	}
}

// AwaitPipelines waits until the pipelines of the service have been sent to routing for the first time. This takes
// some milliseconds on a host that has just started. AwaitPipelines returns after ownerTimeout at the latest, so that
// the request is refused.
func (f *Fleet) AwaitPipelines(ctx context.Context, service table.ServiceID) {
	f.mu.Lock()
	svc := f.services[service]
	f.mu.Unlock()
	if svc == nil {
		return
	}
	select {
	case <-svc.ready:
		return
	default:
	}
	timer := time.NewTimer(ownerTimeout)
	defer timer.Stop()
	select {
	case <-svc.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// observeIncarnation records the incarnation of an engine. It reports each new one, and a crash if it
// replaces an older one.
func (f *Fleet) observeIncarnation(id table.EndpointID, incarnation uint64) {
	old := f.incarnations[id]
	if incarnation <= old {
		return
	}
	f.incarnations[id] = incarnation
	f.callbacks = append(f.callbacks, func() {
		if old != 0 && f.cfg.OnCrash != nil {
			f.cfg.OnCrash(id, old)
		}
		if f.cfg.OnIncarnation != nil {
			f.cfg.OnIncarnation(id, incarnation)
		}
	})
}

func (f *Fleet) journalDecision(decision string, fields journal.Fields) {
	if f.cfg.Journal == nil {
		return
	}
	f.callbacks = append(f.callbacks, func() { f.cfg.Journal.Decision("", decision, fields) })
}

// journalMalformed records a report that is no HTTP response. Other failures are recorded when they make an engine count as lost.
func (f *Fleet) journalMalformed(address string, err error) {
	if malformed, ok := errors.AsType[*http1.MalformedError](err); ok {
		f.journalDecision("malformed_report", journal.Fields{"address": address, "error": malformed.Error()})
	}
}

// grantLifetime is how long a grant is valid.
const grantLifetime = share.DefaultLifetime
