package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/retry"
)

// Guards against joining events of two runs that do not fit together, and against more runs than the route and the
// budget allow.
func TestMayResume(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		act  func(s *streamRun)
		want bool
	}{
		{"a stream that has begun", func(*streamRun) {}, true},
		{"its events have no numbers", func(s *streamRun) { s.numbered = false }, false},
		{"no numbers, but nothing was passed on", func(s *streamRun) { s.numbered, s.headRelayed = false, false }, true},
		{"the route may not be resumed", func(s *streamRun) { s.route.Resumable = false }, false},
		{"no attempt is left", func(s *streamRun) { s.runs = 2 }, false},
		{"the time is up", func(s *streamRun) { s.deadline = now }, false},
		{"no repeat is left", func(s *streamRun) { s.budget = retry.NewBudget(retry.Config{Window: time.Second}) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &streamRun{headRelayed: true, numbered: true, run: &run{
				f: &Forwarder{hosts: 1}, body: &requestBody{}, runs: 1, sends: 1, deadline: now.Add(time.Minute),
				route:  &deployment.Route{Kind: deployment.Streaming, Resumable: true, MaxAttempts: 2},
				budget: retry.NewBudget(retry.Config{Window: time.Second, Slack: 10}),
			}}
			c.act(s)
			is.Equal(s.mayResume(now), c.want)
		})
	}
}

// Guards against a late copy of an endpoint's earlier response to the same call, which has the call's ID: what is sent to
// an endpoint again goes over a new connection.
func TestRepeatAtTheSameEndpoint(t *testing.T) {
	is := is.New(t)
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Streaming} {
		r := &run{body: &requestBody{}, call: &Call{}, route: &deployment.Route{Kind: kind}}
		is.True(!r.newSend(deployment.Endpoint{ID: "a"}, nil, "").NewConnection)
		is.True(!r.newSend(deployment.Endpoint{ID: "b"}, nil, "").NewConnection)
		is.True(r.newSend(deployment.Endpoint{ID: "a"}, nil, "").NewConnection)
	}
}
