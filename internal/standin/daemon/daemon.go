package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/ingress/operator"
)

// Fault is an injected fault.
type Fault string

// The kinds of faults.
const (
	// None is normal operation.
	None Fault = ""
	// Unavailable rejects writes before they take effect.
	Unavailable Fault = "unavailable"
	// Unknown lets writes take effect and returns operator.ErrUnknown, as if the response was lost.
	Unknown Fault = "unknown"
	// HostCStalled keeps host c from adopting documents and the streams of a drain from ending.
	HostCStalled Fault = "stuck"
	// ListenersOpen keeps a drain from completing after its last stream has ended, because the listeners for
	// callers stay open.
	ListenersOpen Fault = "listening"
	// Unreachable cuts off the connection to host c. The other hosts adopt documents, and the generation in
	// force does not wait for host c.
	Unreachable Fault = "cut-off"
)

var hostIDs = []table.HostID{"a", "b", "c"}

// Daemon implements operator.Backend in memory.
type Daemon struct {
	mu          sync.Mutex
	fault       Fault
	tokens      []string
	stored      map[table.ServiceID]document.Document
	adopted     map[table.ServiceID][]uint64
	requests    map[table.RequestID][]operator.Decision
	peers       []string
	draining    bool
	streamsLeft int
	writes      int
}

// New returns a daemon that has no documents and three streams to drain.
func New() *Daemon {
	return &Daemon{
		stored:      map[table.ServiceID]document.Document{},
		adopted:     map[table.ServiceID][]uint64{},
		requests:    map[table.RequestID][]operator.Decision{},
		streamsLeft: 3,
	}
}

var _ operator.Backend = (*Daemon)(nil)

// SetFault replaces the injected fault.
func (d *Daemon) SetFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// AddToken adds an operator token. Until the first one is added, every token is accepted.
func (d *Daemon) AddToken(token string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokens = append(d.tokens, token)
}

// AddPeer sets the operator address of the next host in the status.
func (d *Daemon) AddPeer(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = append(d.peers, address)
}

// AddDecision adds a decision for a request.
func (d *Daemon) AddDecision(request table.RequestID, line operator.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[request] = append(d.requests[request], line)
}

// Writes returns the number of writes that took effect.
func (d *Daemon) Writes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writes
}

// IsOperator implements operator.Backend.
func (d *Daemon) IsOperator(token string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.tokens) == 0 || slices.Contains(d.tokens, token)
}

// Documents implements operator.Backend.
func (d *Daemon) Documents() []document.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []document.Document
	for _, v := range d.stored {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b document.Document) int { return strings.Compare(string(a.Service()), string(b.Service())) })
	return out
}

// Document implements operator.Backend.
func (d *Daemon) Document(service table.ServiceID) (document.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, ok := d.stored[service]
	return v, ok
}

// Service implements operator.Backend. With each call, one more host adopts the newest generation.
func (d *Daemon) Service(service table.ServiceID) (operator.ServiceStatus, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, ok := d.stored[service]
	if !ok {
		return operator.ServiceStatus{}, false
	}
	s := operator.ServiceStatus{
		Service: service, Owner: v.Owner(), Generation: v.Generation(), InForce: v.Generation(), NotInForce: []table.HostID{},
	}
	for i, g := range d.adopted[service] {
		if g == v.Generation() {
			continue
		}
		s.NotInForce = append(s.NotInForce, hostIDs[i])
		if d.fault != Unreachable || hostIDs[i] != "c" {
			s.InForce = min(s.InForce, g)
		}
	}
	for i, g := range d.adopted[service] {
		blocked := hostIDs[i] == "c" && (d.fault == HostCStalled || d.fault == Unreachable)
		if g != v.Generation() && !blocked {
			d.adopted[service][i] = v.Generation()
			break
		}
	}
	return s, true
}

// Apply implements operator.Backend.
func (d *Daemon) Apply(_ context.Context, v document.Document, expected uint64) (document.Document, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault == Unavailable {
		return document.Document{}, operator.ErrUnavailable
	}
	current := d.stored[v.Service()]
	if current.Generation() != expected {
		return document.Document{}, operator.NewConflict(expected, v.WithGeneration(expected+1), current)
	}
	next := v.WithGeneration(expected + 1)
	d.stored[v.Service()] = next
	d.writes++
	if d.adopted[v.Service()] == nil {
		d.adopted[v.Service()] = make([]uint64, len(hostIDs))
	}
	if d.fault == Unknown {
		return document.Document{}, operator.ErrOutcomeUnknown
	}
	return next, nil
}

// Status implements operator.Backend.
func (d *Daemon) Status() operator.Status {
	s := operator.Status{
		Host: "a",
		Hosts: []operator.HostStatus{
			{Host: "a", Address: "127.0.0.1:8100", FailureDomain: "x", Region: "r", State: "live", Relay: true, LoadPermille: 125},
			{Host: "b", Address: "127.0.0.1:8200", FailureDomain: "y", Region: "r", State: "leaving", LoadPermille: 0},
		},
		Endpoints: []operator.EndpointStatus{
			{Endpoint: "127.0.0.1:7101", FailureDomain: "x", Owner: "a", SpeedPermille: 400, Health: "degraded"},
		},
		Leases: []operator.LeaseStatus{{Lease: "placement", Holder: "a", Fence: 17}},
	}
	for _, v := range d.Documents() {
		service, _ := d.Service(v.Service())
		service.Short = []operator.Shortage{{Resource: "slots", Wanted: 12, Available: 8}}
		service.Unplaced = []operator.Unplaced{{Part: "layers 12-24", Reason: "no endpoint has 1200000000 bytes free"}}
		s.Services = append(s.Services, service)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, p := range d.peers {
		s.Hosts[i].OperatorAddress = p
	}
	return s
}

// Addresses implements operator.Backend.
func (d *Daemon) Addresses(_ context.Context, service table.ServiceID) ([]operator.Address, time.Duration, error) {
	if _, ok := d.Document(service); !ok {
		return nil, 0, operator.ErrNotFound
	}
	return []operator.Address{{Address: "127.0.0.1:8100", FailureDomain: "x"}}, 5 * time.Second, nil
}

// Drain implements operator.Backend.
func (d *Daemon) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// DrainStatus implements operator.Backend. With each call during a drain, one stream ends.
func (d *Daemon) DrainStatus() operator.DrainStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := operator.DrainStatus{Host: "a", Draining: d.draining, Streams: d.streamsLeft, Done: d.draining && d.streamsLeft == 0 && d.fault != ListenersOpen}
	if d.draining && d.streamsLeft > 0 && d.fault != HostCStalled {
		d.streamsLeft--
	}
	return s
}

// Explain implements operator.Backend.
func (d *Daemon) Explain(request table.RequestID) []operator.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.requests[request])
}
