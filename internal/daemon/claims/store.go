package claims

import "context"

// The kinds of objects that the manager reads and writes.
const (
	ShardKind   = "claim-shards"
	SegmentKind = "claim-segments"
)

// Store is the part of the object API that the manager needs. Errors wrap those of core/storage. After any
// other error, a write may have taken effect.
type Store interface {
	// Get returns the value and version of an object.
	Get(ctx context.Context, kind, name string) (value []byte, version int64, err error)
	// Put writes an object if its version is the expected one; zero means that it must not exist.
	// An implementation must not repeat a write whose response was lost.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (version int64, err error)
	// Delete removes an object regardless of its version; segments are never changed.
	Delete(ctx context.Context, kind, name string) error
	// List returns the names of all objects of a kind.
	List(ctx context.Context, kind string) ([]string, error)
}
