package membership

import (
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"waxwingplank/internal/core/table"
)

// row is the local state of one host.
type row struct {
	rec       Record
	lifecycle State
	// generations holds the adopted generation of each document and its change number.
	generations map[string]generation
	// The change numbers of the last changes to each part of the record.
	hostChange, stateChange, loadChange, generationsChange uint64
	// lastSeen is when a message or a probe result last showed the host to be alive.
	lastSeen time.Time
	endedAt  time.Time
	probe    probe
}

type generation struct {
	number uint64
	change uint64
}

// System is the membership state machine of one host.
//
// It is not safe for concurrent use.
type System struct {
	cfg      Config
	now      time.Time
	lastTick time.Time
	self     *row
	machine  *stateless.StateMachine
	current  *row

	rows map[table.HostID]*row
	// byDomain holds the hosts of each failure domain, ordered by rendezvous rank.
	byDomain map[string][]*row
	relays   []table.HostID
	isRelay  bool

	log      changeLog
	contacts map[table.HostID]*contact
	domains  map[string]*domainLink
	// otherDomains holds the names of the other failure domains. It is sorted so that decisions
	// are deterministic.
	otherDomains []string
	// relayReports holds the unreachable failure domains that each relay has reported.
	relayReports map[table.HostID]relayReport

	missing          map[string]uint64
	fetchStarted     time.Time
	nextFetch        time.Time
	nextRecheck      time.Time
	documents        map[string]*documentState
	recountAll       bool
	lastRecount      time.Time
	changedDocuments map[string]struct{}

	payloads map[payloadKey]*payloadRow

	urgent           []*row
	loadSentAt       time.Time
	load             int
	unlistedReadings map[table.HostID]int
	lastExpiry       time.Time
	decisions        []Decision
}

// New returns a System that contains this host and the seed hosts from settings.
func New(cfg Config) (*System, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &System{
		cfg:              cfg,
		rows:             map[table.HostID]*row{},
		byDomain:         map[string][]*row{},
		contacts:         map[table.HostID]*contact{},
		domains:          map[string]*domainLink{},
		relayReports:     map[table.HostID]relayReport{},
		missing:          map[string]uint64{},
		documents:        map[string]*documentState{},
		changedDocuments: map[string]struct{}{},
		payloads:         map[payloadKey]*payloadRow{},
		unlistedReadings: map[table.HostID]int{},
	}
	s.machine = newLifecycle(func() *row { return s.current })
	s.self = s.add(cfg.Self)
	s.self.rec.Incarnation = cfg.Incarnation
	s.self.rec.State = Live
	s.self.lifecycle = Live
	s.touchAll(s.self)
	for _, h := range cfg.SeedHosts {
		if s.rows[h.ID] == nil {
			s.add(h)
		}
	}
	return s, nil
}

// Tick handles the events since the last call and returns the decisions to carry out. It must
// run at least every 50 ms.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.decisions = nil
	s.now = now
	if s.lastTick.IsZero() {
		s.resetTimers()
	} else if now.Sub(s.lastTick) > SuspectAfter {
		s.raiseIncarnation("own pause of " + now.Sub(s.lastTick).Round(time.Millisecond).String())
	}
	s.lastTick = now
	for _, e := range events {
		s.handle(e)
	}
	s.electRelays()
	s.checkHosts()
	s.checkDomains()
	s.electRelays()
	s.sendHeartbeats()
	s.pushUrgent()
	s.fetchMissing()
	s.reportInForce()
	s.dropExpired()
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
		s.recordAdoption(s.self, e.service, e.generation)
	case FetchEnded:
		s.fetchEnded(e.ok)
	case LoadMeasured:
		s.load = e.permille
	case PayloadAdded:
		s.storePayload(e.payload, e.own, false)
	}
}

func (s *System) decide(d Decision) { s.decisions = append(s.decisions, d) }

// add creates the row of a new host.
func (s *System) add(h Host) *row {
	r := &row{rec: Record{Host: h, State: Live}, lifecycle: Unknown, generations: map[string]generation{}, lastSeen: s.now}
	s.rows[h.ID] = r
	s.insertByRank(r)
	return r
}

// insertByRank inserts a row into the ranked list of its failure domain.
func (s *System) insertByRank(r *row) {
	domain := r.rec.FailureDomain
	list := s.byDomain[domain]
	i, _ := slices.BinarySearchFunc(list, r.rec.ID, func(o *row, id table.HostID) int {
		return compareByRank(domain, o.rec.ID, id)
	})
	s.byDomain[domain] = slices.Insert(list, i, r)
	if s.domains[domain] == nil && domain != s.cfg.Self.FailureDomain {
		s.domains[domain] = &domainLink{lastSeen: s.now}
		s.otherDomains = append(s.otherDomains, domain)
		slices.Sort(s.otherDomains)
	}
	s.recountAll = true
}

func (s *System) remove(r *row) {
	domain := r.rec.FailureDomain
	s.byDomain[domain] = slices.DeleteFunc(s.byDomain[domain], func(o *row) bool { return o == r })
	if len(s.byDomain[domain]) == 0 {
		delete(s.byDomain, domain)
		delete(s.domains, domain)
		s.otherDomains = slices.DeleteFunc(s.otherDomains, func(o string) bool { return o == domain })
	}
	delete(s.rows, r.rec.ID)
	delete(s.contacts, r.rec.ID)
	delete(s.relayReports, r.rec.ID)
}

// resetTimers restarts all idle timers, because they include time in which this host itself
// did not run.
func (s *System) resetTimers() {
	for _, r := range s.rows {
		r.lastSeen = s.now
		r.probe = probe{}
	}
	for _, d := range s.domains {
		d.lastSeen = s.now
	}
	for _, c := range s.contacts {
		c.lastReply = s.now
		c.pendingSince = time.Time{}
	}
	s.fetchStarted = time.Time{}
}

// raiseIncarnation raises the incarnation, so that states that other hosts reported while this
// host was paused or disconnected no longer apply.
func (s *System) raiseIncarnation(cause string) {
	s.resetTimers()
	s.self.rec.Incarnation++
	s.self.rec.Sequence = 0
	s.touchAll(s.self)
	for _, c := range s.contacts {
		c.next = s.now
	}
	s.decide(IncarnationRaised{incarnation: s.self.rec.Incarnation, cause: cause})
}

func (s *System) drain() {
	if s.self.rec.State == Leaving {
		return
	}
	s.self.rec.State = Leaving
	s.self.rec.Sequence++
	s.fire(s.self, triggerLeaving)
	s.touchState(s.self)
	for _, c := range s.contacts {
		c.next = s.now
		c.resend = true
	}
}

// dropExpired removes hosts that ended before the retention period and expired payloads.
func (s *System) dropExpired() {
	const interval = time.Minute
	if s.now.Sub(s.lastExpiry) < interval {
		return
	}
	s.lastExpiry = s.now
	for _, r := range s.rows {
		if !r.endedAt.IsZero() && s.now.Sub(r.endedAt) > deadRetention {
			s.remove(r)
		}
	}
	s.expirePayloads()
}

// Incarnation returns the current incarnation of this host.
func (s *System) Incarnation() uint64 { return s.self.rec.Incarnation }

// State returns the state of a host, or Unknown if it has no row.
func (s *System) State(id table.HostID) State {
	if r := s.rows[id]; r != nil {
		return r.lifecycle
	}
	return Unknown
}

// Live returns the live hosts sorted by name, including this one.
func (s *System) Live() []table.HostID {
	out := make([]table.HostID, 0, len(s.rows))
	for id, r := range s.rows {
		if r.lifecycle == Live {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Host returns the addresses and location of a host and whether it is registered.
func (s *System) Host(id table.HostID) (Host, bool) {
	r := s.rows[id]
	if r == nil {
		return Host{}, false
	}
	return r.rec.Host, true
}

// Relays returns the relays of this host's failure domain, highest rank first.
func (s *System) Relays() []table.HostID { return slices.Clone(s.relays) }

// IsRelay reports whether this host is a relay of its failure domain.
func (s *System) IsRelay() bool { return s.isRelay }

// Has reports whether the payload or a higher version of it is stored.
func (s *System) Has(p Payload) bool {
	old := s.payloads[payloadKey{p.Kind, p.Key}]
	return old != nil && old.payload.Version >= p.Version
}
