package forward

import (
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/table"
)

const (
	// crashNotice is how long after a crash the endpoint's entry shows it: three heartbeats and their lag. An
	// attempt that failed is kept for that long, so that the crash can be laid to its request.
	crashNotice = 6 * time.Second
	// markSpread is how long a mark is told to peers, some times the period of their messages.
	markSpread = 5 * time.Second
)

// Mark is a crash mark as hosts tell it each other.
type Mark struct {
	Fingerprint []byte    `json:"request"`
	Crash       string    `json:"crash"`
	At          time.Time `json:"at"`
	Cleared     bool      `json:"cleared,omitempty"`
}

// attemptEnd is an attempt that failed and may turn out to have crashed its endpoint.
type attemptEnd struct {
	id string
	at time.Time
}

// crashes finds the requests that crash the endpoints that run them.
type crashes struct {
	system *quarantine.System
	failed []attemptEnd
	marks  []Mark
}

func newCrashes() *crashes { return &crashes{system: quarantine.New(quarantine.Config{})} }

func (c *crashes) tick(now time.Time, events ...quarantine.Event) {
	for len(c.failed) > 0 && now.Sub(c.failed[0].at) > crashNotice {
		events = append(events, quarantine.NewStopped(table.StreamID(c.failed[0].id)))
		c.failed = c.failed[1:]
	}
	for _, d := range c.system.Tick(now, events) {
		if spread, ok := d.(quarantine.SendMarks); ok {
			for _, m := range spread.Marks() {
				f := m.Fingerprint()
				c.marks = append(c.marks, Mark{Fingerprint: f[:], Crash: string(m.Crash()), At: m.At(), Cleared: m.Cleared()})
			}
		}
	}
	for len(c.marks) > 0 && now.Sub(c.marks[0].At) > markSpread {
		c.marks = c.marks[1:]
	}
}

// Marks returns the crash marks that peers should know.
func (f *Forwarder) Marks() []Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes.tick(time.Now())
	return append([]Mark(nil), f.crashes.marks...)
}

// AddMarks takes in the crash marks of a peer.
func (f *Forwarder) AddMarks(marks []Mark) {
	if len(marks) == 0 {
		return
	}
	var in []quarantine.Mark
	for _, m := range marks {
		var fingerprint quarantine.Fingerprint
		if len(m.Fingerprint) != len(fingerprint) {
			continue
		}
		copy(fingerprint[:], m.Fingerprint)
		in = append(in, quarantine.NewMark(quarantine.MarkConfig{
			Fingerprint: fingerprint, Crash: quarantine.CrashID(m.Crash), At: m.At, Cleared: m.Cleared,
		}))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes.tick(time.Now(), quarantine.NewPeerMarks(in))
}

// noteCrashes lays the end of endpoints that did not say that they leave to the requests that ran there. The
// caller holds the lock.
func (f *Forwarder) noteCrashes(before, after map[string]deployment.Endpoint) {
	now := time.Now()
	for id, old := range before {
		e, still := after[id]
		if old.State != deployment.Ready || (still && e.SameInstance(old)) {
			continue
		}
		f.crashes.tick(now, quarantine.NewEndpointCrashed(table.EndpointID(id), uint64(old.StartedMs)))
	}
}

// fingerprint identifies the request across its repeats.
func (r *run) fingerprint() quarantine.Fingerprint {
	content := append([]byte(r.call.Method+" "+r.call.Host+r.call.Target+"\n"), r.body...)
	return quarantine.FingerprintOf(table.ServiceID(r.service), table.WorkspaceID(r.workspace), content)
}

// crashesEndpoints reports whether the request has crashed endpoints and must not reach more of them.
func (r *run) crashesEndpoints() bool {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.print = r.fingerprint()
	return r.f.crashes.system.Verdict(time.Now(), r.print).Ruling() == quarantine.Refuse
}

// begins notes that an attempt starts on endpoints.
func (r *run) begins(endpoints ...string) {
	ids := make([]table.EndpointID, len(endpoints))
	for i, e := range endpoints {
		ids[i] = table.EndpointID(e)
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.f.crashes.tick(time.Now(), quarantine.NewStarted(r.attemptID(), r.print, ids))
}

// ends notes the end of the attempt that began last; one that failed may have crashed its endpoint.
func (r *run) ends(failed bool) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	now := time.Now()
	if failed {
		r.f.crashes.failed = append(r.f.crashes.failed, attemptEnd{id: string(r.attemptID()), at: now})
	} else {
		r.f.crashes.tick(now, quarantine.NewStopped(r.attemptID()), quarantine.NewCompleted(r.print))
	}
	r.attempts++
}

func (r *run) attemptID() table.StreamID {
	return table.StreamID(r.call.ID + "/" + string(rune('a'+r.attempts%26)))
}

// workersOf lists the workers of a path.
func workersOf(p path.Path) []string {
	out := make([]string, len(p))
	for i, part := range p {
		out[i] = part.Worker
	}
	return out
}
