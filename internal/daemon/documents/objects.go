package documents

import (
	"context"
	"errors"
	"time"
)

// The errors that an Objects must return, wrapped or not, where a caller branches on them.
var (
	// ErrConflict says that the expected version was not the current one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable says that the call was not done.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrUnknown says that a write may or may not have taken effect.
	ErrUnknown = errors.New("effect of the write unknown")
)

// The kinds of objects that hold documents and their status.
const (
	KindServices = "services"
	KindStatus   = "status"
)

// Object is one object of the object API.
type Object struct {
	Kind, Name string
	Version    int64
	Value      []byte
	Deleted    bool
}

// Snapshot is a listing, or the changes since a version.
type Snapshot struct {
	Objects []Object
	// Version is the version of the store that the snapshot shows.
	Version int64
	// Reset says that the version asked for is not known any more, so that only a listing helps.
	Reset bool
}

// Objects is the part of the object API that documents need.
type Objects interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (Snapshot, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Snapshot, error)
	// Put writes the object if its current version is the one given, where 0 means that it must
	// not exist, and returns the new version.
	Put(ctx context.Context, o Object) (int64, error)
}
