package members

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
)

// Members takes part in the membership of all hosts.
type Members struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup

	events chan membership.Event

	mu     sync.Mutex
	system *membership.System
	store  *document.Store
	calls  map[uint64]chan membership.Reply
	next   uint64
	status map[string]membership.InForceChanged

	// adopting makes adoption and its callbacks one step, so that callbacks see rising generations.
	adopting  sync.Mutex
	listeners []DocumentFunc
}

// New returns Members, which take part from Start on.
func New(cfg Config) (*Members, error) {
	if cfg.Peers == nil || cfg.Log == nil {
		return nil, eris.New("members.New: Peers and Log are required")
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	system, err := membership.New(membership.Config{Self: cfg.Self, Incarnation: cfg.Incarnation, SeedHosts: cfg.Known})
	if err != nil {
		return nil, err
	}
	m := &Members{
		cfg:    cfg,
		events: make(chan membership.Event, queuedEvents),
		system: system,
		store:  document.NewStore(),
		calls:  map[uint64]chan membership.Reply{},
		status: map[string]membership.InForceChanged{},
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	return m, nil
}

// OnDocument adds a function that is called with each adopted document, and at once with those
// already in force.
func (m *Members) OnDocument(f DocumentFunc) {
	m.adopting.Lock()
	defer m.adopting.Unlock()
	m.listeners = append(m.listeners, f)
	for _, d := range m.Documents() {
		f(d)
	}
}

// Start starts the goroutines, which run until Close.
func (m *Members) Start() {
	m.wait.Go(m.loop)
	if m.cfg.HostList != nil {
		m.wait.Go(m.readHostList)
	}
	if m.cfg.Objects != nil {
		m.wait.Go(m.watchDocuments)
		m.wait.Go(m.writeStatus)
	}
}

// Close ends the goroutines and waits for them.
func (m *Members) Close() {
	m.stop()
	m.wait.Wait()
}

// Addresses returns the hosts that a caller of the service should use, best first.
func (m *Members) Addresses(q membership.AddressQuery) []membership.Address {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Addresses(q)
}

// Live returns the live hosts, this one included.
func (m *Members) Live() []table.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Live()
}

// Relays returns the relays of this host's failure domain, first rank first.
func (m *Members) Relays() []table.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Relays()
}

// Host returns where a host is.
func (m *Members) Host(id table.HostID) (membership.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Host(id)
}

// State returns the state of a host.
func (m *Members) State(id table.HostID) membership.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.State(id)
}

// Incarnation returns this host's incarnation.
func (m *Members) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Incarnation()
}

// InForce returns the minimum generation adopted by all hosts that can be reached.
func (m *Members) InForce(service table.ServiceID) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.InForce(service)
}

// Document returns the document in force on this host.
func (m *Members) Document(service table.ServiceID) (document.Document, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.Get(service)
}

// Documents returns all documents in force on this host, in the order of their names.
func (m *Members) Documents() []document.Document {
	m.mu.Lock()
	out := m.store.All()
	m.mu.Unlock()
	slices.SortFunc(out, func(a, b document.Document) int {
		if a.Service() < b.Service() {
			return -1
		}
		return 1
	})
	return out
}

// Drain takes this host out of the address answers of all hosts.
func (m *Members) Drain() { m.post(membership.NewDrainStarted()) }

// SetLoad tells the part of this host's capacity in use, in thousandths.
func (m *Members) SetLoad(permille int) { m.post(membership.NewLoadMeasured(permille)) }

// post hands an event to the loop.
func (m *Members) post(e membership.Event) {
	select {
	case m.events <- e:
	case <-m.ctx.Done():
	}
}

func (m *Members) loop() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	m.tick(nil)
	for {
		select {
		case <-m.ctx.Done():
			return
		case e := <-m.events:
			m.tick(m.queued([]membership.Event{e}))
		case <-t.C:
			m.tick(m.queued(nil))
		}
	}
}

// queued takes all waiting events into one tick.
func (m *Members) queued(events []membership.Event) []membership.Event {
	for {
		select {
		case e := <-m.events:
			events = append(events, e)
		default:
			return events
		}
	}
}

func (m *Members) tick(events []membership.Event) {
	m.mu.Lock()
	decisions := m.system.Tick(time.Now(), events)
	m.mu.Unlock()
	for _, d := range decisions {
		m.carryOut(d)
	}
}

func (m *Members) carryOut(d membership.Decision) {
	switch d := d.(type) {
	case membership.SendHeartbeat:
		m.wait.Go(func() { m.sendHeartbeat(d) })
	case membership.AnswerHeartbeat:
		m.answer(d)
	case membership.SendProbe:
		m.wait.Go(func() { m.sendProbe(d) })
	case membership.FetchDocuments:
		m.wait.Go(func() { m.fetchDocuments(d) })
	case membership.InForceChanged:
		m.mu.Lock()
		m.status[d.Service()] = d
		m.mu.Unlock()
	default:
		m.report(d)
	}
}

// report logs what changed and tells the other systems of this host.
func (m *Members) report(d membership.Decision) {
	switch d := d.(type) {
	case membership.HostChanged:
		m.cfg.Log.WithFields(fields{"host": d.Host(), "from": d.From(), "to": d.To(), "cause": d.Cause()}).Info("host changed state")
		if m.cfg.OnHost != nil {
			m.cfg.OnHost(d.Host(), d.From(), d.To())
		}
	case membership.RelaysChanged:
		m.cfg.Log.WithField("relays", d.Relays()).Info("relays changed")
	case membership.IncarnationRaised:
		m.cfg.Log.WithFields(fields{"incarnation": d.Incarnation(), "cause": d.Cause()}).Warn("this host was away")
		if m.cfg.OnReturned != nil {
			m.cfg.OnReturned(d.Cause())
		}
	case membership.DrainOrdered:
		m.cfg.Log.WithField("cause", d.Cause()).Info("this host must leave")
		if m.cfg.OnDrain != nil {
			m.cfg.OnDrain(d.Cause())
		}
	case membership.PayloadDelivered:
		m.markArrived(d)
	}
}
