package plain

import (
	"errors"
	"fmt"
)

// The kinds of failures; match them with errors.Is.
var (
	// ErrUnreachable means that no connection was made, so no byte was sent.
	ErrUnreachable = errors.New("service unreachable")
	// ErrTimeout means that no whole answer came in time.
	ErrTimeout = errors.New("no answer in time")
	// ErrReset means that the connection ended before the answer did.
	ErrReset = errors.New("connection lost")
	// ErrTooLarge means that the answer is over the size bound.
	ErrTooLarge = errors.New("answer too large")
	// ErrCanceled means that the caller's context was canceled.
	ErrCanceled = errors.New("canceled by the caller")
	// ErrInvalid means that the request cannot be written as HTTP.
	ErrInvalid = errors.New("invalid request")
)

// Error is a call without a whole answer.
type Error struct {
	kind   error
	target string
	sent   bool
	status int
	cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("plain: %s: %v: %v", e.target, e.kind, e.cause)
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.kind, e.cause} }

// Sent reports whether a byte of the request may have reached the service.
func (e *Error) Sent() bool { return e.sent }

// Status returns the status of an answer that could not be read whole, or zero.
func (e *Error) Status() int { return e.status }

// Completed reports whether the service said that it had done the work, although its answer was not read whole.
func (e *Error) Completed() bool { return e.status >= 200 && e.status < 300 }

// Sent reports whether the error leaves open that a byte reached the service; errors of other packages do.
func Sent(err error) bool {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.sent
	}
	return err != nil
}

// Completed reports whether the service said that it had done the work.
func Completed(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.Completed()
}
