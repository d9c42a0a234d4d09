package forward

import (
	"context"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/table"
)

const (
	// crashReportDelay is how long after a crash the endpoint's entry shows it: three heartbeats and their lag. A
	// failed attempt is kept for that long, so that the crash can be attributed to its request.
	crashReportDelay = 6 * time.Second
	// markReportTime is how long a mark is reported to peers, a multiple of the period of their messages.
	markReportTime = 5 * time.Second
)

// Mark is a crash mark as hosts send it to each other.
type Mark struct {
	Fingerprint []byte    `json:"request"`
	Crash       string    `json:"crash"`
	At          time.Time `json:"at"`
	Cleared     bool      `json:"cleared,omitempty"`
	// Late means that the request had run for some time when the endpoint crashed.
	Late bool `json:"late,omitempty"`
	// Part is true for a mark of a part of prompts; Depth is the place of the part in prompts, from 0.
	Part  bool `json:"part,omitempty"`
	Depth int  `json:"depth,omitempty"`
	// Parts are the fingerprints of the parts of a marked request's prompt that other requests share.
	Parts [][]byte `json:"parts,omitempty"`
}

func encodeMark(m quarantine.Mark) Mark {
	f := m.Fingerprint()
	out := Mark{Fingerprint: f[:], Crash: string(m.Crash()), At: m.At(), Cleared: m.Cleared(), Late: m.Late(), Part: m.Part(), Depth: m.Depth()}
	for _, p := range m.Parts() {
		out.Parts = append(out.Parts, p[:])
	}
	return out
}

// decodeMarks leaves out marks whose fingerprint has another length.
func decodeMarks(marks []Mark) []quarantine.Mark {
	var out []quarantine.Mark
	for _, m := range marks {
		fingerprint, ok := decodeFingerprint(m.Fingerprint)
		if !ok {
			continue
		}
		cfg := quarantine.MarkConfig{
			Fingerprint: fingerprint, Crash: quarantine.CrashID(m.Crash), At: m.At, Cleared: m.Cleared, Late: m.Late, Part: m.Part, Depth: m.Depth,
		}
		for _, p := range m.Parts {
			if part, ok := decodeFingerprint(p); ok {
				cfg.Parts = append(cfg.Parts, part)
			}
		}
		out = append(out, quarantine.NewMark(cfg))
	}
	return out
}

func decodeFingerprint(b []byte) (f quarantine.Fingerprint, ok bool) {
	if len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}

// failedAttempt is an attempt that failed, or may have, and may turn out to have crashed its endpoint.
type failedAttempt struct {
	id table.StreamID
	at time.Time
}

// markKey identifies a mark that is reported to peers.
type markKey struct {
	fingerprint quarantine.Fingerprint
	crash       quarantine.CrashID
}

// reportedMark is a mark that is reported to peers until a time.
type reportedMark struct {
	mark  Mark
	until time.Time
}

// crashTracker finds the requests and the parts of prompts that crash the endpoints that run them.
type crashTracker struct {
	log    Logger
	system *quarantine.System
	// onEnded is called with each instance of an endpoint that is found to have ended.
	onEnded func(now time.Time, instance quarantine.CrashID)
	failed  []failedAttempt
	marks   map[markKey]reportedMark
	// logged holds the findings that were logged, as of the revision.
	logged   map[string]bool
	revision int
}

func newCrashTracker(log Logger, onEnded func(time.Time, quarantine.CrashID)) *crashTracker {
	return &crashTracker{
		log: log, onEnded: onEnded, system: quarantine.New(quarantine.Config{PassOn: true}), marks: map[markKey]reportedMark{}, logged: map[string]bool{},
	}
}

func (c *crashTracker) tick(now time.Time, events ...quarantine.Event) {
	for len(c.failed) > 0 && now.Sub(c.failed[0].at) > crashReportDelay {
		events = append(events, quarantine.NewStopped(c.failed[0].id))
		c.failed = c.failed[1:]
	}
	for _, d := range c.system.Tick(now, events) {
		switch d := d.(type) {
		case quarantine.SendMarks:
			c.report(now, d.Marks())
			c.logParts(d.Marks())
			c.logRequests(d.Marks())
		case quarantine.EndpointEnded:
			c.log.Decision("", "endpoint crashed", map[string]any{
				fieldEndpoint: string(d.Endpoint()), "instance": string(d.Instance()), "failed_attempts": len(c.failed),
			})
			c.onEnded(now, d.Instance())
		}
	}
	c.logFindings(now)
}

// logFindings logs what explains crashes, where that has changed.
func (c *crashTracker) logFindings(now time.Time) {
	findings, revision := c.system.Findings(now)
	if revision == c.revision {
		return
	}
	logged := map[string]bool{}
	for _, f := range findings {
		fields := map[string]any{
			"outcome": string(f.Outcome()), "crashes": f.Crashes(), "requests": len(f.Requests()), fieldParts: len(f.Parts()),
			"contents": limited(shortFingerprints(f.Requests())), "part_fingerprints": limited(shortFingerprints(f.Parts())),
		}
		key := fmt.Sprint(f.Outcome(), f.Crashes(), len(f.Requests()), len(f.Parts()))
		logged[key] = true
		if !c.logged[key] {
			c.log.Decision("", "crashes weighed", fields)
		}
	}
	c.logged, c.revision = logged, revision
}

// limited returns the first values, as many as a log line names.
func limited(values []string) []string { return values[:min(len(values), maxLoggedMarks)] }

// report adds marks to those that are reported to peers.
func (c *crashTracker) report(now time.Time, marks []quarantine.Mark) {
	for _, m := range marks {
		c.marks[markKey{m.Fingerprint(), m.Crash()}] = reportedMark{mark: encodeMark(m), until: now.Add(markReportTime)}
	}
}

// logParts logs marks of parts of prompts.
func (c *crashTracker) logParts(marks []quarantine.Mark) {
	for _, m := range marks {
		if m.Part() {
			c.log.Decision("", "prompt part marked", map[string]any{
				"part": shortFingerprint(m.Fingerprint()), "depth": m.Depth(), "crash": string(m.Crash()), "cleared": m.Cleared(), "at": m.At(),
			})
		}
	}
}

// logRequests logs marks of requests, one line for each crash.
func (c *crashTracker) logRequests(marks []quarantine.Mark) {
	byCrash := map[quarantine.CrashID][]quarantine.Mark{}
	for _, m := range marks {
		if !m.Part() {
			byCrash[m.Crash()] = append(byCrash[m.Crash()], m)
		}
	}
	for _, crash := range slices.Sorted(maps.Keys(byCrash)) {
		var early, late []string
		for _, m := range byCrash[crash] {
			if m.Late() {
				late = append(late, shortFingerprint(m.Fingerprint()))
			} else {
				early = append(early, shortFingerprint(m.Fingerprint()))
			}
		}
		decision := "requests marked"
		if crash == "" {
			decision = "requests cleared"
		}
		c.log.Decision("", decision, map[string]any{
			"crash": string(crash), "early": len(early), "late": len(late), "contents": limited(early), "late_contents": limited(late),
		})
	}
}

const (
	// fingerprintLogBytes is how much of a fingerprint is logged.
	fingerprintLogBytes = 6
	// maxLoggedMarks bounds the requests that a log line names.
	maxLoggedMarks = 64
)

func shortFingerprint(f quarantine.Fingerprint) string {
	return hex.EncodeToString(f[:fingerprintLogBytes])
}

func shortFingerprints(all []quarantine.Fingerprint) []string {
	out := make([]string, len(all))
	for i, f := range all {
		out[i] = shortFingerprint(f)
	}
	return out
}

// Marks returns the crash marks to report to peers.
func (f *Forwarder) Marks() []Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.crashes.tick(now)
	var out []Mark
	for key, m := range f.crashes.marks {
		if now.After(m.until) {
			delete(f.crashes.marks, key)
			continue
		}
		out = append(out, m.mark)
	}
	return out
}

// AddMarks merges the crash marks of a peer.
func (f *Forwarder) AddMarks(marks []Mark) {
	if len(marks) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now, decoded := time.Now(), decodeMarks(marks)
	f.recordEndReports(now, decoded)
	f.crashes.tick(now, quarantine.NewPeerMarks(decoded))
}

// RepeatRefusals reports the marks of refused requests and parts of prompts once more, because a peer has started that knows none.
func (f *Forwarder) RepeatRefusals() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.crashes.report(now, f.crashes.system.Refusals(now))
}

// recordCrashes attributes the end of endpoints that did not announce that they leave to the requests that ran
// there. The caller holds the lock.
func (f *Forwarder) recordCrashes(before, after map[string]deployment.Endpoint) {
	now := time.Now()
	for id, old := range before {
		e, still := after[id]
		if old.State != deployment.Ready || (still && e.SameInstance(old)) {
			continue
		}
		f.crashes.tick(now, quarantine.NewEndpointCrashed(table.EndpointID(id), uint64(old.StartedMs)))
	}
}

// identify computes the fingerprints of the request, which are the same for its repeats, and of the parts of its prompt that
// other requests share.
func (r *run) identify() {
	content := append([]byte(r.call.Method+" "+r.call.Host+r.call.Target+"\n"), r.body.identity()...)
	r.fingerprint = quarantine.FingerprintOf(table.ServiceID(r.service), table.WorkspaceID(r.workspace), content)
	for i, id := range r.call.PromptParts {
		if i < len(r.call.PromptParts)-1 {
			r.parts = append(r.parts, quarantine.PartFingerprint(table.ServiceID(r.service), id))
		}
	}
}

// crashesEndpoints reports whether the request has crashed endpoints, or a part of its prompt has, so that it must not be
// sent to any more of them.
func (r *run) crashesEndpoints() bool {
	r.f.mu.Lock()
	verdict := r.f.crashes.system.Verdict(time.Now(), r.fingerprint, r.parts...)
	r.f.mu.Unlock()
	if verdict.Ruling() != quarantine.Refuse && len(verdict.Crashes()) == 0 {
		return false
	}
	fields := map[string]any{
		fieldContent: shortFingerprint(r.fingerprint), fieldParts: shortFingerprints(r.parts), "crashes": verdict.Crashes(),
		"explained": verdict.Explained(), fieldSends: r.sends,
	}
	if verdict.Ruling() != quarantine.Refuse {
		if len(verdict.Crashes()) == r.loggedCrashes {
			return false
		}
		r.loggedCrashes = len(verdict.Crashes())
		r.log("marked request admitted", fields)
		return false
	}
	r.afterCrashes = retryAfterCrashes
	if verdict.Recent() {
		r.afterCrashes = retryAfterRecentCrashes
	}
	fields["until"] = verdict.Until()
	r.log("request quarantined", fields)
	return true
}

// recordStart records that an attempt starts on endpoints and returns its ID.
func (r *run) recordStart(endpoints ...string) table.StreamID {
	ids := make([]table.EndpointID, len(endpoints))
	for i, e := range endpoints {
		ids[i] = table.EndpointID(e)
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	incarnation := uint64(r.f.byID[endpoints[0]].StartedMs)
	r.attempts++
	attempt := table.StreamID(r.call.ID + "/" + strconv.Itoa(r.attempts))
	r.f.crashes.tick(time.Now(), quarantine.NewStarted(attempt, r.fingerprint, ids).WithParts(incarnation, r.parts))
	return attempt
}

// recordRan records that the response to an attempt has been received for some time.
func (r *run) recordRan(attempt table.StreamID) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.f.crashes.tick(time.Now(), quarantine.NewRan(attempt))
}

// recordBroken records how the connection of an attempt to an endpoint failed.
func (r *run) recordBroken(ctx context.Context, attempt table.StreamID, endpoint string, sent bool, err error) {
	if ctx.Err() != nil || r.body.failure() != nil {
		// The host itself closed the connection, or the caller broke off its body.
		return
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	switch e, listed := r.f.byID[endpoint]; {
	case listed && e.State != deployment.Ready:
		// It had announced its end, which therefore is no crash.
	case sent:
		r.f.crashes.tick(time.Now(), quarantine.NewBroken(attempt))
		if listed {
			r.brokenAt = instanceOf(e)
			r.f.verifyEndpoint(e)
		}
	case r.f.cfg.Endpoints.ConnectionRefused(err):
		now := time.Now()
		r.f.recordRefusedConnection(now, e)
		r.f.crashes.tick(now, quarantine.NewConnectionRefused(table.EndpointID(endpoint), uint64(e.StartedMs)))
	}
}

// attemptEnd is how an attempt ended.
type attemptEnd string

const (
	// attemptCompleted got a complete response.
	attemptCompleted attemptEnd = "completed"
	// attemptFailed may have run. It may turn out to have crashed its endpoint.
	attemptFailed attemptEnd = "failed"
	// attemptNotRun has not reached its endpoint, or the endpoint has refused it.
	attemptNotRun attemptEnd = "not_run"
	// attemptUnproven got a response that ended with its connection, which it also does if the endpoint crashes.
	attemptUnproven attemptEnd = "unproven"
	// attemptRelaying has got the beginning of a response, and its end is recorded once the rest has been relayed.
	attemptRelaying attemptEnd = "relaying"
)

// completeEnd returns how an attempt ended that got a response which is complete as far as its framing tells.
func completeEnd(closeDelimited bool) attemptEnd {
	if closeDelimited {
		return attemptUnproven
	}
	return attemptCompleted
}

// recordEnd records the end of an attempt at an endpoint.
func (r *run) recordEnd(attempt table.StreamID, endpoint string, end attemptEnd) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	now := time.Now()
	if e, listed := r.f.byID[endpoint]; end == attemptUnproven && (!listed || e.State != deployment.Ready) {
		// It has announced its end, so that this is no crash.
		end = attemptCompleted
	}
	switch end {
	case attemptUnproven:
		r.f.crashes.tick(now, quarantine.NewEndedWithConnection(attempt))
		r.f.crashes.failed = append(r.f.crashes.failed, failedAttempt{id: attempt, at: now})
	case attemptFailed:
		r.f.crashes.failed = append(r.f.crashes.failed, failedAttempt{id: attempt, at: now})
	case attemptNotRun:
		r.f.crashes.tick(now, quarantine.NewStopped(attempt))
	case attemptCompleted:
		r.f.crashes.tick(now, quarantine.NewRan(attempt), quarantine.NewStopped(attempt), quarantine.NewCompleted(r.fingerprint))
	}
}

// workersOf returns the IDs of the workers of a path.
func workersOf(p path.Path) []string {
	out := make([]string, len(p))
	for i, part := range p {
		out[i] = part.Worker
	}
	return out
}
