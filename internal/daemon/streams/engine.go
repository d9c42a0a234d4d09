package streams

import (
	"context"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/table"
)

// Engines gives access to the engines of all pipelines; it is safe for concurrent use.
type Engines interface {
	// Open starts an attempt; the context ends the attempt's connection.
	Open(ctx context.Context, req OpenRequest) (Stream, error)
	// Cancel cancels an attempt on one stage.
	Cancel(ctx context.Context, stage table.Stage, id table.StreamID, attempt int) error
	// Export returns a handle under which other engines import the KV cache of an attempt.
	Export(ctx context.Context, head table.Stage, id table.StreamID, attempt int) (string, error)
	// Incarnation queries the incarnation of an endpoint with a new request.
	Incarnation(ctx context.Context, stage table.Stage) (uint64, error)
}

// ErrNotSent is wrapped by an error of Open if no byte of the request reached the endpoint, for example because
// the connection was refused. Such an attempt cannot have crashed the endpoint.
var ErrNotSent = eris.New("streams: no byte was sent")

// Stream yields the events of one attempt.
type Stream interface {
	// Next returns the next event; it must return once the context passed to Open has ended.
	Next() (Event, error)
	Close() error
}

// OpenRequest holds the parameters with which the engines of a pipeline start an attempt.
type OpenRequest struct {
	Stream    table.StreamID
	Attempt   int
	Service   table.ServiceID
	Workspace table.WorkspaceID
	Model     string
	Version   string
	Priority  int
	Pipeline  table.Pipeline
	Prompt    string
	Preamble  string
	// Generated holds the delivered tokens from position 0, or nil if this host does not have them.
	Generated []string
	// Position is the first position to generate.
	Position  int
	MaxTokens int
	// KVHandle identifies the exported KV cache to import; empty means none.
	KVHandle string
	// Handle is the Handle of the RequestConfig.
	Handle any
}

// Event is one message of an engine during an attempt.
type Event interface{ event() }

// Token is one generated token with its receipt.
type Token struct {
	receipt  receipt.Receipt
	position int
	text     string
}

// NewToken returns a token with its receipt.
func NewToken(cfg receipt.Config, text string) Token {
	return Token{receipt: receipt.New(cfg), position: cfg.Position, text: text}
}

// Heartbeat reports that the engine is alive while it has no token to send.
type Heartbeat struct{}

// NewHeartbeat returns a heartbeat.
func NewHeartbeat() Heartbeat { return Heartbeat{} }

// Done reports that the response is complete.
type Done struct {
	tokens       int
	finishReason string
}

// NewDone returns the end of a response; tokens counts the tokens of all attempts.
func NewDone(tokens int, finishReason string) Done {
	return Done{tokens: tokens, finishReason: finishReason}
}

// FailureConfig describes a Failure.
type FailureConfig struct {
	Code    string
	Message string
	// Stage is the endpoint that caused the failure; empty if the engine names none.
	Stage table.EndpointID
	// Permanent is true if the same request fails on every engine.
	Permanent bool
}

// Failure reports that the engine cannot continue the attempt.
type Failure struct{ cfg FailureConfig }

// NewFailure returns a failure.
func NewFailure(cfg FailureConfig) Failure { return Failure{cfg: cfg} }

func (Token) event()     {}
func (Heartbeat) event() {}
func (Done) event()      {}
func (Failure) event()   {}

// Marks sends crash marks to all peers.
type Marks interface {
	// Spread sends marks and returns once every reachable peer has acknowledged them or the context has ended.
	Spread(ctx context.Context, marks []quarantine.Mark) error
}
