package documents

import (
	"context"
	"errors"
	"time"
)

// The errors that an implementation of Objects must return, wrapped or not, since callers branch on them.
var (
	// ErrConflict means that the expected version was not the current one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that the call was not executed.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("effect of the write unknown")
)

// The kinds of objects that hold documents and their status.
const (
	KindServices = "services"
	KindStatus   = "status"
)

// Object is a versioned object of the object API.
type Object struct {
	Kind, Name string
	Version    int64
	Value      []byte
	Deleted    bool
}

// Snapshot is a listing of all objects of a kind, or their changes since a version.
type Snapshot struct {
	Objects []Object
	// Version is the version of the store that the snapshot shows.
	Version int64
	// Reset is true if the changes since the requested version are no longer available, so that a new listing is
	// needed.
	Reset bool
}

// Objects is the part of the object API that documents need.
type Objects interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (Snapshot, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Snapshot, error)
	// Put writes the object if its current version equals o.Version and returns the new version; 0 means that
	// the object must not exist.
	Put(ctx context.Context, o Object) (int64, error)
}
