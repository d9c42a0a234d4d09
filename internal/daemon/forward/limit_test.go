package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
)

// Guards against a limit that ends with a response that is not the endpoint's own.
func TestWhatEndsALimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply Reply
		want  int
	}{
		{"another endpoint at its address", Reply{Status: http.StatusMisdirectedRequest, NotRun: true}, 1},
		{"a response without proof of origin", Reply{Status: http.StatusOK}, 1},
		{"a limit that means nothing", Reply{Status: http.StatusOK, Verified: true, InvalidLimit: "many"}, 1},
		{"a refusal", Reply{Status: http.StatusServiceUnavailable, NotRun: true}, 0},
		{"a response", Reply{Status: http.StatusOK, Verified: true}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := New(Config{Endpoints: refusingEndpoints{}, Log: noLog{}, Metrics: NewMetrics(), Host: "h"})
			e := deployment.Endpoint{ID: "e", State: deployment.Ready, StartedMs: 1}
			f.SetEndpoints([]deployment.Endpoint{e})
			r := &run{f: f, body: &requestBody{}, call: &Call{ID: "r"}}
			r.recordLimit(&Reply{Status: http.StatusOK, Verified: true, Limit: 2, Limited: true}, e, time.Now())
			is.Equal(f.Limited(), 1)
			r.recordLimit(&c.reply, e, time.Now().Add(time.Second))
			is.Equal(f.Limited(), c.want)
		})
	}
}
