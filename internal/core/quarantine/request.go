package quarantine

import (
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/table"
)

// on reports whether the crash happened on the endpoint.
func (c CrashID) on(id table.EndpointID) bool {
	at := strings.LastIndexByte(string(c), '@')
	return at >= 0 && string(c[:at]) == string(id)
}

// liveCrashes returns the crashes whose marks have not expired, sorted.
func (r *request) liveCrashes(now time.Time, lifetime time.Duration) []CrashID {
	var out []CrashID
	for c, at := range r.marks {
		if now.Sub(at) < lifetime {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

func (r *request) sharesCrash(now time.Time, lifetime time.Duration, crashes []CrashID) bool {
	for _, c := range crashes {
		if at, ok := r.marks[c]; ok && now.Sub(at) < lifetime {
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
	for c, t := range r.marks {
		if !t.After(at) {
			delete(r.marks, c)
		}
	}
	r.updateRefusal(lifetime)
	return true
}

// updateRefusal computes the end of the refusal. The refusal starts at the last mark that has another
// mark within one lifetime before it. The result depends on the marks alone, so that hosts that merge
// the same marks in a different order agree.
func (r *request) updateRefusal(lifetime time.Duration) {
	times := make([]time.Time, 0, len(r.marks))
	for _, at := range r.marks {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	r.refusedUntil = time.Time{}
	for i := marksToRefuse - 1; i < len(times); i++ {
		if times[i].Sub(times[i-marksToRefuse+1]) < lifetime {
			r.refusedUntil = times[i].Add(lifetime)
		}
	}
}

// maxMarksKept bounds the memory of an entry. Two marks are enough to refuse the request.
const maxMarksKept = 8

// trimMarks removes the oldest marks above the bound.
func (r *request) trimMarks() {
	for len(r.marks) > maxMarksKept {
		var oldest CrashID
		for c, at := range r.marks {
			if oldest == "" || at.Before(r.marks[oldest]) {
				oldest = c
			}
		}
		delete(r.marks, oldest)
	}
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
