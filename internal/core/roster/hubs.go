package roster

import (
	"slices"
	"strings"
	"time"
)

// ranksAbove reports whether a is preferred to b as a hub: a host that reaches the store, then the stronger one.
func ranksAbove(a, b Host) bool {
	if a.StoreLost != b.StoreLost {
		return b.StoreLost
	}
	return stronger(a, b)
}

// stronger reports whether a has more capacity than b, or the lower address if both have the same.
func stronger(a, b Host) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return a.PeerAddress < b.PeerAddress
}

// ranked returns the best hosts of a domain without this one, best first. If none of them is alive, it returns those
// that may be back.
func (s *System) ranked(now time.Time, domain string, most int) []Host {
	best := func(eligible func(*entry) bool) (out []Host) {
		for _, e := range s.entries {
			if e.host.Domain != domain || e.host.Leaving || s.failing(now, e) || !eligible(e) {
				continue
			}
			at, _ := slices.BinarySearchFunc(out, e.host, compareRank)
			if at < most {
				out = slices.Insert(out, at, e.host)
				out = out[:min(len(out), most)]
			}
		}
		return out
	}
	if out := best(func(e *entry) bool { return s.alive(now, e) }); len(out) > 0 {
		return out
	}
	return best(func(*entry) bool { return true })
}

func compareRank(a, b Host) int {
	switch {
	case ranksAbove(a, b):
		return -1
	case ranksAbove(b, a):
		return 1
	default:
		return 0
	}
}

// failing reports whether the host did not respond to a recent message and has not reported since.
func (s *System) failing(now time.Time, e *entry) bool {
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) < unansweredInterval && now.Sub(e.lastDirect) > s.Period()
}

// rank returns how many live hosts of this host's domain are preferred to it as hubs.
func (s *System) rank(now time.Time) int {
	n := 0
	for _, e := range s.entries {
		if e.host.Domain == s.self.Domain && !e.host.Leaving && s.alive(now, e) && !s.failing(now, e) && ranksAbove(e.host, s.self) {
			n++
		}
	}
	return n
}

// Role is a host's part in the exchange of state.
type Role string

// The roles.
const (
	// MeshHost reports to all other hosts of a small deployment.
	MeshHost Role = "mesh"
	// FirstHub sends the other hosts of its domain the data of the store and of the other domains.
	FirstHub Role = "first_hub"
	// SecondHub receives the same reports as the first hub, to take over from it.
	SecondHub Role = "second_hub"
	// Follower reports to the hubs of its domain.
	Follower Role = "follower"
)

// Role returns this host's role. Hosts that disagree on who is a hub send some messages more, and nothing else.
func (s *System) Role(now time.Time) Role {
	if s.meshed() {
		return MeshHost
	}
	switch n := s.rank(now); {
	case n == 0:
		return FirstHub
	case n < domainHubs:
		return SecondHub
	default:
		return Follower
	}
}

// Hub returns the peer address of the first hub of this host's domain, or an empty string in a mesh.
func (s *System) Hub(now time.Time) string {
	switch s.Role(now) {
	case MeshHost:
		return ""
	case FirstHub:
		return s.self.PeerAddress
	case SecondHub, Follower:
	}
	if best := s.ranked(now, s.self.Domain, 1); len(best) > 0 {
		return best[0].PeerAddress
	}
	return s.self.PeerAddress
}

// Targets returns the hosts to send reports to now. A host that was returned is not returned again before Done.
func (s *System) Targets(now time.Time) []Target {
	var out []Target
	for _, t := range s.recipients(now) {
		e := s.entries[t.Address]
		if !s.due(now, e) {
			continue
		}
		e.inFlight, e.lastSent = true, now
		out = append(out, t)
	}
	return out
}

// recipients returns the hosts that this one reports to, due or not, sorted by address.
func (s *System) recipients(now time.Time) []Target {
	var out []Target
	switch {
	case s.meshed():
		for address, e := range s.entries {
			// One host of each pair sends its report and receives the other's in the response. The other one
			// sends only if it has received no report for long.
			if s.self.PeerAddress > address && now.Sub(e.lastDirect) < 2*minPeriod {
				continue
			}
			// A host of a larger deployment that has just started knows few others yet, so it asks for all.
			out = append(out, Target{Address: address, Want: AllUsage})
		}
	case s.rank(now) == 0:
		out = s.hubRecipients(now)
	default:
		for i, h := range s.ranked(now, s.self.Domain, domainHubs) {
			t := Target{Address: h.PeerAddress}
			if i == 0 {
				t.Want = AllUsage
			}
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.Address, b.Address) })
	return slices.CompactFunc(out, func(a, b Target) bool { return a.Address == b.Address })
}

// hubRecipients returns the first hubs of the other domains, and some silent hosts that may be back: those whose
// domain is unknown, and those that would be preferred to this one as hubs.
func (s *System) hubRecipients(now time.Time) []Target {
	var out []Target
	domains := map[string]bool{}
	probes := 0
	for _, address := range s.silent(now) {
		if probes < maxProbes {
			out = append(out, Target{Address: address, Want: AllUsage})
			probes++
		}
	}
	for _, e := range s.entries {
		if e.host.Domain != "" && e.host.Domain != s.self.Domain {
			domains[e.host.Domain] = true
		}
	}
	for domain := range domains {
		for _, h := range s.ranked(now, domain, 1) {
			e := s.entries[h.PeerAddress]
			// One of two first hubs sends, the other one only if it has received no report for long.
			if s.self.PeerAddress > h.PeerAddress && now.Sub(e.lastDirect) < 2*s.Period() {
				continue
			}
			out = append(out, Target{Address: h.PeerAddress, Want: DomainUsage})
		}
	}
	return out
}

// silent returns the hosts that do not report to this one although they may be hubs: those of unknown domain, and the
// stronger ones of this domain. What such a host last said of its connection to the store may be out of date, so it does
// not count here. The host to which no message was sent for longest comes first.
func (s *System) silent(now time.Time) []string {
	var out []string
	for address, e := range s.entries {
		mayBeHub := e.host.Domain == "" || (e.host.Domain == s.self.Domain && stronger(e.host, s.self))
		if mayBeHub && now.Sub(e.lastDirect) >= s.timeout() && !s.failing(now, e) {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if c := s.entries[a].lastSent.Compare(s.entries[b].lastSent); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return out
}

func (s *System) due(now time.Time, e *entry) bool {
	if e.inFlight || (now.Sub(e.lastDirect) > unansweredInterval && now.Sub(e.lastSent) < unansweredInterval) {
		return false
	}
	return now.Sub(e.lastSent) >= s.Period()*9/10
}

// Done records that a message to a host has ended.
func (s *System) Done(now time.Time, address string, answered bool) {
	e := s.entries[address]
	if e == nil {
		return
	}
	e.inFlight = false
	if answered {
		e.failedAt = time.Time{}
	} else {
		e.failedAt = now
	}
}

// Recipients returns the hosts that this one reports to.
func (s *System) Recipients(now time.Time) []string {
	if s.meshed() {
		out := make([]string, 0, len(s.entries))
		for address := range s.entries {
			out = append(out, address)
		}
		slices.Sort(out)
		return out
	}
	var out []string
	for _, t := range s.recipients(now) {
		out = append(out, t.Address)
	}
	return out
}
