package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
)

var start = time.Unix(1000, 0)

func endpoints(ids ...string) []deployment.Endpoint {
	var out []deployment.Endpoint
	for _, id := range ids {
		out = append(out, deployment.Endpoint{ID: id, Address: id + ":1", Domain: "a", Slots: 6, State: deployment.Ready})
	}
	return out
}

// Guards against placing all requests on one endpoint or sending them to a draining one.
func TestPickSpreads(t *testing.T) {
	is := is.New(t)
	s := New(Config{Seed: 1})
	list := endpoints("x", "y", "z", "leaving")
	list[3].State = deployment.Draining
	s.SetEndpoints(list)
	counts := map[string]int{}
	for range 30 {
		e, ok := s.Pick(start, "a", nil)
		is.True(ok)
		counts[e.ID]++
	}
	is.Equal(counts["leaving"], 0)
	for _, id := range []string{"x", "y", "z"} {
		is.True(counts[id] >= 8)
	}
}

// Guards against a failing endpoint that gets as many requests as the others, and against a recovered one that gets
// none.
func TestPickAvoidsFailing(t *testing.T) {
	is := is.New(t)
	s := New(Config{Seed: 1})
	s.SetEndpoints(endpoints("good", "bad"))
	now := start
	serve := func(n int, badServes bool) (bad int) {
		for range n {
			now = now.Add(20 * time.Millisecond)
			e, _ := s.Pick(now, "a", nil)
			result := Served
			if e.ID == "bad" {
				bad++
				if !badServes {
					result = Failed
				}
			}
			s.Done(now, e.ID, result)
		}
		return bad
	}
	is.True(serve(200, false) < 30)
	now = now.Add(20 * time.Second)
	is.True(serve(400, true) > 50)
}

// Guards against sending a request again to the endpoint that failed it.
func TestPickLeavesTriedOut(t *testing.T) {
	is := is.New(t)
	s := New(Config{Seed: 1})
	s.SetEndpoints(endpoints("x", "y"))
	e, ok := s.Pick(start, "a", map[string]bool{"x": true})
	is.True(ok)
	is.Equal(e.ID, "y")
	_, ok = s.Pick(start, "a", map[string]bool{"x": true, "y": true})
	is.Equal(ok, false)
}

// Guards against counting the failures of an earlier start against a restarted endpoint.
func TestRestartForgets(t *testing.T) {
	is := is.New(t)
	s := New(Config{Seed: 1})
	s.SetEndpoints(endpoints("x"))
	for range 20 {
		e, _ := s.Pick(start, "a", nil)
		s.Done(start, e.ID, Unreached)
	}
	is.True(s.endpoints["x"].failures > 0.5)
	list := endpoints("x")
	list[0].StartedMs = 7
	s.SetEndpoints(list)
	is.Equal(s.endpoints["x"].failures, 0.0)
}
