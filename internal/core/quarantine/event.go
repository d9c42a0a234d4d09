package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"waxwingplank/internal/core/table"
)

// Fingerprint identifies a request. All copies of the request on all hosts have the same one.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the SHA-256 fingerprint of a request.
func FingerprintOf(service table.ServiceID, workspace table.WorkspaceID, body []byte) Fingerprint {
	h := sha256.New()
	var size [4]byte
	for _, name := range []string{string(service), string(workspace)} {
		binary.BigEndian.PutUint32(size[:], uint32(len(name)))
		h.Write(size[:])
		h.Write([]byte(name))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// CrashID identifies one crash by the endpoint and the incarnation that ended, so that hosts that
// detect the same crash record the same mark.
type CrashID string

// MarkConfig describes a Mark.
type MarkConfig struct {
	Fingerprint Fingerprint
	Crash       CrashID
	At          time.Time
	// Cleared means that the request completed at that time, which removes all earlier marks.
	Cleared bool
	// Late means that the request had run for some time when the endpoint crashed, or that the endpoint is faulty, which is
	// weaker evidence.
	Late bool
	// Part is true if the fingerprint is that of a part of prompts; Depth is the place of the part in prompts, from 0.
	Part  bool
	Depth int
	// Parts are the parts of a marked request's prompt that other requests share.
	Parts []Fingerprint
}

// Mark records that a request was running on an endpoint when it crashed, or that its marks are cleared.
type Mark struct{ cfg MarkConfig }

// NewMark returns a mark.
func NewMark(cfg MarkConfig) Mark { return Mark{cfg: cfg} }

// Fingerprint returns the marked request.
func (m Mark) Fingerprint() Fingerprint { return m.cfg.Fingerprint }

// Crash returns the crash that the mark records; it is empty in a mark that clears earlier ones.
func (m Mark) Crash() CrashID { return m.cfg.Crash }

// At returns the time of the crash or of the completion.
func (m Mark) At() time.Time { return m.cfg.At }

// Cleared reports whether the mark clears earlier ones.
func (m Mark) Cleared() bool { return m.cfg.Cleared }

// Late reports whether the mark is weaker evidence.
func (m Mark) Late() bool { return m.cfg.Late }

// Part reports whether the mark is about a part of prompts.
func (m Mark) Part() bool { return m.cfg.Part }

// Depth returns the place of the part in prompts, from 0.
func (m Mark) Depth() int { return m.cfg.Depth }

// Parts returns the parts of the marked request's prompt that other requests share.
func (m Mark) Parts() []Fingerprint { return m.cfg.Parts }

// PartFingerprint returns the fingerprint of a part of the prompts for a service.
func PartFingerprint(service table.ServiceID, id string) Fingerprint {
	return FingerprintOf(service, "", []byte("part "+id))
}

// Event is an input of the system about a request or an endpoint.
type Event interface{ event() }

// Started reports that a request runs on endpoints.
type Started struct {
	stream      table.StreamID
	fingerprint Fingerprint
	endpoints   []table.EndpointID
	incarnation uint64
	parts       []Fingerprint
}

// NewStarted returns the event.
func NewStarted(id table.StreamID, f Fingerprint, endpoints []table.EndpointID) Started {
	return Started{stream: id, fingerprint: f, endpoints: endpoints}
}

// WithParts returns the event for a request whose prompt has parts that other requests share, in order. incarnation is that of
// the first endpoint, which writes the response.
func (e Started) WithParts(incarnation uint64, parts []Fingerprint) Started {
	e.incarnation, e.parts = incarnation, parts
	return e
}

// Ran reports that a stream has received its response for some time. Parts of its prompt then do not crash endpoints, and a later
// crash is weaker evidence against the request.
type Ran struct{ stream table.StreamID }

// NewRan returns the event.
func NewRan(id table.StreamID) Ran { return Ran{stream: id} }

// Broken reports that the connection to the first endpoint of a stream broke after the request was sent.
type Broken struct{ stream table.StreamID }

// NewBroken returns the event.
func NewBroken(id table.StreamID) Broken { return Broken{stream: id} }

// EndedWithConnection reports that the end of its connection was all that marked the end of a stream's response, as a crash of
// the endpoint does. It is not known whether the response is complete until the stream stops and its endpoint has not ended.
type EndedWithConnection struct{ stream table.StreamID }

// NewEndedWithConnection returns the event.
func NewEndedWithConnection(id table.StreamID) EndedWithConnection {
	return EndedWithConnection{stream: id}
}

// ConnectionRefused reports that nothing listens at the address of an endpoint.
type ConnectionRefused struct {
	endpoint    table.EndpointID
	incarnation uint64
}

// NewConnectionRefused returns the event.
func NewConnectionRefused(id table.EndpointID, incarnation uint64) ConnectionRefused {
	return ConnectionRefused{endpoint: id, incarnation: incarnation}
}

// Stopped reports that a stream no longer runs on any endpoint.
type Stopped struct{ stream table.StreamID }

// NewStopped returns the event.
func NewStopped(id table.StreamID) Stopped { return Stopped{stream: id} }

// Completed reports that a request got a complete response, which clears its marks.
type Completed struct{ fingerprint Fingerprint }

// NewCompleted returns the event.
func NewCompleted(f Fingerprint) Completed { return Completed{fingerprint: f} }

// EndpointCrashed reports that an incarnation of an endpoint ended without announcing it.
type EndpointCrashed struct {
	endpoint    table.EndpointID
	incarnation uint64
}

// NewEndpointCrashed returns the event.
func NewEndpointCrashed(id table.EndpointID, incarnation uint64) EndpointCrashed {
	return EndpointCrashed{endpoint: id, incarnation: incarnation}
}

// PeerMarks carries marks received from other hosts.
type PeerMarks struct{ marks []Mark }

// NewPeerMarks returns the event.
func NewPeerMarks(marks []Mark) PeerMarks { return PeerMarks{marks: marks} }

func (Started) event()             {}
func (Ran) event()                 {}
func (Broken) event()              {}
func (EndedWithConnection) event() {}
func (ConnectionRefused) event()   {}
func (Stopped) event()             {}
func (Completed) event()           {}
func (EndpointCrashed) event()     {}
func (PeerMarks) event()           {}

// Decision is an action that the daemon carries out for the system.
type Decision interface{ decision() }

// SendMarks requests that marks are sent to all peers.
type SendMarks struct{ marks []Mark }

// Marks returns the marks to send.
func (d SendMarks) Marks() []Mark { return d.marks }

// FaultyEndpoint reports that an endpoint is faulty: it crashes with unrelated requests, so its crashes are weaker evidence
// against requests from now on.
type FaultyEndpoint struct{ endpoint table.EndpointID }

// Endpoint returns the endpoint.
func (d FaultyEndpoint) Endpoint() table.EndpointID { return d.endpoint }

// EndpointEnded reports that an instance of an endpoint has ended without announcing it.
type EndpointEnded struct {
	endpoint table.EndpointID
	instance CrashID
}

// Endpoint returns the endpoint.
func (d EndpointEnded) Endpoint() table.EndpointID { return d.endpoint }

// Instance returns the instance that has ended.
func (d EndpointEnded) Instance() CrashID { return d.instance }

func (SendMarks) decision()      {}
func (EndpointEnded) decision()  {}
func (FaultyEndpoint) decision() {}

// Ruling determines whether and where a request may run.
type Ruling string

// The rulings on a request.
const (
	// Clear allows the request to run on any endpoint.
	Clear Ruling = "clear"
	// Isolate allows it to run on endpoints without other requests that are marked with the same crash.
	Isolate Ruling = "isolate"
	// Refuse rejects the request.
	Refuse Ruling = "refuse"
)

// Verdict is the ruling on a request with the crashes behind it.
type Verdict struct {
	ruling    Ruling
	crashes   []CrashID
	explained []CrashID
	avoid     []table.EndpointID
	until     time.Time
	recent    bool
	waits     bool
}

// Ruling returns the ruling.
func (v Verdict) Ruling() Ruling { return v.ruling }

// Crashes returns the crashes that the request is marked with.
func (v Verdict) Crashes() []CrashID { return v.crashes }

// Explained returns those of the crashes that do not count against the request, because something else explains them.
func (v Verdict) Explained() []CrashID { return v.explained }

// Avoid returns the endpoints that, as seen from this host, run another request marked with one of
// the same crashes.
func (v Verdict) Avoid() []table.EndpointID { return v.avoid }

// Recent reports whether a refusal has just begun and may be lifted at once by what other hosts know.
func (v Verdict) Recent() bool { return v.recent }

// Waits reports whether the request shares its crashes with others, one of which runs here. If both ran, the next crash would not
// tell which of them causes it.
func (v Verdict) Waits() bool { return v.waits }

// Until returns the time at which a refused request is admitted again.
func (v Verdict) Until() time.Time { return v.until }
