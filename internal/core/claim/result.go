package claim

import (
	"time"

	"waxwingplank/internal/core/outcome"
)

// Status is the decision on one claim or refusal.
type Status string

// The decisions.
const (
	// Granted permits exactly one dispatch by the copy that asked.
	Granted Status = "granted"
	// Claimed means that another copy holds the claim and recorded no answer.
	Claimed Status = "claimed"
	// Refused means that a refusal is recorded under the key, so no copy will run.
	Refused Status = "refused"
	// Answered means that another copy ran and its answer is recorded.
	Answered Status = "answered"
	// Expired means that the key is older than the retention.
	Expired Status = "expired"
	// InFuture means that the key's issue time is too far ahead.
	InFuture Status = "in_future"
	// Unavailable means that nothing was written under the key by this copy.
	Unavailable Status = "unavailable"
	// Unsettled means that a lost write of this copy may stand under the key.
	Unsettled Status = "unsettled"
)

// Result is the decision with what belongs to it.
type Result struct {
	status     Status
	answer     Answer
	retryAfter time.Duration
}

// Status returns the decision.
func (r Result) Status() Status { return r.status }

// Answer returns the recorded answer of an answered key.
func (r Result) Answer() Answer { return r.answer }

// RetryAfter returns the time after which another try makes sense, or zero.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Facts returns what outcome.Classify needs for a copy that was not dispatched.
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

// Code returns the refusal code for a copy that may not run.
func (r Result) Code() outcome.Code {
	switch r.status {
	case Expired:
		return outcome.KeyExpired
	case InFuture:
		return outcome.KeyInFuture
	case Unavailable, Unsettled:
		return outcome.PlatformDown
	case Granted, Claimed, Refused, Answered:
	}
	return outcome.KeyUsed
}

// NewUnsettled returns the result of a copy that nobody can decide on any more.
func NewUnsettled() Result { return Result{status: Unsettled} }
