package orders

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/journal"
	"waxwingplank/internal/endpoint/engine"
)

const (
	// PlanKind is the object kind under which plans are stored.
	PlanKind = "plans"
	// stepInterval bounds the delay before a decision is executed. Orders take seconds, so 200 ms is short enough.
	stepInterval = 200 * time.Millisecond
	// planReadInterval is the interval at which the owner of a service reads the plan while it does not hold the lease.
	// With 10 services this makes 2 reads/s.
	planReadInterval = 5 * time.Second
	// retryInterval is the delay before a failed call to the platform is retried.
	retryInterval = time.Second
	// limitsReadInterval is the interval at which the limits of the weight store are read.
	limitsReadInterval = time.Minute
	// callTimeout limits one call to the object API, which normally responds within milliseconds.
	callTimeout = 500 * time.Millisecond
	// orderTimeout limits how long one order may be in flight. The next holder of the lease waits this long.
	orderTimeout = 5 * time.Second
)

// Leases acquires and releases leases. leases.Manager implements it.
type Leases interface {
	Hold(name string)
	Release(name string)
	Held(name string) (fence int64, ok bool)
}

// Store reads and writes objects. Its errors wrap the errors of core/storage.
type Store interface {
	Get(ctx context.Context, kind, name string) (value []byte, version int64, err error)
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (version int64, err error)
}

// Engines sends orders to engines. engine.Client implements it.
type Engines interface {
	Order(ctx context.Context, address string, o engine.Order) error
}

// Config configures an Executor.
type Config struct {
	Self    table.HostID
	Leases  Leases
	Store   Store
	Engines Engines
	// Limits returns the limits of the weight store, which all services share.
	Limits  func(ctx context.Context) (bytesPerSecond int64, loadsAtOnce int, err error)
	Journal *journal.Journal
	Log     logrus.FieldLogger
	Clock   func() time.Time
	// OnPlan is called with each plan that was read or written.
	OnPlan func(placement.Plan)
	// RequestDescription requests a new description of the engine at an address.
	RequestDescription func(table.ServiceID, string)
	// Go runs a function concurrently with the step. If it is nil, a goroutine is started. Tests run the
	// function synchronously.
	Go func(func())
}

// Executor places the model layers of the services that this host owns.
type Executor struct {
	cfg     Config
	workers sync.WaitGroup
	permits *permits

	mu             sync.Mutex
	services       map[table.ServiceID]*servicePlacement
	limits         [2]int64
	nextLimitsRead time.Time
}

// servicePlacement is the state of this host for the placement of one service.
type servicePlacement struct {
	id             table.ServiceID
	owned          bool
	leaseRequested bool
	system         *placement.System
	events         []placement.Event
	documentEvent  placement.Event
	// engineEvents holds the last events about each engine by address, for a system that starts later.
	engineEvents map[string][]placement.Event
	// active is true while this host holds the lease and has read the plan.
	active   bool
	version  int64
	reading  bool
	nextRead time.Time
	// ordersInFlight counts the orders in flight. The lease is not released before it is zero.
	ordersInFlight int
}

// New returns an Executor, which is active while Run runs.
func New(cfg Config) *Executor {
	o := &Executor{cfg: cfg, services: map[table.ServiceID]*servicePlacement{}}
	if o.cfg.Go == nil {
		o.cfg.Go = func(work func()) { o.workers.Go(work) }
	}
	o.permits = newPermits(cfg.Store, cfg.Clock)
	return o
}

// LeaseName returns the name of the lease that protects the placement of a service.
func LeaseName(service table.ServiceID) string { return "placement/" + string(service) }

// Run executes steps until the context ends. It returns after the orders in flight have ended.
func (o *Executor) Run(ctx context.Context) {
	defer o.workers.Wait()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		o.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Executor) placementOf(service table.ServiceID) *servicePlacement {
	d := o.services[service]
	if d == nil {
		d = &servicePlacement{id: service, engineEvents: map[string][]placement.Event{}}
		o.services[service] = d
	}
	return d
}

// ApplyDocument applies a service document. Documents without a model are ignored.
func (o *Executor) ApplyDocument(doc document.Document) {
	model, ok := doc.Model()
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.placementOf(doc.Service())
	d.documentEvent = placement.NewDocumentChanged(placement.Model{
		Name: model.Name, Version: model.Version, Layers: int(model.Layers), LayerBytes: model.LayerBytes,
		MaxStreamDuration: time.Duration(doc.Limits().TimeoutMs) * time.Millisecond,
	}, doc.Endpoints())
	d.events = append(d.events, d.documentEvent)
}

// SetOwned sets whether this host owns the service. The owner requests the lease for its placement.
func (o *Executor) SetOwned(service table.ServiceID, owned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.placementOf(service).owned = owned
}

// HandleDescription handles a description and load that an engine returned.
func (o *Executor) HandleDescription(service table.ServiceID, address string, desc engine.Description, load engine.Load) {
	cfg := placement.DescribedConfig{
		Address: address, Endpoint: desc.Endpoint(), Accelerator: desc.Accelerator(), FailureDomain: desc.FailureDomain(),
		MemoryBytes: desc.MemoryBytes(), ChecksFencing: desc.ChecksFencing(), Incarnation: desc.Incarnation(), Slots: desc.Slots(),
	}
	for _, h := range desc.Holdings() {
		cfg.Holdings = append(cfg.Holdings, placement.Holding{Model: h.Model(), Version: h.Version(), Layers: h.Layers()})
	}
	o.recordEngineEvents(service, address, placement.NewEndpointDescribed(cfg), placement.NewLoadReported(placement.EndpointLoadConfig{
		Endpoint: desc.Endpoint(), Running: load.Running(), Queued: load.Queued(), TimePerToken: load.Step(), Measured: load.MeasuredAt(),
	}))
}

// HandleEndpointLost handles the loss of an engine that does not respond.
func (o *Executor) HandleEndpointLost(service table.ServiceID, address string) {
	o.recordEngineEvents(service, address, placement.NewEndpointLost(address))
}

func (o *Executor) recordEngineEvents(service table.ServiceID, address string, events ...placement.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.placementOf(service)
	d.engineEvents[address] = events
	if d.active {
		d.events = append(d.events, events...)
	}
}

// Step starts all work that is due. Run calls it; tests may call it directly.
func (o *Executor) Step(ctx context.Context) {
	now := o.cfg.Clock()
	o.mu.Lock()
	var work []func()
	if o.anyOwned() && !now.Before(o.nextLimitsRead) {
		o.nextLimitsRead = now.Add(limitsReadInterval)
		work = append(work, func() { o.readLimits(ctx) })
	}
	for _, d := range o.services {
		work = append(work, o.step(ctx, now, d)...)
	}
	o.mu.Unlock()
	for _, w := range work {
		o.cfg.Go(w)
	}
}

func (o *Executor) anyOwned() bool {
	for _, d := range o.services {
		if d.owned {
			return true
		}
	}
	return false
}

func (o *Executor) step(ctx context.Context, now time.Time, d *servicePlacement) []func() {
	if d.owned && !d.leaseRequested {
		d.leaseRequested = true
		o.cfg.Leases.Hold(LeaseName(d.id))
	}
	_, held := o.cfg.Leases.Held(LeaseName(d.id))
	if !d.owned {
		d.active = false
		if d.leaseRequested && d.ordersInFlight == 0 {
			d.leaseRequested = false
			o.cfg.Leases.Release(LeaseName(d.id))
		}
		return nil
	}
	if !held {
		// Another holder may have written a plan since, so the state of this host is out of date.
		d.active = false
	}
	if !d.active {
		if d.reading || d.documentEvent == nil || now.Before(d.nextRead) {
			return nil
		}
		d.reading = true
		return []func(){func() { o.readPlan(ctx, d) }}
	}
	events := d.events
	d.events = nil
	var work []func()
	for _, decision := range d.system.Tick(now, events) {
		work = append(work, o.execute(ctx, d, decision)...)
	}
	return work
}

func (o *Executor) readLimits(ctx context.Context) {
	rate, maxLoads, err := o.cfg.Limits(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.nextLimitsRead = o.cfg.Clock().Add(retryInterval)
		o.cfg.Log.WithError(err).Warn("reading the limits of the weight store failed")
		return
	}
	o.limits = [2]int64{rate, int64(maxLoads)}
	for _, d := range o.services {
		d.events = append(d.events, placement.NewLimitsRead(rate, maxLoads))
	}
}

// readPlan reads the stored plan. If this host holds the lease, it then starts to place the service from that plan.
func (o *Executor) readPlan(ctx context.Context, d *servicePlacement) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, version, err := o.cfg.Store.Get(ctx, PlanKind, string(d.id))
	plan := placement.Plan{}
	switch storage.StatusOf(err) {
	case storage.OK:
		plan, err = decode(value)
	case storage.NotFound:
		err = nil
	}
	o.mu.Lock()
	d.reading = false
	d.nextRead = o.cfg.Clock().Add(retryInterval)
	if err != nil {
		o.mu.Unlock()
		o.cfg.Log.WithError(err).WithField("service", string(d.id)).Warn("reading the plan failed")
		return
	}
	if _, held := o.cfg.Leases.Held(LeaseName(d.id)); held && d.owned {
		o.start(d, plan, version)
	} else if plan.Generation() > 0 {
		d.nextRead = o.cfg.Clock().Add(planReadInterval)
	}
	o.mu.Unlock()
	if plan.Generation() > 0 {
		o.cfg.OnPlan(plan)
	}
}

// start creates a placement system from the stored plan and the last events about each engine.
func (o *Executor) start(d *servicePlacement, plan placement.Plan, version int64) {
	d.system = placement.New(placement.Config{Service: d.id})
	d.version, d.active = version, true
	d.events = []placement.Event{d.documentEvent, placement.NewPlanRead(plan), placement.NewLimitsRead(o.limits[0], int(o.limits[1]))}
	for _, events := range d.engineEvents {
		d.events = append(d.events, events...)
	}
}

func (o *Executor) execute(ctx context.Context, d *servicePlacement, decision placement.Decision) []func() {
	switch x := decision.(type) {
	case placement.PlanChanged:
		expected, system := d.version, d.system
		return []func(){func() { o.writePlan(ctx, d, system, x, expected) }}
	case placement.SendOrder:
		d.ordersInFlight++
		system := d.system
		return []func(){func() { o.send(ctx, d, system, x) }}
	}
	return nil
}

// writePlan stores a plan and so puts it in force. After a failed write the stored plan is read again and the
// placement restarts from it. Such failures include conflicts and writes whose response was lost.
func (o *Executor) writePlan(ctx context.Context, d *servicePlacement, system *placement.System, x placement.PlanChanged, expected int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	plan := x.Plan()
	value, err := encode(plan)
	version := int64(0)
	if _, held := o.cfg.Leases.Held(LeaseName(d.id)); err == nil && held {
		version, err = o.cfg.Store.Put(ctx, PlanKind, string(d.id), expected, value)
	} else if err == nil {
		err = storage.ErrUnavailable
	}
	o.mu.Lock()
	if d.system != system || !d.active {
		o.mu.Unlock()
		return
	}
	if err != nil {
		d.active, d.nextRead = false, o.cfg.Clock().Add(retryInterval)
		o.mu.Unlock()
		o.cfg.Log.WithError(err).WithField("service", string(d.id)).Warn("writing the plan failed")
		return
	}
	d.version = version
	d.events = append(d.events, placement.NewPlanWritten(plan.Generation(), true))
	o.mu.Unlock()
	o.journalReasons(d.id, x)
	o.cfg.OnPlan(plan)
}

func (o *Executor) journalReasons(service table.ServiceID, x placement.PlanChanged) {
	if o.cfg.Journal == nil {
		return
	}
	for _, r := range x.Reasons() {
		rejected := map[string]string{}
		for _, p := range r.Rejected {
			rejected[p.Candidate] = string(p.Cause)
		}
		o.cfg.Journal.Decision("", "placement", journal.Fields{
			"service": string(service), "generation": x.Plan().Generation(), "chosen": r.Chosen,
			"cause": string(r.Cause), "passed_over": rejected,
		})
	}
}

// send sends one order with the current fencing number of the lease. If this host is paused between the lease
// check and the send, an engine that ignores the number may execute the outdated order. The next holder sees this
// in the description of the engine.
func (o *Executor) send(ctx context.Context, d *servicePlacement, system *placement.System, x placement.SendOrder) {
	ok := o.sendOnce(ctx, d, x)
	o.mu.Lock()
	d.ordersInFlight--
	if d.system == system {
		d.events = append(d.events, placement.NewOrderAnswered(x.ID(), ok))
	}
	o.mu.Unlock()
	o.cfg.RequestDescription(d.id, x.Address())
}

// permitLoad returns the name of a load in the permits object. Order numbers start again with each holder and
// restart, so the name also contains the host and the time.
func (o *Executor) permitLoad(x placement.SendOrder) string {
	return string(o.cfg.Self) + "/" + x.ID() + "/" + strconv.FormatInt(o.cfg.Clock().UnixMilli(), 36)
}

func (o *Executor) sendOnce(ctx context.Context, d *servicePlacement, x placement.SendOrder) bool {
	log := o.cfg.Log.WithFields(logrus.Fields{
		"service": string(d.id), "endpoint": string(x.Endpoint()), "kind": string(x.Kind()), "version": x.Version(),
		"layers": x.Layers(), "order": x.ID(),
	})
	if x.Bytes() > 0 {
		o.mu.Lock()
		limits := o.limits
		o.mu.Unlock()
		if !o.permits.acquire(ctx, o.permitLoad(x), x.Bytes(), limits) {
			log.Info("no load permit of the weight store obtained; order not sent")
			return false
		}
	}
	fence, held := o.cfg.Leases.Held(LeaseName(d.id))
	if !held {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.cfg.Engines.Order(ctx, x.Address(), engine.Order{
		ID: x.ID(), Fence: fence, Kind: engine.OrderKind(x.Kind()), Model: x.Model(), Version: x.Version(),
		Adapter: x.Adapter(), Layers: x.Layers(),
	})
	log = log.WithField("fence", fence)
	if err != nil {
		log.WithError(err).Warn("order failed")
		return false
	}
	log.Info("order sent")
	return true
}
