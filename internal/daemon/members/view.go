package members

import (
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
)

// View returns all hosts in the membership of this host.
func (m *Members) View() []membership.HostView {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.View()
}

// Behind returns the hosts that may not have adopted the newest generation of a document.
func (m *Members) Behind(service table.ServiceID) []table.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.Behind(service)
}
