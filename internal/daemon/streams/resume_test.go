package streams_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/test/fakeengine"
)

// dropAfter runs a request on a host that fails after the given number of tokens, and returns the last sealed id. A
// failed host sends no cancel, so the loop ends before the connection does.
func dropAfter(t *testing.T, h *host, req streams.RequestConfig, tokens int) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	rec := &recorder{}
	rec.onToken = func(int) {
		if len(rec.texts) == tokens {
			h.stop()
			<-h.done
			cancel()
		}
	}
	if err := h.runner.Run(ctx, streams.NewRequest(req), rec); err == nil {
		t.Fatal("the dropped run reports success")
	}
	return rec.ids[len(rec.ids)-1]
}

func code(err error) outcome.Code {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code()
	}
	return ""
}

// resumeCase is a change of the engines or of the request between the two hosts.
type resumeCase struct {
	name string
	cfg  fakeengine.Config
	// beforeResume runs after the first host has failed.
	beforeResume func(f *fakeengine.Fleet, req *streams.RequestConfig)
	code         outcome.Code
	opens        []string
}

func resumeCases() []resumeCase {
	plain := fakeengine.Config{Tokens: 20, Layers: layers, Step: 10 * time.Millisecond}
	forget := func(f *fakeengine.Fleet, req *streams.RequestConfig) { f.Forget(req.Stream) }
	differ, crash := plain, plain
	differ.Text = func(req streams.OpenRequest, p int) string {
		if req.Attempt > 1 && p == 3 {
			return "another word"
		}
		return fakeengine.Text(req.Prompt, p)
	}
	crash.Fault = func(req streams.OpenRequest, p int) fakeengine.Fault {
		if req.Attempt == 11 && p == 4 {
			return fakeengine.CrashFirstStage
		}
		return fakeengine.None
	}
	return []resumeCase{
		{name: "engine continues", cfg: plain, opens: []string{"1@a+b:0", "10@a+b:8"}},
		{
			name: "engine forgot", cfg: plain, beforeResume: forget,
			opens: []string{"1@a+b:0", "10@a+b:8", "11@a+b:0"},
		},
		{
			name: "route is gone", cfg: plain,
			beforeResume: func(f *fakeengine.Fleet, _ *streams.RequestConfig) { f.Crash("a") },
			opens:        []string{"1@a+b:0", "11@c+d:0"},
		},
		{
			name: "text differs", cfg: differ, beforeResume: forget, code: outcome.StreamLost,
			opens: []string{"1@a+b:0", "10@a+b:8", "11@a+b:0"},
		},
		{
			name: "crash while repeating", cfg: crash, beforeResume: forget,
			opens: []string{"1@a+b:0", "10@a+b:8", "11@a+b:0", "12@c+d:0"},
		},
		{
			name: "other workspace", cfg: plain, code: outcome.Forbidden, opens: []string{"1@a+b:0"},
			beforeResume: func(_ *fakeengine.Fleet, req *streams.RequestConfig) { req.Workspace = "exporter-b" },
		},
		{
			name: "other body", cfg: plain, code: outcome.Forbidden, opens: []string{"1@a+b:0"},
			beforeResume: func(_ *fakeengine.Fleet, req *streams.RequestConfig) { req.Body = []byte("else") },
		},
		{
			name: "altered id", cfg: plain, code: outcome.StreamLost, opens: []string{"1@a+b:0"},
			beforeResume: func(_ *fakeengine.Fleet, req *streams.RequestConfig) { req.Resume = req.Resume[1:] },
		},
	}
}

// Guards against a response that is cut off, repeated or altered when it is resumed on another host, and against a
// caller that resumes the stream of another workspace.
func TestResumeOnAnotherHost(t *testing.T) {
	for _, c := range resumeCases() {
		t.Run(c.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) { c.run(t) })
		})
	}
}

func (c resumeCase) run(t *testing.T) {
	is := is.New(t)
	fleet := fakeengine.New(c.cfg)
	pl := func() *fakeengine.Pipelines {
		return fakeengine.NewPipelines(8, fleet.Pipeline("a", "b"), fleet.Pipeline("c", "d"))
	}
	first, second := newHost(t, fleet, pl(), nil), newHost(t, fleet, pl(), nil)
	defer second.close()
	req := request("draft", 20)
	req.Resume = dropAfter(t, first, req, 8)
	if c.beforeResume != nil {
		c.beforeResume(fleet, &req)
	}
	rec := &recorder{}
	err := second.runner.Run(context.Background(), streams.NewRequest(req), rec)
	is.Equal(code(err), c.code)
	is.Equal(opens(fleet), c.opens)
	if c.code != "" {
		is.Equal(len(rec.texts), 0) // nothing is delivered before the refusal
		return
	}
	rec.requireTokens(t, "draft", 8, 20)
	is.Equal(rec.end.Tokens(), 20)
}

// Guards against sealed ids of a resuming host that cannot be resumed after a second failure.
func TestResumeTwice(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		fleet := fakeengine.New(fakeengine.Config{Tokens: 20, Layers: layers, Step: 10 * time.Millisecond})
		pl := fakeengine.NewPipelines(8, fleet.Pipeline("a", "b"))
		req := request("draft", 20)
		req.Resume = dropAfter(t, newHost(t, fleet, pl, nil), req, 8)
		req.Resume = dropAfter(t, newHost(t, fleet, pl, nil), req, 5)
		fleet.Forget(req.Stream)
		last := newHost(t, fleet, pl, nil)
		defer last.close()
		rec := &recorder{}
		is.NoErr(last.runner.Run(context.Background(), streams.NewRequest(req), rec))
		rec.requireTokens(t, "draft", 13, 20)
	})
}

// Guards against an unbounded response that fills the memory of a host.
func TestRequestNeedsBounds(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		fleet := fakeengine.New(fakeengine.Config{Tokens: 20, Layers: layers})
		h := newHost(t, fleet, fakeengine.NewPipelines(8, fleet.Pipeline("a", "b")), nil)
		defer h.close()
		err := h.runner.Run(context.Background(), streams.NewRequest(request("draft", 0)), &recorder{})
		is.Equal(code(err), outcome.BadRequest)
		is.Equal(len(fleet.OpenRequests()), 0)
	})
}

// Guards against a planned stop that cuts off streams: they must move, and the engines must keep their state.
func TestHandOver(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		fleet := fakeengine.New(fakeengine.Config{Tokens: 20, Layers: layers, Step: 10 * time.Millisecond})
		pl := fakeengine.NewPipelines(8, fleet.Pipeline("a", "b"))
		first, second := newHost(t, fleet, pl, nil), newHost(t, fleet, pl, nil)
		defer second.close()
		rec := &recorder{}
		rec.onToken = func(p int) {
			if p == 7 {
				first.loop.MoveAll()
			}
		}
		req := request("draft", 20)
		is.NoErr(first.runner.Run(context.Background(), streams.NewRequest(req), rec))
		first.close()
		is.Equal(rec.end.Kind(), streams.EndMoved)
		is.Equal(fleet.Cancels("a"), 0)
		next := &recorder{}
		req.Resume = rec.ids[len(rec.ids)-1]
		is.NoErr(second.runner.Run(context.Background(), streams.NewRequest(req), next))
		next.requireTokens(t, "draft", len(rec.texts), 20)
		is.Equal(len(fleet.OpenRequests()), 2) // the engine continued
	})
}

// Guards against a caller that reconnects to the same host while its old connection still looks open.
func TestResumeBesideTheOldRun(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		fleet := fakeengine.New(fakeengine.Config{Tokens: 20, Layers: layers, Step: 10 * time.Millisecond})
		h := newHost(t, fleet, fakeengine.NewPipelines(8, fleet.Pipeline("a", "b")), nil)
		defer h.close()
		reached, release := make(chan struct{}), make(chan struct{})
		old := &recorder{}
		old.onToken = func(p int) {
			if p == 4 {
				close(reached)
				<-release
			}
		}
		req := request("draft", 20)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- h.runner.Run(ctx, streams.NewRequest(req), old) }()
		<-reached
		req.Resume = old.ids[4]
		rec := &recorder{}
		is.NoErr(h.runner.Run(context.Background(), streams.NewRequest(req), rec))
		rec.requireTokens(t, "draft", 5, 20)
		cancel()
		close(release)
		is.True(<-ended != nil)
	})
}
