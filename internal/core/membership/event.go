package membership

import "waxwingplank/internal/core/table"

// Event is something that happened to this host; only this package implements it.
type Event interface{ event() }

// HeartbeatReceived is a heartbeat of another host, to be answered under its call number.
type HeartbeatReceived struct {
	call      uint64
	heartbeat Heartbeat
}

// NewHeartbeatReceived returns the event; call comes back in the AnswerHeartbeat decision.
func NewHeartbeatReceived(call uint64, h Heartbeat) HeartbeatReceived {
	return HeartbeatReceived{call: call, heartbeat: h}
}

// ReplyReceived is the answer to a heartbeat.
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

// ProbeAnswered is the result of a probe; prober is empty where this host probed the target itself.
type ProbeAnswered struct {
	target, prober  table.HostID
	answered, alive bool
}

// NewProbeAnswered returns the event; answered is false where the prober itself gave no answer.
func NewProbeAnswered(target, prober table.HostID, answered, alive bool) ProbeAnswered {
	return ProbeAnswered{target: target, prober: prober, answered: answered, alive: alive}
}

// HostListRead is a complete reading of the platform's host list.
type HostListRead struct{ hosts []ListedHost }

// NewHostListRead returns the event.
func NewHostListRead(hosts []ListedHost) HostListRead { return HostListRead{hosts: hosts} }

// DrainStarted says that this host was told to leave.
type DrainStarted struct{}

// NewDrainStarted returns the event.
func NewDrainStarted() DrainStarted { return DrainStarted{} }

// DocumentAdopted says that this host adopted a generation of a document.
type DocumentAdopted struct {
	service    string
	generation uint64
}

// NewDocumentAdopted returns the event.
func NewDocumentAdopted(service string, generation uint64) DocumentAdopted {
	return DocumentAdopted{service: service, generation: generation}
}

// FetchEnded says that a fetch of documents ended, well or not.
type FetchEnded struct{ ok bool }

// NewFetchEnded returns the event.
func NewFetchEnded(ok bool) FetchEnded { return FetchEnded{ok: ok} }

// LoadMeasured is the part of this host's capacity in use.
type LoadMeasured struct{ permille int }

// NewLoadMeasured returns the event.
func NewLoadMeasured(permille int) LoadMeasured { return LoadMeasured{permille: permille} }

// PayloadAdded is a payload to be passed on to all hosts.
type PayloadAdded struct {
	payload Payload
	own     bool
}

// NewPayloadAdded returns the event.
func NewPayloadAdded(p Payload) PayloadAdded { return PayloadAdded{payload: p, own: true} }

// NewPayloadReceived returns the event for a payload that another host handed over outside of heartbeats.
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
