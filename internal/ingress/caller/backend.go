package caller

import (
	"context"
	"net/http"
	"time"

	"waxwingplank/internal/core/table"
)

// Address is one entry host that a caller may use.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Request is the part that streams and calls have in common.
type Request struct {
	ID        table.RequestID
	Service   table.ServiceID
	Workspace table.WorkspaceID
	Kind      string
	Key       string
	// FirstSend is true where the caller declared that no other copy of the request exists.
	FirstSend bool
	// Timeout is zero where the caller set none.
	Timeout time.Duration
	// Hops counts the hosts that passed the request on.
	Hops int
}

// StreamRequest asks for an answer stream of a model pipeline.
type StreamRequest struct {
	Request
	Preamble    string
	Prompt      string
	MaxTokens   int
	Body        []byte
	LastEventID string
}

// CallRequest asks for one call of a plain service.
type CallRequest struct {
	Request
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Recorded is true where the answer was recorded by an earlier copy of the request.
	Recorded bool
}

// Sink receives the events of one answer stream in order.
type Sink interface {
	// Token delivers one token; the id resumes the stream after it.
	Token(id string, position int, text string) error
	// Done ends the stream after a whole answer.
	Done(tokens int, reason string) error
	// Moved ends the connection and tells the caller to resume on another host.
	Moved(address string) error
}

// Backend decides about requests and runs them; errors of type *outcome.Refusal reach the caller as they are.
type Backend interface {
	// Addresses returns the hosts to use for the service, best first, and how long to keep them.
	Addresses(ctx context.Context, service table.ServiceID) ([]Address, time.Duration, error)
	// Workspace returns the workspace that the credentials allow; name is the one asked for.
	Workspace(token, name string, firstSend bool) (table.WorkspaceID, error)
	Stream(ctx context.Context, req StreamRequest, sink Sink) error
	Call(ctx context.Context, req CallRequest) (CallAnswer, error)
	// PassOn returns the host that should serve the request instead of this one, if any.
	PassOn(req Request, call *CallRequest) (table.HostID, bool)
	// Forward sends the request to the host and copies its answer; started tells whether an answer part was written.
	Forward(w http.ResponseWriter, r *http.Request, body []byte, req Request, to table.HostID) (started bool, err error)
}
