package membership

import (
	"math"
	"time"

	"waxwingplank/internal/core/table"
)

// State is a state in the life cycle of a host.
type State string

// The states of a host.
const (
	// Unknown is a host that only the host list or the settings name.
	Unknown State = "unknown"
	Live    State = "live"
	// Suspect is a host unheard for the suspicion time and not yet confirmed dead.
	Suspect State = "suspect"
	// Unreachable is a host of a failure domain that this side cannot reach; it may well be live there.
	Unreachable State = "unreachable"
	Dead        State = "dead"
	Leaving     State = "leaving"
	// Gone is a host that the host list no longer names and nobody hears.
	Gone State = "gone"
)

// severity orders the states that hosts tell each other within one incarnation; the higher wins,
// and only a higher incarnation takes a host back.
func severity(s State) int {
	switch s {
	case Leaving:
		return 1
	case Dead:
		return 2
	case Gone:
		return 3
	default:
		return 0
	}
}

// Host names a host and where it is.
type Host struct {
	ID            table.HostID
	Address       string
	PeerAddress   string
	FailureDomain string
	Region        string
	// Operator is the address for operators; the host list does not have it.
	Operator string
}

// Record is what hosts tell each other about one host.
//
// Address, PeerAddress, FailureDomain and Region are empty, Load is -1 and Generations holds a part
// of the documents where the receiver already has the rest.
type Record struct {
	Host
	Incarnation  uint64
	Sequence     uint64
	State        State
	LoadPermille int
	Generations  map[string]uint64
}

func (r Record) full() bool { return r.PeerAddress != "" }

// Payload is an entry that hosts pass on for another system, such as a crash mark.
//
// The higher version wins under one kind and key. Value is opaque and must not be changed.
type Payload struct {
	Kind    string
	Key     string
	Version uint64
	Value   any
	Expires time.Time
}

// wantsNothing is the value of After of a message that only carries urgent changes.
const wantsNothing = math.MaxUint64

// Heartbeat is a host's message to a relay.
type Heartbeat struct {
	Self Record
	// After is the highest change number that the sender has had from the receiver, and
	// RelayIncarnation says which run of the receiver gave it.
	After            uint64
	RelayIncarnation uint64
	// Relay is true where the sender acts as relay and needs the generations of each host.
	Relay bool
	// Hosts are changes that do not wait for the receiver's next heartbeat.
	Hosts    []Record
	Payloads []Payload
}

// Reply answers a heartbeat with what changed since the sender's last one.
type Reply struct {
	Self             Record
	Upto             uint64
	RelayIncarnation uint64
	Hosts            []Record
	// InForce holds the changed entries of the minimum generation adopted by all reachable hosts.
	InForce map[string]uint64
	// Unreachable holds the failure domains that the relay cannot reach.
	Unreachable []string
	Payloads    []Payload
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	Host
	Leaving bool
}
