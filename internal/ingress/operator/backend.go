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
	// ErrNotFound means that the service or the request is unknown.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the object API did not respond and that nothing was written.
	ErrUnavailable = errors.New("the object API is unavailable; nothing was written")
	// ErrOutcomeUnknown means that a write may have taken effect.
	ErrOutcomeUnknown = errors.New("the write may have taken effect; its outcome is unknown")
)

// Conflict is the error of a change that is not based on the stored generation.
type Conflict struct {
	expected uint64
	yours    document.Document
	theirs   document.Document
}

// NewConflict returns a conflict between the submitted and the stored document. The parameter theirs is the zero
// document if none is stored.
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

// Backend is the part of the daemon that the operator interface needs.
//
// The methods that return no error read the memory of this host and must not block.
type Backend interface {
	// IsOperator reports whether the token grants the operator right. It returns true for every token
	// if no tokens are configured.
	IsOperator(token string) bool
	// Documents returns the documents in force on this host, sorted by name.
	Documents() []document.Document
	// Document returns the document in force on this host.
	Document(service table.ServiceID) (document.Document, bool)
	// Service returns the status of one service.
	Service(service table.ServiceID) (ServiceStatus, bool)
	// Apply writes the document as generation expected + 1 if the expected generation is stored
	// (0: the service must not exist) and returns the written document. Its errors are *Conflict,
	// *document.Error, ErrUnavailable and ErrOutcomeUnknown.
	Apply(ctx context.Context, d document.Document, expected uint64) (document.Document, error)
	// Status returns this host's view of the whole deployment.
	Status() Status
	// Addresses returns the hosts that callers of the service should use, best first, and how long
	// they may cache them. It returns ErrNotFound if the service is unknown.
	Addresses(ctx context.Context, service table.ServiceID) ([]Address, time.Duration, error)
	// Drain starts the drain of this host. Further calls have no effect.
	Drain()
	// DrainStatus returns the remaining work on this host.
	DrainStatus() DrainStatus
	// Explain returns the decisions logged on this host about a request, oldest first.
	Explain(request table.RequestID) []Decision
}

// Address is an entry host for callers.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Status is one host's view of the deployment.
type Status struct {
	Host      table.HostID     `json:"host"`
	Hosts     []HostStatus     `json:"hosts"`
	Endpoints []EndpointStatus `json:"endpoints"`
	Services  []ServiceStatus  `json:"services"`
	Leases    []LeaseStatus    `json:"leases"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	Host            table.HostID `json:"host"`
	Address         string       `json:"address"`
	OperatorAddress string       `json:"operator_address,omitempty"`
	FailureDomain   string       `json:"failure_domain"`
	Region          string       `json:"region"`
	State           string       `json:"state"`
	Relay           bool         `json:"relay"`
	LoadPermille    int          `json:"load_permille"`
}

// EndpointStatus is the state of one endpoint.
type EndpointStatus struct {
	Endpoint      table.EndpointID `json:"endpoint"`
	FailureDomain string           `json:"failure_domain,omitempty"`
	// Owner is the host that polls the endpoint and grants its slots.
	Owner table.HostID `json:"owner"`
	// SpeedPermille is the measured speed in thousandths of the speed of a healthy endpoint; 0 means no measurement.
	SpeedPermille int    `json:"speed_permille"`
	Health        string `json:"health"`
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Service table.ServiceID `json:"service"`
	Owner   string          `json:"owner"`
	// Generation is the generation in force on the responding host.
	Generation uint64 `json:"generation"`
	// InForce is the minimum of the generations in force on all reachable hosts.
	InForce uint64 `json:"in_force"`
	// NotInForce lists the hosts without the newest generation, including unreachable ones.
	NotInForce []table.HostID `json:"not_in_force"`
	Short      []Shortage     `json:"short,omitempty"`
	Unplaced   []Unplaced     `json:"unplaced,omitempty"`
}

// Shortage is a resource of which a service has less than it needs.
type Shortage struct {
	Resource  string `json:"what"`
	Wanted    int64  `json:"wanted"`
	Available int64  `json:"available"`
}

// Unplaced is a part of a service without an endpoint, and the reason.
type Unplaced struct {
	Part   string `json:"what"`
	Reason string `json:"why"`
}

// LeaseStatus is the state of one lease.
type LeaseStatus struct {
	Lease  string       `json:"lease"`
	Holder table.HostID `json:"holder"`
	Fence  int64        `json:"fence"`
}

// DrainStatus is the remaining work on a draining host.
type DrainStatus struct {
	Host     table.HostID `json:"host"`
	Draining bool         `json:"draining"`
	Streams  int          `json:"streams"`
	Calls    int          `json:"calls"`
	Leases   int          `json:"leases"`
	// Done is true once no work remains and the process is about to exit.
	Done bool `json:"done"`
}

// Decision is a logged decision about a request.
type Decision struct {
	Time     time.Time      `json:"time"`
	Host     table.HostID   `json:"host,omitempty"`
	Decision string         `json:"decision"`
	Fields   map[string]any `json:"fields,omitempty"`
}
