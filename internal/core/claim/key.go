package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/table"
)

// Hash identifies a key in shard objects, segments and the index.
//
// It is a truncated SHA-256 digest. Two keys with the same hash share one recorded answer, so a
// workspace must not be able to construct a collision.
type Hash [16]byte

// KeyConfig describes a Key.
type KeyConfig struct {
	Workspace table.WorkspaceID
	Service   table.ServiceID
	// Text is the idempotency key of the form <unix-seconds>-<unique>.
	Text string
}

// Key is the identity of a non-repeatable call.
type Key struct {
	hash   Hash
	route  uint64
	issued uint32
}

// NewKey returns the key, or an error if its text does not start with an issue time.
func NewKey(cfg KeyConfig) (Key, error) {
	seconds, unique, found := strings.Cut(cfg.Text, "-")
	issued, err := strconv.ParseUint(seconds, 10, 32)
	if err != nil || !found || unique == "" || issued == 0 || issued == math.MaxUint32 {
		return Key{}, eris.Errorf("claim.NewKey: %q is not of the form <unix-seconds>-<unique>", cfg.Text)
	}
	// Length prefixes keep ("ab", "c") and ("a", "bc") apart.
	var b []byte
	for _, part := range []string{string(cfg.Workspace), string(cfg.Service), cfg.Text} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	sum := sha256.Sum256(b)
	return Key{hash: Hash(sum[:16]), route: xxhash.Sum64(b), issued: uint32(issued)}, nil
}

// Hash returns the hash that identifies the key.
func (k Key) Hash() Hash { return k.hash }

// Issued returns the issue time in Unix seconds.
func (k Key) Issued() int64 { return int64(k.issued) }

// Shard returns the number of the shard that holds the key, out of the given number of shards.
func (k Key) Shard(shards int) int { return int(k.route % uint64(shards)) }
