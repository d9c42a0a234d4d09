package placing

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/layout"
)

// OrderResult is a worker's response to an order.
type OrderResult string

// The answers to orders.
const (
	// Held means that the worker already holds the range.
	Held OrderResult = "held"
	// Loading means that the worker is loading the range.
	Loading OrderResult = "begun"
	// Refused means that the worker rejected the order, because it does not fit the worker's state.
	Refused OrderResult = "refused"
	// Fenced means that the worker has received an order under a later lease of another host.
	Fenced OrderResult = "fenced"
	// OutcomeUnknown means that there was no response; the worker may carry out the order now or later.
	OutcomeUnknown OrderResult = "unanswered"
)

// Order is an order to a worker to hold a range of layers.
type Order struct {
	Endpoint deployment.Endpoint
	Range    deployment.Range
	Fence    int64
}

// Endpoints sends orders to workers.
type Endpoints interface {
	Place(ctx context.Context, o Order) (OrderResult, error)
}

const (
	orderTimeout = time.Second
	// reportDelay is how long after the end of a load the worker's entry shows it: a heartbeat, its lag and the
	// watch.
	reportDelay = 2500 * time.Millisecond
	// handoverTime is how long a worker that drops layers waits for the streams that use them.
	handoverTime = 4 * time.Second
	// refusedDelay is the delay before the next order to a worker that refused one.
	refusedDelay = time.Second
)

// Config describes a Placer.
type Config struct {
	Endpoints Endpoints
	Log       logrus.FieldLogger
	// Held returns the fencing number and whether this host may send orders.
	Held func() (int64, bool)
	// OnFenced is called when a worker has received a later fencing number.
	OnFenced func()
}

// pendingOrder is an order that the worker's entry does not show yet.
type pendingOrder struct {
	endpoint deployment.Endpoint
	layers   deployment.Range
	until    time.Time
}

// Placer orders the layers of all model services.
type Placer struct {
	cfg     Config
	mu      sync.Mutex
	pending map[string]pendingOrder
	cover   map[string]string
	plans   map[string]*layout.System
	calls   sync.WaitGroup
}

// New returns a placer without pending orders.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, pending: map[string]pendingOrder{}, cover: map[string]string{}, plans: map[string]*layout.System{}}
}

// Tick plans the layers of a service and sends the orders that are due, while this host holds the lease.
func (p *Placer) Tick(ctx context.Context, now time.Time, svc *deployment.Service, endpoints []deployment.Endpoint) {
	if svc.Engine == nil || svc.Engine.Layers == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	workers := make([]layout.Worker, 0, len(endpoints))
	byID := map[string]deployment.Endpoint{}
	for _, e := range endpoints {
		byID[e.ID] = e
		workers = append(workers, p.worker(now, e))
	}
	fence, ok := p.cfg.Held()
	if !ok {
		// A host that takes over the lease must have recorded since when layers are missing.
		p.plan(svc.Name).Observe(now, svc.Engine, workers)
		return
	}
	p.logCover(svc, workers)
	for _, a := range p.plan(svc.Name).Tick(now, svc.Engine, workers) {
		e := byID[a.Worker]
		share := float64(a.Range.Len()) / float64(svc.Engine.Layers)
		queue := max(1, float64(len(p.pending)+1)/float64(max(svc.Engine.MaxConcurrentLoads, 1)))
		load := time.Duration(float64(svc.Engine.LoadTime) * share * queue)
		if e.Layers.Len() > 0 {
			load += handoverTime
		}
		p.pending[e.ID] = pendingOrder{endpoint: e, layers: a.Range, until: now.Add(load + reportDelay)}
		p.send(ctx, Order{Endpoint: e, Range: a.Range, Fence: fence})
	}
}

func (p *Placer) plan(service string) *layout.System {
	if p.plans[service] == nil {
		p.plans[service] = layout.New()
	}
	return p.plans[service]
}

// logCover logs a change in the number of workers that hold the rarest layer.
func (p *Placer) logCover(svc *deployment.Service, workers []layout.Worker) {
	domains, all := layout.Cover(svc.Engine, workers)
	text := fmt.Sprintf("%v %d", domains, all)
	if p.cover[svc.Name] == text {
		return
	}
	p.cover[svc.Name] = text
	p.cfg.Log.WithFields(logrus.Fields{
		"service": svc.Name, "domains": domains, "all": all, "workers": len(workers), "pending": len(p.pending),
	}).Info("least cover of a layer changed")
}

// worker returns the state of an endpoint for the plan. A pending order counts as carried out.
func (p *Placer) worker(now time.Time, e deployment.Endpoint) layout.Worker {
	w := layout.Worker{
		ID: e.ID, Domain: e.Domain, Accelerator: e.Accelerator, Holds: e.Layers,
		Leaving: e.State != deployment.Ready,
	}
	o, ok := p.pending[e.ID]
	if !ok {
		return w
	}
	shown := e.Layers.Len() > 0 && e.Layers == o.layers
	if shown || !o.endpoint.SameInstance(e) || !now.Before(o.until) {
		delete(p.pending, e.ID)
		return w
	}
	w.Busy = true
	if o.layers.Len() > 0 {
		w.Holds = o.layers
	}
	return w
}

func (p *Placer) send(ctx context.Context, o Order) {
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		answer, err := p.cfg.Endpoints.Place(ctx, o)
		log := p.cfg.Log.WithFields(logrus.Fields{
			"endpoint": o.Endpoint.ID, "from": o.Range.From, "to": o.Range.To, "fence": o.Fence,
			"answer": string(answer),
		})
		if err != nil {
			log = log.WithError(err)
		}
		log.Info("layers ordered")
		p.handleAnswer(o, answer)
	}()
}

func (p *Placer) handleAnswer(o Order, answer OrderResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch answer {
	case Fenced:
		delete(p.pending, o.Endpoint.ID)
		p.cfg.OnFenced()
	case Refused:
		p.pending[o.Endpoint.ID] = pendingOrder{endpoint: o.Endpoint, until: time.Now().Add(refusedDelay)}
	case Held, Loading, OutcomeUnknown:
	}
}

// Wait returns once all orders have been answered or have timed out.
func (p *Placer) Wait() { p.calls.Wait() }
