package storage

import "errors"

// Status says how a call to the object API ended.
type Status string

// The ways a call can end.
const (
	OK       Status = "ok"
	Conflict Status = "conflict"
	NotFound Status = "not_found"
	// Unavailable means that the call was not carried out.
	Unavailable Status = "unavailable"
	// Unknown means that a write may have taken effect, now or later.
	Unknown Status = "unknown"
)

// The errors that a store returns to the packages that carry out decisions.
var (
	ErrConflict    = errors.New("storage: version conflict")
	ErrNotFound    = errors.New("storage: object not found")
	ErrUnavailable = errors.New("storage: object API unavailable")
	ErrUnknown     = errors.New("storage: call may have taken effect")
)

// StatusOf returns the status for an error of a store; an unrecognised error counts as unknown.
func StatusOf(err error) Status {
	switch {
	case err == nil:
		return OK
	case errors.Is(err, ErrConflict):
		return Conflict
	case errors.Is(err, ErrNotFound):
		return NotFound
	case errors.Is(err, ErrUnavailable):
		return Unavailable
	}
	return Unknown
}
