package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/path"
)

// Call is a caller's request.
type Call struct {
	// ID is the caller's identifier of this attempt.
	ID     string
	Key    string
	Method string
	// Target is the request target as the caller wrote it, Path its path.
	Target string
	Path   string
	Host   string
	// Header holds the header fields that are forwarded unchanged.
	Header http.Header
	Body   io.Reader
	// Length is -1 for a chunked body.
	Length   int64
	Received time.Time
	// Deadline is how long the caller waits, or zero if it does not say.
	Deadline time.Duration
	// ResumeAfter is the ID of the last event that the caller has, or empty.
	ResumeAfter string
	// PromptTokens is the number of tokens to read, AnswerTokens the caller's estimate of the number to generate.
	PromptTokens int
	AnswerTokens int
	// MaxAnswerTokens is the largest number of tokens to generate.
	MaxAnswerTokens int
	// PromptParts holds the IDs of the parts of the prompt, in order. Calls share parts; the last one belongs to the call
	// itself or to its session.
	PromptParts []string
}

// SendRequest is one send of a call to an endpoint.
type SendRequest struct {
	Call      *Call
	Endpoint  deployment.Endpoint
	Workspace string
	// Class is the class of the call if the configuration has more than one for the service, or else nil.
	Class *deployment.Class
	// Path is empty for plain services.
	Path path.Path
	// TimeLeft is the time that remains for the endpoint.
	TimeLeft    time.Duration
	ResumeAfter string
	Body        io.Reader
	// NewConnection requests a new connection.
	NewConnection bool
}

// Reply is the response of an endpoint.
type Reply struct {
	Status int
	// Header holds the header fields that are forwarded to the caller.
	Header http.Header
	Length int64
	Body   io.ReadCloser
	// NotRun is true if the endpoint states that it has not run the request.
	NotRun bool
	// FaultyAddress is the address of the endpoint that caused a refusal, if the response names one.
	FaultyAddress string
	// Pause is how long the endpoint that caused a refusal wants no requests from this host, or 0. InvalidPause is the text of
	// a pause that means nothing.
	Pause        time.Duration
	InvalidPause string
	// Limit is the rate in requests per second that the endpoint takes from all hosts together, if Limited is set. InvalidLimit is
	// the text of a limit that means nothing.
	Limit        float64
	Limited      bool
	InvalidLimit string
	// Verified is true for a response with the endpoint's proof of origin and an unencoded body.
	Verified bool
	// CloseDelimited is true if the end of the endpoint's connection is all that marks the end of the body.
	CloseDelimited bool
}

// isStream reports whether the reply is a genuine stream.
func (r *Reply) isStream() bool { return r.Status == http.StatusOK && !r.NotRun && r.Verified }

// isGenuine reports whether the reply is certainly of the instance to which the request was sent.
func (r *Reply) isGenuine() bool {
	return (r.Verified || r.NotRun) && r.Status != http.StatusMisdirectedRequest
}

// Endpoints sends requests to endpoints.
type Endpoints interface {
	// Send sends a request once. Pass its error to MayHaveSent to find out whether the request may have reached
	// the endpoint.
	Send(ctx context.Context, s SendRequest) (*Reply, error)
	// MayHaveSent reports whether a request that failed with the error may have reached the endpoint.
	MayHaveSent(err error) bool
	// ConnectionRefused reports whether a request failed with the error because nothing listens at the endpoint's address.
	ConnectionRefused(err error) bool
	// Connect opens a connection to an endpoint and closes it. Pass its error to ConnectionRefused.
	Connect(ctx context.Context, endpoint deployment.Endpoint) error
	// OnLeaving sets the function that is called, possibly by several goroutines at once, with each endpoint that says in a
	// response of any kind that it is about to stop. It is called before the first request.
	OnLeaving(f func(endpoint deployment.Endpoint))
	// Slowdown asks an endpoint for its slowdown, a factor where 1 is normal speed.
	Slowdown(ctx context.Context, endpoint deployment.Endpoint) (float64, error)
	// Reroute moves a running stream to another path with the same first worker.
	Reroute(ctx context.Context, endpoint deployment.Endpoint, call string, p path.Path) error
}

// Logger writes one line per decision on a request.
type Logger interface {
	Decision(request, decision string, fields map[string]any)
}

// The fields that several decisions share.
const (
	fieldError    = "error"
	fieldSends    = "sends"
	fieldEvents   = "events"
	fieldPath     = "path"
	fieldStatus   = "status"
	fieldEndpoint = "endpoint"
	fieldCause    = "cause"
	fieldParts    = "parts"
	fieldContent  = "content"
	fieldAddress  = "address"
	fieldClass    = "class"
)
