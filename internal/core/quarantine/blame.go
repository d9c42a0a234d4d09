package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// marksToRefusePart is how many crashes refuse a part. It is above marksToRefuse, because a part stands for many requests.
	marksToRefusePart = 3
	// marksToRefuseRival is how many crashes refuse one of several parts that were in exactly the same crashes.
	marksToRefuseRival = 5
	// marksToRefuseTied is how many crashes refuse all of several requests that were in exactly the same crashes. Requests that share
	// crashes by chance run one at a time after the second, so that further crashes tell them apart.
	marksToRefuseTied = 5
	// sameMoment is the time within which several crashes count once, because machines that fail together have one cause.
	sameMoment = 100 * time.Millisecond
)

// blame says what explains the crashes of late: the smallest set of requests and parts of prompts that covers them. What was in
// the most crashes comes first; of a request and a part in the same crashes, the request does, unless several requests share them.
type blame struct {
	// groups are the refused parts, requests the refused requests.
	groups   []partGroup
	requests map[Fingerprint]bool
	// undecided holds the requests and parts that were in crashes together with others, so that the next crash has to tell which of
	// them cause it.
	undecided map[Fingerprint]bool
	// explained holds the crashes that a refused request or part explains.
	explained map[CrashID]bool
	findings  []Finding
	stale     bool
}

// partGroup is a set of parts that were in the same crashes, in the same requests. Requests with all of them are refused.
type partGroup struct {
	parts   []Fingerprint
	crashes []CrashID
	until   time.Time
}

// suspect is a request or a part of prompts with crashes that nothing explains yet.
type suspect struct {
	fingerprint Fingerprint
	// request is nil for a part.
	request *request
	depth   int
	crashes map[CrashID]time.Time
	// holders counts the marked requests that hold a part.
	holders int
}

// tie holds the suspects that were in exactly the same crashes.
type tie struct {
	crashes  []CrashID
	requests []suspect
	parts    []suspect
}

// refusing returns the group whose parts are all among the given ones, or nil.
func (s *System) refusing(now time.Time, parts []Fingerprint) *partGroup {
	if len(parts) == 0 {
		return nil
	}
	s.updateBlame(now)
	for i := range s.blame.groups {
		g := &s.blame.groups[i]
		if now.Before(g.until) && !slices.ContainsFunc(g.parts, func(f Fingerprint) bool { return !slices.Contains(parts, f) }) {
			return g
		}
	}
	return nil
}

// explains reports whether a refused request or part explains a crash.
func (s *System) explains(now time.Time, c CrashID) bool {
	s.updateBlame(now)
	return s.blame.explained[c]
}

// isUndecided reports whether a request, or a part of its prompt, shares its crashes with others.
func (s *System) isUndecided(now time.Time, f Fingerprint, parts []Fingerprint) bool {
	s.updateBlame(now)
	return s.blame.undecided[f] || slices.ContainsFunc(parts, func(p Fingerprint) bool { return s.blame.undecided[p] })
}

// updateBlame finds the explanations anew if marks have changed.
func (s *System) updateBlame(now time.Time) {
	if !s.blame.stale && !s.parts.changed {
		return
	}
	s.blameRevision++
	s.blame = blame{requests: map[Fingerprint]bool{}, undecided: map[Fingerprint]bool{}, explained: map[CrashID]bool{}}
	s.parts.changed = false
	suspects := append(s.suspectRequests(now), s.suspectParts(now)...)
	for {
		suspects = slices.DeleteFunc(suspects, func(x suspect) bool { return len(x.crashes) < marksToRefuse })
		if len(suspects) == 0 {
			return
		}
		t := strongest(suspects)
		s.decide(&t)
		for _, x := range suspects {
			for _, c := range t.crashes {
				delete(x.crashes, c)
			}
		}
	}
}

// suspectRequests returns the requests that have enough marks to be refused.
func (s *System) suspectRequests(now time.Time) []suspect {
	var out []suspect
	for f := range s.suspected {
		r := s.requests[f]
		if !now.Before(r.refusedUntil) {
			continue
		}
		x := suspect{fingerprint: f, request: r, crashes: map[CrashID]time.Time{}}
		for c, m := range r.marks {
			x.crashes[c] = m.at
		}
		out = append(out, x)
	}
	return out
}

// suspectParts returns the parts that were in several crashes.
func (s *System) suspectParts(now time.Time) []suspect {
	var out []suspect
	for f, p := range s.parts.parts {
		maps.DeleteFunc(p.marks, func(_ CrashID, at time.Time) bool { return now.Sub(at) >= s.cfg.Lifetime })
		if moments(p.marks) >= marksToRefuse {
			out = append(out, suspect{fingerprint: f, depth: p.depth, crashes: maps.Clone(p.marks)})
		}
	}
	if len(out) == 0 {
		return nil
	}
	holders := map[Fingerprint]int{}
	for _, r := range s.requests {
		for _, f := range r.parts {
			holders[f]++
		}
	}
	for i := range out {
		out[i].holders = holders[out[i].fingerprint]
	}
	return out
}

// strongest returns the suspects that were in the most crashes. If several sets of crashes are equally large, it is the one that
// the fewest suspects share.
func strongest(suspects []suspect) tie {
	most := 0
	for _, x := range suspects {
		most = max(most, len(x.crashes))
	}
	ties := map[string]*tie{}
	for _, x := range suspects {
		if len(x.crashes) < most {
			continue
		}
		crashes := slices.Sorted(maps.Keys(x.crashes))
		key := crashKey(crashes)
		t := ties[key]
		if t == nil {
			t = &tie{crashes: crashes}
			ties[key] = t
		}
		if x.request != nil {
			t.requests = append(t.requests, x)
		} else {
			t.parts = append(t.parts, x)
		}
	}
	var best *tie
	for _, key := range slices.Sorted(maps.Keys(ties)) {
		if t := ties[key]; best == nil || len(t.requests)+len(t.parts) < len(best.requests)+len(best.parts) {
			best = t
		}
	}
	return *best
}

func crashKey(crashes []CrashID) string {
	var b strings.Builder
	for _, c := range crashes {
		b.WriteString(string(c))
		b.WriteByte(' ')
	}
	return b.String()
}

// decide refuses one of the suspects that were in the same crashes, or records that it is in doubt which of them causes them.
//
// A part of a request in all of the crashes explains no more than the request does, and is no suspect of its own.
func (s *System) decide(t *tie) {
	t.parts = slices.DeleteFunc(t.parts, func(p suspect) bool {
		return slices.ContainsFunc(t.requests, func(r suspect) bool { return slices.Contains(r.request.parts, p.fingerprint) })
	})
	early := t.earliest()
	outcome := Refused
	switch {
	case len(t.requests) == 1 && t.refusesRequest():
		s.refuseRequests(t, t.requests)
	case len(t.parts) > 0 && len(t.requests) != 1 && s.refuseParts(t):
	case len(t.requests) > 1 && len(t.parts) == 0 && len(early) == 1 && len(t.crashes) >= anyMarksToRefuse:
		s.refuseRequests(t, early)
	case len(t.requests) > 1 && len(t.parts) == 0 && len(t.crashes) >= marksToRefuseTied:
		s.refuseRequests(t, t.requests)
	default:
		outcome = Undecided
		for _, x := range append(t.requests, t.parts...) {
			s.blame.undecided[x.fingerprint] = true
		}
	}
	s.blame.findings = append(s.blame.findings, Finding{
		outcome: outcome, crashes: t.crashes, requests: fingerprintsOf(t.requests), parts: fingerprintsOf(t.parts),
	})
}

func fingerprintsOf(suspects []suspect) []Fingerprint {
	var out []Fingerprint
	for _, x := range suspects {
		out = append(out, x.fingerprint)
	}
	slices.SortFunc(out, compareFingerprints)
	return out
}

// refusesRequest reports whether a request that was alone in all of the crashes has enough of them: three, or two in which it had
// not run for some time and that no part shares.
func (t *tie) refusesRequest() bool {
	if len(t.crashes) >= anyMarksToRefuse {
		return true
	}
	return t.earlyMarks(t.requests[0]) >= marksToRefuse && len(t.parts) == 0
}

// earlyMarks counts the crashes in which a request had not run for some time.
func (t *tie) earlyMarks(x suspect) int {
	n := 0
	for _, c := range t.crashes {
		if !x.request.marks[c].late {
			n++
		}
	}
	return n
}

// earliest returns the requests that had not run for some time in the most crashes.
func (t *tie) earliest() []suspect {
	var out []suspect
	most := 0
	for _, x := range t.requests {
		switch n := t.earlyMarks(x); {
		case n > most:
			most, out = n, []suspect{x}
		case n == most:
			out = append(out, x)
		}
	}
	return out
}

func (s *System) refuseRequests(t *tie, requests []suspect) {
	for _, x := range requests {
		s.blame.requests[x.fingerprint] = true
	}
	s.explain(t.crashes)
}

func (s *System) explain(crashes []CrashID) {
	for _, c := range crashes {
		s.blame.explained[c] = true
	}
}

// refuseParts refuses the parts that explain the crashes and reports whether it does. It is undecided where several parts do that
// are in different requests, until so many crashes have had all of them that one of them has to be refused; it is then the rarest.
func (s *System) refuseParts(t *tie) bool {
	best := slices.MinFunc(t.parts, compareParts)
	if moments(best.crashes) < marksToRefusePart {
		return false
	}
	g := partGroup{parts: []Fingerprint{best.fingerprint}, crashes: t.crashes}
	for _, at := range best.crashes {
		g.until = later(g.until, at.Add(s.cfg.Lifetime))
	}
	var holders []*request
	for _, r := range s.requests {
		if slices.Contains(r.parts, best.fingerprint) {
			holders = append(holders, r)
		}
	}
	rivals := 0
	for _, p := range t.parts {
		if p.fingerprint == best.fingerprint {
			continue
		}
		if heldTogether(holders, append(slices.Clone(g.parts), p.fingerprint), g.crashes) {
			g.parts = append(g.parts, p.fingerprint)
		} else {
			rivals++
		}
	}
	if rivals > 0 && moments(best.crashes) < marksToRefuseRival {
		return false
	}
	slices.SortFunc(g.parts, compareFingerprints)
	s.blame.groups = append(s.blame.groups, g)
	s.explain(t.crashes)
	return true
}

// compareParts orders parts in the same crashes: the rarest first, then the deepest.
func compareParts(a, b suspect) int {
	switch {
	case a.holders != b.holders:
		return a.holders - b.holders
	case a.depth != b.depth:
		return b.depth - a.depth
	default:
		return compareFingerprints(a.fingerprint, b.fingerprint)
	}
}

// heldTogether reports whether one of the requests with all of the parts was in each of the crashes.
func heldTogether(requests []*request, parts []Fingerprint, crashes []CrashID) bool {
	seen := map[CrashID]bool{}
	for _, r := range requests {
		if slices.ContainsFunc(parts, func(f Fingerprint) bool { return !slices.Contains(r.parts, f) }) {
			continue
		}
		for c := range r.marks {
			seen[c] = true
		}
	}
	return !slices.ContainsFunc(crashes, func(c CrashID) bool { return !seen[c] })
}

// moments returns the number of crashes, where those that are close to each other count once.
func moments(marks map[CrashID]time.Time) int {
	times := slices.SortedFunc(maps.Values(marks), time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) > sameMoment {
			n++
			last = at
		}
	}
	return n
}

// partRefusals returns the marks behind the refused parts, for hosts that have just started.
func (s *System) partRefusals(now time.Time) []Mark {
	s.updateBlame(now)
	var out []Mark
	for _, g := range s.blame.groups {
		for _, f := range g.parts {
			p := s.parts.parts[f]
			for _, c := range slices.Sorted(maps.Keys(p.marks)) {
				out = append(out, NewMark(MarkConfig{Fingerprint: f, Crash: c, At: p.marks[c], Part: true, Depth: p.depth}))
			}
		}
	}
	return out
}
