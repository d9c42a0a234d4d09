package members

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/documents"
	"waxwingplank/internal/peer/hostpb"
)

// Peers calls other hosts; host.Client is one.
type Peers interface {
	Heartbeat(ctx context.Context, address string, in *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error)
	Probe(ctx context.Context, address string, in *hostpb.ProbeRequest) (*hostpb.ProbeReply, error)
	FetchDocuments(ctx context.Context, address string, in *hostpb.FetchDocumentsRequest) (*hostpb.FetchDocumentsReply, error)
	SpreadMarks(ctx context.Context, address string, in *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error)
}

// HostList reads the platform's host list.
type HostList interface {
	List(ctx context.Context) ([]membership.ListedHost, error)
}

// Attachments adds the lists of other systems (demands, grants, endpoint loads) to outgoing heartbeats
// and reads them from incoming ones. Its methods are called by several goroutines and must not block.
type Attachments interface {
	FillRequest(to table.HostID, out *hostpb.HeartbeatRequest)
	ReceiveRequest(from table.HostID, in *hostpb.HeartbeatRequest)
	FillReply(to table.HostID, out *hostpb.HeartbeatReply)
	ReceiveReply(from table.HostID, in *hostpb.HeartbeatReply)
}

// Config configures Members. Only Self, Peers and Log are required.
type Config struct {
	Self      membership.Host
	SeedHosts []membership.Host
	// Incarnation defaults to the start time in milliseconds.
	Incarnation uint64
	Peers       Peers
	HostList    HostList
	Objects     documents.Objects
	Attachments Attachments
	Log         logrus.FieldLogger

	// The functions below are called by the goroutines of Members. Calls of the same function do not
	// overlap. They must not wait for a call to Members that itself waits for them.

	// OnDrain is called when the host list or another host reports that this host must leave.
	OnDrain func(cause string)
	// OnIncarnationRaised is called when this host was paused or disconnected for so long that its leases
	// must be checked.
	OnIncarnationRaised func(cause string)
	// OnHost is called when the state of a host changes.
	OnHost func(id table.HostID, from, to membership.State)
	// OnMark is called with each crash mark received from another host.
	OnMark func(*hostpb.CrashMark)
}

// DocumentFunc is called with each adopted document. The generations of a service only increase.
type DocumentFunc func(document.Document)

// Intervals, timeouts and limits.
const (
	// maxTickInterval is the maximum time between two ticks of the core.
	maxTickInterval = 50 * time.Millisecond
	// hostListInterval is the interval between reads of the host list by the one reader in each failure
	// domain. It leaves 2 s of the 3 s within which a leaving host must be out of the address lists.
	hostListInterval = time.Second
	// hostListTimeout limits one read of the host list.
	hostListTimeout = 2 * time.Second
	// watchWait limits how long a watch waits for a change, so that an unresponsive connection is detected.
	watchWait = 10 * time.Second
	// watchTimeout leaves time for the response after the wait.
	watchTimeout = watchWait + 2*time.Second
	// listInterval is the interval between complete listings, which detect a platform that was restored
	// to an older state. 12 relays make 0.4 calls/s.
	listInterval = 30 * time.Second
	// retryInterval is the delay after a failed call to the platform.
	retryInterval = time.Second
	// roleCheckInterval is how often a host checks whether it has become the reader of the platform.
	roleCheckInterval = 100 * time.Millisecond
	// statusInterval limits the rate of status writes. The list of hosts that are behind changes often
	// while a document spreads.
	statusInterval = time.Second
	// writeTimeout limits one write to the platform.
	writeTimeout = 2 * time.Second
	// maxFetchBytes limits the documents in one reply, which must fit into one message.
	maxFetchBytes = 2 << 20
	// marksTimeout limits how long sending crash marks may delay a caller.
	marksTimeout = 500 * time.Millisecond
	// eventQueueSize limits the events waiting for the loop: two for each of 410 hosts, and some spare.
	eventQueueSize = 1024
)
