package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/table"
)

// The errors that a Backend returns besides Conflict.
var (
	// ErrNotFound means that the service or the request is not known.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the object API did not answer and that nothing was written.
	ErrUnavailable = errors.New("the object API is unavailable; nothing was written")
	// ErrUnknown means that a write may have taken effect.
	ErrUnknown = errors.New("the write may have taken effect; its outcome is unknown")
)

// Conflict is the error of a change that is based on another generation than the stored one.
type Conflict struct {
	expected uint64
	yours    document.Document
	theirs   document.Document
}

// NewConflict returns a conflict; theirs is the zero document where none is stored.
func NewConflict(expected uint64, yours, theirs document.Document) *Conflict {
	return &Conflict{expected: expected, yours: yours, theirs: theirs}
}

// Error implements error.
func (c *Conflict) Error() string {
	if c.theirs.Service() == "" {
		return fmt.Sprintf("the change of %s is based on generation %d, but no document is stored", c.yours.Service(), c.expected)
	}
	return fmt.Sprintf("the change of %s is based on generation %d, but generation %d is stored",
		c.yours.Service(), c.expected, c.theirs.Generation())
}

// Backend is the daemon as operators see it.
//
// The methods without an error read the memory of this host and must not block.
type Backend interface {
	// Operator reports whether the token carries the operator right; it is true for every token
	// where none are configured.
	Operator(token string) bool
	// Documents returns the documents in force on this host in the order of their names.
	Documents() []document.Document
	// Document returns the document in force on this host.
	Document(service table.ServiceID) (document.Document, bool)
	// Service returns the status of one service.
	Service(service table.ServiceID) (ServiceStatus, bool)
	// Apply writes the document as generation expected + 1 where the expected generation is stored
	// (0: the service must not exist) and returns it as written. Its errors are *Conflict,
	// *document.Error, ErrUnavailable and ErrUnknown.
	Apply(ctx context.Context, d document.Document, expected uint64) (document.Document, error)
	// Status returns what this host knows about the whole deployment.
	Status() Status
	// Addresses returns the hosts that callers of the service should use, best first, and how long
	// they keep them; ErrNotFound where the service is not known.
	Addresses(ctx context.Context, service table.ServiceID) ([]Address, time.Duration, error)
	// Drain starts the drain of this host; a further call has no effect.
	Drain()
	// DrainStatus returns what is left on this host.
	DrainStatus() DrainStatus
	// Explain returns the decisions logged on this host for a request, oldest first.
	Explain(request table.RequestID) []Decision
}

// Address is one entry host for callers.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Status is the state of the deployment as one host knows it.
type Status struct {
	Host      table.HostID     `json:"host"`
	Hosts     []HostStatus     `json:"hosts"`
	Endpoints []EndpointStatus `json:"endpoints"`
	Services  []ServiceStatus  `json:"services"`
	Leases    []LeaseStatus    `json:"leases"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	Host          table.HostID `json:"host"`
	Address       string       `json:"address"`
	Operator      string       `json:"operator_address,omitempty"`
	FailureDomain string       `json:"failure_domain"`
	Region        string       `json:"region"`
	State         string       `json:"state"`
	Relay         bool         `json:"relay"`
	LoadPermille  int          `json:"load_permille"`
}

// EndpointStatus is the state of one endpoint.
type EndpointStatus struct {
	Endpoint      table.EndpointID `json:"endpoint"`
	FailureDomain string           `json:"failure_domain,omitempty"`
	// Owner is the host that polls the endpoint and grants its slots.
	Owner table.HostID `json:"owner"`
	// SpeedPermille is the measured speed in thousandths of the speed of a healthy endpoint.
	SpeedPermille int    `json:"speed_permille"`
	Health        string `json:"health"`
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Service table.ServiceID `json:"service"`
	Owner   string          `json:"owner"`
	// Generation is the one in force on the host that answers.
	Generation uint64 `json:"generation"`
	// InForce is the minimum generation adopted by all hosts that can be reached.
	InForce uint64 `json:"in_force"`
	// NotInForce names the hosts without the newest generation, unreachable ones included.
	NotInForce []table.HostID `json:"not_in_force"`
	Short      []Shortage     `json:"short,omitempty"`
	Unplaced   []Unplaced     `json:"unplaced,omitempty"`
}

// Shortage says which capacity a service lacks.
type Shortage struct {
	What      string `json:"what"`
	Wanted    int64  `json:"wanted"`
	Available int64  `json:"available"`
}

// Unplaced says why a part of a service has no endpoint.
type Unplaced struct {
	What string `json:"what"`
	Why  string `json:"why"`
}

// LeaseStatus is the state of one lease.
type LeaseStatus struct {
	Lease  string       `json:"lease"`
	Holder table.HostID `json:"holder"`
	Fence  int64        `json:"fence"`
}

// DrainStatus is what is left on a host that leaves.
type DrainStatus struct {
	Host     table.HostID `json:"host"`
	Draining bool         `json:"draining"`
	Streams  int          `json:"streams"`
	Calls    int          `json:"calls"`
	Leases   int          `json:"leases"`
	// Done is true once nothing is left and the process is about to exit.
	Done bool `json:"done"`
}

// Decision is one logged decision about a request.
type Decision struct {
	Time     time.Time      `json:"time"`
	Host     table.HostID   `json:"host,omitempty"`
	Decision string         `json:"decision"`
	Fields   map[string]any `json:"fields,omitempty"`
}
