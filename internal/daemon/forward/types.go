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
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   io.Reader
	// Length is -1 where the body comes in chunks.
	Length   int64
	Received time.Time
	// Deadline is how long the caller waits; zero where it does not say.
	Deadline time.Duration
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
	// Prompt is the number of tokens to be read, Answer the caller's estimate of those to be written.
	Prompt int
	Answer int
	// MaxAnswer is the largest number of tokens to be written.
	MaxAnswer int
}

// Send is one sending of a call to an endpoint.
type Send struct {
	Call      *Call
	Endpoint  deployment.Endpoint
	Workspace string
	// Path is empty for plain services.
	Path path.Path
	// Left is how long the endpoint may work.
	Left        time.Duration
	ResumeAfter string
	Body        io.Reader
	// Fresh asks for a new connection.
	Fresh bool
}

// Reply is the answer of an endpoint.
type Reply struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	Length int64
	Body   io.ReadCloser
	// NotRun is true where the endpoint states that it has not run the request.
	NotRun bool
	// Fault is the address of the endpoint that is at fault, where the answer names one.
	Fault string
	// Genuine is true for an answer with the endpoint's proof of origin and an unencoded body.
	Genuine bool
}

// Endpoints sends requests to endpoints.
type Endpoints interface {
	// Send sends a request once. The error says by Sent whether it may have reached the endpoint.
	Send(ctx context.Context, s Send) (*Reply, error)
	// Sent reports whether a request that failed with the error may have reached the endpoint.
	Sent(err error) bool
	// Slowdown asks an endpoint how slow it is; 1 is its usual speed.
	Slowdown(ctx context.Context, endpoint deployment.Endpoint) (float64, error)
	// Reroute moves a running stream to another path with the same first worker.
	Reroute(ctx context.Context, endpoint deployment.Endpoint, call string, p path.Path) error
}

// Logger writes one line for a decision on a request.
type Logger interface {
	Decision(request, decision string, fields map[string]any)
}

// The fields of log lines that several decisions have.
const (
	fieldError    = "error"
	fieldSends    = "sends"
	fieldEvents   = "events"
	fieldPath     = "path"
	fieldStatus   = "status"
	fieldEndpoint = "endpoint"
	fieldCause    = "cause"
)
