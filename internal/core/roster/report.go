package roster

import (
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/path"
)

// Report is the message that hosts send to each other about themselves and others, and the response to it.
type Report struct {
	Host
	// Usage is the load of the sender's streams on workers and links.
	Usage path.Usage `json:"usage"`
	// Want requests the usage of several hosts, which the response contains as AllUsage or DomainUsage. A first hub
	// sends the DomainUsage of its domain in its reports, too.
	Want        UsageWanted `json:"usage_wanted,omitempty"`
	AllUsage    *UsageSum   `json:"all_usage,omitempty"`
	DomainUsage *UsageSum   `json:"domain_usage,omitempty"`
	// Digests identifies the lists of hosts that the sender has, by domain. Domains holds lists that the receiver does
	// not have, and the ages of those that it has.
	Digests map[string]uint64 `json:"digests,omitempty"`
	Domains []DomainState     `json:"domains,omitempty"`
}

// NewReport returns the report to a target.
func (s *System) NewReport(now time.Time, t Target, own path.Usage) Report {
	r := Report{Host: s.self, Usage: own, Want: t.Want, Digests: s.digests()}
	if role := s.Role(now); role == FirstHub || role == MeshHost {
		var known map[string]uint64
		if e := s.entries[t.Address]; e != nil {
			known = e.digests
		}
		r.Domains = s.domains(now, role == FirstHub, known)
	}
	if t.Want == DomainUsage {
		r.DomainUsage = s.domainUsage(now, own, t.Address)
	}
	return r
}

// Respond returns the response to a report that was handled.
func (s *System) Respond(now time.Time, request *Report, own path.Usage) Report {
	r := Report{Host: s.self, Usage: own, Digests: s.digests()}
	switch request.Want {
	case AllUsage:
		r.Domains = s.domains(now, false, request.Digests)
		if s.Role(now) == FirstHub {
			sum := s.usage(now, request.PeerAddress)
			r.AllUsage = sum.with(own)
		}
	case DomainUsage:
		r.Domains = s.domains(now, true, request.Digests)
		r.DomainUsage = s.domainUsage(now, own, request.PeerAddress)
	case NoUsage:
	}
	return r
}

// Handle records a report or response that was sent at the given time or later. It returns whether the sender is new,
// changed or restarted.
func (s *System) Handle(sent time.Time, r *Report) bool {
	changed := s.receiveHost(sent, r.Host, r.Usage)
	if e := s.entries[r.PeerAddress]; e != nil {
		e.digests = r.Digests
	}
	s.receiveDomains(sent, r.Domains)
	if r.DomainUsage != nil && r.Domain != s.self.Domain {
		s.domainUsages[r.Domain] = timedUsage{UsageSum: *r.DomainUsage, at: sent}
	}
	if r.AllUsage != nil {
		s.allUsage = timedUsage{UsageSum: *r.AllUsage, at: sent}
	}
	return changed
}

func (s *System) receiveHost(now time.Time, h Host, usage path.Usage) bool {
	if h.PeerAddress == "" || h.PeerAddress == s.self.PeerAddress {
		return false
	}
	e := s.entry(h.PeerAddress)
	changed := !e.registered || !s.alive(now, e) || e.host.Started != h.Started || e.host.Leaving != h.Leaving
	e.host, e.registered, e.lastSeen, e.lastDirect, e.failedAt, e.usage = h, true, now, now, time.Time{}, usage
	return changed
}

// receiveDomains records the lists of domains that another host reported. Of two lists of a domain, the one that was
// confirmed later applies. A list keeps its age when it is passed on, so that dead hosts expire from it.
func (s *System) receiveDomains(now time.Time, states []DomainState) {
	for _, d := range states {
		confirmed := now.Add(-Age(d.AgeMs))
		list := s.lists[d.Domain]
		if list != nil && !confirmed.After(list.confirmed) {
			continue
		}
		if len(d.Hosts) == 0 {
			if list != nil && list.digest == d.Digest {
				list.confirmed = confirmed
				s.refresh(list)
			}
			continue
		}
		list = &domainList{digest: d.Digest, members: make(map[string]bool, len(d.Hosts)), confirmed: confirmed}
		s.lists[d.Domain] = list
		for _, h := range d.Hosts {
			if h.PeerAddress == "" || h.PeerAddress == s.self.PeerAddress {
				continue
			}
			list.members[h.PeerAddress] = true
			if e := s.entry(h.PeerAddress); !e.registered || confirmed.After(e.lastDirect) {
				e.host, e.registered = h, true
			}
		}
		s.refresh(list)
	}
}

// refresh records that the members of a list were alive when it was confirmed.
func (s *System) refresh(list *domainList) {
	for address := range list.members {
		if e := s.entries[address]; e != nil && list.confirmed.After(e.lastSeen) {
			e.lastSeen = list.confirmed
		}
	}
}

// digests returns the digests of the lists that this host has received, by domain.
func (s *System) digests() map[string]uint64 {
	out := make(map[string]uint64, len(s.lists))
	for domain, list := range s.lists {
		out[domain] = list.digest
	}
	return out
}

// domains returns the lists of all domains, or only of this host's own domain, for a host that has the lists with
// the given digests.
func (s *System) domains(now time.Time, ownOnly bool, digests map[string]uint64) []DomainState {
	byDomain := map[string][]Host{s.self.Domain: {s.self}}
	for _, e := range s.entries {
		if s.alive(now, e) && e.host.Domain != "" && (!ownOnly || e.host.Domain == s.self.Domain) {
			byDomain[e.host.Domain] = append(byDomain[e.host.Domain], e.host)
		}
	}
	out := make([]DomainState, 0, len(byDomain))
	for domain, hosts := range byDomain {
		slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.PeerAddress, b.PeerAddress) })
		d := DomainState{Domain: domain, Digest: digestOf(hosts), AgeMs: s.listAge(now, domain).Milliseconds()}
		if digests[domain] != d.Digest {
			d.Hosts = hosts
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b DomainState) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}

// listAge returns the time since a domain's list was confirmed. First hubs build the list of their own domain from the
// reports of its hosts, and mesh hosts build all lists so.
func (s *System) listAge(now time.Time, domain string) time.Duration {
	if s.meshed() || (domain == s.self.Domain && s.rank(now) == 0) {
		return 0
	}
	if list := s.lists[domain]; list != nil {
		return max(now.Sub(list.confirmed), 0)
	}
	return listTTL
}

// domainUsage returns the usage of the hosts of this domain except one.
func (s *System) domainUsage(now time.Time, own path.Usage, except string) *UsageSum {
	sum := s.directUsage(now, except, s.self.Domain)
	return sum.with(own)
}

// with returns the sum with the usage of one more host.
func (u UsageSum) with(own path.Usage) *UsageSum {
	u.Usage.Add(own)
	u.Hosts++
	return &u
}
