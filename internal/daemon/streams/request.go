package streams

import (
	"time"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// RequestConfig describes a Request.
type RequestConfig struct {
	// Stream identifies a new stream; a resumed stream keeps the identifier in its sealed id.
	Stream    table.StreamID
	Service   table.ServiceID
	Workspace table.WorkspaceID
	Kind      string
	Model     string
	Version   string
	Layers    int
	Priority  int
	Preamble  string
	Prompt    string
	// Body is the body as the caller sent it; the sealed ids are bound to its digest.
	Body            []byte
	MaxTokens       int
	PromptTokens    int
	KVBytesPerToken int64
	// ProgressDue is the time by which the caller expects progress; the zero value means now.
	ProgressDue time.Time
	// Deadline ends the stream; the zero value means none.
	Deadline time.Time
	// Resume is the sealed id after which the stream continues; empty starts a new stream.
	Resume string
	// FirstSend is true if the caller declared this copy to be the first.
	FirstSend bool
	// Handle is passed to Pipelines and Engines for their own use.
	Handle any
}

// Request asks for a new stream or for the continuation of one.
type Request struct{ cfg RequestConfig }

// NewRequest returns a request.
func NewRequest(cfg RequestConfig) Request { return Request{cfg: cfg} }

// Sink receives the response; the Runner calls it from one goroutine.
type Sink interface {
	// Token receives the token at a position with its sealed id; an error means that the caller has disconnected.
	Token(position int, text, id string) error
	// End receives the end of a response that was not refused.
	End(end End) error
}

// EndKind is the way in which a response ended on this host.
type EndKind string

// The ways in which a response ends.
const (
	// EndDone means that the response is complete.
	EndDone EndKind = "done"
	// EndMoved means that the caller resumes on another host.
	EndMoved EndKind = "moved"
)

// End describes the end of a response on this host.
type End struct {
	kind         EndKind
	tokens       int
	finishReason string
}

// Kind returns how the response ended.
func (e End) Kind() EndKind { return e.kind }

// Tokens returns the number of tokens delivered by all hosts.
func (e End) Tokens() int { return e.tokens }

// FinishReason returns the finish reason of the engine.
func (e End) FinishReason() string { return e.finishReason }

// refuse returns a refusal; its outcome depends on whether this copy was sent to an engine.
func (s *session) refuse(code outcome.Code, message string, retry time.Duration) *outcome.Refusal {
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code:       code,
		Message:    message,
		RetryAfter: retry,
		Facts: outcome.Facts{
			// A resumed stream has already been sent to an engine by the host that sealed its id.
			BytesSent: s.sentToEngine || s.req.Resume != "",
			FirstSend: s.req.FirstSend,
		},
	})
}
