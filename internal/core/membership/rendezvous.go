package membership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/table"
)

// Rank returns the rendezvous rank of a host for a key. The host with the highest rank owns the key.
func Rank(key string, host table.HostID) uint64 {
	var buf [128]byte
	b := append(buf[:0], key...)
	b = append(b, 0)
	b = append(b, host...)
	return xxhash.Sum64(b)
}

// Owner returns the host with the highest rank for the key, or an empty string if hosts is empty.
func Owner(key string, hosts []table.HostID) table.HostID {
	var best table.HostID
	var top uint64
	for _, h := range hosts {
		if r := Rank(key, h); best == "" || r > top || (r == top && h < best) {
			best, top = h, r
		}
	}
	return best
}

// SortByRank returns the hosts sorted by rank for the key, highest first.
func SortByRank(key string, hosts []table.HostID) []table.HostID {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b table.HostID) int { return compareByRank(key, a, b) })
	return out
}

func compareByRank(key string, a, b table.HostID) int {
	ra, rb := Rank(key, a), Rank(key, b)
	switch {
	case ra > rb:
		return -1
	case ra < rb:
		return 1
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// EndpointOwner returns the host that polls the endpoint and divides its slots.
func EndpointOwner(id table.EndpointID, hosts []table.HostID) table.HostID {
	return Owner("endpoint/"+string(id), hosts)
}

// ShardOwner returns the host that should hold the lease of a claim shard.
func ShardOwner(shard int, hosts []table.HostID) table.HostID {
	return Owner("claim-shard/"+strconv.Itoa(shard), hosts)
}
