package stream

import (
	"time"

	"waxwingplank/internal/core/table"
)

// Event is something that happened to a stream or to an endpoint.
type Event interface{ event() }

// Method is a way to begin or go on with a stream.
type Method string

// The methods of an attempt.
const (
	// Fresh generates from the prompt.
	Fresh Method = "fresh"
	// Continue goes on with the state that the engines still hold.
	Continue Method = "continue"
	// Import moves the KV cache from the old endpoints.
	Import Method = "import"
	// Prefill recomputes the state from prompt and generated tokens.
	Prefill Method = "prefill"
	// Regenerate repeats the answer from position 0 and compares it with the delivered text.
	Regenerate Method = "regenerate"
)

// OpenedConfig describes Opened.
type OpenedConfig struct {
	Stream   table.StreamID
	Priority int
	// Promised is the time by which the caller expects progress; the oldest promise recovers first.
	Promised time.Time
	// Deadline ends the stream; the zero value means none.
	Deadline time.Time
	// FirstAttempt is the number of the first attempt on this host.
	FirstAttempt int
	// Route is the pipeline that a resumed stream ran on; empty for a new stream.
	Route string
	// Position is the first position to deliver.
	Position        int
	PromptTokens    int
	KVBytesPerToken int64
}

// Opened says that a caller asked for a stream, or for the rest of one.
type Opened struct{ cfg OpenedConfig }

// NewOpened returns the event.
func NewOpened(cfg OpenedConfig) Opened { return Opened{cfg: cfg} }

// AssignedConfig describes Assigned.
type AssignedConfig struct {
	Stream   table.StreamID
	Pipeline table.Pipeline
	// FreeSlots is the number of free slots of the pipeline before this assignment.
	FreeSlots int
}

// Assigned says that a pipeline was found for a stream that asked for one.
type Assigned struct{ cfg AssignedConfig }

// NewAssigned returns the event.
func NewAssigned(cfg AssignedConfig) Assigned { return Assigned{cfg: cfg} }

// Unassigned says that no pipeline can be had for a stream.
type Unassigned struct{ stream table.StreamID }

// NewUnassigned returns the event.
func NewUnassigned(id table.StreamID) Unassigned { return Unassigned{stream: id} }

// Progress tells the next position of a stream; it is sent now and then, not for every token.
type Progress struct {
	stream   table.StreamID
	position int
}

// NewProgress returns the event.
func NewProgress(id table.StreamID, position int) Progress {
	return Progress{stream: id, position: position}
}

// FailedConfig describes AttemptFailed.
type FailedConfig struct {
	Stream   table.StreamID
	Attempt  int
	Position int
	// Progressed is true where the attempt brought a token.
	Progressed bool
	// TextKnown is true where this host holds the whole delivered text.
	TextKnown bool
	// HeadAnswers is true where every stage still answers with its old incarnation.
	HeadAnswers bool
	// ExportAnswers is true where the old endpoints still answer and can export KV cache.
	ExportAnswers bool
	// Avoid lists the endpoints at fault.
	Avoid []table.EndpointID
	// Final is true where another attempt cannot help.
	Final bool
}

// AttemptFailed says that an attempt ended before the answer did.
type AttemptFailed struct{ cfg FailedConfig }

// NewAttemptFailed returns the event.
func NewAttemptFailed(cfg FailedConfig) AttemptFailed { return AttemptFailed{cfg: cfg} }

// EndpointCrashed says that an endpoint lost the state of all its streams.
type EndpointCrashed struct{ endpoint table.EndpointID }

// NewEndpointCrashed returns the event.
func NewEndpointCrashed(id table.EndpointID) EndpointCrashed { return EndpointCrashed{endpoint: id} }

// Completed says that the whole answer was delivered.
type Completed struct{ stream table.StreamID }

// NewCompleted returns the event.
func NewCompleted(id table.StreamID) Completed { return Completed{stream: id} }

// CallerGone says that nobody waits for the stream any more.
type CallerGone struct{ stream table.StreamID }

// NewCallerGone returns the event.
func NewCallerGone(id table.StreamID) CallerGone { return CallerGone{stream: id} }

// HandOver asks for every stream to be moved to another host.
type HandOver struct{}

// NewHandOver returns the event.
func NewHandOver() HandOver { return HandOver{} }

func (Opened) event()          {}
func (Assigned) event()        {}
func (Unassigned) event()      {}
func (Progress) event()        {}
func (AttemptFailed) event()   {}
func (EndpointCrashed) event() {}
func (Completed) event()       {}
func (CallerGone) event()      {}
func (HandOver) event()        {}
