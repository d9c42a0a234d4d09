package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"waxwingplank/internal/core/table"
)

const (
	// The design page specifies 10 min for marks and for the refusal.
	defaultLifetime = 10 * time.Minute
	// One crash can be a coincidence, and each further attempt can crash another endpoint.
	marksToRefuse = 2
	// Requests that run long are on more crashes of other causes, so late marks count only with others.
	anyMarksToRefuse = 3
	// An entry takes about 200 bytes, so a full table takes 2 MB of the 32 MB of a host.
	defaultMaxRequests = 10_000
	// Two unrelated crashing requests explain at most two crashes without a common request.
	defaultFaultyCrashes = 3
	// A full table evicts a sixteenth of its entries at once, which amortizes the sort over many inserts.
	evictDivisor = 16
	// Crashes kept per endpoint; older ones do not change the ruling.
	maxCrashesKept = 8
	// Requests kept per crash; an endpoint has fewer slots than this.
	maxRequestsPerCrash = 256
	// Parts kept per request.
	maxPartsKept = 16
)

// Config describes a System; zero values are replaced by the defaults.
type Config struct {
	Lifetime      time.Duration
	MaxRequests   int
	FaultyCrashes int
	// PassOn makes the system send new marks of peers on, where hosts do not send theirs to all others.
	PassOn bool
}

// mark is a crash that a request was on.
type mark struct {
	at   time.Time
	late bool
}

// request holds the marks and the refusal of one fingerprint.
type request struct {
	marks        map[CrashID]mark
	clearedAt    time.Time
	refusedUntil time.Time
	lastMarkAt   time.Time
	// parts are the parts of the request's prompt that other requests share.
	parts []Fingerprint
}

type run struct {
	// marked is true once the run has caused a mark, at markedAt. Endpoints of one pipeline that crash together, for
	// example in a rack failure, count as one mark.
	marked      bool
	markedAt    time.Time
	fingerprint Fingerprint
	endpoints   []table.EndpointID
	// instance is the instance of the first endpoint, which writes the response.
	instance CrashID
	parts    []Fingerprint
	// ran is true once the response was received for some time. brokenAt is when its connection broke, if it did.
	ran         bool
	brokenAt    time.Time
	partsMarked bool
	// unproven is true if the response may be complete, though its connection broke.
	unproven bool
}

// System holds the marks that are registered on one host.
type System struct {
	cfg       Config
	requests  map[Fingerprint]*request
	streams   map[table.StreamID]*run
	running   map[table.EndpointID]map[table.StreamID]Fingerprint
	endpoints map[table.EndpointID]*crashHistory
	parts     *partTable
	// suspected holds the requests that have enough marks to be refused.
	suspected map[Fingerprint]bool
	// trials holds the runs of undecided requests that have not run for some time yet.
	trials map[table.StreamID]bool
	blame  blame
	// blameRevision counts the updates of blame.
	blameRevision int
	breaks        breaks
	lastSweep     time.Time
}

// New returns a system without marks.
func New(cfg Config) *System {
	if cfg.Lifetime == 0 {
		cfg.Lifetime = defaultLifetime
	}
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = defaultMaxRequests
	}
	if cfg.FaultyCrashes == 0 {
		cfg.FaultyCrashes = defaultFaultyCrashes
	}
	return &System{
		cfg:       cfg,
		requests:  map[Fingerprint]*request{},
		streams:   map[table.StreamID]*run{},
		running:   map[table.EndpointID]map[table.StreamID]Fingerprint{},
		endpoints: map[table.EndpointID]*crashHistory{},
		parts:     newPartTable(cfg.Lifetime),
		suspected: map[Fingerprint]bool{},
		trials:    map[table.StreamID]bool{},
		breaks:    newBreaks(),
	}
}

// Len returns the number of requests with marks, or with marks that were cleared recently.
func (s *System) Len() int { return len(s.requests) }

// Tick applies the events and returns the resulting decisions.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.sweep(now)
	var out []Decision
	for _, e := range events {
		switch e := e.(type) {
		case Started:
			s.stop(e.stream)
			s.begin(now, e)
		case Stopped:
			if r := s.streams[e.stream]; r != nil {
				out = append(out, s.complete(now, r)...)
			}
			s.stop(e.stream)
		case Completed:
			out = append(out, s.completed(now, now, e.fingerprint)...)
		case EndedWithConnection:
			out = append(out, s.endedWithConnection(now, e)...)
		case EndpointCrashed:
			out = append(out, s.ended(now, e.endpoint, NewCrashID(e.endpoint, e.incarnation))...)
		case Ran:
			out = append(out, s.ran(now, e)...)
		case Broken:
			out = append(out, s.broken(now, e)...)
		case ConnectionRefused:
			out = append(out, s.refused(now, NewCrashID(e.endpoint, e.incarnation))...)
		case PeerMarks:
			out = append(out, s.mergePeerMarks(now, e.marks)...)
		}
	}
	return out
}

// mergePeerMarks merges the marks of a peer.
func (s *System) mergePeerMarks(now time.Time, marks []Mark) []Decision {
	var pass []Mark
	var out []Decision
	for _, m := range marks {
		out = append(out, s.endedAtPeer(now, m.cfg.Crash)...)
		switch {
		case m.cfg.Part:
			pass = append(pass, s.parts.handlePeerMark(now, m)...)
		case s.merge(now, m):
			pass = append(pass, m)
		}
	}
	if !s.cfg.PassOn {
		return out
	}
	return append(out, sendMarks(pass)...)
}

// Refusals returns the marks of the parts and of the requests that are refused, for hosts that have just started. Of the
// requests, it returns those that were marked last, at most maxRepeated.
func (s *System) Refusals(now time.Time) []Mark {
	out := s.partRefusals(now)
	var refused []Fingerprint
	for f, r := range s.requests {
		if now.Before(r.refusedUntil) {
			refused = append(refused, f)
		}
	}
	slices.SortFunc(refused, func(a, b Fingerprint) int {
		if c := s.requests[b].lastMarkAt.Compare(s.requests[a].lastMarkAt); c != 0 {
			return c
		}
		return compareFingerprints(a, b)
	})
	for _, f := range refused[:min(len(refused), maxRepeated)] {
		for _, c := range slices.Sorted(maps.Keys(s.requests[f].marks)) {
			m := s.requests[f].marks[c]
			out = append(out, NewMark(MarkConfig{Fingerprint: f, Crash: c, At: m.at, Late: m.late, Parts: s.requests[f].parts}))
		}
	}
	return out
}

// maxRepeated bounds the requests of which the marks are repeated for a host that has just started.
const maxRepeated = 256

// Verdict returns the verdict on a request at the given time. parts are the parts of its prompt that other requests share.
func (s *System) Verdict(now time.Time, f Fingerprint, parts ...Fingerprint) Verdict {
	if g := s.refusing(now, parts); g != nil {
		return Verdict{ruling: Refuse, until: g.until, crashes: g.crashes, recent: s.recent(now, g.until)}
	}
	v := Verdict{ruling: Clear, waits: len(s.trials) > 0 && s.isUndecided(now, f, parts)}
	r := s.requests[f]
	if r == nil {
		return v
	}
	crashes := r.liveCrashes(now, s.cfg.Lifetime)
	v.crashes, v.explained = crashes, s.explained(now, crashes)
	switch {
	case now.Before(r.refusedUntil) && s.blame.requests[f]:
		v.ruling, v.until, v.recent = Refuse, r.refusedUntil, s.recent(now, r.refusedUntil)
	case len(crashes) > 0 && !r.onlyLate():
		v.ruling, v.avoid = Isolate, s.endpointsSharing(now, f, crashes)
	}
	return v
}

// recent reports whether a refusal that ends at the given time is so young that peers may know of crashes that end it.
func (s *System) recent(now, until time.Time) bool {
	return until.Sub(now) > s.cfg.Lifetime-evidenceTime
}

// explained returns those of the crashes that are explained.
func (s *System) explained(now time.Time, crashes []CrashID) []CrashID {
	var out []CrashID
	for _, c := range crashes {
		if s.explains(now, c) {
			out = append(out, c)
		}
	}
	return out
}

// endpointsSharing returns the endpoints that run another request with an unexpired mark from one of
// the crashes, sorted.
func (s *System) endpointsSharing(now time.Time, f Fingerprint, crashes []CrashID) []table.EndpointID {
	var out []table.EndpointID
	for id, on := range s.running {
		for _, other := range on {
			r := s.requests[other]
			if other == f || r == nil || !r.sharesCrash(now, s.cfg.Lifetime, crashes) {
				continue
			}
			out = append(out, id)
			break
		}
	}
	slices.Sort(out)
	return out
}

func (s *System) begin(now time.Time, e Started) {
	r := &run{fingerprint: e.fingerprint, endpoints: e.endpoints, parts: e.parts}
	if len(e.endpoints) > 0 {
		r.instance = NewCrashID(e.endpoints[0], e.incarnation)
	}
	s.streams[e.stream] = r
	if s.isUndecided(now, e.fingerprint, e.parts) {
		s.trials[e.stream] = true
	}
	for _, id := range e.endpoints {
		on := s.running[id]
		if on == nil {
			on = map[table.StreamID]Fingerprint{}
			s.running[id] = on
		}
		on[e.stream] = e.fingerprint
	}
}

func (s *System) stop(id table.StreamID) {
	r := s.streams[id]
	if r == nil {
		return
	}
	for _, ep := range r.endpoints {
		delete(s.running[ep], id)
		if len(s.running[ep]) == 0 {
			delete(s.running, ep)
		}
	}
	delete(s.streams, id)
	delete(s.trials, id)
}

// completed clears the marks of a request from before it completed.
func (s *System) completed(now, at time.Time, f Fingerprint) []Decision {
	r := s.requests[f]
	if r == nil || len(r.marks) == 0 {
		return nil
	}
	m := NewMark(MarkConfig{Fingerprint: f, At: at, Cleared: true})
	s.merge(now, m)
	return sendMarks([]Mark{m})
}

// NewCrashID returns the identity of the crash of an instance of an endpoint.
func NewCrashID(id table.EndpointID, incarnation uint64) CrashID {
	return CrashID(fmt.Sprintf("%s@%d", id, incarnation))
}

func (s *System) crashed(now time.Time, endpoint table.EndpointID, crash CrashID) []Decision {
	h := s.endpoints[endpoint]
	if h == nil {
		h = &crashHistory{}
		s.endpoints[endpoint] = h
	}
	h.expire(now, s.cfg.Lifetime)
	// Every stream on the endpoint reports the crash. A late report must not mark streams that started later.
	if h.contains(crash) {
		return nil
	}
	suspects := s.suspects(endpoint)
	wasFaulty := h.faulty
	explained := s.explains(now, crash) || s.explainedElsewhere(now, endpoint, suspects)
	h.record(pastCrash{id: crash, at: now, requests: suspects, explained: explained}, s.cfg)
	var out []Decision
	if h.faulty && !wasFaulty {
		out = append(out, FaultyEndpoint{endpoint: endpoint})
	}
	var marks []Mark
	for f, run := range s.unmarked(now, endpoint) {
		m := NewMark(MarkConfig{Fingerprint: f, Crash: crash, At: now, Late: !run.early || h.faulty, Parts: run.parts})
		if s.merge(now, m) {
			marks = append(marks, m)
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int { return compareFingerprints(a.cfg.Fingerprint, b.cfg.Fingerprint) })
	return append(out, sendMarks(marks)...)
}

// suspects returns the distinct requests on an endpoint that have not run for some time, sorted.
func (s *System) suspects(id table.EndpointID) []Fingerprint {
	set := map[Fingerprint]bool{}
	for stream, f := range s.running[id] {
		if !s.streams[stream].ran {
			set[f] = true
		}
	}
	out := slices.Collect(maps.Keys(set))
	slices.SortFunc(out, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return out
}

// unmarkedRun describes the runs of one request on an endpoint.
type unmarkedRun struct {
	// early is true if one of the runs had not run for some time when it broke off.
	early bool
	parts []Fingerprint
}

// unmarked returns the requests with a run on the endpoint that has caused no mark yet. It sets marked on all runs there.
func (s *System) unmarked(now time.Time, id table.EndpointID) map[Fingerprint]unmarkedRun {
	fresh := map[Fingerprint]unmarkedRun{}
	for stream, f := range s.running[id] {
		r := s.streams[stream]
		if !r.marked {
			fresh[f] = unmarkedRun{early: fresh[f].early || (!r.ran && !r.unproven), parts: r.parts}
			r.markedAt = now
		}
		r.marked = true
	}
	return fresh
}

// explainedElsewhere reports whether a request with a mark from another endpoint explains the crash.
func (s *System) explainedElsewhere(now time.Time, id table.EndpointID, suspects []Fingerprint) bool {
	for _, f := range suspects {
		r := s.requests[f]
		if r == nil {
			continue
		}
		for _, c := range r.liveCrashes(now, s.cfg.Lifetime) {
			if c.Endpoint() != id {
				return true
			}
		}
	}
	return false
}

// merge applies one mark and reports whether it was new.
func (s *System) merge(now time.Time, m Mark) bool {
	at := m.cfg.At
	if at.After(now) {
		at = now
	}
	if now.Sub(at) >= s.cfg.Lifetime {
		return false
	}
	r := s.requests[m.cfg.Fingerprint]
	if r == nil {
		s.evictIfFull(now)
		r = &request{marks: map[CrashID]mark{}}
		s.requests[m.cfg.Fingerprint] = r
	}
	r.lastMarkAt = later(r.lastMarkAt, at)
	if len(r.parts) == 0 {
		// The deepest parts are those that the fewest requests share.
		r.parts = m.cfg.Parts[max(0, len(m.cfg.Parts)-maxPartsKept):]
	}
	if m.cfg.Cleared {
		if !r.clear(at, s.cfg.Lifetime) {
			return false
		}
		s.updateSuspected(m.cfg.Fingerprint, r)
		return true
	}
	if !at.After(r.clearedAt) {
		return false
	}
	old, exists := r.marks[m.cfg.Crash]
	merged := mark{at: at, late: m.cfg.Late}
	if exists {
		// The earliest time takes precedence, so that sending a mark between hosts does not extend its lifetime.
		merged = mark{at: earlier(old.at, at), late: old.late && m.cfg.Late}
	}
	if exists && merged == old {
		return false
	}
	r.marks[m.cfg.Crash] = merged
	r.trimMarks()
	r.updateRefusal(s.cfg.Lifetime)
	s.updateSuspected(m.cfg.Fingerprint, r)
	return !exists || old.late != merged.late
}

// updateSuspected is called when the marks of a request have changed.
func (s *System) updateSuspected(f Fingerprint, r *request) {
	s.blame.stale = true
	if r.refusedUntil.IsZero() {
		delete(s.suspected, f)
	} else {
		s.suspected[f] = true
	}
}

// sweepInterval limits how often expired entries are removed. Verdicts ignore expired marks regardless.
const sweepInterval = time.Minute

func (s *System) sweep(now time.Time) {
	s.parts.sweep(now)
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for f, r := range s.requests {
		if now.Sub(r.lastMarkAt) >= s.cfg.Lifetime && !now.Before(r.refusedUntil) {
			s.remove(f)
		}
	}
	maps.DeleteFunc(s.endpoints, func(_ table.EndpointID, h *crashHistory) bool {
		h.expire(now, s.cfg.Lifetime)
		return len(h.crashes) == 0
	})
	s.breaks.sweep(now, s.cfg.Lifetime)
}

// evictIfFull evicts the oldest entries of a full table. Requests that are refused are evicted last.
func (s *System) evictIfFull(now time.Time) {
	if len(s.requests) < s.cfg.MaxRequests {
		return
	}
	keys := slices.Collect(maps.Keys(s.requests))
	slices.SortFunc(keys, func(a, b Fingerprint) int {
		ra, rb := s.requests[a], s.requests[b]
		if x, y := now.Before(ra.refusedUntil), now.Before(rb.refusedUntil); x != y {
			if x {
				return 1
			}
			return -1
		}
		if c := ra.lastMarkAt.Compare(rb.lastMarkAt); c != 0 {
			return c
		}
		return slices.Compare(a[:], b[:])
	})
	for _, f := range keys[:max(1, len(keys)/evictDivisor)] {
		s.remove(f)
	}
}

func (s *System) remove(f Fingerprint) {
	delete(s.requests, f)
	delete(s.suspected, f)
	s.blame.stale = true
}
