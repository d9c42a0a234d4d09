package membership

import (
	"slices"

	"waxwingplank/internal/core/table"
)

// HostView is an operator's view of one host.
type HostView struct {
	host         Host
	state        State
	loadPermille int
	isRelay      bool
}

// Host returns the addresses and location of the host.
func (k HostView) Host() Host { return k.host }

// State returns the state of the host.
func (k HostView) State() State { return k.state }

// LoadPermille returns the share of the host's capacity in use, in thousandths.
func (k HostView) LoadPermille() int { return k.loadPermille }

// Relay reports whether the host is a relay of its failure domain.
func (k HostView) Relay() bool { return k.isRelay }

// View returns all registered hosts sorted by name.
func (s *System) View() []HostView {
	out := make([]HostView, 0, len(s.rows))
	for _, rows := range s.byDomain {
		relays := 0
		for _, r := range rows {
			relay := relays < relaysPerDomain && (r == s.self || s.canRelay(r))
			if relay {
				relays++
			}
			out = append(out, HostView{host: r.rec.Host, state: r.lifecycle, loadPermille: max(r.rec.LoadPermille, 0), isRelay: relay})
		}
	}
	slices.SortFunc(out, func(a, b HostView) int {
		if a.host.ID < b.host.ID {
			return -1
		}
		return 1
	})
	return out
}

// Behind returns the hosts that may not have adopted the newest generation of a document. Only
// relays have the generations of each host; any other host returns the suspect and unreachable
// ones.
func (s *System) Behind(service table.ServiceID) []table.HostID {
	if f := s.documents[string(service)]; s.isRelay && f != nil {
		return slices.Clone(f.behind)
	}
	var out []table.HostID
	for id, r := range s.rows {
		if r.lifecycle == Suspect || r.lifecycle == Unreachable {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
