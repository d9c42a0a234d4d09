package membership

import "waxwingplank/internal/core/table"

// Decision is an output of the System that the caller must carry out. Only this package
// implements it.
type Decision interface{ decision() }

// SendHeartbeat orders a heartbeat to a host. Its result is reported as ReplyReceived or
// HeartbeatFailed.
type SendHeartbeat struct {
	to        table.HostID
	address   string
	heartbeat Heartbeat
	push      bool
}

// To returns the receiver.
func (d SendHeartbeat) To() table.HostID { return d.to }

// Address returns the receiver's peer address.
func (d SendHeartbeat) Address() string { return d.address }

// Heartbeat returns the message.
func (d SendHeartbeat) Heartbeat() Heartbeat { return d.heartbeat }

// Push reports whether the message only carries urgent changes. Its reply is not reported back.
func (d SendHeartbeat) Push() bool { return d.push }

// AnswerHeartbeat orders the reply to the heartbeat that was received under the call number.
type AnswerHeartbeat struct {
	call  uint64
	reply Reply
}

// Call returns the number given with the heartbeat.
func (d AnswerHeartbeat) Call() uint64 { return d.call }

// Reply returns the reply to send.
func (d AnswerHeartbeat) Reply() Reply { return d.reply }

// SendProbe orders a probe of the target through the prober. An empty prober means that this
// host probes the target directly.
type SendProbe struct {
	target, prober               table.HostID
	targetAddress, proberAddress string
}

// Target returns the host to probe.
func (d SendProbe) Target() table.HostID { return d.target }

// TargetAddress returns the target's peer address.
func (d SendProbe) TargetAddress() string { return d.targetAddress }

// Prober returns the host that probes the target, or an empty string for a direct probe.
func (d SendProbe) Prober() table.HostID { return d.prober }

// ProberAddress returns the prober's peer address.
func (d SendProbe) ProberAddress() string { return d.proberAddress }

// FetchDocuments orders a fetch of the documents that are missing on this host. Its end is
// reported as FetchEnded.
type FetchDocuments struct {
	from    table.HostID
	address string
}

// From returns the host that has the documents.
func (d FetchDocuments) From() table.HostID { return d.from }

// Address returns the peer address of the source.
func (d FetchDocuments) Address() string { return d.address }

// HostChanged reports that a host went from one state to another.
type HostChanged struct {
	host     table.HostID
	from, to State
	cause    string
}

// Host returns the host.
func (d HostChanged) Host() table.HostID { return d.host }

// From returns the previous state.
func (d HostChanged) From() State { return d.from }

// To returns the new state.
func (d HostChanged) To() State { return d.to }

// Cause returns the trigger of the change.
func (d HostChanged) Cause() string { return d.cause }

// RelaysChanged reports that the relays of this host's failure domain changed.
type RelaysChanged struct{ relays []table.HostID }

// Relays returns the relays, highest rank first.
func (d RelaysChanged) Relays() []table.HostID { return d.relays }

// IncarnationRaised reports that this host was paused or disconnected long enough to be suspected and has
// raised its incarnation. Its leases must be checked before it acts again.
type IncarnationRaised struct {
	incarnation uint64
	cause       string
}

// Incarnation returns the new incarnation.
func (d IncarnationRaised) Incarnation() uint64 { return d.incarnation }

// Cause returns how the host detected the pause or disconnection.
func (d IncarnationRaised) Cause() string { return d.cause }

// DrainOrdered reports that this host must leave.
type DrainOrdered struct{ cause string }

// Cause returns the source of the order.
func (d DrainOrdered) Cause() string { return d.cause }

// InForceChanged reports that the in-force generation of a document or the set of hosts behind
// the newest generation changed.
type InForceChanged struct {
	service         string
	generation      uint64
	newest          uint64
	behind          []table.HostID
	reportedByOther bool
}

// Service returns the service.
func (d InForceChanged) Service() string { return d.service }

// Generation returns the minimum generation adopted by all reachable hosts.
func (d InForceChanged) Generation() uint64 { return d.generation }

// Newest returns the highest generation that any host has adopted.
func (d InForceChanged) Newest() uint64 { return d.newest }

// Behind returns the hosts that have not adopted the newest generation, including unreachable ones.
func (d InForceChanged) Behind() []table.HostID { return d.behind }

// IsReporter reports whether this host is the status reporter of the document and writes its status object.
func (d InForceChanged) IsReporter() bool { return !d.reportedByOther }

// PayloadDelivered delivers a payload that was received from another host.
type PayloadDelivered struct{ payload Payload }

// Payload returns the payload.
func (d PayloadDelivered) Payload() Payload { return d.payload }

func (SendHeartbeat) decision()     {}
func (AnswerHeartbeat) decision()   {}
func (SendProbe) decision()         {}
func (FetchDocuments) decision()    {}
func (HostChanged) decision()       {}
func (RelaysChanged) decision()     {}
func (IncarnationRaised) decision() {}
func (DrainOrdered) decision()      {}
func (InForceChanged) decision()    {}
func (PayloadDelivered) decision()  {}
