package membership

import "waxwingplank/internal/core/table"

// Decision is something that this host must do; only this package implements it.
type Decision interface{ decision() }

// SendHeartbeat sends a heartbeat to a host and reports ReplyReceived or HeartbeatFailed.
type SendHeartbeat struct {
	to        table.HostID
	address   string
	heartbeat Heartbeat
	push      bool
}

// To returns the receiver.
func (d SendHeartbeat) To() table.HostID { return d.to }

// Address returns the receiver's address for hosts.
func (d SendHeartbeat) Address() string { return d.address }

// Heartbeat returns the message.
func (d SendHeartbeat) Heartbeat() Heartbeat { return d.heartbeat }

// Push reports whether the message only carries urgent changes; its reply is not reported.
func (d SendHeartbeat) Push() bool { return d.push }

// AnswerHeartbeat answers the heartbeat received under the call number.
type AnswerHeartbeat struct {
	call  uint64
	reply Reply
}

// Call returns the number given with the heartbeat.
func (d AnswerHeartbeat) Call() uint64 { return d.call }

// Reply returns the answer.
func (d AnswerHeartbeat) Reply() Reply { return d.reply }

// SendProbe asks the prober whether the target answers; an empty prober means to ask the target itself.
type SendProbe struct {
	target, prober               table.HostID
	targetAddress, proberAddress string
}

// Target returns the host to probe.
func (d SendProbe) Target() table.HostID { return d.target }

// TargetAddress returns the target's address for hosts.
func (d SendProbe) TargetAddress() string { return d.targetAddress }

// Prober returns the host to ask, or an empty string.
func (d SendProbe) Prober() table.HostID { return d.prober }

// ProberAddress returns the prober's address for hosts.
func (d SendProbe) ProberAddress() string { return d.proberAddress }

// FetchDocuments fetches the documents that this host lacks and reports FetchEnded.
type FetchDocuments struct {
	from    table.HostID
	address string
}

// From returns the host that has the documents.
func (d FetchDocuments) From() table.HostID { return d.from }

// Address returns its address for hosts.
func (d FetchDocuments) Address() string { return d.address }

// HostChanged says that a host went from one state to another.
type HostChanged struct {
	host     table.HostID
	from, to State
	cause    string
}

// Host returns the host.
func (d HostChanged) Host() table.HostID { return d.host }

// From returns the state before.
func (d HostChanged) From() State { return d.from }

// To returns the state after.
func (d HostChanged) To() State { return d.to }

// Cause returns the trigger of the change.
func (d HostChanged) Cause() string { return d.cause }

// RelaysChanged says that the relays of this host's failure domain changed.
type RelaysChanged struct{ relays []table.HostID }

// Relays returns the relays, first rank first.
func (d RelaysChanged) Relays() []table.HostID { return d.relays }

// Returned says that this host was away long enough to be suspected and raised its incarnation;
// leases must be checked before the next act.
type Returned struct {
	incarnation uint64
	cause       string
}

// Incarnation returns the new incarnation.
func (d Returned) Incarnation() uint64 { return d.incarnation }

// Cause returns how the host noticed.
func (d Returned) Cause() string { return d.cause }

// DrainOrdered says that this host must leave.
type DrainOrdered struct{ cause string }

// Cause returns who said so.
func (d DrainOrdered) Cause() string { return d.cause }

// InForceChanged says that the minimum generation of a document in force, or the hosts behind it, changed.
type InForceChanged struct {
	service         string
	generation      uint64
	newest          uint64
	behind          []table.HostID
	reportedByOther bool
}

// Service returns the service.
func (d InForceChanged) Service() string { return d.service }

// Generation returns the minimum generation adopted by all hosts that can be reached.
func (d InForceChanged) Generation() uint64 { return d.generation }

// Newest returns the highest generation known.
func (d InForceChanged) Newest() uint64 { return d.newest }

// Behind returns the hosts that have not adopted the newest generation, unreachable ones included.
func (d InForceChanged) Behind() []table.HostID { return d.behind }

// Report reports whether this host is the document's first relay and so writes the status object.
func (d InForceChanged) Report() bool { return !d.reportedByOther }

// PayloadArrived hands over a payload of another host.
type PayloadArrived struct{ payload Payload }

// Payload returns the payload.
func (d PayloadArrived) Payload() Payload { return d.payload }

func (SendHeartbeat) decision()   {}
func (AnswerHeartbeat) decision() {}
func (SendProbe) decision()       {}
func (FetchDocuments) decision()  {}
func (HostChanged) decision()     {}
func (RelaysChanged) decision()   {}
func (Returned) decision()        {}
func (DrainOrdered) decision()    {}
func (InForceChanged) decision()  {}
func (PayloadArrived) decision()  {}
