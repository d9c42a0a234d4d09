package plain_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	client "waxwingplank/internal/endpoint/plain"
	"waxwingplank/internal/standin/plain"
)

// Guards against injected faults that do not reach the client. Each case states the error and whether the
// call took effect.
func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults plain.Faults
		want   error
		ran    int
	}{
		{"none", plain.Faults{}, nil, 1},
		{"refused", plain.Faults{RefuseCalls: 1}, nil, 0},
		{"answer lost after effect", plain.Faults{LoseAnswers: 1}, client.ErrReset, 1},
		{"truncated", plain.Faults{TruncateAnswers: 1}, client.ErrReset, 1},
		{"silent", plain.Faults{UnansweredCalls: 1}, client.ErrTimeout, 1},
		{"slow", plain.Faults{DelayMS: 1000}, client.ErrTimeout, 1},
		{"oversized", plain.Faults{AnswerBytes: 5000}, client.ErrTooLarge, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := plain.New(plain.Config{})
			is.NoErr(s.Start("127.0.0.1:0"))
			defer func() { _ = s.Close() }()
			s.SetFaults(tc.faults)
			c := client.New(client.Config{Timeout: 300 * time.Millisecond, MaxBodyBytes: 4096})
			a, err := c.Call(context.Background(), client.Request{
				Address: s.Address(), Method: http.MethodPost, Path: "/registrations?lot=1",
				IdempotencyKey: "1700000000-a", Body: []byte("lot"),
			})
			is.True(errors.Is(err, tc.want))
			if tc.ran == 0 {
				is.Equal(a.Status(), http.StatusServiceUnavailable)
			}
			ran := s.Executions()
			is.Equal(len(ran), tc.ran)
			for _, e := range ran {
				from, err := netip.ParseAddrPort(e.From)
				is.NoErr(err)
				is.True(from.Addr().IsLoopback())
				e.From = ""
				is.Equal(e, plain.Execution{Key: "1700000000-a", Method: "POST", Path: "/registrations?lot=1", Body: "lot"})
			}
			read, err := c.Call(context.Background(), client.Request{
				Address: s.Address(), Method: http.MethodGet, Path: "/standin/executions",
			})
			is.NoErr(err)
			is.Equal(strings.Count(string(read.Body()), "1700000000-a"), tc.ran)
		})
	}
}
