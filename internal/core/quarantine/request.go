package quarantine

import (
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/table"
)

// Endpoint returns the endpoint that crashed.
func (c CrashID) Endpoint() table.EndpointID {
	return table.EndpointID(c[:max(0, strings.LastIndexByte(string(c), '@'))])
}

// liveCrashes returns the crashes whose marks have not expired, sorted.
func (r *request) liveCrashes(now time.Time, lifetime time.Duration) []CrashID {
	var out []CrashID
	for c, m := range r.marks {
		if now.Sub(m.at) < lifetime {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

// onlyLate reports whether the request had run for some time in all its crashes.
func (r *request) onlyLate() bool {
	for _, m := range r.marks {
		if !m.late {
			return false
		}
	}
	return true
}

func (r *request) sharesCrash(now time.Time, lifetime time.Duration, crashes []CrashID) bool {
	for _, c := range crashes {
		if m, ok := r.marks[c]; ok && now.Sub(m.at) < lifetime {
			return true
		}
	}
	return false
}

// clear removes the marks up to the given time and reports whether it is later than the last clearing.
func (r *request) clear(at time.Time, lifetime time.Duration) bool {
	if !at.After(r.clearedAt) {
		return false
	}
	r.clearedAt = at
	for c, m := range r.marks {
		if !m.at.After(at) {
			delete(r.marks, c)
		}
	}
	r.updateRefusal(lifetime)
	return true
}

// updateRefusal computes the end of the refusal. The refusal starts at the last mark that has, with those within one lifetime
// before it, enough marks. The result depends on the marks alone, so that hosts that merge the same marks in a different order
// agree.
func (r *request) updateRefusal(lifetime time.Duration) {
	var early, all []time.Time
	for _, m := range r.marks {
		all = append(all, m.at)
		if !m.late {
			early = append(early, m.at)
		}
	}
	r.refusedUntil = later(refusalEnd(early, marksToRefuse, lifetime), refusalEnd(all, anyMarksToRefuse, lifetime))
}

// refusalEnd returns the end of the refusal for which a number of marks within one lifetime is enough, or the zero time.
func refusalEnd(times []time.Time, enough int, lifetime time.Duration) (end time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for i := enough - 1; i < len(times); i++ {
		if times[i].Sub(times[i-enough+1]) < lifetime {
			end = times[i].Add(lifetime)
		}
	}
	return end
}

// maxMarksKept bounds the memory of an entry. Crashes whose marks are removed count against parts of prompts again.
const maxMarksKept = 16

// trimMarks removes the oldest marks above the bound.
func (r *request) trimMarks() {
	for len(r.marks) > maxMarksKept {
		var oldest CrashID
		for c, m := range r.marks {
			if oldest == "" || m.at.Before(r.marks[oldest].at) {
				oldest = c
			}
		}
		delete(r.marks, oldest)
	}
}

func compareFingerprints(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

type pastCrash struct {
	id        CrashID
	at        time.Time
	requests  []Fingerprint
	explained bool
}

// crashHistory holds the recent crashes of one endpoint.
type crashHistory struct {
	crashes []pastCrash
	faulty  bool
}

func (h *crashHistory) contains(id CrashID) bool {
	return slices.ContainsFunc(h.crashes, func(c pastCrash) bool { return c.id == id })
}

// record adds a crash and updates whether the endpoint is faulty.
//
// A crash is explained by a request that was also part of an earlier crash, or that has a mark from
// another endpoint. An endpoint is faulty when it has FaultyCrashes or more unexplained crashes
// within one lifetime.
func (h *crashHistory) record(c pastCrash, cfg Config) {
	if len(c.requests) > maxRequestsPerCrash {
		c.requests = c.requests[:maxRequestsPerCrash]
	}
	h.crashes = append(h.crashes, c)
	if len(h.crashes) > maxCrashesKept {
		h.crashes = h.crashes[1:]
	}
	h.faulty = h.unexplained() >= cfg.FaultyCrashes
}

// unexplained counts the crashes that share no request with an earlier one and that no request with a
// mark from another endpoint explains.
func (h *crashHistory) unexplained() int {
	seen := map[Fingerprint]bool{}
	n := 0
	for _, c := range h.crashes {
		shared := slices.ContainsFunc(c.requests, func(f Fingerprint) bool { return seen[f] })
		for _, f := range c.requests {
			seen[f] = true
		}
		if !shared && !c.explained {
			n++
		}
	}
	return n
}

func (h *crashHistory) expire(now time.Time, lifetime time.Duration) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c pastCrash) bool { return now.Sub(c.at) >= lifetime })
	if len(h.crashes) == 0 {
		h.faulty = false
	}
}
