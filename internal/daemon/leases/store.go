package leases

import "context"

// Kind is the kind of the lease objects.
const Kind = "leases"

// Store is the part of the object API that the keeper needs. Errors wrap those of core/storage; any
// other error of a write counts as one that may have taken effect.
type Store interface {
	// Get returns the value and version of an object.
	Get(ctx context.Context, kind, name string) (value []byte, version int64, err error)
	// Put writes an object if its version is the expected one; zero means that it must not exist.
	// An implementation must not repeat a write whose answer was lost.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (version int64, err error)
}
