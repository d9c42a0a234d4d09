package roster

import (
	"slices"
	"sort"
	"time"

	"waxwingplank/internal/core/path"
)

const (
	// meshHosts is the largest number of hosts that all report to each other. The number of messages grows with
	// its square.
	meshHosts = 12
	// hubs is the number of hosts that all others report to in a larger deployment. The first one responds with
	// the reports of all hosts. The next ones take over within a period if it fails.
	hubs = 3
	// meshPeriod and hubPeriod are the intervals between two messages to a host. Hosts that choose at the same
	// time with loads of this age prefer the same workers; shorter periods cost processor time and bytes.
	meshPeriod = 500 * time.Millisecond
	hubPeriod  = time.Second
	// livenessPeriods is the number of periods without a report after which a host counts as down. The fraction
	// tolerates some delay.
	livenessPeriods = 2.6
	// leaderCandidates is how many hosts try to get a duty: one holds it, one stands by.
	leaderCandidates = 2
	// maxStoreDelay is how long the store's next response may be overdue on a host that still counts as connected to
	// it.
	maxStoreDelay = 1500 * time.Millisecond
	// unansweredInterval is the interval between messages to hosts that have not responded for long, such as
	// removed ones.
	unansweredInterval = 2 * time.Second
	// usageTTL is how long the usage of the other hosts that a hub reported is valid.
	usageTTL = 3 * time.Second
)

// Host is the state of a host as it reports it.
type Host struct {
	Name string `json:"host"`
	// CallerAddress and PeerAddress are its addresses for callers and for other hosts.
	CallerAddress string `json:"callers"`
	PeerAddress   string `json:"peers"`
	// Weight ranks hosts by their capacity.
	Weight  float64 `json:"weight"`
	Started int64   `json:"started"`
	Serving bool    `json:"serving"`
	Leaving bool    `json:"leaving"`
	// StoreAgeMs is the time since the store last confirmed its list of endpoints, in ms.
	StoreAgeMs int64 `json:"age_ms"`
	// StoreOverdueMs is how long the store's next response is overdue, in ms.
	StoreOverdueMs int64 `json:"late_ms"`
}

// Seen is the state of a host as received by another host.
type Seen struct {
	Host
	// AgeMs is the time since the state was received, in ms.
	AgeMs int64 `json:"ago_ms"`
}

// Target is a host to send a report to.
type Target struct {
	Address string
	// WantAll requests the states of all other hosts in the response.
	WantAll bool
}

type entry struct {
	host       Host
	registered bool
	lastSeen   time.Time
	// lastDirect is when a report or response of the host itself was last received.
	lastDirect time.Time
	lastSent   time.Time
	inFlight   bool
	usage      path.Usage
}

// System is the roster of one host.
type System struct {
	self          string
	weight        float64
	entries       map[string]*entry
	hubUsage      path.Usage
	hubUsageAt    time.Time
	hubUsageHosts int
}

// Config describes a System.
type Config struct {
	// Self is the host's address for peers.
	Self   string
	Weight float64
}

// New returns a roster without other hosts.
func New(cfg Config) *System {
	return &System{self: cfg.Self, weight: cfg.Weight, entries: map[string]*entry{}}
}

// Add adds the address of a host that may exist. The weight is used until the host has reported its own.
func (s *System) Add(address string, weight float64) {
	if address == "" || address == s.self {
		return
	}
	e := s.entries[address]
	if e == nil {
		e = &entry{}
		s.entries[address] = e
	}
	if weight > 0 && !e.registered {
		e.host.Weight = weight
	}
}

// Receive records the report of a host and returns whether the host is new, changed or restarted.
func (s *System) Receive(now time.Time, h Host, usage path.Usage) bool {
	if h.PeerAddress == "" || h.PeerAddress == s.self {
		return false
	}
	e := s.entries[h.PeerAddress]
	if e == nil {
		e = &entry{}
		s.entries[h.PeerAddress] = e
	}
	changed := !e.registered || !s.alive(now, e) || e.host.Started != h.Started || e.host.Leaving != h.Leaving
	e.host, e.registered, e.lastSeen, e.lastDirect, e.usage = h, true, now, now, usage
	return changed
}

// ReceiveFromHub records the states and the usage of all other hosts that a hub reported. The usage is the sum over
// the given number of hosts.
func (s *System) ReceiveFromHub(now time.Time, seen []Seen, usage path.Usage, hosts int) {
	s.hubUsage, s.hubUsageAt, s.hubUsageHosts = usage, now, hosts
	for _, o := range seen {
		if o.PeerAddress == s.self || o.PeerAddress == "" {
			continue
		}
		at := now.Add(-time.Duration(o.AgeMs) * time.Millisecond)
		e := s.entries[o.PeerAddress]
		if e == nil {
			e = &entry{}
			s.entries[o.PeerAddress] = e
		}
		if at.After(e.lastSeen) {
			e.host, e.registered, e.lastSeen = o.Host, true, at
		}
	}
}

// meshed reports whether all hosts report to each other.
func (s *System) meshed() bool { return len(s.entries)+1 <= meshHosts }

// Period returns the interval between two messages to a host.
func (s *System) Period() time.Duration {
	if s.meshed() {
		return meshPeriod
	}
	return hubPeriod
}

func (s *System) timeout() time.Duration {
	return time.Duration(livenessPeriods * float64(s.Period()))
}

func (s *System) alive(now time.Time, e *entry) bool {
	return e.registered && now.Sub(e.lastSeen) < s.timeout()
}

// Targets returns the hosts to send reports to now. A host that was returned is not returned again before Done.
func (s *System) Targets(now time.Time) []Target {
	var out []Target
	if s.meshed() {
		for address, e := range s.entries {
			// One host of each pair sends its report and receives the other's in the response. The other one
			// sends only if it has received no report for long.
			if s.self > address && now.Sub(e.lastDirect) < 2*meshPeriod {
				continue
			}
			if s.due(now, e) {
				out = append(out, Target{Address: address})
			}
		}
	} else {
		for i, address := range s.hubs(now) {
			if e := s.entries[address]; s.due(now, e) {
				out = append(out, Target{Address: address, WantAll: i == 0})
			}
		}
	}
	for _, t := range out {
		e := s.entries[t.Address]
		e.inFlight, e.lastSent = true, now
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

func (s *System) due(now time.Time, e *entry) bool {
	if e.inFlight {
		return false
	}
	if now.Sub(e.lastDirect) > unansweredInterval && now.Sub(e.lastSent) < unansweredInterval {
		return false
	}
	return now.Sub(e.lastSent) >= s.Period()*9/10
}

// Done records that a message to a host has ended, with or without a response.
func (s *System) Done(address string) {
	if e := s.entries[address]; e != nil {
		e.inFlight = false
	}
}

// Recipients returns the hosts that this one reports to.
func (s *System) Recipients(now time.Time) []string {
	if !s.meshed() {
		return s.hubs(now)
	}
	out := make([]string, 0, len(s.entries))
	for address := range s.entries {
		out = append(out, address)
	}
	sort.Strings(out)
	return out
}

// hubs returns the strongest hosts that respond or have not been contacted yet, without this one.
func (s *System) hubs(now time.Time) []string {
	out := make([]string, 0, hubs+1)
	for address, e := range s.entries {
		failed := !e.lastSent.IsZero() && !e.inFlight && now.Sub(e.lastDirect) > s.timeout() && now.Sub(e.lastSent) < s.timeout()
		if failed || e.host.Leaving {
			continue
		}
		at := len(out)
		for at > 0 && s.ranksAbove(address, out[at-1]) {
			at--
		}
		if at < hubs {
			out = slices.Insert(out, at, address)
			out = out[:min(len(out), hubs)]
		}
	}
	return out
}

func (s *System) ranksAbove(a, b string) bool {
	if x, y := s.entries[a].host.Weight, s.entries[b].host.Weight; x != y {
		return x > y
	}
	return a < b
}

// IsHub reports whether this host forwards the store's data to other hosts. This holds in a mesh and for the
// strongest hosts of a larger deployment.
func (s *System) IsHub(now time.Time, self Host) bool {
	if s.meshed() {
		return true
	}
	before := 0
	for address, e := range s.entries {
		stronger := e.host.Weight > self.Weight || (e.host.Weight == self.Weight && address < self.PeerAddress)
		if stronger && s.alive(now, e) && !e.host.Leaving {
			before++
		}
	}
	return before < hubs
}

// Up returns the other hosts that are alive and accept calls, sorted by name.
func (s *System) Up(now time.Time) []Host {
	var out []Host
	for _, e := range s.entries {
		if s.alive(now, e) && e.host.Serving && !e.host.Leaving {
			out = append(out, e.host)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Seen returns the states of the hosts that report to this one directly, as a hub forwards them.
func (s *System) Seen(now time.Time) []Seen {
	var out []Seen
	for _, e := range s.entries {
		if e.registered && now.Sub(e.lastDirect) < s.timeout() {
			out = append(out, Seen{Host: e.host, AgeMs: now.Sub(e.lastDirect).Milliseconds()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Count returns the number of registered hosts, this one included.
func (s *System) Count() int {
	n := 1
	for _, e := range s.entries {
		if e.registered {
			n++
		}
	}
	return n
}

// MayLead reports whether this host is among the few that try to get a duty: the strongest of those that accept
// calls and reach the store. Hosts that cannot reach each other may all try; the store lets only one succeed.
func (s *System) MayLead(now time.Time, self Host) bool {
	if self.Leaving {
		return false
	}
	before := 0
	for _, h := range s.Up(now) {
		stronger := h.Weight > self.Weight || (h.Weight == self.Weight && h.Name < self.Name)
		if stronger && h.StoreOverdueMs < maxStoreDelay.Milliseconds() {
			before++
		}
	}
	return before < leaderCandidates
}

// StoreUnavailable reports whether none of the hosts that Up returns reaches the store.
func (s *System) StoreUnavailable(now time.Time) bool {
	for _, h := range s.Up(now) {
		if h.StoreOverdueMs < maxStoreDelay.Milliseconds() {
			return false
		}
	}
	return true
}

// Usage returns the usage of all other hosts except one, and the number of hosts included.
func (s *System) Usage(now time.Time, except string) (path.Usage, int) {
	sum := path.NewUsage()
	n := 0
	for address, e := range s.entries {
		if address == except || !e.registered || now.Sub(e.lastDirect) >= s.timeout() {
			continue
		}
		n++
		sum.Add(e.usage)
	}
	if !s.meshed() && except == "" && now.Sub(s.hubUsageAt) < usageTTL && s.hubUsageHosts > n {
		return s.hubUsage, s.hubUsageHosts
	}
	return sum, n
}
