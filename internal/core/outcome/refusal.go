package outcome

import (
	"fmt"
	"time"
)

// Code identifies the reason for a refusal. Callers may branch on it.
type Code string

// The codes of refusals.
const (
	BadRequest          Code = "bad_request"
	Unauthorized        Code = "unauthorized"
	Forbidden           Code = "forbidden"
	NotFound            Code = "not_found"
	TooLarge            Code = "too_large"
	NoCapacity          Code = "no_capacity"
	DeadlineTooShort    Code = "deadline_too_short"
	QueueFull           Code = "queue_full"
	Quarantined         Code = "request_quarantined"
	StreamLost          Code = "stream_lost"
	KeyExpired          Code = "key_expired"
	KeyInFuture         Code = "key_in_future"
	KeyUsed             Code = "key_used"
	PlatformUnavailable Code = "platform_unavailable"
	EndpointFailed      Code = "endpoint_failed"
	Leaving             Code = "host_leaving"
	Timeout             Code = "timeout"
	Conflict            Code = "conflict"
	Internal            Code = "internal"
)

// RefusalConfig describes a Refusal.
type RefusalConfig struct {
	Code       Code
	Message    string
	Facts      Facts
	RetryAfter time.Duration
	Address    string
}

// Refusal is the error that ends a request without a complete response.
type Refusal struct {
	code       Code
	message    string
	outcome    Outcome
	retryAfter time.Duration
	address    string
}

// NewRefusal returns a refusal. Its outcome is derived from the facts.
func NewRefusal(cfg RefusalConfig) *Refusal {
	return &Refusal{
		code:       cfg.Code,
		message:    cfg.Message,
		outcome:    Classify(cfg.Facts),
		retryAfter: cfg.RetryAfter,
		address:    cfg.Address,
	}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.code, r.message, r.outcome)
}

// Code returns the reason for the refusal.
func (r *Refusal) Code() Code { return r.code }

// Message returns the human-readable explanation.
func (r *Refusal) Message() string { return r.message }

// Outcome returns whether the request was executed.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns the delay after which the caller may retry, or zero if none is advised.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Address returns the address of a host to use instead, or an empty string.
func (r *Refusal) Address() string { return r.address }
