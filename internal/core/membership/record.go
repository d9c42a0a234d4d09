package membership

import (
	"math"
	"time"

	"waxwingplank/internal/core/table"
)

// State is a state in the lifecycle of a host.
type State string

// The states of a host.
const (
	// Unknown is a host that is only named by the host list or the settings.
	Unknown State = "unknown"
	Live    State = "live"
	// Suspect is a host that has been unresponsive for SuspectAfter and is not confirmed dead.
	Suspect State = "suspect"
	// Unreachable is a host that cannot be reached from here. It may be live on the other side
	// of a network partition.
	Unreachable State = "unreachable"
	Dead        State = "dead"
	Leaving     State = "leaving"
	// Removed is a host that was removed from the host list and is unresponsive.
	Removed State = "gone"
)

// severity orders the states that hosts report within one incarnation. The higher severity
// wins; only a higher incarnation makes the host live again.
func severity(s State) int {
	switch s {
	case Leaving:
		return 1
	case Dead:
		return 2
	case Removed:
		return 3
	default:
		return 0
	}
}

// Host identifies a host and holds its addresses and location.
type Host struct {
	ID            table.HostID
	Address       string
	PeerAddress   string
	FailureDomain string
	Region        string
	// Operator is the address for operators. The host list does not contain it.
	Operator string
}

// Record is the state of one host as hosts report it to each other.
//
// A record may be partial, when the receiver already has the other fields: Address, PeerAddress,
// FailureDomain and Region are then empty, LoadPermille is -1 and Generations holds only some
// of the documents.
type Record struct {
	Host
	Incarnation  uint64
	Sequence     uint64
	State        State
	LoadPermille int
	Generations  map[string]uint64
}

func (r Record) hasHost() bool { return r.PeerAddress != "" }

// Payload is an entry that hosts replicate for another system, such as a crash mark.
//
// For one kind and key, the higher version wins. Value is opaque and must not be modified.
type Payload struct {
	Kind    string
	Key     string
	Version uint64
	Value   any
	Expires time.Time
}

// noReplyChanges is the value of After in a message that only carries urgent changes.
const noReplyChanges = math.MaxUint64

// Heartbeat is the periodic message of a host to a relay.
type Heartbeat struct {
	Self Record
	// After is the highest change number that the sender has received from the receiver.
	// RelayIncarnation is the incarnation of the receiver that assigned the number.
	After            uint64
	RelayIncarnation uint64
	// Relay is true if the sender is a relay and needs the generations of each host.
	Relay bool
	// Hosts are urgent changes that do not wait for the receiver's next heartbeat.
	Hosts    []Record
	Payloads []Payload
}

// Reply answers a heartbeat with the changes since the sender's previous one.
type Reply struct {
	Self             Record
	LastChange       uint64
	RelayIncarnation uint64
	Hosts            []Record
	// InForce holds, for each document that changed, the minimum generation adopted by all
	// reachable hosts.
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
