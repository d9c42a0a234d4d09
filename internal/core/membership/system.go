package membership

import (
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"waxwingplank/internal/core/table"
)

// row is what this host knows about one host.
type row struct {
	rec  Record
	life State
	// gens holds the change number of each adopted generation beside it.
	gens map[string]generation
	// The change numbers of the parts of the record.
	changeStatic, changeState, changeLoad, changeGens uint64
	// heard is when this host last heard the host itself.
	heard time.Time
	ended time.Time
	probe probe
}

type generation struct {
	number uint64
	change uint64
}

// System decides how this host takes part in the membership of all hosts.
//
// It is not safe for use by several goroutines at once.
type System struct {
	cfg      Config
	now      time.Time
	lastTick time.Time
	self     *row
	machine  *stateless.StateMachine
	current  *row

	rows map[table.HostID]*row
	// order holds the hosts of each failure domain by rendezvous rank.
	order   map[string][]*row
	relays  []table.HostID
	isRelay bool

	log      changeLog
	contacts map[table.HostID]*contact
	domains  map[string]*domainLink
	// others holds the names of the other failure domains in order, so that equal runs decide equally.
	others []string
	// told holds the failure domains that each relay of this host cannot reach.
	told map[table.HostID]toldCut

	lacking      map[string]uint64
	fetching     time.Time
	nextFetch    time.Time
	nextRecheck  time.Time
	force        map[string]*inForce
	forceDirty   bool
	forceChecked time.Time
	dirtyDocs    map[string]struct{}

	payloads map[payloadKey]*payloadRow

	urgent    []*row
	loadSent  time.Time
	load      int
	unlisted  map[table.HostID]int
	forgot    time.Time
	decisions []Decision
}

// New returns a system that knows itself and the hosts from settings.
func New(cfg Config) (*System, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &System{
		cfg:       cfg,
		rows:      map[table.HostID]*row{},
		order:     map[string][]*row{},
		contacts:  map[table.HostID]*contact{},
		domains:   map[string]*domainLink{},
		told:      map[table.HostID]toldCut{},
		lacking:   map[string]uint64{},
		force:     map[string]*inForce{},
		dirtyDocs: map[string]struct{}{},
		payloads:  map[payloadKey]*payloadRow{},
		unlisted:  map[table.HostID]int{},
	}
	s.machine = newLifecycle(func() *row { return s.current })
	s.self = s.add(cfg.Self)
	s.self.rec.Incarnation = cfg.Incarnation
	s.self.rec.State = Live
	s.self.life = Live
	s.touchAll(s.self)
	for _, h := range cfg.Known {
		if s.rows[h.ID] == nil {
			s.add(h)
		}
	}
	return s, nil
}

// Tick takes the events since the last call and returns what to do; it must run at least every 50 ms.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.decisions = nil
	s.now = now
	if s.lastTick.IsZero() {
		s.restartClocks()
	} else if now.Sub(s.lastTick) > SuspectAfter {
		s.returned("own pause of " + now.Sub(s.lastTick).Round(time.Millisecond).String())
	}
	s.lastTick = now
	for _, e := range events {
		s.handle(e)
	}
	s.elect()
	s.watchHosts()
	s.watchDomains()
	s.elect()
	s.sendHeartbeats()
	s.pushUrgent()
	s.fetch()
	s.reportInForce()
	s.forget()
	return s.decisions
}

func (s *System) handle(e Event) {
	switch e := e.(type) {
	case HeartbeatReceived:
		s.heartbeatReceived(e)
	case ReplyReceived:
		s.replyReceived(e)
	case HeartbeatFailed:
		s.heartbeatFailed(e.to)
	case ProbeAnswered:
		s.probeAnswered(e)
	case HostListRead:
		s.hostListRead(e.hosts)
	case DrainStarted:
		s.drain()
	case DocumentAdopted:
		s.adopted(s.self, e.service, e.generation)
	case FetchEnded:
		s.fetchEnded(e.ok)
	case LoadMeasured:
		s.load = e.permille
	case PayloadAdded:
		s.takePayload(e.payload, e.own, false)
	}
}

func (s *System) decide(d Decision) { s.decisions = append(s.decisions, d) }

// add creates the row of a host that was not known.
func (s *System) add(h Host) *row {
	r := &row{rec: Record{Host: h, State: Live}, life: Unknown, gens: map[string]generation{}, heard: s.now}
	s.rows[h.ID] = r
	s.place(r)
	return r
}

// place puts a row into the order of its failure domain.
func (s *System) place(r *row) {
	domain := r.rec.FailureDomain
	list := s.order[domain]
	i, _ := slices.BinarySearchFunc(list, r.rec.ID, func(o *row, id table.HostID) int {
		return byRank(domain, o.rec.ID, id)
	})
	s.order[domain] = slices.Insert(list, i, r)
	if s.domains[domain] == nil && domain != s.cfg.Self.FailureDomain {
		s.domains[domain] = &domainLink{heard: s.now}
		s.others = append(s.others, domain)
		slices.Sort(s.others)
	}
	s.forceDirty = true
}

func (s *System) remove(r *row) {
	domain := r.rec.FailureDomain
	s.order[domain] = slices.DeleteFunc(s.order[domain], func(o *row) bool { return o == r })
	if len(s.order[domain]) == 0 {
		delete(s.order, domain)
		delete(s.domains, domain)
		s.others = slices.DeleteFunc(s.others, func(o string) bool { return o == domain })
	}
	delete(s.rows, r.rec.ID)
	delete(s.contacts, r.rec.ID)
	delete(s.told, r.rec.ID)
}

// restartClocks forgets silences measured while this host itself did not listen.
func (s *System) restartClocks() {
	for _, r := range s.rows {
		r.heard = s.now
		r.probe = probe{}
	}
	for _, d := range s.domains {
		d.heard = s.now
	}
	for _, c := range s.contacts {
		c.lastReply = s.now
		c.pending = time.Time{}
	}
	s.fetching = time.Time{}
}

// returned raises the incarnation, so that verdicts about the time away no longer hold.
func (s *System) returned(cause string) {
	s.restartClocks()
	s.self.rec.Incarnation++
	s.self.rec.Sequence = 0
	s.touchAll(s.self)
	for _, c := range s.contacts {
		c.next = s.now
	}
	s.decide(Returned{incarnation: s.self.rec.Incarnation, cause: cause})
}

func (s *System) drain() {
	if s.self.rec.State == Leaving {
		return
	}
	s.self.rec.State = Leaving
	s.self.rec.Sequence++
	s.fire(s.self, left)
	s.touchState(s.self)
	for _, c := range s.contacts {
		c.next = s.now
		c.again = true
	}
}

// forget drops hosts that ended long ago and payloads that have expired.
func (s *System) forget() {
	const every = time.Minute
	if s.now.Sub(s.forgot) < every {
		return
	}
	s.forgot = s.now
	for _, r := range s.rows {
		if !r.ended.IsZero() && s.now.Sub(r.ended) > forgetAfter {
			s.remove(r)
		}
	}
	s.expirePayloads()
}

// Incarnation returns this host's incarnation.
func (s *System) Incarnation() uint64 { return s.self.rec.Incarnation }

// State returns the state of a host.
func (s *System) State(id table.HostID) State {
	if r := s.rows[id]; r != nil {
		return r.life
	}
	return Unknown
}

// Live returns the hosts that are live, this one included, in the order of their names.
func (s *System) Live() []table.HostID {
	out := make([]table.HostID, 0, len(s.rows))
	for id, r := range s.rows {
		if r.life == Live {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Host returns where a host is.
func (s *System) Host(id table.HostID) (Host, bool) {
	r := s.rows[id]
	if r == nil {
		return Host{}, false
	}
	return r.rec.Host, true
}

// Relays returns the relays of this host's failure domain, first rank first.
func (s *System) Relays() []table.HostID { return slices.Clone(s.relays) }

// IsRelay reports whether this host is a relay of its failure domain.
func (s *System) IsRelay() bool { return s.isRelay }

// Has reports whether a payload, or a higher version of it, is known.
func (s *System) Has(p Payload) bool {
	old := s.payloads[payloadKey{p.Kind, p.Key}]
	return old != nil && old.payload.Version >= p.Version
}
