package forward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/retry"
)

var errBroken, errRefused = errors.New("broken"), errors.New("refused")

// endedEndpoints break the connections of the first requests and refuse all later ones.
type endedEndpoints struct {
	Endpoints
	breaks int
	sends  chan struct{}
}

func (e *endedEndpoints) Send(context.Context, SendRequest) (*Reply, error) {
	e.sends <- struct{}{}
	if len(e.sends) <= e.breaks {
		return nil, errBroken
	}
	return nil, errRefused
}

func (*endedEndpoints) MayHaveSent(err error) bool       { return errors.Is(err, errBroken) }
func (*endedEndpoints) ConnectionRefused(err error) bool { return errors.Is(err, errRefused) }

func (*endedEndpoints) Connect(context.Context, deployment.Endpoint) error { return errRefused }
func (*endedEndpoints) OnLeaving(func(deployment.Endpoint))                {}

// newEndedHost returns a host with one endpoint of a model service and one of a plain service.
func newEndedHost(breaks int) (*Forwarder, *endedEndpoints) {
	e := &endedEndpoints{breaks: breaks, sends: make(chan struct{}, 100)}
	f := New(Config{Endpoints: e, Log: noLog{}, Metrics: NewMetrics(), Budget: retry.Config{Window: 10 * time.Second, Slack: 100}})
	f.SetTable(deployment.NewTable(deployment.Config{
		Version: 1,
		Routes: []deployment.Route{
			{Name: "stream", Prefix: "/m", Kind: deployment.Streaming, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second, TargetLatency: time.Second, Shares: []deployment.Share{{Service: "m", Weight: 1}}},
			{Name: "plain", Prefix: "/p", Kind: deployment.Safe, MaxAttempts: 2, Timeout: 20 * time.Second, TargetLatency: time.Second, Shares: []deployment.Share{{Service: "p", Weight: 1}}},
		},
		Services: []deployment.Service{{Name: "m", Engine: &deployment.Engine{
			Layers: 2, LayerMB: 1, ContextTokenBytes: 1, StepMs: 1, LoadTime: 2 * time.Second,
			DefaultAccelerator: deployment.Accelerator{SizeMB: 1000, StepFactor: 1, ReadFactor: 1},
		}}, {Name: "p"}},
	}))
	f.SetEndpoints([]deployment.Endpoint{
		{ID: "w", Service: "m", Address: "w:1", State: deployment.Ready, StartedMs: 1, Layers: deployment.Range{To: 2}},
		{ID: "e", Service: "p", Address: "e:1", State: deployment.Ready, StartedMs: 1, Slots: 2},
	})
	return f, e
}

func serveCall(f *Forwarder, id, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.Serve(context.Background(), &Call{
		ID: id, Method: http.MethodPost, Target: path, Path: path, Body: strings.NewReader(id), Length: int64(len(id)), Received: time.Now(), PromptTokens: 1, AnswerTokens: 1,
	}, w)
	return w
}

// Guards against calls that are sent again and again to an endpoint that has ended until its entry leaves the list, and then
// refused as answer_lost.
func TestEndedEndpointIsLeftOut(t *testing.T) {
	for _, path := range []string{"/m", "/p"} {
		for _, known := range []string{"broken and refused", "by a peer"} {
			t.Run(path+" "+known, func(t *testing.T) {
				is := is.New(t)
				f, endpoints := newEndedHost(1)
				serveCall(f, "first", path)
				if known == "by a peer" {
					marks := f.Marks()
					is.True(len(marks) > 0)
					f, endpoints = newEndedHost(0)
					f.AddMarks(marks)
				}
				sent, began := len(endpoints.sends), time.Now()
				w := serveCall(f, "second", path)
				is.Equal(w.Code, http.StatusServiceUnavailable)
				is.Equal(len(endpoints.sends), sent)
				is.True(w.Body.String() != causeResponseLost+"\n")
				is.True(time.Since(began) < capacityTimeout) // a useless wait
				after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after > 3 && after < 6.1) // the entry lapses after 3.6 s; a third of 20 s, less the answer
				serveCall(f, "second", path)      // the caller returns too early
				var text strings.Builder
				is.NoErr(f.cfg.Metrics.Write(&text))
				cause := strings.TrimSpace(w.Body.String())
				for _, line := range []string{"callers_returned_total{result=\"refused\"} 1", "retry_after_ms_count{cause=\"" + cause + "\"} 2", "endpoints_ended_total 1"} {
					is.True(strings.Contains(text.String(), "waxwingplank_"+line+"\n"))
				}
				is.Equal(f.Ended(), 1)
				// A new instance at the same address gets calls.
				list := []deployment.Endpoint{}
				for _, e := range f.byID {
					e.StartedMs = 2
					list = append(list, e)
				}
				f.SetEndpoints(list)
				serveCall(f, "third", path)
				is.True(len(endpoints.sends) > sent)
			})
		}
	}
}

// Guards against returns that are planned by the priority of the route though the workspace has its own.
func TestClassOfReturns(t *testing.T) {
	is := is.New(t)
	urgent := 1
	route := deployment.Route{Name: "r", Host: "h", Prefix: "/", Priority: 4}
	f, _ := newEndedHost(0)
	f.SetTable(deployment.NewTable(deployment.Config{
		Routes:     []deployment.Route{route},
		Workspaces: []deployment.Workspace{{Name: "u", Keys: []string{"u"}, Priority: &urgent}, {Name: "v", Keys: []string{"v"}}},
	}))
	for key, want := range map[string]deployment.Class{"u": 1, "v": 4, "": 4} {
		r := &run{f: f, call: &Call{Key: key, Host: "h", Path: "/x"}}
		f.classify(r)
		is.Equal(r.class, want)
	}
}
