package objectapi

import (
	"errors"
	"fmt"
	"time"
)

// The kinds of failures. Match them with errors.Is.
var (
	// ErrConflict means that the expected version was not the current one. Nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that the object does not exist. Nothing was written.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrEffectUnknown means that a write may have taken effect, or may do so later.
	ErrEffectUnknown = errors.New("effect of the write unknown")
	// ErrRejected means that the object API refused the call and a retry would not help, for example because a
	// value exceeds its limit.
	ErrRejected = errors.New("call rejected")
)

// Error describes a failed call.
type Error struct {
	kind       error
	operation  string
	object     string
	current    int64
	retryAfter time.Duration
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("objectapi: %s %s: %v", e.operation, e.object, e.kind)
	}
	return fmt.Sprintf("objectapi: %s %s: %v: %v", e.operation, e.object, e.kind, e.cause)
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.cause == nil {
		return []error{e.kind}
	}
	return []error{e.kind, e.cause}
}

// CurrentVersion returns the version that the object had when a write conflicted. Zero means that the
// object is absent. known reports whether the object API stated the version.
func CurrentVersion(err error) (version int64, known bool) {
	if e, ok := errors.AsType[*Error](err); ok && e.current >= 0 {
		return e.current, true
	}
	return 0, false
}

// RetryAfter returns the delay before a retry that the object API asked for, or zero.
func RetryAfter(err error) time.Duration {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.retryAfter
	}
	return 0
}
