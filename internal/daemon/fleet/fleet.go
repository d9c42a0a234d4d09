package fleet

import (
	"context"
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
	"waxwingplank/internal/peer/hostpb"
)

const (
	// stepEvery bounds how late something due is started; it is small against the 2 s in which a silent
	// owner or engine must be noticed.
	stepEvery = 100 * time.Millisecond
	// askEvery is the period of demand reports: grants last three of them.
	askEvery = time.Second
	// askAgain is the pause after a report that was not answered.
	askAgain = 500 * time.Millisecond
	// askSoon is the pause after a report whose answer still left this host without a catalog.
	askSoon = 100 * time.Millisecond
	// ownerSilent is how long an owner may leave reports unanswered before a host polls for itself.
	ownerSilent = 2 * time.Second
	// settle is how long a new owner collects reports before it grants slots: every host that sees it as
	// the owner reports within askEvery, and names the slots that it still holds from the last owner.
	settle = askEvery + 2*stepEvery
	// pausedAfter is the gap between two steps after which this host may have lost its ownership meanwhile.
	pausedAfter = 1500 * time.Millisecond
)

// Engines reads engines; engine.Client is one.
type Engines interface {
	Describe(ctx context.Context, address string) (engine.Description, error)
	Load(ctx context.Context, address string) (engine.Load, error)
	Events(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error)
}

// Peers calls other hosts; host.Client is one.
type Peers interface {
	ReportDemand(ctx context.Context, address string, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error)
}

// Placement places the models of services; orders.Orders is one. Its methods must not block.
type Placement interface {
	// Own says whether this host owns the service.
	Own(service table.ServiceID, owned bool)
	// Described brings an engine of an owned service as it answered.
	Described(service table.ServiceID, address string, desc engine.Description, load engine.Load)
	// Lost says that an engine of an owned service does not answer.
	Lost(service table.ServiceID, address string)
}

// Config describes a Fleet.
type Config struct {
	Self    table.HostID
	Engines Engines
	Peers   Peers
	// Live returns the live hosts, and Address the peer address of one.
	Live    func() []table.HostID
	Address func(table.HostID) (string, bool)
	Journal *journal.Journal
	// Post hands events to routing.
	Post func(...routing.Event)
	// OnIncarnation is told the incarnation of each engine that was read.
	OnIncarnation func(table.EndpointID, uint64)
	// OnCrash is told of an engine whose incarnation rose.
	OnCrash func(table.EndpointID, uint64)
	// Placement, where set, is told what this host reads of the services that it owns.
	Placement Placement
	Clock     func() time.Time
	// Go starts a function beside the step; nil starts a goroutine. Tests and benches run it at once.
	Go func(func())
}

// Fleet keeps what this host knows of the pipelines of all services.
type Fleet struct {
	cfg     Config
	workers sync.WaitGroup
	wake    chan struct{}

	demandMu sync.Mutex
	demands  map[table.ServiceID]map[demandKey]demandRow

	// posting keeps the events for routing in order; it is taken before mu.
	posting sync.Mutex

	mu       sync.Mutex
	services map[table.ServiceID]*service
	readers  map[table.EndpointID]*reader
	askers   map[table.HostID]*asker
	live     []table.HostID
	stale    bool
	stepped  time.Time
	// incarnations holds what was last seen of each engine, by this host or an owner.
	incarnations map[table.EndpointID]uint64
	events       []routing.Event
	calls        []func()
	// ready are the channels to close once the events before them were posted.
	ready []chan struct{}
}

type demandKey struct {
	workspace table.WorkspaceID
	priority  int
}

type demandRow struct{ running, queued int }

// New returns a fleet, which works while Run does.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:          cfg,
		wake:         make(chan struct{}, 1),
		demands:      map[table.ServiceID]map[demandKey]demandRow{},
		services:     map[table.ServiceID]*service{},
		readers:      map[table.EndpointID]*reader{},
		askers:       map[table.HostID]*asker{},
		incarnations: map[table.EndpointID]uint64{},
	}
	if f.cfg.Go == nil {
		f.cfg.Go = func(work func()) { f.workers.Go(work) }
	}
	return f
}

// Run works until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	defer f.workers.Wait()
	ticker := time.NewTicker(stepEvery)
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

// soon makes Run step again at once: a host that has just started refuses requests until it knows the
// pipelines, so none of the steps to that waits for the ticker.
func (f *Fleet) soon() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Demand takes in what a workspace wants of a service through this host.
func (f *Fleet) Demand(d routing.Demand) {
	f.SetDemand(d.Service(), d.Workspace(), d.Priority(), d.Running(), d.Queued())
}

// SetDemand is Demand in single values.
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

// Adopt takes in a service document.
func (f *Fleet) Adopt(doc document.Document) {
	f.mu.Lock()
	f.adopt(doc)
	f.mu.Unlock()
	f.flush()
	f.soon()
}

func (f *Fleet) adopt(doc document.Document) {
	f.events = append(f.events, routing.NewLimits(routing.LimitsConfig{Service: doc.Service(), Queue: int(doc.Limits().Queue)}))
	svc := f.services[doc.Service()]
	if svc == nil {
		svc = newService(f, doc.Service())
		f.services[doc.Service()] = svc
	}
	svc.adopt(doc)
	f.stale = true
}

// SetPlan puts a plan in force on the owner of its service, which passes it on in the catalog.
func (f *Fleet) SetPlan(p placement.Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[p.Service()]; svc != nil && p.Generation() > svc.plan.Generation() {
		svc.plan, svc.dirty = p, true
	}
}

// Look makes the owner of a service describe one of its engines now.
func (f *Fleet) Look(service table.ServiceID, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[service]; svc != nil && svc.engines[address] != nil {
		svc.engines[address].next = time.Time{}
	}
}

// Version returns the version of the model that the pipelines of the service hold, or an empty string
// where they are not known.
func (f *Fleet) Version(service table.ServiceID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[service]; svc != nil {
		return svc.catalog.version
	}
	return ""
}

// Step starts what is due. Run calls it; tests and benches may instead.
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
	paused := !f.stepped.IsZero() && now.Sub(f.stepped) > pausedAfter
	f.stepped = now
	if paused {
		f.disown(now)
	}
	if !slices.Equal(live, f.live) {
		f.live = slices.Clone(live)
		f.stale = true
	}
	var work []func()
	for _, svc := range f.services {
		work = append(work, svc.form(ctx, now)...)
	}
	if f.stale {
		f.stale = false
		f.assign(now)
	}
	work = append(work, f.poll(ctx, now)...)
	return append(work, f.ask(ctx, now)...)
}

// disown makes this host wait like a new owner: while it was paused, another one may have granted slots.
func (f *Fleet) disown(now time.Time) {
	for _, svc := range f.services {
		for _, u := range svc.units {
			if u.owned() {
				u.own(now)
			}
		}
	}
}

// assign recomputes who owns each pipeline and which ones this host uses.
func (f *Fleet) assign(now time.Time) {
	for _, svc := range f.services {
		for _, u := range svc.units {
			u.assign(now, f.live)
		}
		svc.choose()
	}
}

// flush hands the collected events and calls over, without the lock that their receivers may wait for.
func (f *Fleet) flush() {
	f.posting.Lock()
	defer f.posting.Unlock()
	f.mu.Lock()
	events, calls, ready := f.events, f.calls, f.ready
	f.events, f.calls, f.ready = nil, nil, nil
	f.mu.Unlock()
	for _, call := range calls {
		call()
	}
	if len(events) > 0 {
		f.cfg.Post(events...)
	}
	for _, c := range ready {
		close(c)
	}
}

// Await waits until routing was told the pipelines of the service for the first time. A host that has just
// started takes some milliseconds for that; it gives up after ownerSilent, so that the request is refused.
func (f *Fleet) Await(ctx context.Context, service table.ServiceID) {
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
	timer := time.NewTimer(ownerSilent)
	defer timer.Stop()
	select {
	case <-svc.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// seen compares the incarnation of an engine with the last one.
func (f *Fleet) seen(id table.EndpointID, incarnation uint64) {
	old := f.incarnations[id]
	if incarnation <= old {
		return
	}
	f.incarnations[id] = incarnation
	f.calls = append(f.calls, func() {
		if old != 0 && f.cfg.OnCrash != nil {
			f.cfg.OnCrash(id, old)
		}
		if f.cfg.OnIncarnation != nil {
			f.cfg.OnIncarnation(id, incarnation)
		}
	})
}

func (f *Fleet) decided(decision string, fields journal.Fields) {
	if f.cfg.Journal == nil {
		return
	}
	f.calls = append(f.calls, func() { f.cfg.Journal.Decision("", decision, fields) })
}

// lifetime is how long a grant holds.
const lifetime = share.DefaultLifetime
