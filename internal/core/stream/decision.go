package stream

import (
	"time"

	"waxwingplank/internal/core/table"
)

// Decision is an action to carry out for one stream.
type Decision interface {
	// Stream returns the stream that the decision is about.
	Stream() table.StreamID
	decision()
}

type subject struct{ stream table.StreamID }

// Stream returns the stream that the decision is about.
func (s subject) Stream() table.StreamID { return s.stream }
func (subject) decision()                {}

// RequestPipeline requests a pipeline. The response is the event Assigned or Unassigned.
type RequestPipeline struct {
	subject
	priority int
	since    time.Time
	avoid    []table.EndpointID
	prefer   string
	recovery bool
}

// Priority returns the priority of the stream; 0 is the highest.
func (d RequestPipeline) Priority() int { return d.priority }

// WaitingSince returns the time at which the stream began to wait.
func (d RequestPipeline) WaitingSince() time.Time { return d.since }

// Avoid returns the endpoints that must not be part of the pipeline.
func (d RequestPipeline) Avoid() []table.EndpointID { return d.avoid }

// PreferredPipeline returns the ID of the pipeline that may still hold the stream's state, or an empty string.
func (d RequestPipeline) PreferredPipeline() string { return d.prefer }

// Recovery reports whether the request is for a stream that was running on this host before.
func (d RequestPipeline) Recovery() bool { return d.recovery }

// StartAttempt starts an attempt on a pipeline.
type StartAttempt struct {
	subject
	attempt  int
	method   Method
	pipeline table.Pipeline
	estimate time.Duration
	rejected []Option
}

// Attempt returns the number of the attempt.
func (d StartAttempt) Attempt() int { return d.attempt }

// Method returns the method of the attempt.
func (d StartAttempt) Method() Method { return d.method }

// Pipeline returns the pipeline to run on.
func (d StartAttempt) Pipeline() table.Pipeline { return d.pipeline }

// Estimate returns the expected time to the next token.
func (d StartAttempt) Estimate() time.Duration { return d.estimate }

// Rejected returns the other possible recovery methods, with their estimates.
func (d StartAttempt) Rejected() []Option { return d.rejected }

// CancelAttempt cancels an attempt on every stage.
type CancelAttempt struct {
	subject
	attempt  int
	pipeline table.Pipeline
}

// Attempt returns the number of the attempt.
func (d CancelAttempt) Attempt() int { return d.attempt }

// Pipeline returns the pipeline that ran the attempt.
func (d CancelAttempt) Pipeline() table.Pipeline { return d.pipeline }

// Finish ends a stream whose response was delivered.
type Finish struct{ subject }

// Move ends a stream on this host so that another host can continue it. Its engines keep the state.
type Move struct{ subject }

// EndForCaller ends a stream whose caller has disconnected.
type EndForCaller struct{ subject }

// Reason is the reason why a stream failed.
type Reason string

// The reasons for a failed stream.
const (
	NoPipeline       Reason = "no_pipeline"
	TooManyAttempts  Reason = "too_many_attempts"
	DeadlinePassed   Reason = "deadline_passed"
	CannotRecover    Reason = "cannot_recover"
	DuplicateOpening Reason = "duplicate_opening"
)

// Fail ends a stream before its response is complete.
type Fail struct {
	subject
	reason Reason
}

// Reason returns why the stream failed.
func (d Fail) Reason() Reason { return d.reason }
