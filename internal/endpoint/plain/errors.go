package plain

import (
	"errors"
	"fmt"
)

// The kinds of failures. Match them with errors.Is.
var (
	// ErrUnreachable means that no connection was made, so no byte was sent.
	ErrUnreachable = errors.New("service unreachable")
	// ErrTimeout means that no complete response arrived in time.
	ErrTimeout = errors.New("no answer in time")
	// ErrReset means that the connection ended, or sent what is no response, before the response was complete.
	ErrReset = errors.New("connection lost")
	// ErrTooLarge means that the response exceeds the size limit.
	ErrTooLarge = errors.New("answer too large")
	// ErrCanceled means that the caller's context was canceled.
	ErrCanceled = errors.New("canceled by the caller")
	// ErrInvalid means that the request cannot be encoded as HTTP.
	ErrInvalid = errors.New("invalid request")
)

// Error describes a call without a complete response.
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

// Sent reports whether any byte of the request may have reached the service.
func (e *Error) Sent() bool { return e.sent }

// Status returns the status of a response that could not be read completely, or zero.
func (e *Error) Status() int { return e.status }

// Completed reports whether the status says that the service completed the call, although its response was
// not read completely.
func (e *Error) Completed() bool { return e.status >= 200 && e.status < 300 }

// MayHaveSent reports whether any byte of the request may have reached the service. It returns true for errors
// of other packages, because they do not rule it out.
func MayHaveSent(err error) bool {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.sent
	}
	return err != nil
}

// Completed reports whether the status says that the service completed the call.
func Completed(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.Completed()
}
