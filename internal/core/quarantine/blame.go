package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// marksToRefusePart is how many crashes refuse a part. It is above marksToRefuse, because a part stands for many requests.
	marksToRefusePart = 3
	// marksToRefuseRival is how many crashes refuse one of several parts that were in exactly the same crashes.
	marksToRefuseRival = 5
	// sameMoment is the time within which several crashes count once, because machines that fail together have one cause.
	sameMoment = 100 * time.Millisecond
)

// blame says what explains the crashes of late. The narrowest explanation comes first: a request that was in three crashes
// explains them, and only the crashes that no request explains count against parts of prompts.
type blame struct {
	// groups are the refused parts.
	groups []partGroup
	// explained holds the crashes that a request or a refused part explains.
	explained map[CrashID]bool
	stale     bool
}

// partGroup is a set of parts that were in the same crashes, in the same requests. Requests with all of them are refused.
type partGroup struct {
	parts   []Fingerprint
	crashes []CrashID
	until   time.Time
}

// candidate is a part with crashes that nothing explains yet.
type candidate struct {
	fingerprint Fingerprint
	depth       int
	crashes     map[CrashID]time.Time
	// requests counts the marked requests that hold the part.
	requests int
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

// explains reports whether a request or a refused part explains a crash.
func (s *System) explains(now time.Time, c CrashID) bool {
	s.updateBlame(now)
	return s.blame.explained[c]
}

// updateBlame finds the explanations anew if marks have changed.
func (s *System) updateBlame(now time.Time) {
	if !s.blame.stale && !s.parts.changed {
		return
	}
	s.blame, s.parts.changed = blame{explained: map[CrashID]bool{}}, false
	for f := range s.proven {
		if crashes := s.requests[f].liveCrashes(now, s.cfg.Lifetime); len(crashes) >= anyMarksToRefuse {
			for _, c := range crashes {
				s.blame.explained[c] = true
			}
		}
	}
	candidates := s.candidates(now)
	for {
		candidates = withEnoughCrashes(candidates)
		if len(candidates) == 0 {
			return
		}
		g, decided := s.bestGroup(candidates)
		for _, c := range candidates {
			for _, crash := range g.crashes {
				delete(c.crashes, crash)
			}
		}
		if !decided {
			continue
		}
		s.blame.groups = append(s.blame.groups, g)
		for _, crash := range g.crashes {
			s.blame.explained[crash] = true
		}
	}
}

// candidates returns the parts with the crashes that no request explains.
func (s *System) candidates(now time.Time) []candidate {
	var out []candidate
	for f, p := range s.parts.parts {
		maps.DeleteFunc(p.marks, func(_ CrashID, at time.Time) bool { return now.Sub(at) >= s.cfg.Lifetime })
		if len(p.marks) < marksToRefusePart {
			continue
		}
		c := candidate{fingerprint: f, depth: p.depth, crashes: maps.Clone(p.marks)}
		maps.DeleteFunc(c.crashes, func(crash CrashID, _ time.Time) bool { return s.blame.explained[crash] })
		out = append(out, c)
	}
	out = withEnoughCrashes(out)
	if len(out) == 0 {
		return nil
	}
	requests := map[Fingerprint]int{}
	for _, r := range s.requests {
		for _, f := range r.parts {
			requests[f]++
		}
	}
	for i := range out {
		out[i].requests = requests[out[i].fingerprint]
	}
	return out
}

func withEnoughCrashes(candidates []candidate) []candidate {
	return slices.DeleteFunc(candidates, func(c candidate) bool { return moments(c.crashes) < marksToRefusePart })
}

// bestGroup returns the parts that explain the most crashes. It is undecided where several parts do that are in different
// requests, until so many crashes have had all of them that one of them has to be refused; it is then the rarest part.
func (s *System) bestGroup(candidates []candidate) (g partGroup, decided bool) {
	best := slices.MinFunc(candidates, compareCandidates)
	g.crashes = slices.Sorted(maps.Keys(best.crashes))
	for _, at := range best.crashes {
		g.until = later(g.until, at.Add(s.cfg.Lifetime))
	}
	g.parts = []Fingerprint{best.fingerprint}
	var holders []*request
	for _, r := range s.requests {
		if slices.Contains(r.parts, best.fingerprint) {
			holders = append(holders, r)
		}
	}
	rivals := 0
	for _, c := range candidates {
		if c.fingerprint == best.fingerprint || !slices.Equal(slices.Sorted(maps.Keys(c.crashes)), g.crashes) {
			continue
		}
		if heldTogether(holders, append(slices.Clone(g.parts), c.fingerprint), g.crashes) {
			g.parts = append(g.parts, c.fingerprint)
		} else {
			rivals++
		}
	}
	slices.SortFunc(g.parts, compareFingerprints)
	return g, rivals == 0 || moments(best.crashes) >= marksToRefuseRival
}

// compareCandidates orders parts by how well they explain crashes: most crashes first, then the rarest, then the deepest.
func compareCandidates(a, b candidate) int {
	switch {
	case len(a.crashes) != len(b.crashes):
		return len(b.crashes) - len(a.crashes)
	case a.requests != b.requests:
		return a.requests - b.requests
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
