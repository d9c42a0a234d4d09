package leases

import "context"

// Kind is the object kind under which leases are stored.
const Kind = "leases"

// Store is the part of the object API that Manager needs. Its errors wrap the errors of core/storage. A write that
// fails with any other error is treated as one that may have taken effect.
type Store interface {
	// Get returns the value and version of an object.
	Get(ctx context.Context, kind, name string) (value []byte, version int64, err error)
	// Put writes an object if its version equals expected. Zero means that the object must not exist.
	// An implementation must not retry a write whose response was lost.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (version int64, err error)
}
