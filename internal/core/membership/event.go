package membership

import "waxwingplank/internal/core/table"

// Event is an input of the System. Only this package implements it.
type Event interface{ event() }

// HeartbeatReceived is a heartbeat of another host that must be answered under its call number.
type HeartbeatReceived struct {
	call      uint64
	heartbeat Heartbeat
}

// NewHeartbeatReceived returns the event. The AnswerHeartbeat decision carries the same call
// number.
func NewHeartbeatReceived(call uint64, h Heartbeat) HeartbeatReceived {
	return HeartbeatReceived{call: call, heartbeat: h}
}

// ReplyReceived is the reply to a heartbeat.
type ReplyReceived struct {
	from  table.HostID
	reply Reply
}

// NewReplyReceived returns the event.
func NewReplyReceived(from table.HostID, r Reply) ReplyReceived {
	return ReplyReceived{from: from, reply: r}
}

// HeartbeatFailed is a heartbeat that was not answered within its deadline.
type HeartbeatFailed struct{ to table.HostID }

// NewHeartbeatFailed returns the event.
func NewHeartbeatFailed(to table.HostID) HeartbeatFailed { return HeartbeatFailed{to: to} }

// ProbeAnswered is the result of a probe. The prober is empty if this host probed the target itself.
type ProbeAnswered struct {
	target, prober  table.HostID
	answered, alive bool
}

// NewProbeAnswered returns the event. The flag answered is false if the prober itself did not
// respond; alive is the result for the target.
func NewProbeAnswered(target, prober table.HostID, answered, alive bool) ProbeAnswered {
	return ProbeAnswered{target: target, prober: prober, answered: answered, alive: alive}
}

// HostListRead is a complete reading of the platform's host list.
type HostListRead struct{ hosts []ListedHost }

// NewHostListRead returns the event.
func NewHostListRead(hosts []ListedHost) HostListRead { return HostListRead{hosts: hosts} }

// DrainStarted reports that this host was ordered to leave.
type DrainStarted struct{}

// NewDrainStarted returns the event.
func NewDrainStarted() DrainStarted { return DrainStarted{} }

// DocumentAdopted reports that this host adopted a generation of a document.
type DocumentAdopted struct {
	service    string
	generation uint64
}

// NewDocumentAdopted returns the event.
func NewDocumentAdopted(service string, generation uint64) DocumentAdopted {
	return DocumentAdopted{service: service, generation: generation}
}

// FetchEnded reports that a fetch of documents succeeded or failed.
type FetchEnded struct{ ok bool }

// NewFetchEnded returns the event.
func NewFetchEnded(ok bool) FetchEnded { return FetchEnded{ok: ok} }

// LoadMeasured is the share of this host's capacity in use, in thousandths.
type LoadMeasured struct{ permille int }

// NewLoadMeasured returns the event.
func NewLoadMeasured(permille int) LoadMeasured { return LoadMeasured{permille: permille} }

// PayloadAdded is a payload to be replicated to all hosts.
type PayloadAdded struct {
	payload Payload
	own     bool
}

// NewPayloadAdded returns the event for a payload of this host.
func NewPayloadAdded(p Payload) PayloadAdded { return PayloadAdded{payload: p, own: true} }

// NewPayloadReceived returns the event for a payload that another host sent outside of heartbeats.
func NewPayloadReceived(p Payload) PayloadAdded { return PayloadAdded{payload: p} }

func (HeartbeatReceived) event() {}
func (ReplyReceived) event()     {}
func (HeartbeatFailed) event()   {}
func (ProbeAnswered) event()     {}
func (HostListRead) event()      {}
func (DrainStarted) event()      {}
func (DocumentAdopted) event()   {}
func (FetchEnded) event()        {}
func (LoadMeasured) event()      {}
func (PayloadAdded) event()      {}
