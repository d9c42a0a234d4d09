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

// Members runs the membership protocol of this host.
type Members struct {
	cfg        Config
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	events chan membership.Event

	mu            sync.Mutex
	system        *membership.System
	store         *document.Store
	waitingCalls  map[uint64]chan membership.Reply
	lastCall      uint64
	pendingStatus map[string]membership.InForceChanged

	// adoptMu is held during an adoption and its callbacks, so that callbacks see increasing generations.
	adoptMu   sync.Mutex
	listeners []DocumentFunc
}

// New returns Members, which run from Start on. It returns an error if the Config is invalid.
func New(cfg Config) (*Members, error) {
	if cfg.Peers == nil || cfg.Log == nil {
		return nil, eris.New("members.New: Peers and Log are required")
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	system, err := membership.New(membership.Config{Self: cfg.Self, Incarnation: cfg.Incarnation, SeedHosts: cfg.SeedHosts})
	if err != nil {
		return nil, err
	}
	m := &Members{
		cfg:           cfg,
		events:        make(chan membership.Event, eventQueueSize),
		system:        system,
		store:         document.NewStore(),
		waitingCalls:  map[uint64]chan membership.Reply{},
		pendingStatus: map[string]membership.InForceChanged{},
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	return m, nil
}

// OnDocument adds a function that is called with each adopted document. Before it returns, it calls the
// function with the documents already in force.
func (m *Members) OnDocument(f DocumentFunc) {
	m.adoptMu.Lock()
	defer m.adoptMu.Unlock()
	m.listeners = append(m.listeners, f)
	for _, d := range m.Documents() {
		f(d)
	}
}

// Start starts the goroutines, which run until Close.
func (m *Members) Start() {
	m.goroutines.Go(m.loop)
	if m.cfg.HostList != nil {
		m.goroutines.Go(m.readHostList)
	}
	if m.cfg.Objects != nil {
		m.goroutines.Go(m.watchDocuments)
		m.goroutines.Go(m.writeStatus)
	}
}

// Close stops the goroutines and waits for them.
func (m *Members) Close() {
	m.stop()
	m.goroutines.Wait()
}

// Addresses returns the hosts that a caller of the service should use, best first.
func (m *Members) Addresses(q membership.AddressQuery) []membership.Address {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Addresses(q)
}

// Live returns the live hosts, including this one.
func (m *Members) Live() []table.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Live()
}

// Relays returns the relays of this host's failure domain, highest rank first.
func (m *Members) Relays() []table.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Relays()
}

// Host returns the addresses and the location of a host.
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

// InForce returns the minimum generation of a document adopted by all reachable hosts.
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

// Documents returns all documents in force on this host, sorted by service.
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

// Drain removes this host from the address lists of all hosts.
func (m *Members) Drain() { m.post(membership.NewDrainStarted()) }

// SetLoad sets the share of this host's capacity that is in use, in thousandths.
func (m *Members) SetLoad(permille int) { m.post(membership.NewLoadMeasured(permille)) }

// post queues an event for the loop. It drops the event if Members is closed.
func (m *Members) post(e membership.Event) {
	select {
	case m.events <- e:
	case <-m.ctx.Done():
	}
}

func (m *Members) loop() {
	t := time.NewTicker(maxTickInterval)
	defer t.Stop()
	m.tick(nil)
	for {
		select {
		case <-m.ctx.Done():
			return
		case e := <-m.events:
			m.tick(m.collectEvents([]membership.Event{e}))
		case <-t.C:
			m.tick(m.collectEvents(nil))
		}
	}
}

// collectEvents appends all queued events, so that one tick processes them.
func (m *Members) collectEvents(events []membership.Event) []membership.Event {
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
		m.execute(d)
	}
}

func (m *Members) execute(d membership.Decision) {
	switch d := d.(type) {
	case membership.SendHeartbeat:
		m.goroutines.Go(func() { m.sendHeartbeat(d) })
	case membership.AnswerHeartbeat:
		m.sendReply(d)
	case membership.SendProbe:
		m.goroutines.Go(func() { m.sendProbe(d) })
	case membership.FetchDocuments:
		m.goroutines.Go(func() { m.fetchDocuments(d) })
	case membership.InForceChanged:
		m.mu.Lock()
		m.pendingStatus[d.Service()] = d
		m.mu.Unlock()
	default:
		m.reportChange(d)
	}
}

// reportChange logs a change and calls the function configured for it.
func (m *Members) reportChange(d membership.Decision) {
	switch d := d.(type) {
	case membership.HostChanged:
		m.cfg.Log.WithFields(fields{"host": d.Host(), "from": d.From(), "to": d.To(), "cause": d.Cause()}).Info("host changed state")
		if m.cfg.OnHost != nil {
			m.cfg.OnHost(d.Host(), d.From(), d.To())
		}
	case membership.RelaysChanged:
		m.cfg.Log.WithField("relays", d.Relays()).Info("relays changed")
	case membership.IncarnationRaised:
		m.cfg.Log.WithFields(fields{"incarnation": d.Incarnation(), "cause": d.Cause()}).Warn("this host was paused or disconnected; incarnation raised")
		if m.cfg.OnIncarnationRaised != nil {
			m.cfg.OnIncarnationRaised(d.Cause())
		}
	case membership.DrainOrdered:
		m.cfg.Log.WithField("cause", d.Cause()).Info("this host must leave")
		if m.cfg.OnDrain != nil {
			m.cfg.OnDrain(d.Cause())
		}
	case membership.PayloadDelivered:
		m.deliverMark(d)
	}
}
