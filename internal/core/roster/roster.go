package roster

import (
	"slices"
	"sort"
	"time"

	"waxwingplank/internal/core/path"
)

const (
	// meshHosts is the largest number of hosts that all tell each other: the messages grow with its square.
	meshHosts = 12
	// hubs is the number of hosts that all others tell where there are more. The first answers with what it
	// knows, the next take over within a period when it fails.
	hubs = 3
	// meshPeriod and hubPeriod are the times between two messages to a host. Loads that are this old make hosts
	// that choose at once lean the same way; shorter periods cost processor time and bytes.
	meshPeriod = 500 * time.Millisecond
	hubPeriod  = time.Second
	// silences is the number of periods, and some more, after which a host that is not heard is not up.
	silences = 2.6
	// leaders is how many hosts try for a duty: one holds it, one stands by.
	leaders = 2
	// reachesStore is how long the store's next answer may be overdue at a host that reaches it.
	reachesStore = 1500 * time.Millisecond
	// unansweredPause spaces the messages to hosts that have not answered for long, such as removed ones.
	unansweredPause = 2 * time.Second
	// usageAge is how long what a hub told of the others' load is used.
	usageAge = 3 * time.Second
)

// Host is what is known of a host.
type Host struct {
	Name string `json:"host"`
	// Callers and Peers are its addresses for callers and for other hosts.
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	// Weight ranks hosts by what they can carry.
	Weight  float64 `json:"weight"`
	Started int64   `json:"started"`
	Serving bool    `json:"serving"`
	Leaving bool    `json:"leaving"`
	// StoreAge is how long ago the store last confirmed its list of endpoints, in ms.
	StoreAge int64 `json:"age_ms"`
	// StoreLate is how long the store's next answer is overdue, in ms.
	StoreLate int64 `json:"late_ms"`
}

// Seen is a host as another has heard of it.
type Seen struct {
	Host
	// Ago is how long ago it was heard, in ms.
	Ago int64 `json:"ago_ms"`
}

// Target is a host to be told.
type Target struct {
	Address string
	// Full asks it for what it knows of all others.
	Full bool
}

type entry struct {
	host  Host
	known bool
	heard time.Time
	// direct is when it last told or answered itself.
	direct time.Time
	asked  time.Time
	busy   bool
	usage  path.Usage
}

// System keeps the roster of one host.
type System struct {
	self    string
	weight  float64
	entries map[string]*entry
	others  path.Usage
	told    time.Time
	count   int
}

// Config describes a System.
type Config struct {
	// Self is the host's address for peers.
	Self   string
	Weight float64
}

// New returns a roster that knows no other host.
func New(cfg Config) *System {
	return &System{self: cfg.Self, weight: cfg.Weight, entries: map[string]*entry{}}
}

// Add notes the address of a host that may exist.
func (s *System) Add(address string, weight float64) {
	if address == "" || address == s.self {
		return
	}
	e := s.entries[address]
	if e == nil {
		e = &entry{}
		s.entries[address] = e
	}
	if weight > 0 && !e.known {
		e.host.Weight = weight
	}
}

// Hear takes what a host told of itself and reports whether it has come, changed or started anew.
func (s *System) Hear(now time.Time, h Host, usage path.Usage) bool {
	if h.Peers == "" || h.Peers == s.self {
		return false
	}
	e := s.entries[h.Peers]
	if e == nil {
		e = &entry{}
		s.entries[h.Peers] = e
	}
	changed := !e.known || !s.alive(now, e) || e.host.Started != h.Started || e.host.Leaving != h.Leaving
	e.host, e.known, e.heard, e.direct, e.usage = h, true, now, now, usage
	return changed
}

// HearOthers takes what a hub told of all others.
func (s *System) HearOthers(now time.Time, seen []Seen, usage path.Usage, count int) {
	s.others, s.told, s.count = usage, now, count
	for _, o := range seen {
		if o.Peers == s.self || o.Peers == "" {
			continue
		}
		at := now.Add(-time.Duration(o.Ago) * time.Millisecond)
		e := s.entries[o.Peers]
		if e == nil {
			e = &entry{}
			s.entries[o.Peers] = e
		}
		if at.After(e.heard) {
			e.host, e.known, e.heard = o.Host, true, at
		}
	}
}

// meshed reports whether hosts all tell each other.
func (s *System) meshed() bool { return len(s.entries)+1 <= meshHosts }

// Period is the time between two messages to a host.
func (s *System) Period() time.Duration {
	if s.meshed() {
		return meshPeriod
	}
	return hubPeriod
}

func (s *System) timeout() time.Duration {
	return time.Duration(silences * float64(s.Period()))
}

func (s *System) alive(now time.Time, e *entry) bool {
	return e.known && now.Sub(e.heard) < s.timeout()
}

// Targets returns the hosts to be told now. A host that was returned is told again only after Done.
func (s *System) Targets(now time.Time) []Target {
	var out []Target
	if s.meshed() {
		for address, e := range s.entries {
			// One side of each pair tells, and hears in the answer; the other only if it has not heard for long.
			if s.self > address && now.Sub(e.direct) < 2*meshPeriod {
				continue
			}
			if s.due(now, e) {
				out = append(out, Target{Address: address})
			}
		}
	} else {
		for i, address := range s.hubs(now) {
			if e := s.entries[address]; s.due(now, e) {
				out = append(out, Target{Address: address, Full: i == 0})
			}
		}
	}
	for _, t := range out {
		e := s.entries[t.Address]
		e.busy, e.asked = true, now
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

func (s *System) due(now time.Time, e *entry) bool {
	if e.busy {
		return false
	}
	if now.Sub(e.direct) > unansweredPause && now.Sub(e.asked) < unansweredPause {
		return false
	}
	return now.Sub(e.asked) >= s.Period()*9/10
}

// Done notes that a message to a host has ended, answered or not.
func (s *System) Done(address string) {
	if e := s.entries[address]; e != nil {
		e.busy = false
	}
}

// Audience returns the hosts that this one tells.
func (s *System) Audience(now time.Time) []string {
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

// hubs returns the strongest hosts that answer, or have not been asked yet, this one left out.
func (s *System) hubs(now time.Time) []string {
	out := make([]string, 0, hubs+1)
	for address, e := range s.entries {
		failed := !e.asked.IsZero() && !e.busy && now.Sub(e.direct) > s.timeout() && now.Sub(e.asked) < s.timeout()
		if failed || e.host.Leaving {
			continue
		}
		at := len(out)
		for at > 0 && s.stronger(address, out[at-1]) {
			at--
		}
		if at < hubs {
			out = slices.Insert(out, at, address)
			out = out[:min(len(out), hubs)]
		}
	}
	return out
}

func (s *System) stronger(a, b string) bool {
	if x, y := s.entries[a].host.Weight, s.entries[b].host.Weight; x != y {
		return x > y
	}
	return a < b
}

// Hub reports whether other hosts hear from this one what the store says: it is among the strongest, or there are
// few hosts.
func (s *System) Hub(now time.Time, self Host) bool {
	if s.meshed() {
		return true
	}
	before := 0
	for address, e := range s.entries {
		stronger := e.host.Weight > self.Weight || (e.host.Weight == self.Weight && address < self.Peers)
		if stronger && s.alive(now, e) && !e.host.Leaving {
			before++
		}
	}
	return before < hubs
}

// Up returns the other hosts that are up and take calls, by name.
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

// Seen returns what a hub tells of the hosts that it hears itself.
func (s *System) Seen(now time.Time) []Seen {
	var out []Seen
	for _, e := range s.entries {
		if e.known && now.Sub(e.direct) < s.timeout() {
			out = append(out, Seen{Host: e.host, Ago: now.Sub(e.direct).Milliseconds()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Count returns how many hosts are known, this one included.
func (s *System) Count() int {
	n := 1
	for _, e := range s.entries {
		if e.known {
			n++
		}
	}
	return n
}

// MayLead reports whether this host is among the few that try for a duty: the strongest of those that take calls
// and reach the store. Hosts that can't see each other may all try; the store lets one win.
func (s *System) MayLead(now time.Time, self Host) bool {
	if self.Leaving {
		return false
	}
	before := 0
	for _, h := range s.Up(now) {
		stronger := h.Weight > self.Weight || (h.Weight == self.Weight && h.Name < self.Name)
		if stronger && h.StoreLate < reachesStore.Milliseconds() {
			before++
		}
	}
	return before < leaders
}

// StoreAway reports whether no other host that is up reaches the store.
func (s *System) StoreAway(now time.Time) bool {
	for _, h := range s.Up(now) {
		if h.StoreLate < reachesStore.Milliseconds() {
			return false
		}
	}
	return true
}

// Usage returns what the streams of the other hosts use, but for one, and how many hosts that covers.
func (s *System) Usage(now time.Time, except string) (path.Usage, int) {
	sum := path.NewUsage()
	n := 0
	for address, e := range s.entries {
		if address == except || !e.known || now.Sub(e.direct) >= s.timeout() {
			continue
		}
		n++
		sum.Add(e.usage)
	}
	if !s.meshed() && except == "" && now.Sub(s.told) < usageAge && s.count > n {
		return s.others, s.count
	}
	return sum, n
}
