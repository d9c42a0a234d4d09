package dispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/journal"
)

// tickEvery bounds how late a deadline of a waiting request is noticed.
const tickEvery = 50 * time.Millisecond

// queuedMessages lets senders go on while a tick runs; a full queue makes them wait.
const queuedMessages = 1024

// Config describes a Dispatcher.
type Config struct {
	Routing routing.Config
	Journal *journal.Journal
	Clock   func() time.Time
	// OnDemand is called from the loop with each change of demand; it must not block.
	OnDemand func(routing.Demand)
}

// Dispatcher asks the routing system where each request goes.
type Dispatcher struct {
	cfg     Config
	system  *routing.System
	inbox   chan message
	waiting map[table.RequestID]*waiter
	done    chan struct{}
}

// message brings events, and who waits for the decision on the request among them.
type message struct {
	events []routing.Event
	waiter *waiter
}

// waiter receives the decisions on one request.
type waiter struct {
	request  table.RequestID
	decision chan routing.Decision
}

// New returns a dispatcher, which works while Run does.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:     cfg,
		system:  routing.New(cfg.Routing),
		inbox:   make(chan message, queuedMessages),
		waiting: map[table.RequestID]*waiter{},
		done:    make(chan struct{}),
	}
}

// Run owns the routing system until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var events []routing.Event
	var records []journal.Record
	for {
		events, records = events[:0], records[:0]
		select {
		case <-ctx.Done():
			return
		case m := <-d.inbox:
			events = d.take(events, m)
		case <-ticker.C:
		}
		// Whatever else has come in meanwhile shares the tick.
		for range len(d.inbox) {
			events = d.take(events, <-d.inbox)
		}
		for _, decision := range d.system.Tick(d.cfg.Clock(), events) {
			records = d.carryOut(records, decision)
		}
		// The lines are written after the answers, so that no request waits for the log.
		for _, r := range records {
			r.Write()
		}
	}
}

func (d *Dispatcher) take(events []routing.Event, m message) []routing.Event {
	if m.waiter != nil {
		d.waiting[m.waiter.request] = m.waiter
	}
	return append(events, m.events...)
}

// Post hands events to the routing system.
func (d *Dispatcher) Post(events ...routing.Event) {
	select {
	case d.inbox <- message{events: events}:
	case <-d.done:
	}
}

// Place is the pipeline or endpoint that a request was given.
type Place struct {
	dispatch routing.Dispatch
	at       time.Time
}

// Pipeline returns the pipeline; a plain endpoint is a pipeline of one stage.
func (p Place) Pipeline() table.Pipeline { return p.dispatch.Pipeline() }

// At returns the time of the decision.
func (p Place) At() time.Time { return p.at }

// Acquire waits until the request is dispatched or refused; a refusal is an *outcome.Refusal.
//
// After a dispatch the caller must post Finished, AttemptFailed or Departed for the request.
func (d *Dispatcher) Acquire(ctx context.Context, cfg routing.ArrivedConfig) (Place, error) {
	w := &waiter{request: cfg.Request, decision: make(chan routing.Decision, 1)}
	return d.await(ctx, message{events: []routing.Event{routing.NewArrived(cfg)}, waiter: w})
}

// Retry reports a failed attempt of a plain call and waits for the next endpoint or the refusal.
func (d *Dispatcher) Retry(ctx context.Context, failed routing.AttemptFailed, request table.RequestID) (Place, error) {
	w := &waiter{request: request, decision: make(chan routing.Decision, 1)}
	return d.await(ctx, message{events: []routing.Event{failed}, waiter: w})
}

func (d *Dispatcher) await(ctx context.Context, m message) (Place, error) {
	id := m.waiter.request
	select {
	case d.inbox <- m:
	case <-d.done:
		return Place{}, stopped()
	}
	select {
	case decision := <-m.waiter.decision:
		return d.place(decision)
	case <-ctx.Done():
		// The departure frees the place as well where a dispatch was decided meanwhile.
		d.Post(routing.NewDeparted(id))
		return Place{}, eris.Wrap(ctx.Err(), "dispatch.await")
	case <-d.done:
		return Place{}, stopped()
	}
}

func (d *Dispatcher) place(decision routing.Decision) (Place, error) {
	switch x := decision.(type) {
	case *routing.Dispatch:
		return Place{dispatch: *x, at: d.cfg.Clock()}, nil
	case routing.Refuse:
		return Place{}, x.Refusal()
	default:
		return Place{}, eris.Errorf("dispatch.place: unexpected decision %T", decision)
	}
}

func stopped() error {
	return outcome.NewRefusal(outcome.RefusalConfig{Code: outcome.Leaving, Message: "this host has stopped"})
}

// carryOut answers the request and appends the record whose line is still to be written.
func (d *Dispatcher) carryOut(records []journal.Record, decision routing.Decision) []journal.Record {
	switch x := decision.(type) {
	case *routing.Dispatch:
		records = append(records, d.cfg.Journal.Record(x.Request(), "dispatch", dispatchFields(x)))
		d.answer(x.Request(), x)
	case routing.Refuse:
		records = append(records, d.cfg.Journal.Record(x.Request(), "refuse", journal.Fields{
			"code":    string(x.Refusal().Code()),
			"message": x.Refusal().Message(),
			"outcome": string(x.Refusal().Outcome()),
		}))
		d.answer(x.Request(), x)
	case routing.Drop:
		records = append(records, d.cfg.Journal.Record(x.Request(), "drop", journal.Fields{"cause": "caller_gone"}))
		delete(d.waiting, x.Request())
	case routing.Demand:
		if d.cfg.OnDemand != nil {
			d.cfg.OnDemand(x)
		}
	}
	return records
}

func (d *Dispatcher) answer(request table.RequestID, decision routing.Decision) {
	w, ok := d.waiting[request]
	if !ok {
		return
	}
	delete(d.waiting, request)
	w.decision <- decision
}

func dispatchFields(x *routing.Dispatch) journal.Fields {
	passed := map[string]string{}
	for _, c := range x.Rejected() {
		passed[c.Pipeline()] = string(c.Cause())
	}
	return journal.Fields{
		"service":     string(x.Service()),
		"pipeline":    x.Pipeline().ID(),
		"cause":       string(x.Cause()),
		"passed_over": passed,
		"waited_ms":   x.Waited().Milliseconds(),
		"recovery":    x.Recovery(),
		"retry":       x.Retry(),
	}
}
