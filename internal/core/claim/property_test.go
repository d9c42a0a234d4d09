package claim_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingplank/internal/core/claim"
)

// TestMain fixes the seed, so that every run checks the same histories unless a flag overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// smallConfig seals after a few entries, so that histories contain many segments, merges and index loads.
func smallConfig() claim.Config {
	return claim.Config{Shards: 2, InlineBytes: 100, SegmentBytes: 300, MaxBatch: 8}
}

// Guards against a second dispatch of one key and against a dispatch after a recorded refusal. The
// histories contain delayed writes, lost responses, conflicts, paused and replaced hosts, clocks up
// to 9 min apart and outages of the platform.
func TestAtMostOnce(t *testing.T) {
	seen := map[claim.Status]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(smallConfig())
		for _, name := range []string{"a", "b", "c"} {
			offset := rapid.SampledFrom([]int{-270, 0, 270}).Draw(t, "clock")
			s.addHost(name, time.Duration(offset)*time.Second)
		}
		down := false
		for i := range rapid.IntRange(50, 400).Draw(t, "steps") {
			step(t, s, &down, i)
			if s.failure != "" {
				t.Fatalf("step %d: %s", i, s.failure)
			}
		}
		finish(t, s)
		for _, r := range s.results {
			seen[r.Status()]++
		}
	})
	// Fails if the histories never produce one of the outcomes, since it would go unchecked.
	for _, status := range []claim.Status{
		claim.Granted, claim.Claimed, claim.Refused, claim.Answered, claim.Expired, claim.Unavailable, claim.Unsettled,
	} {
		if seen[status] == 0 {
			t.Errorf("no request was resolved as %s", status)
		}
	}
	t.Logf("decisions: %v", seen)
}

func step(t *rapid.T, s *sim, down *bool, i int) {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	action := rapid.IntRange(0, 99).Draw(t, "action")
	switch {
	case action < 8:
		s.ask(h, s.newKey(string(rune('a'+i%26))), action < 2)
	case action < 30 && len(s.keys) > 0:
		// Recent keys are requested most often, as with resends.
		n := len(s.keys)
		back := min(n-1, rapid.SampledFrom([]int{0, 0, 1, 1, 2, 3, 5, 8, 20}).Draw(t, "back"))
		s.ask(h, s.keys[n-1-back], action < 13)
	case action < 75:
		endOne(t, s, h, *down)
	case action < 80:
		if n := len(s.late); n > 0 {
			s.applyLate(rapid.IntRange(0, n-1).Draw(t, "late"))
		}
	case action < 84:
		h.paused = !h.paused
		s.tick(h)
	case action < 86:
		s.restart(h)
	case action < 88:
		*down = !*down && action == 86
	case action < 90 && len(s.granted) > 0:
		o := s.granted[rapid.IntRange(0, len(s.granted)-1).Draw(t, "granted")]
		o.host.inbox = append(o.host.inbox, claim.NewAnswerGiven(o.key, answerOf(o.key)))
		s.tick(o.host)
	case action == 90:
		h.inbox = append(h.inbox, claim.NewSegmentsListed(s.segmentNames()))
		s.tick(h)
	case action == 91 && len(s.keys) > 0:
		nearExpiry(t, s, h)
	default:
		s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{10, 30, 300, 2000}).Draw(t, "ms")) * time.Millisecond)
		for _, other := range s.hosts {
			s.tick(other)
		}
	}
}

// nearExpiry advances the clock to a time at which hosts may disagree on whether a key has expired,
// and requests the key.
func nearExpiry(t *rapid.T, s *sim, h *host) {
	k := s.keys[rapid.IntRange(0, len(s.keys)-1).Draw(t, "key")]
	at := time.Unix(k.Issued(), 0).Add(2 * time.Hour)
	at = at.Add(time.Duration(rapid.IntRange(-300, 900).Draw(t, "seconds")) * time.Second)
	if at.After(s.now) {
		s.now = at
	}
	for _, other := range s.hosts {
		s.ask(other, s.newKey("near"), false)
	}
	s.ask(h, k, false)
}

func endOne(t *rapid.T, s *sim, h *host, down bool) {
	if len(h.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.calls)-1).Draw(t, "call")
	if down {
		s.end(h, i, rapid.SampledFrom([]callEnding{unavailable, unavailable, dropped, late}).Draw(t, "end"))
		return
	}
	s.end(h, i, rapid.SampledFrom([]callEnding{ended, ended, ended, ended, ended, ended, lostAnswer, late, dropped, unavailable}).Draw(t, "end"))
}

// finish ends all failures and checks that each request was resolved and that no key stays unavailable.
func finish(t *rapid.T, s *sim) {
	for len(s.late) > 0 {
		s.applyLate(0)
	}
	for _, h := range s.hosts {
		h.paused = false
		s.tick(h)
		s.settle(h)
	}
	for id := range s.owners {
		if _, ok := s.results[id]; !ok {
			t.Fatalf("request %d was never resolved", id)
		}
	}
	// Every key is requested once more on a new host, which has no state but the store.
	h := s.addHost("new", 0)
	for _, k := range s.keys {
		id := s.ask(h, k, false)
		s.settle(h)
		if status := s.results[id].Status(); status == claim.Unavailable {
			t.Fatalf("key %x cannot be claimed after all failures ended", k.Hash())
		}
	}
	if s.failure != "" {
		t.Fatal(s.failure)
	}
}
