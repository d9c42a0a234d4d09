package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"waxwingplank/internal/core/table"
)

// Fingerprint identifies the same request across its copies and hosts.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request.
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

// CrashID identifies one crash: the endpoint and the incarnation that ended.
// Hosts that see the same crash therefore give the same mark.
type CrashID string

// MarkConfig describes a Mark.
type MarkConfig struct {
	Fingerprint Fingerprint
	Crash       CrashID
	At          time.Time
	// Cleared says that the request completed at that time, which takes back all earlier marks.
	Cleared bool
}

// Mark says that a request ran on an endpoint when it crashed, or that its marks are taken back.
type Mark struct{ cfg MarkConfig }

// NewMark returns a mark.
func NewMark(cfg MarkConfig) Mark { return Mark{cfg: cfg} }

// Fingerprint returns the marked request.
func (m Mark) Fingerprint() Fingerprint { return m.cfg.Fingerprint }

// Crash returns the crash that the mark is for; it is empty in a mark that clears.
func (m Mark) Crash() CrashID { return m.cfg.Crash }

// At returns the time of the crash or of the completion.
func (m Mark) At() time.Time { return m.cfg.At }

// Cleared reports whether the mark takes back earlier ones.
func (m Mark) Cleared() bool { return m.cfg.Cleared }

// Event is something that happened to a request or to an endpoint.
type Event interface{ event() }

// Started says that a request runs on endpoints.
type Started struct {
	stream      table.StreamID
	fingerprint Fingerprint
	endpoints   []table.EndpointID
}

// NewStarted returns the event.
func NewStarted(id table.StreamID, f Fingerprint, endpoints []table.EndpointID) Started {
	return Started{stream: id, fingerprint: f, endpoints: endpoints}
}

// Stopped says that a stream runs on no endpoint any more.
type Stopped struct{ stream table.StreamID }

// NewStopped returns the event.
func NewStopped(id table.StreamID) Stopped { return Stopped{stream: id} }

// Completed says that a request was answered whole; it takes back its marks.
type Completed struct{ fingerprint Fingerprint }

// NewCompleted returns the event.
func NewCompleted(f Fingerprint) Completed { return Completed{fingerprint: f} }

// EndpointCrashed says that an incarnation of an endpoint ended without notice.
type EndpointCrashed struct {
	endpoint    table.EndpointID
	incarnation uint64
}

// NewEndpointCrashed returns the event.
func NewEndpointCrashed(id table.EndpointID, incarnation uint64) EndpointCrashed {
	return EndpointCrashed{endpoint: id, incarnation: incarnation}
}

// PeerMarks carries marks from other hosts.
type PeerMarks struct{ marks []Mark }

// NewPeerMarks returns the event.
func NewPeerMarks(marks []Mark) PeerMarks { return PeerMarks{marks: marks} }

func (Started) event()         {}
func (Stopped) event()         {}
func (Completed) event()       {}
func (EndpointCrashed) event() {}
func (PeerMarks) event()       {}

// Decision is something to do about marks.
type Decision interface{ decision() }

// SpreadMarks hands marks to all peers.
type SpreadMarks struct{ marks []Mark }

// Marks returns the marks to hand over.
func (d SpreadMarks) Marks() []Mark { return d.marks }

// Sick says that an endpoint crashes with different requests, so that its crashes give no marks.
type Sick struct{ endpoint table.EndpointID }

// Endpoint returns the endpoint.
func (d Sick) Endpoint() table.EndpointID { return d.endpoint }

func (SpreadMarks) decision() {}
func (Sick) decision()        {}

// Ruling names what may be done with a request.
type Ruling string

// The rulings on a request.
const (
	// Clear lets the request run anywhere.
	Clear Ruling = "clear"
	// Isolate lets it run, apart from other requests with a mark from the same crashes.
	Isolate Ruling = "isolate"
	// Refuse does not let it run.
	Refuse Ruling = "refuse"
)

// Verdict is the ruling on a request and what it rests on.
type Verdict struct {
	ruling  Ruling
	crashes []CrashID
	avoid   []table.EndpointID
	until   time.Time
}

// Ruling returns the ruling.
func (v Verdict) Ruling() Ruling { return v.ruling }

// Crashes returns the crashes that the request is marked with.
func (v Verdict) Crashes() []CrashID { return v.crashes }

// Avoid returns the endpoints known here to run another request with a mark from the same crashes.
func (v Verdict) Avoid() []table.EndpointID { return v.avoid }

// Until returns the time at which a refused request is let in again.
func (v Verdict) Until() time.Time { return v.until }
