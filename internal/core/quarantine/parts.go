package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// recentRun is how long a run without a crash speaks against a mark: a part that ran a moment ago crashes nothing.
	recentRun = 2 * time.Second
	// maxPartMarks bounds the crashes kept for a part.
	maxPartMarks = 16
	// maxParts bounds the table of parts. An entry takes about 300 bytes, or 2 KB with all its marks.
	maxParts = 4096
)

// part holds what is known of one part of prompts.
type part struct {
	depth     int
	marks     map[CrashID]time.Time
	clearedAt time.Time
	// ranAt is when a request with the part last ran on this host without a crash.
	ranAt time.Time
}

// partTable holds the crashes that parts of prompts were in.
//
// Requests that crash endpoints share parts with sound ones, and sound ones run on the same endpoints. A part is therefore
// cleared when a request with it runs.
type partTable struct {
	lifetime time.Duration
	parts    map[Fingerprint]*part
	// changed is set when marks change, for the ruling that is derived from them.
	changed bool
	sweptAt time.Time
}

func newPartTable(lifetime time.Duration) *partTable {
	return &partTable{lifetime: lifetime, parts: map[Fingerprint]*part{}}
}

func (t *partTable) part(f Fingerprint, depth int) *part {
	p := t.parts[f]
	if p == nil {
		t.evictIfFull()
		p = &part{depth: depth, marks: map[CrashID]time.Time{}}
		t.parts[f] = p
	}
	return p
}

// ran records that a request with the parts runs without a crash. It returns the marks that clear the parts.
func (t *partTable) ran(now time.Time, parts []Fingerprint) []Mark {
	var out []Mark
	for depth, f := range parts {
		p := t.part(f, depth)
		p.ranAt = now
		if len(p.marks) > 0 {
			m := NewMark(MarkConfig{Fingerprint: f, At: now, Cleared: true, Part: true, Depth: depth})
			t.merge(now, m)
			out = append(out, m)
		}
	}
	return out
}

// crashed marks the parts of a request whose run broke off when its endpoint crashed. It returns the new marks.
func (t *partTable) crashed(now, brokenAt time.Time, crash CrashID, parts []Fingerprint) []Mark {
	var out []Mark
	for depth, f := range parts {
		if t.ranRecently(f, brokenAt) {
			continue
		}
		m := NewMark(MarkConfig{Fingerprint: f, Crash: crash, At: brokenAt, Part: true, Depth: depth})
		if t.merge(now, m) {
			out = append(out, m)
		}
	}
	return out
}

func (t *partTable) ranRecently(f Fingerprint, at time.Time) bool {
	p := t.parts[f]
	return p != nil && !p.ranAt.Before(at.Add(-recentRun))
}

// handlePeerMark merges a mark of a peer. It returns the marks to pass on: the mark itself if it is new, since its sender does
// not report to all hosts, or the one that clears it if a request with the part ran here a moment before.
func (t *partTable) handlePeerMark(now time.Time, m Mark) []Mark {
	if !m.cfg.Cleared && t.ranRecently(m.cfg.Fingerprint, m.cfg.At) {
		m = NewMark(MarkConfig{Fingerprint: m.cfg.Fingerprint, At: later(m.cfg.At, t.parts[m.cfg.Fingerprint].ranAt), Cleared: true, Part: true, Depth: m.cfg.Depth})
	}
	if !t.merge(now, m) {
		return nil
	}
	return []Mark{m}
}

// merge applies one mark and reports whether it was new.
func (t *partTable) merge(now time.Time, m Mark) bool {
	at := m.cfg.At
	if at.After(now) {
		at = now
	}
	if now.Sub(at) >= t.lifetime {
		return false
	}
	p := t.part(m.cfg.Fingerprint, m.cfg.Depth)
	if !at.After(p.clearedAt) {
		return false
	}
	t.changed = true
	if m.cfg.Cleared {
		p.clearedAt = at
		maps.DeleteFunc(p.marks, func(_ CrashID, markedAt time.Time) bool { return !markedAt.After(at) })
		return true
	}
	old, exists := p.marks[m.cfg.Crash]
	if exists && !at.Before(old) {
		return false
	}
	p.marks[m.cfg.Crash] = at
	for len(p.marks) > maxPartMarks {
		delete(p.marks, oldestMark(p.marks))
	}
	return !exists
}

func oldestMark(marks map[CrashID]time.Time) CrashID {
	var oldest CrashID
	for c, at := range marks {
		if oldest == "" || at.Before(marks[oldest]) || (at.Equal(marks[oldest]) && c < oldest) {
			oldest = c
		}
	}
	return oldest
}

// sweep removes parts without marks that have not run of late.
func (t *partTable) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < partSweepInterval {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.parts, func(_ Fingerprint, p *part) bool {
		maps.DeleteFunc(p.marks, func(_ CrashID, at time.Time) bool { return now.Sub(at) >= t.lifetime })
		return len(p.marks) == 0 && now.Sub(p.ranAt) > recentRun && now.Sub(p.clearedAt) > partSweepInterval
	})
	t.changed = true
}

// partSweepInterval limits how often unused parts are removed.
const partSweepInterval = 10 * time.Second

// evictIfFull removes parts from a full table, those with the fewest marks first.
func (t *partTable) evictIfFull() {
	if len(t.parts) < maxParts {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.parts), func(a, b Fingerprint) int {
		pa, pb := t.parts[a], t.parts[b]
		if len(pa.marks) != len(pb.marks) {
			return len(pa.marks) - len(pb.marks)
		}
		if c := pa.ranAt.Compare(pb.ranAt); c != 0 {
			return c
		}
		return compareFingerprints(a, b)
	})
	for _, f := range keys[:len(keys)/evictDivisor] {
		delete(t.parts, f)
	}
	t.changed = true
}
