package claim

import (
	"time"

	"waxwingplank/internal/core/outcome"
)

// Status is the outcome of one claim or refusal request.
type Status string

// The outcomes of a request.
const (
	// Granted permits exactly one dispatch by the copy that sent the request.
	Granted Status = "granted"
	// Claimed means that another copy holds the claim and has recorded no answer.
	Claimed Status = "claimed"
	// Refused means that a refusal is recorded under the key, so no copy will run.
	Refused Status = "refused"
	// Answered means that another copy was run and its answer is recorded.
	Answered Status = "answered"
	// Expired means that the key is older than the retention period.
	Expired Status = "expired"
	// InFuture means that the key's issue time is too far ahead of this host's clock.
	InFuture Status = "in_future"
	// Unavailable means that nothing was written under the key by this copy.
	Unavailable Status = "unavailable"
	// Unsettled means that a write of this copy with a lost response may have taken effect.
	Unsettled Status = "unsettled"
)

// Result is the outcome of a request with its answer and retry interval.
type Result struct {
	status     Status
	answer     Answer
	retryAfter time.Duration
}

// Status returns the outcome.
func (r Result) Status() Status { return r.status }

// Answer returns the recorded answer of an answered key.
func (r Result) Answer() Answer { return r.answer }

// RetryAfter returns the interval after which the caller should retry, or zero.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Facts returns the input of outcome.Classify for a copy that was not dispatched.
func (r Result) Facts(firstSend bool) outcome.Facts {
	f := outcome.Facts{FirstSend: firstSend}
	switch r.status {
	case Refused:
		f.RefusalRecorded = true
	case Granted, Claimed, Answered, Expired, Unsettled:
		f.Claimed = true
	case InFuture, Unavailable:
	}
	return f
}

// Code returns the refusal code for a copy that may not be dispatched.
func (r Result) Code() outcome.Code {
	switch r.status {
	case Expired:
		return outcome.KeyExpired
	case InFuture:
		return outcome.KeyInFuture
	case Unavailable, Unsettled:
		return outcome.PlatformUnavailable
	case Granted, Claimed, Refused, Answered:
	}
	return outcome.KeyUsed
}

// NewUnsettled returns the result of a copy whose request can no longer be decided.
func NewUnsettled() Result { return Result{status: Unsettled} }
