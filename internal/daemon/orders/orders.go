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
	// PlanKind is the kind of the plan objects.
	PlanKind = "plans"
	// stepEvery bounds how late a decision is carried out; orders take seconds.
	stepEvery = 200 * time.Millisecond
	// readEvery is how often the owner of a service that does not hold the lease reads the plan: 10 services
	// make 2 reads/s.
	readEvery = 5 * time.Second
	// retryEvery is the pause after a call to the platform that failed.
	retryEvery = time.Second
	// limitsEvery is how often the limits of the weight store are read.
	limitsEvery = time.Minute
	// callTimeout bounds one call to the object API, which answers in milliseconds.
	callTimeout = 500 * time.Millisecond
	// longestOrder is the longest order in flight; the next holder of the lease waits as long.
	longestOrder = 5 * time.Second
)

// Leases holds leases; leases.Keeper is one.
type Leases interface {
	Hold(name string)
	Release(name string)
	Held(name string) (fence int64, ok bool)
}

// Store reads and writes objects; errors wrap those of core/storage.
type Store interface {
	Get(ctx context.Context, kind, name string) (value []byte, version int64, err error)
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (version int64, err error)
}

// Engines sends orders; engine.Client is one.
type Engines interface {
	Order(ctx context.Context, address string, o engine.Order) error
}

// Config describes Orders.
type Config struct {
	Self    table.HostID
	Leases  Leases
	Store   Store
	Engines Engines
	// Limits reads what the weight store allows to all services together.
	Limits  func(ctx context.Context) (bytesPerSecond int64, loadsAtOnce int, err error)
	Journal *journal.Journal
	Log     logrus.FieldLogger
	Clock   func() time.Time
	// OnPlan is told of each plan that was read or written.
	OnPlan func(placement.Plan)
	// Look asks for a new description of an engine.
	Look func(table.ServiceID, string)
	// Go starts a function beside the step; nil starts a goroutine. Tests run it at once.
	Go func(func())
}

// Orders places the models of the services that this host owns.
type Orders struct {
	cfg     Config
	workers sync.WaitGroup
	permits *permits

	mu         sync.Mutex
	services   map[table.ServiceID]*duty
	limits     [2]int64
	limitsNext time.Time
}

// duty is the placement of one service on this host.
type duty struct {
	id     table.ServiceID
	owned  bool
	asked  bool
	system *placement.System
	events []placement.Event
	doc    placement.Event
	// engines holds the last events about each engine, for a system that starts later.
	engines map[string][]placement.Event
	// acting is true while this host holds the lease and has read the plan.
	acting  bool
	version int64
	reading bool
	next    time.Time
	// sending counts the orders in flight, which keep the lease from being given back.
	sending int
}

// New returns Orders, which work while Run does.
func New(cfg Config) *Orders {
	o := &Orders{cfg: cfg, services: map[table.ServiceID]*duty{}}
	if o.cfg.Go == nil {
		o.cfg.Go = func(work func()) { o.workers.Go(work) }
	}
	o.permits = newPermits(cfg.Store, cfg.Clock)
	return o
}

// LeaseName returns the name of the lease under which a service is placed.
func LeaseName(service table.ServiceID) string { return "placement/" + string(service) }

// Run works until the context ends and its orders have ended.
func (o *Orders) Run(ctx context.Context) {
	defer o.workers.Wait()
	ticker := time.NewTicker(stepEvery)
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

func (o *Orders) duty(service table.ServiceID) *duty {
	d := o.services[service]
	if d == nil {
		d = &duty{id: service, engines: map[string][]placement.Event{}}
		o.services[service] = d
	}
	return d
}

// Adopt takes in a service document.
func (o *Orders) Adopt(doc document.Document) {
	model, ok := doc.Model()
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.duty(doc.Service())
	d.doc = placement.NewDocumentChanged(placement.Model{
		Name: model.Name, Version: model.Version, Layers: int(model.Layers), LayerBytes: model.LayerBytes,
		MaxStreamDuration: time.Duration(doc.Limits().TimeoutMs) * time.Millisecond,
	}, doc.Endpoints())
	d.events = append(d.events, d.doc)
}

// Own says whether this host owns the service; the owner holds the lease for its placement.
func (o *Orders) Own(service table.ServiceID, owned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.duty(service).owned = owned
}

// Described brings an engine as it answered.
func (o *Orders) Described(service table.ServiceID, address string, desc engine.Description, load engine.Load) {
	cfg := placement.DescribedConfig{
		Address: address, Endpoint: desc.Endpoint(), Accelerator: desc.Accelerator(), FailureDomain: desc.FailureDomain(),
		MemoryBytes: desc.MemoryBytes(), ChecksFencing: desc.ChecksFencing(), Incarnation: desc.Incarnation(), Slots: desc.Slots(),
	}
	for _, h := range desc.Holdings() {
		cfg.Holdings = append(cfg.Holdings, placement.Holding{Model: h.Model(), Version: h.Version(), Layers: h.Layers()})
	}
	o.note(service, address, placement.NewEndpointDescribed(cfg), placement.NewLoadReported(placement.EndpointLoadConfig{
		Endpoint: desc.Endpoint(), Running: load.Running(), Queued: load.Queued(), TimePerToken: load.Step(), Measured: load.MeasuredAt(),
	}))
}

// Lost says that an engine does not answer.
func (o *Orders) Lost(service table.ServiceID, address string) {
	o.note(service, address, placement.NewEndpointLost(address))
}

func (o *Orders) note(service table.ServiceID, address string, events ...placement.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.duty(service)
	d.engines[address] = events
	if d.acting {
		d.events = append(d.events, events...)
	}
}

// Step starts what is due. Run calls it; tests may instead.
func (o *Orders) Step(ctx context.Context) {
	now := o.cfg.Clock()
	o.mu.Lock()
	var work []func()
	if o.anyOwned() && !now.Before(o.limitsNext) {
		o.limitsNext = now.Add(limitsEvery)
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

func (o *Orders) anyOwned() bool {
	for _, d := range o.services {
		if d.owned {
			return true
		}
	}
	return false
}

func (o *Orders) step(ctx context.Context, now time.Time, d *duty) []func() {
	if d.owned && !d.asked {
		d.asked = true
		o.cfg.Leases.Hold(LeaseName(d.id))
	}
	_, held := o.cfg.Leases.Held(LeaseName(d.id))
	if !d.owned {
		d.acting = false
		if d.asked && d.sending == 0 {
			d.asked = false
			o.cfg.Leases.Release(LeaseName(d.id))
		}
		return nil
	}
	if !held {
		// Another holder may have written a plan; what this host knew of the placement is out of date.
		d.acting = false
	}
	if !d.acting {
		if d.reading || d.doc == nil || now.Before(d.next) {
			return nil
		}
		d.reading = true
		return []func(){func() { o.readPlan(ctx, d) }}
	}
	events := d.events
	d.events = nil
	var work []func()
	for _, decision := range d.system.Tick(now, events) {
		work = append(work, o.carryOut(ctx, d, decision)...)
	}
	return work
}

func (o *Orders) readLimits(ctx context.Context) {
	rate, atOnce, err := o.cfg.Limits(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.limitsNext = o.cfg.Clock().Add(retryEvery)
		o.cfg.Log.WithError(err).Warn("reading the limits of the weight store failed")
		return
	}
	o.limits = [2]int64{rate, int64(atOnce)}
	for _, d := range o.services {
		d.events = append(d.events, placement.NewLimitsRead(rate, atOnce))
	}
}

// readPlan reads the stored plan. The holder of the lease then begins to place the service with it.
func (o *Orders) readPlan(ctx context.Context, d *duty) {
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
	d.next = o.cfg.Clock().Add(retryEvery)
	if err != nil {
		o.mu.Unlock()
		o.cfg.Log.WithError(err).WithField("service", string(d.id)).Warn("reading the plan failed")
		return
	}
	if _, held := o.cfg.Leases.Held(LeaseName(d.id)); held && d.owned {
		o.begin(d, plan, version)
	} else if plan.Generation() > 0 {
		d.next = o.cfg.Clock().Add(readEvery)
	}
	o.mu.Unlock()
	if plan.Generation() > 0 {
		o.cfg.OnPlan(plan)
	}
}

// begin starts a system with the stored plan and all that is known of the engines.
func (o *Orders) begin(d *duty, plan placement.Plan, version int64) {
	d.system = placement.New(placement.Config{Service: d.id})
	d.version, d.acting = version, true
	d.events = []placement.Event{d.doc, placement.NewPlanRead(plan), placement.NewLimitsRead(o.limits[0], int(o.limits[1]))}
	for _, events := range d.engines {
		d.events = append(d.events, events...)
	}
}

func (o *Orders) carryOut(ctx context.Context, d *duty, decision placement.Decision) []func() {
	switch x := decision.(type) {
	case placement.PlanChanged:
		expected, system := d.version, d.system
		return []func(){func() { o.writePlan(ctx, d, system, x, expected) }}
	case placement.SendOrder:
		d.sending++
		system := d.system
		return []func(){func() { o.send(ctx, d, system, x) }}
	}
	return nil
}

// writePlan puts a plan in force. After a conflict, or a write whose answer was lost, the plan is read
// again and the placement starts anew from it.
func (o *Orders) writePlan(ctx context.Context, d *duty, system *placement.System, x placement.PlanChanged, expected int64) {
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
	if d.system != system || !d.acting {
		o.mu.Unlock()
		return
	}
	if err != nil {
		d.acting, d.next = false, o.cfg.Clock().Add(retryEvery)
		o.mu.Unlock()
		o.cfg.Log.WithError(err).WithField("service", string(d.id)).Warn("writing the plan failed")
		return
	}
	d.version = version
	d.events = append(d.events, placement.NewPlanWritten(plan.Generation(), true))
	o.mu.Unlock()
	o.explain(d.id, x)
	o.cfg.OnPlan(plan)
}

func (o *Orders) explain(service table.ServiceID, x placement.PlanChanged) {
	if o.cfg.Journal == nil {
		return
	}
	for _, r := range x.Reasons() {
		passed := map[string]string{}
		for _, p := range r.Rejected {
			passed[p.Candidate] = string(p.Cause)
		}
		o.cfg.Journal.Decision("", "placement", journal.Fields{
			"service": string(service), "generation": x.Plan().Generation(), "chosen": r.Chosen,
			"cause": string(r.Cause), "passed_over": passed,
		})
	}
}

// send sends one order, with the fencing number that the lease has at that moment. An engine that ignores
// the number may follow an order of a holder that was paused here; the next holder reads that back.
func (o *Orders) send(ctx context.Context, d *duty, system *placement.System, x placement.SendOrder) {
	ok := o.sendOnce(ctx, d, x)
	o.mu.Lock()
	d.sending--
	if d.system == system {
		d.events = append(d.events, placement.NewOrderAnswered(x.ID(), ok))
	}
	o.mu.Unlock()
	o.cfg.Look(d.id, x.Address())
}

// loadName differs between holders and restarts, whose order numbers begin anew.
func (o *Orders) loadName(x placement.SendOrder) string {
	return string(o.cfg.Self) + "/" + x.ID() + "/" + strconv.FormatInt(o.cfg.Clock().UnixMilli(), 36)
}

func (o *Orders) sendOnce(ctx context.Context, d *duty, x placement.SendOrder) bool {
	log := o.cfg.Log.WithFields(logrus.Fields{
		"service": string(d.id), "endpoint": string(x.Endpoint()), "kind": string(x.Kind()), "version": x.Version(),
		"layers": x.Layers(), "order": x.ID(),
	})
	if x.Bytes() > 0 {
		o.mu.Lock()
		limits := o.limits
		o.mu.Unlock()
		if !o.permits.take(ctx, o.loadName(x), x.Bytes(), limits) {
			log.Info("every load that the weight store allows at once is taken")
			return false
		}
	}
	fence, held := o.cfg.Leases.Held(LeaseName(d.id))
	if !held {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, longestOrder)
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
