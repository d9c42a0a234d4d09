package path

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// beginThroughDomainA begins streams on paths within domain a and returns as suspect the only worker of their
// fourth part.
func beginThroughDomainA(is *is.I, s *System, streams int) (ids []string, suspects map[string]bool) {
	onlyA := map[string]bool{}
	for _, domain := range []string{"b", "c"} {
		for i := range 8 {
			onlyA[fmt.Sprint(domain, i)] = true
		}
	}
	d := typicalDemand
	d.Avoid = onlyA
	for i := range streams {
		id := fmt.Sprint("s", i)
		p, refusal := s.Choose(start, d)
		is.Equal(refusal, Accepted)
		s.Begin(start, id, p, typicalDemand)
		ids = append(ids, id)
	}
	return ids, map[string]bool{"a3": true}
}

func avoiding(suspects map[string]bool) Demand {
	d := typicalDemand
	d.Avoid = suspects
	return d
}

// Checks the recovery of a stalled stream in each situation.
func TestRemedy(t *testing.T) {
	cases := []struct {
		name       string
		domains    []string
		twin       bool
		suspect    string
		mayRestart bool
		want       string
	}{
		{"another domain is whole", []string{"a", "b", "c"}, false, "a3", true, "restart"},
		{"no attempt is left", []string{"a", "b", "c"}, false, "a3", false, "detour"},
		{"no attempt is left and the first worker is at fault", []string{"a", "b", "c"}, false, "a0", false, ""},
		{"the first worker is at fault", []string{"a", "b", "c"}, false, "a0", true, "restart"},
		{"nothing else holds the layers", []string{"a"}, false, "a3", true, ""},
		{"only a twin holds the layers", []string{"a"}, true, "a3", false, "detour"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			list := domains(c.domains...)
			if c.twin {
				twin := row("a", 3)
				twin.ID, twin.Address = "a3-twin", "10.0.a.30:1"
				list = append(list, twin)
			}
			s := newSystem(list)
			ids, _ := beginThroughDomainA(is, s, 1)
			suspects := map[string]bool{c.suspect: true}
			got := ""
			switch r := s.PlanRecovery(start, ids[0], suspects, c.mayRestart, avoiding(suspects)).(type) {
			case Detour:
				got = "detour"
				is.True(r.Path().Covers(80))
			case Restart:
				got = "restart"
				is.True(r.Path().Covers(80))
			}
			is.Equal(got, c.want)
		})
	}
}

// Simulates the loss of the only worker of some layers in a domain with 40 streams. Rerouting them all over the
// link between domains would take 40 times 20 ms for their prompts alone. Three quarters of the streams must
// continue within the pause that callers tolerate, and the restarted ones must be spread over the other domains.
func TestRemedyAfterTheLossOfALayer(t *testing.T) {
	is := is.New(t)
	const (
		streams  = 40
		pauseMs  = 200.0
		noticeMs = 100.0
	)
	s := newSystem(domains("a", "b", "c"))
	ids, suspects := beginThroughDomainA(is, s, streams)
	now := start.Add(2 * time.Second)
	s.Suspect(now, "a3")
	in := map[string]int{}
	inTime := 0
	for _, id := range ids {
		ready := 0.0
		switch r := s.PlanRecovery(now, id, suspects, true, avoiding(suspects)).(type) {
		case Restart:
			in[r.Path()[0].Worker]++
			ready = s.readyMs(now, nil, r.Path(), r.Demand()) + s.passMs(r.Path())
			s.Begin(now, id, r.Path(), r.Demand())
		case Detour:
			ready = s.readyMs(now, s.PathOf(id), r.Path(), typicalDemand)
			s.Reroute(now, id, r.Path())
		default:
			t.Fatalf("%s is left without a path", id)
		}
		if ready < pauseMs-noticeMs {
			inTime++
		}
	}
	is.True(inTime >= streams*3/4)
	is.True(in["b0"] > streams/4)
	is.True(in["c0"] > streams/4)
}

// Guards against counting the use of a link twice. The reported rates of peers decay, and each peer is assumed to
// have added as much as this host since its report.
func TestLinkUseOfEqualHostsIsSteady(t *testing.T) {
	is := is.New(t)
	list := append(domains("a")[:4], domains("b")[4:]...)
	const hosts = 6
	fleet := make([]*System, hosts)
	for i := range fleet {
		fleet[i] = newSystem(list)
	}
	key := domainPairOf("a", "b")
	p := Path{}
	for _, e := range list {
		p = append(p, Part{Worker: e.ID, Address: e.Address, Range: e.Layers})
	}
	now := start
	reportedAt := now
	for step := range 120 {
		now = now.Add(50 * time.Millisecond)
		for i, s := range fleet {
			id := fmt.Sprint(step, "-", i)
			s.Begin(now, id, p, typicalDemand)
			s.End(id)
		}
		if now.Sub(reportedAt) >= 500*time.Millisecond {
			reportedAt = now
			usages := make([]Usage, hosts)
			for i, s := range fleet {
				usages[i] = NewUsage()
				s.Usage(now, usages[i])
			}
			for i, s := range fleet {
				sum := NewUsage()
				for j := range usages {
					if j != i {
						sum.Add(usages[j])
					}
				}
				s.SetPeerUsage(now, sum, hosts-1)
			}
		}
		if step < 100 {
			continue
		}
		// 120 streams per second with 20 MB each.
		want := 120 * typicalDemand.tokens() * 21300 * bitsPerByte / (6500 * bitsPerMbit)
		got := fleet[0].linkUse(now, key)
		if got < 0.9*want || got > 1.1*want {
			t.Fatalf("step %d: use %.2f, want %.2f", step, got, want)
		}
	}
	is.True(now.After(start))
}
