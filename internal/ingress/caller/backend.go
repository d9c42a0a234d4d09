package caller

import (
	"context"
	"net/http"
	"time"

	"waxwingplank/internal/core/table"
)

// Address is an entry host that a caller may use.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Request has the fields that stream requests and call requests share.
type Request struct {
	ID        table.RequestID
	Service   table.ServiceID
	Workspace table.WorkspaceID
	Kind      string
	Key       string
	// FirstSend is true if the caller declared that no other copy of the request exists.
	FirstSend bool
	// Received is when this host read the head of the request.
	Received time.Time
	// Timeout is zero if the caller set none.
	Timeout time.Duration
	// Hops counts the hosts that forwarded the request.
	Hops int
}

// StreamRequest is a request for a response stream from a model pipeline.
type StreamRequest struct {
	Request
	Preamble    string
	Prompt      string
	MaxTokens   int
	Body        []byte
	LastEventID string
}

// CallRequest is a request for one call to a plain service.
type CallRequest struct {
	Request
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// CallResponse is the response of a plain service.
type CallResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Recorded is true if the response was recorded for an earlier copy of the request.
	Recorded bool
}

// Sink receives the events of one response stream in order.
type Sink interface {
	// Token delivers one token. A caller that reconnects with the id resumes the stream after this token.
	Token(id string, position int, text string) error
	// Done ends the stream after a complete response.
	Done(tokens int, reason string) error
	// Moved sends the caller the address of the host on which to resume, as the last event of the connection.
	Moved(address string) error
}

// Backend decides how requests are handled and runs them. Errors of type *outcome.Refusal are sent to the
// caller unchanged.
type Backend interface {
	// Addresses returns the hosts to use for the service, best first, and how long the caller may cache them.
	Addresses(ctx context.Context, service table.ServiceID) ([]Address, time.Duration, error)
	// Workspace returns the workspace that the credentials allow; name is the requested one.
	Workspace(token, name string, firstSend bool) (table.WorkspaceID, error)
	Stream(ctx context.Context, req StreamRequest, sink Sink) error
	Call(ctx context.Context, req CallRequest) (CallResponse, error)
	// ForwardTarget returns the host that should serve the request instead of this one, if any.
	ForwardTarget(req Request, call *CallRequest) (table.HostID, bool)
	// Forward sends the request to the host and copies its response; started is true if any part of it was written.
	Forward(w http.ResponseWriter, r *http.Request, body []byte, req Request, to table.HostID) (started bool, err error)
}
