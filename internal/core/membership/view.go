package membership

import (
	"slices"

	"waxwingplank/internal/core/table"
)

// Known is what this host knows about one host, for operators.
type Known struct {
	host  Host
	state State
	load  int
	relay bool
}

// Host returns where the host is.
func (k Known) Host() Host { return k.host }

// State returns the state of the host.
func (k Known) State() State { return k.state }

// LoadPermille returns the part of the host's capacity in use, in thousandths.
func (k Known) LoadPermille() int { return k.load }

// Relay reports whether the host relays for its failure domain.
func (k Known) Relay() bool { return k.relay }

// View returns all hosts that this host knows, in the order of their names.
func (s *System) View() []Known {
	out := make([]Known, 0, len(s.rows))
	for _, rows := range s.order {
		relays := 0
		for _, r := range rows {
			relay := relays < relaysPerDomain && (r == s.self || s.candidate(r))
			if relay {
				relays++
			}
			out = append(out, Known{host: r.rec.Host, state: r.life, load: max(r.rec.LoadPermille, 0), relay: relay})
		}
	}
	slices.SortFunc(out, func(a, b Known) int {
		if a.host.ID < b.host.ID {
			return -1
		}
		return 1
	})
	return out
}

// Behind returns the hosts that are not known to have adopted the newest generation of a document. Only
// relays know the generations of each host; any other host names those that cannot be reached.
func (s *System) Behind(service table.ServiceID) []table.HostID {
	if f := s.force[string(service)]; s.isRelay && f != nil {
		return slices.Clone(f.behind)
	}
	var out []table.HostID
	for id, r := range s.rows {
		if r.life == Suspect || r.life == Unreachable {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
