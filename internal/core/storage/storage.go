package storage

import "errors"

// Status is the result of a call to the object API.
type Status string

// The results of a call.
const (
	OK       Status = "ok"
	Conflict Status = "conflict"
	NotFound Status = "not_found"
	// Unavailable means that the call was not executed.
	Unavailable Status = "unavailable"
	// Unknown means that a write may have taken effect or may still take effect later.
	Unknown Status = "unknown"
)

// The errors that a store returns to the packages that execute decisions.
var (
	ErrConflict    = errors.New("storage: version conflict")
	ErrNotFound    = errors.New("storage: object not found")
	ErrUnavailable = errors.New("storage: object API unavailable")
	ErrUnknown     = errors.New("storage: call may have taken effect")
)

// StatusOf returns the status for an error of a store. An unrecognised error maps to Unknown.
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
