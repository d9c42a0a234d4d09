package stream

import (
	"time"

	"waxwingplank/internal/core/table"
)

// Event is an input to System.Tick that concerns a stream or an endpoint.
type Event interface{ event() }

// Method is the way in which an attempt starts or continues a stream.
type Method string

// The methods of an attempt.
const (
	// Fresh generates from the prompt.
	Fresh Method = "fresh"
	// Continue continues from the state that the engines still hold.
	Continue Method = "continue"
	// Import transfers the KV cache from the old endpoints.
	Import Method = "import"
	// Prefill recomputes the state from the prompt and the generated tokens.
	Prefill Method = "prefill"
	// Regenerate generates the response again from position 0 and compares it with the delivered text.
	Regenerate Method = "regenerate"
)

// OpenedConfig describes Opened.
type OpenedConfig struct {
	Stream   table.StreamID
	Priority int
	// ProgressDue is the time by which the caller expects progress. Among streams of the same priority, the one
	// with the earliest time recovers first.
	ProgressDue time.Time
	// Deadline is the time at which the stream fails; zero means no deadline.
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

// Opened reports that a caller requested a new stream or resumed an earlier one.
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

// Assigned reports the pipeline that was found in response to RequestPipeline.
type Assigned struct{ cfg AssignedConfig }

// NewAssigned returns the event.
func NewAssigned(cfg AssignedConfig) Assigned { return Assigned{cfg: cfg} }

// Unassigned reports that no pipeline is available for a stream.
type Unassigned struct{ stream table.StreamID }

// NewUnassigned returns the event.
func NewUnassigned(id table.StreamID) Unassigned { return Unassigned{stream: id} }

// Progress reports the next position of a stream. It is sent from time to time, not for every token.
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
	// ProducedToken is true if the attempt produced a token.
	ProducedToken bool
	// HasText is true if this host has the complete delivered text.
	HasText bool
	// StagesRespond is true if every stage still responds and reports its old incarnation.
	StagesRespond bool
	// CanExport is true if the old endpoints still respond and can export the KV cache.
	CanExport bool
	// Avoid lists the endpoints that caused the failure.
	Avoid []table.EndpointID
	// Final is true if another attempt cannot succeed.
	Final bool
}

// AttemptFailed reports that an attempt ended before the response was complete.
type AttemptFailed struct{ cfg FailedConfig }

// NewAttemptFailed returns the event.
func NewAttemptFailed(cfg FailedConfig) AttemptFailed { return AttemptFailed{cfg: cfg} }

// EndpointCrashed reports that an endpoint lost the state of all its streams.
type EndpointCrashed struct{ endpoint table.EndpointID }

// NewEndpointCrashed returns the event.
func NewEndpointCrashed(id table.EndpointID) EndpointCrashed { return EndpointCrashed{endpoint: id} }

// Completed reports that the complete response was delivered.
type Completed struct{ stream table.StreamID }

// NewCompleted returns the event.
func NewCompleted(id table.StreamID) Completed { return Completed{stream: id} }

// CallerGone reports that the caller of the stream has disconnected.
type CallerGone struct{ stream table.StreamID }

// NewCallerGone returns the event.
func NewCallerGone(id table.StreamID) CallerGone { return CallerGone{stream: id} }

// MoveAllRequested requests that every stream be moved to another host.
type MoveAllRequested struct{}

// NewMoveAllRequested returns the event.
func NewMoveAllRequested() MoveAllRequested { return MoveAllRequested{} }

func (Opened) event()           {}
func (Assigned) event()         {}
func (Unassigned) event()       {}
func (Progress) event()         {}
func (AttemptFailed) event()    {}
func (EndpointCrashed) event()  {}
func (Completed) event()        {}
func (CallerGone) event()       {}
func (MoveAllRequested) event() {}
