package run

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/ingress/caller"
	"waxwingplank/internal/standin/engine"
)

// idleSink is the connection of a caller that receives no data.
type idleSink struct{ caller.Sink }

// Guards against the outcome "not run" for a first send that timed out after an engine had received it.
func TestTimeLimitAfterDispatchIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t)
	e := engine.New(engine.Config{
		Endpoint: "e", Slots: 1, Step: time.Hour,
		Holdings: []engine.Holding{{Model: "m", Version: "1", Layers: [2]int{0, 4}}},
	})
	is.NoErr(e.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = e.Close() })
	d := s.start("a", issue(t, s.dir, "own"))
	doc, err := document.New(document.Config{
		Service: "x", Kind: document.Pipeline, Owner: "o", Endpoints: []string{e.Address()},
		Model:  &document.Model{Name: "m", Version: "1", Layers: 4, LayerBytes: 1, KVBytesPerToken: 1},
		Kinds:  []document.RequestKind{{Name: "k", FirstTokenMs: 2000}},
		Limits: document.Limits{Queue: 8, MaxTokens: 8, TimeoutMs: 60000},
	})
	is.NoErr(err)
	d.members.AdoptWritten(doc.WithGeneration(1))
	var refusal *outcome.Refusal
	s.within(joinTimeout, func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := d.Stream(ctx, caller.StreamRequest{
			Request: caller.Request{ID: "r", Service: "x", Workspace: "w", FirstSend: true}, Prompt: "p", Body: []byte("p"),
		}, idleSink{})
		is.True(errors.As(err, &refusal))
		if len(e.Executions()) == 0 {
			// The host has not read the engine's description yet.
			return refusal
		}
		return nil
	})
	is.Equal(refusal.Outcome(), outcome.MayHaveRun)
}

// Guards against a call that is treated as repeatable because a shorter path of the document also matches it.
func TestMatchCall(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/calls.txtar")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Parse(archive.Files[0].Data)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(archive.Files[1].Data)) {
		f := strings.Fields(line)
		t.Run(f[0]+" "+f[1], func(t *testing.T) {
			is := is.New(t)
			rule, found := matchCall(doc, f[0], f[1])
			if f[2] == "none" {
				is.True(!found)
				return
			}
			want, err := strconv.ParseBool(f[2])
			is.NoErr(err)
			is.True(found)
			is.Equal(rule.Repeatable, want)
		})
	}
}
