package roster

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/path"
)

// Host is the state of a host as it reports it.
type Host struct {
	Name string `json:"host"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// CallerAddress and PeerAddress are its addresses for callers and for other hosts.
	CallerAddress string `json:"callers"`
	PeerAddress   string `json:"peers"`
	// Weight ranks hosts by their capacity.
	Weight  float64 `json:"weight"`
	Started int64   `json:"started"`
	Serving bool    `json:"serving"`
	Leaving bool    `json:"leaving,omitempty"`
	// StoreLost is true while the host has no lists yet or the store's next response is overdue.
	StoreLost bool `json:"store_lost,omitempty"`
}

// DomainState is the list of the live hosts of one failure domain.
type DomainState struct {
	Domain string `json:"domain"`
	// Digest identifies the list.
	Digest uint64 `json:"digest"`
	// Hosts is empty if the receiver has the list with this digest already.
	Hosts []Host `json:"hosts,omitempty"`
	// AgeMs is the time since a hub of the domain built or confirmed the list, in ms.
	AgeMs int64 `json:"age_ms"`
}

// maxAge is longer than any age that matters.
const maxAge = 24 * time.Hour

// Age returns an age in ms that another host reported. One that is out of range counts as very old, so that a damaged message
// can't keep anything valid.
func Age(ms int64) time.Duration {
	if ms < 0 || ms > maxAge.Milliseconds() {
		return maxAge
	}
	return time.Duration(ms) * time.Millisecond
}

// UsageWanted is the usage that a host requests in the response to its report.
type UsageWanted string

// The usages that a host can request.
const (
	// NoUsage requests none beyond that of the receiver itself.
	NoUsage UsageWanted = ""
	// DomainUsage requests the sum over the receiver's domain.
	DomainUsage UsageWanted = "domain"
	// AllUsage requests the sum over all hosts but the sender.
	AllUsage UsageWanted = "all"
)

// UsageSum is the usage of several hosts together.
type UsageSum struct {
	Usage path.Usage `json:"usage"`
	Hosts int        `json:"hosts"`
}

// Target is a host to send a report to.
type Target struct {
	Address string
	Want    UsageWanted
}

// digestOf returns a digest of hosts, which must be sorted by address.
func digestOf(hosts []Host) uint64 {
	d := xxhash.New()
	word := func(v uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], v)
		_, _ = d.Write(b[:]) //nolint:errcheck // it never fails
	}
	text := func(s string) {
		word(uint64(len(s)))
		_, _ = d.WriteString(s) //nolint:errcheck // it never fails
	}
	flag := func(set bool) {
		if set {
			word(1)
			return
		}
		word(0)
	}
	for _, h := range hosts {
		text(h.Name)
		text(h.Domain)
		text(h.CallerAddress)
		text(h.PeerAddress)
		word(math.Float64bits(h.Weight))
		word(uint64(h.Started))
		flag(h.Serving)
		flag(h.Leaving)
		flag(h.StoreLost)
	}
	return d.Sum64()
}
