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

// Attachments adds the lists of other systems to heartbeats (demands, grants, endpoint loads) and
// takes them out. Its methods are called by several goroutines and must not block.
type Attachments interface {
	FillRequest(to table.HostID, out *hostpb.HeartbeatRequest)
	TakeRequest(from table.HostID, in *hostpb.HeartbeatRequest)
	FillReply(to table.HostID, out *hostpb.HeartbeatReply)
	TakeReply(from table.HostID, in *hostpb.HeartbeatReply)
}

// Config describes Members. Only Self, Peers and Log are required.
type Config struct {
	Self  membership.Host
	Known []membership.Host
	// Incarnation is the start time in milliseconds where it is 0.
	Incarnation uint64
	Peers       Peers
	HostList    HostList
	Objects     documents.Objects
	Attachments Attachments
	Log         logrus.FieldLogger

	// The functions below are called by the goroutines of Members, one call at a time each, and
	// must not wait for a call to Members that is itself waiting for them.

	// OnDrain is called when the host list, or another host, says that this host must leave.
	OnDrain func(cause string)
	// OnReturned is called when this host was away so long that its leases must be checked.
	OnReturned func(cause string)
	// OnHost is called when a host changes its state.
	OnHost func(id table.HostID, from, to membership.State)
	// OnMark is called with a crash mark of another host.
	OnMark func(*hostpb.CrashMark)
}

// DocumentFunc is told about each adopted document; the generations of one service only rise.
type DocumentFunc func(document.Document)

// The periods and bounds of the daemon's side.
const (
	// tickEvery is the longest time between two ticks of the core.
	tickEvery = 50 * time.Millisecond
	// hostListEvery, with one reader a failure domain, leaves 2 s of the 3 s for a leaving host.
	hostListEvery = time.Second
	// hostListTimeout bounds one reading.
	hostListTimeout = 2 * time.Second
	// watchWait bounds a waiting watch, so that a silent connection is noticed.
	watchWait = 10 * time.Second
	// watchTimeout leaves time for the answer after the wait.
	watchTimeout = watchWait + 2*time.Second
	// listEvery is the period of complete readings, which find a restored platform: 12 relays make
	// 0.4 calls/s.
	listEvery = 30 * time.Second
	// retryEvery is the pause after a failed call to the platform.
	retryEvery = time.Second
	// roleEvery is how often a host checks whether it has become the one that reads the platform.
	roleEvery = 100 * time.Millisecond
	// statusEvery bounds status writes: a spreading change alters the list of hosts behind often.
	statusEvery = time.Second
	// writeTimeout bounds one write to the platform.
	writeTimeout = 2 * time.Second
	// fetchBytes bounds the documents in one reply, which must fit into one message.
	fetchBytes = 2 << 20
	// marksTimeout is how long the spreading of marks may hold a caller.
	marksTimeout = 500 * time.Millisecond
	// queuedEvents bounds the events waiting for the loop: two for each of 410 hosts, and room.
	queuedEvents = 1024
)
