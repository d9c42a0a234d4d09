package quarantine

import (
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/table"
)

// on reports whether the crash was one of the endpoint.
func (c CrashID) on(id table.EndpointID) bool {
	at := strings.LastIndexByte(string(c), '@')
	return at >= 0 && string(c[:at]) == string(id)
}

// live returns the crashes whose marks have not expired, sorted.
func (r *request) live(now time.Time, lifetime time.Duration) []CrashID {
	var out []CrashID
	for c, at := range r.marks {
		if now.Sub(at) < lifetime {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

func (r *request) shares(now time.Time, lifetime time.Duration, crashes []CrashID) bool {
	for _, c := range crashes {
		if at, ok := r.marks[c]; ok && now.Sub(at) < lifetime {
			return true
		}
	}
	return false
}

// clear takes back the marks up to the time and reports whether that changed anything.
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
	r.rule(lifetime)
	return true
}

// rule sets the end of the refusal from the marks alone, so that hosts that merge the same marks in
// another order agree: the last mark that has another one within a lifetime before it starts the refusal.
func (r *request) rule(lifetime time.Duration) {
	times := make([]time.Time, 0, len(r.marks))
	for _, at := range r.marks {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	r.until = time.Time{}
	for i := refuseAt - 1; i < len(times); i++ {
		if times[i].Sub(times[i-refuseAt+1]) < lifetime {
			r.until = times[i].Add(lifetime)
		}
	}
}

// maxMarksKept bounds an entry; two marks already refuse the request.
const maxMarksKept = 8

// trim removes the oldest marks above the bound.
func (r *request) trim() {
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
	id       CrashID
	at       time.Time
	requests []Fingerprint
	blamed   bool
}

// history holds the recent crashes of one endpoint.
type history struct {
	crashes []pastCrash
	sick    bool
}

func (h *history) knows(id CrashID) bool {
	return slices.ContainsFunc(h.crashes, func(c pastCrash) bool { return c.id == id })
}

// record adds a crash and decides whether the endpoint is sick.
//
// A request that is on every crash, or that has a mark from another endpoint, explains a crash. An
// endpoint is sick when enough crashes within a lifetime have no request in common.
func (h *history) record(c pastCrash, cfg Config) {
	if len(c.requests) > maxRequestsPerCrash {
		c.requests = c.requests[:maxRequestsPerCrash]
	}
	h.crashes = append(h.crashes, c)
	if len(h.crashes) > maxCrashesKept {
		h.crashes = h.crashes[1:]
	}
	h.sick = h.distinct() >= cfg.SickCrashes
}

// distinct counts the unexplained crashes that share no request with an earlier one.
func (h *history) distinct() int {
	seen := map[Fingerprint]bool{}
	n := 0
	for _, c := range h.crashes {
		shared := slices.ContainsFunc(c.requests, func(f Fingerprint) bool { return seen[f] })
		for _, f := range c.requests {
			seen[f] = true
		}
		if !shared && !c.blamed {
			n++
		}
	}
	return n
}

func (h *history) forget(now time.Time, lifetime time.Duration) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c pastCrash) bool { return now.Sub(c.at) >= lifetime })
	if len(h.crashes) == 0 {
		h.sick = false
	}
}
