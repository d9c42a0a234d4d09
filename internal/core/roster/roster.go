package roster

import (
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/path"
)

const (
	// meshHosts is the largest number of hosts that all report to each other. The number of messages grows with
	// its square.
	meshHosts = 12
	// domainHubs is the number of hosts of a domain that its other hosts report to. The second one takes over within
	// a period if the first one fails.
	domainHubs = 2
	// minPeriod is the interval between two messages to a host. Hosts that choose at the same time with loads of this
	// age prefer the same workers. With many hosts, whose loads take more bytes, periodPerHost makes it longer, up to
	// maxPeriod.
	minPeriod     = 500 * time.Millisecond
	periodPerHost = 2500 * time.Microsecond
	maxPeriod     = time.Second
	// livenessPeriods is the number of the longest periods without a report after which a host counts as down. The
	// fraction tolerates some delay. In a mesh, where no hub has to be replaced first, the shortest ones count.
	livenessPeriods = 2.6
	// listTTL is how long a domain's list is valid after a hub of the domain confirmed it. It covers the takeover by the
	// second hub and the two messages to a host of another domain.
	listTTL = 5 * time.Second
	// usageTTL is how long the usage that a hub reported is valid.
	usageTTL = 3 * time.Second
	// leaderCandidates is how many hosts try to get a duty: one holds it, one stands by.
	leaderCandidates = 2
	// unansweredInterval is the interval between messages to hosts that do not respond, such as removed ones.
	unansweredInterval = 2 * time.Second
	// maxProbes is the number of silent hosts that a hub tries to reach at a time.
	maxProbes = 3
	// forgetAfter is the time after which a host that has gone is forgotten. Until then it counts among those that
	// share the budget for repeats, since it may be partitioned from this host and still running.
	forgetAfter = 10 * time.Minute
	// recentTime is how long a host that was not heard of shares the limits of endpoints.
	recentTime = 15 * time.Second
)

type entry struct {
	host       Host
	registered bool
	// lastSeen is when the host was last known to live, and lastDirect when a report or response of the host itself
	// was last received.
	lastSeen   time.Time
	lastDirect time.Time
	lastSent   time.Time
	// failedAt is when a message to the host last ended without a response; it is zero after a response.
	failedAt time.Time
	inFlight bool
	usage    path.Usage
	// digests identifies the lists that the host has, as it reported them last.
	digests map[string]uint64
}

// domainList is the list of a domain's hosts that another host reported.
type domainList struct {
	digest  uint64
	members map[string]bool
	// confirmed is when a hub of the domain built or confirmed the list.
	confirmed time.Time
}

type timedUsage struct {
	UsageSum
	at time.Time
}

// System is the roster of one host.
type System struct {
	self    Host
	entries map[string]*entry
	lists   map[string]*domainList
	// domainUsages holds what the first hubs of other domains reported, and allUsage what the first hub of this
	// domain reported of all hosts.
	domainUsages map[string]timedUsage
	allUsage     timedUsage
	// usageTaken is when TakeUsage last returned a usage.
	usageTaken time.Time
}

// Config describes a System.
type Config struct {
	// Self is the host's own state.
	Self Host
}

// New returns a roster without other hosts.
func New(cfg Config) *System {
	return &System{self: cfg.Self, entries: map[string]*entry{}, lists: map[string]*domainList{}, domainUsages: map[string]timedUsage{}}
}

// SetSelf replaces the host's own state.
func (s *System) SetSelf(h Host) { s.self = h }

// Add adds the address of a host that may exist. The domain and the weight are used until the host has reported.
func (s *System) Add(address, domain string, weight float64) {
	if address == "" || address == s.self.PeerAddress {
		return
	}
	e := s.entry(address)
	if e.registered {
		return
	}
	e.host.PeerAddress = address
	if domain != "" {
		e.host.Domain = domain
	}
	if weight > 0 {
		e.host.Weight = weight
	}
}

func (s *System) entry(address string) *entry {
	e := s.entries[address]
	if e == nil {
		e = &entry{}
		s.entries[address] = e
	}
	return e
}

// meshed reports whether all hosts report to each other.
func (s *System) meshed() bool { return len(s.entries)+1 <= meshHosts }

// Period returns the interval between two messages to a host.
func (s *System) Period() time.Duration {
	return min(max(time.Duration(len(s.entries))*periodPerHost, minPeriod), maxPeriod)
}

func (s *System) timeout() time.Duration {
	period := maxPeriod
	if s.meshed() {
		period = minPeriod
	}
	return time.Duration(livenessPeriods * float64(period))
}

// alive reports whether a host has reported itself lately or is on a valid list of its domain.
func (s *System) alive(now time.Time, e *entry) bool {
	if !e.registered {
		return false
	}
	if now.Sub(e.lastDirect) < s.timeout() {
		return true
	}
	if s.meshed() {
		// The lists of mesh hosts have no age, so a host that is alive only on lists would never expire from them.
		return false
	}
	list := s.lists[e.host.Domain]
	return list != nil && list.members[e.host.PeerAddress] && now.Sub(list.confirmed) < listTTL
}

// Up returns the other hosts that are alive and accept calls, sorted by name.
func (s *System) Up(now time.Time) []Host {
	var out []Host
	for _, e := range s.entries {
		if s.alive(now, e) && e.host.Serving && !e.host.Leaving {
			out = append(out, e.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Alone reports whether no other host is alive.
func (s *System) Alone(now time.Time) bool {
	for _, e := range s.entries {
		if s.alive(now, e) {
			return false
		}
	}
	return true
}

// Count returns the number of registered hosts, this one included. Hosts that have gone are forgotten after a while.
func (s *System) Count(now time.Time) int {
	n := 1
	for address, e := range s.entries {
		if e.registered && now.Sub(e.lastSeen) > forgetAfter {
			delete(s.entries, address)
			continue
		}
		if e.registered {
			n++
		}
	}
	return n
}

// Recent returns the names of the hosts that lived lately, this one included, sorted. A host that others cannot reach may still
// send requests, so it counts for longer than it takes to count as down.
func (s *System) Recent(now time.Time) []string {
	out := []string{s.self.Name}
	for _, e := range s.entries {
		if e.registered && now.Sub(e.lastSeen) < recentTime {
			out = append(out, e.host.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// MayLead reports whether this host is among the few that try to get a duty: the strongest of those that accept
// calls and reach the store. Hosts that cannot reach each other may all try; the store lets only one succeed.
func (s *System) MayLead(now time.Time) bool {
	if s.self.Leaving {
		return false
	}
	before := 0
	for _, h := range s.Up(now) {
		if !h.StoreLost && ranksAbove(h, s.self) {
			before++
		}
	}
	return before < leaderCandidates
}

// TakeUsage returns the usage of all other hosts, and whether it is newer than what TakeUsage returned before: on a
// follower as soon as the hub has sent it, on other hosts once in each period.
func (s *System) TakeUsage(now time.Time) (UsageSum, bool) {
	due := now.Sub(s.usageTaken) >= s.Period()
	if !s.meshed() && s.rank(now) > 0 && s.allUsage.at.After(s.usageTaken) {
		due = true
	}
	if !due {
		return UsageSum{}, false
	}
	s.usageTaken = now
	return s.usage(now, ""), true
}

// usage returns the usage of all other hosts except one.
func (s *System) usage(now time.Time, except string) UsageSum {
	if s.meshed() {
		return s.directUsage(now, except, "")
	}
	if s.rank(now) > 0 {
		if now.Sub(s.allUsage.at) < usageTTL {
			return s.allUsage.aged(now)
		}
		return s.directUsage(now, except, "")
	}
	sum := s.directUsage(now, except, s.self.Domain)
	for domain, u := range s.domainUsages {
		if domain != s.self.Domain && now.Sub(u.at) < usageTTL {
			sum.Usage.AddAged(u.Usage, now.Sub(u.at))
			sum.Hosts += u.Hosts
		}
	}
	return sum
}

// aged returns a copy of the usage as of now.
func (u timedUsage) aged(now time.Time) UsageSum {
	out := UsageSum{Usage: path.NewUsage(), Hosts: u.Hosts}
	out.Usage.AddAged(u.Usage, now.Sub(u.at))
	return out
}

// directUsage returns the usage of the hosts that report to this one, of one domain or of all.
func (s *System) directUsage(now time.Time, except, domain string) UsageSum {
	sum := UsageSum{Usage: path.NewUsage()}
	for address, e := range s.entries {
		if address == except || !e.registered || now.Sub(e.lastDirect) >= s.timeout() || (domain != "" && e.host.Domain != domain) {
			continue
		}
		sum.Hosts++
		sum.Usage.AddAged(e.usage, now.Sub(e.lastDirect))
	}
	return sum
}
