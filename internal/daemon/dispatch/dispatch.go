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

// tickInterval is the longest delay before the passed deadline of a waiting request is noticed.
const tickInterval = 50 * time.Millisecond

// inboxSize is the number of messages that are queued while a tick runs. Senders block while the queue is full.
const inboxSize = 1024

// Config configures a Dispatcher.
type Config struct {
	Routing routing.Config
	Journal *journal.Journal
	Clock   func() time.Time
	// OnDemand is called from the loop with each change of demand. It must not block.
	OnDemand func(routing.Demand)
}

// Dispatcher passes requests to the routing system and returns its decisions to the callers.
type Dispatcher struct {
	cfg     Config
	system  *routing.System
	inbox   chan message
	waiting map[table.RequestID]*waiter
	done    chan struct{}
}

// message carries events to the loop. If waiter is set, it receives the decision on its request.
type message struct {
	events []routing.Event
	waiter *waiter
}

// waiter receives the decision on one request.
type waiter struct {
	request  table.RequestID
	decision chan routing.Decision
}

// New returns a Dispatcher, which decides on requests while Run runs.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:     cfg,
		system:  routing.New(cfg.Routing),
		inbox:   make(chan message, inboxSize),
		waiting: map[table.RequestID]*waiter{},
		done:    make(chan struct{}),
	}
}

// Run owns the routing system until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var events []routing.Event
	var records []journal.Record
	for {
		events, records = events[:0], records[:0]
		select {
		case <-ctx.Done():
			return
		case m := <-d.inbox:
			events = d.accept(events, m)
		case <-ticker.C:
		}
		// Messages that are already queued are handled in the same tick.
		for range len(d.inbox) {
			events = d.accept(events, <-d.inbox)
		}
		for _, decision := range d.system.Tick(d.cfg.Clock(), events) {
			records = d.execute(records, decision)
		}
		// The records are written after the decisions are delivered, so that no request waits for the log.
		for _, r := range records {
			r.Write()
		}
	}
}

func (d *Dispatcher) accept(events []routing.Event, m message) []routing.Event {
	if m.waiter != nil {
		d.waiting[m.waiter.request] = m.waiter
	}
	return append(events, m.events...)
}

// Post sends events to the routing system. It blocks while the queue is full.
func (d *Dispatcher) Post(events ...routing.Event) {
	select {
	case d.inbox <- message{events: events}:
	case <-d.done:
	}
}

// Assignment is the pipeline or endpoint that a request was dispatched to.
type Assignment struct {
	dispatch routing.Dispatch
	at       time.Time
}

// Pipeline returns the pipeline. A plain endpoint is a pipeline of one stage.
func (a Assignment) Pipeline() table.Pipeline { return a.dispatch.Pipeline() }

// At returns the time of the decision.
func (a Assignment) At() time.Time { return a.at }

// Acquire waits until the request is dispatched or refused. A refusal is returned as an *outcome.Refusal error.
//
// After a dispatch the caller must post Finished, AttemptFailed or Departed for the request.
func (d *Dispatcher) Acquire(ctx context.Context, cfg routing.ArrivedConfig) (Assignment, error) {
	w := &waiter{request: cfg.Request, decision: make(chan routing.Decision, 1)}
	return d.await(ctx, message{events: []routing.Event{routing.NewArrived(cfg)}, waiter: w})
}

// Retry reports a failed attempt of a plain call and waits until the call is dispatched to the next endpoint or refused.
func (d *Dispatcher) Retry(ctx context.Context, failed routing.AttemptFailed, request table.RequestID) (Assignment, error) {
	w := &waiter{request: request, decision: make(chan routing.Decision, 1)}
	return d.await(ctx, message{events: []routing.Event{failed}, waiter: w})
}

func (d *Dispatcher) await(ctx context.Context, m message) (Assignment, error) {
	id := m.waiter.request
	select {
	case d.inbox <- m:
	case <-d.done:
		return Assignment{}, stoppedRefusal()
	}
	select {
	case decision := <-m.waiter.decision:
		return d.assignment(decision)
	case <-ctx.Done():
		// If a dispatch was decided in the meantime, the departure also frees its slot.
		d.Post(routing.NewDeparted(id))
		return Assignment{}, eris.Wrap(ctx.Err(), "dispatch.await")
	case <-d.done:
		return Assignment{}, stoppedRefusal()
	}
}

func (d *Dispatcher) assignment(decision routing.Decision) (Assignment, error) {
	switch x := decision.(type) {
	case *routing.Dispatch:
		return Assignment{dispatch: *x, at: d.cfg.Clock()}, nil
	case routing.Refuse:
		return Assignment{}, x.Refusal()
	default:
		return Assignment{}, eris.Errorf("dispatch.assignment: unexpected decision %T", decision)
	}
}

func stoppedRefusal() error {
	return outcome.NewRefusal(outcome.RefusalConfig{Code: outcome.Leaving, Message: "this host has stopped"})
}

// execute delivers a decision and appends its journal record, which Run writes after all decisions are delivered.
func (d *Dispatcher) execute(records []journal.Record, decision routing.Decision) []journal.Record {
	switch x := decision.(type) {
	case *routing.Dispatch:
		records = append(records, d.cfg.Journal.Record(x.Request(), "dispatch", dispatchFields(x)))
		d.deliver(x.Request(), x)
	case routing.Refuse:
		records = append(records, d.cfg.Journal.Record(x.Request(), "refuse", journal.Fields{
			"code":    string(x.Refusal().Code()),
			"message": x.Refusal().Message(),
			"outcome": string(x.Refusal().Outcome()),
		}))
		d.deliver(x.Request(), x)
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

func (d *Dispatcher) deliver(request table.RequestID, decision routing.Decision) {
	w, ok := d.waiting[request]
	if !ok {
		return
	}
	delete(d.waiting, request)
	w.decision <- decision
}

func dispatchFields(x *routing.Dispatch) journal.Fields {
	rejected := map[string]string{}
	for _, c := range x.Rejected() {
		rejected[c.Pipeline()] = string(c.Cause())
	}
	return journal.Fields{
		"service":     string(x.Service()),
		"pipeline":    x.Pipeline().ID(),
		"cause":       string(x.Cause()),
		"passed_over": rejected,
		"waited_ms":   x.Waited().Milliseconds(),
		"recovery":    x.Recovery(),
		"retry":       x.Retry(),
	}
}
