package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirectory is the largest number of hosts that callers can use from one response of the directory.
	maxDirectory = 64
	// minDomainShare is the smallest capacity with which the hosts of a domain serve its callers alone, as a share of the
	// mean capacity of a domain.
	minDomainShare = 0.5
)

// Directory returns the hosts for callers in a domain, sorted by name. Up to maxDirectory hosts serve all callers. In a
// larger deployment, the hosts of the callers' domain serve them, unless their capacity is too small. If there are still
// too many, the response is a pseudo-random selection, which is the same each time, since callers close their connections
// to hosts that are missing from a new response.
func (s *System) Directory(now time.Time, domain string) []Host {
	hosts := s.Up(now)
	if s.self.Serving && !s.self.Leaving {
		hosts = append(hosts, s.self)
	}
	if len(hosts) > maxDirectory {
		if near := inDomain(hosts, domain); capacity(near) >= minDomainShare*capacity(hosts)/float64(countDomains(hosts)) {
			hosts = near
		}
	}
	if len(hosts) > maxDirectory {
		slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(s.selectionKey(a), s.selectionKey(b)) })
		hosts = hosts[:maxDirectory]
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// selectionKey returns a number by which this host selects others. It differs from host to host and does not change.
func (s *System) selectionKey(h Host) uint64 { return xxhash.Sum64String(s.self.Name + "/" + h.Name) }

func inDomain(hosts []Host, domain string) (out []Host) {
	for _, h := range hosts {
		if h.Domain == domain {
			out = append(out, h)
		}
	}
	return out
}

func capacity(hosts []Host) (sum float64) {
	for _, h := range hosts {
		sum += h.Weight
	}
	return sum
}

func countDomains(hosts []Host) int {
	domains := map[string]bool{}
	for _, h := range hosts {
		domains[h.Domain] = true
	}
	return max(len(domains), 1)
}
