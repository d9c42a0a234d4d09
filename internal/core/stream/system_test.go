package stream

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/table"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func pipeline(name string) table.Pipeline {
	var stages []table.Stage
	for _, id := range strings.Split(name, "+") {
		stages = append(stages, table.NewStage(table.StageConfig{Endpoint: table.EndpointID(id)}))
	}
	return table.NewPipeline(stages)
}

// formatDecision formats a decision as in the scripts.
func formatDecision(d Decision) string {
	switch d := d.(type) {
	case RequestPipeline:
		out := fmt.Sprintf("ask %s", d.Stream())
		if d.Recovery() {
			out += " recovery"
		}
		if d.PreferredPipeline() != "" {
			out += " prefer=" + d.PreferredPipeline()
		}
		for _, id := range d.Avoid() {
			out += " avoid=" + string(id)
		}
		return out
	case StartAttempt:
		return fmt.Sprintf("start %s %d %s %s", d.Stream(), d.Attempt(), d.Method(), d.Pipeline().ID())
	case CancelAttempt:
		return fmt.Sprintf("cancel %s %d %s", d.Stream(), d.Attempt(), d.Pipeline().ID())
	case Finish:
		return fmt.Sprintf("finish %s", d.Stream())
	case Move:
		return fmt.Sprintf("move %s", d.Stream())
	case EndForCaller:
		return fmt.Sprintf("leave %s", d.Stream())
	case Fail:
		return fmt.Sprintf("fail %s %s", d.Stream(), d.Reason())
	default:
		return fmt.Sprintf("%T", d)
	}
}

// parseEvent parses a script line "KIND STREAM key=value …".
func parseEvent(t *testing.T, text string) Event {
	t.Helper()
	words := strings.Fields(text)
	opt := map[string]string{}
	for _, w := range words[1:] {
		k, v, _ := strings.Cut(w, "=")
		opt[k] = v
	}
	num := func(k string) int {
		n, err := strconv.Atoi(opt[k])
		if err != nil && opt[k] != "" {
			t.Fatal(err)
		}
		return n
	}
	has := func(k string) bool { _, ok := opt[k]; return ok }
	id := table.StreamID("")
	if len(words) > 1 {
		id = table.StreamID(words[1])
	}
	switch words[0] {
	case "open":
		cfg := OpenedConfig{
			Stream: id, Priority: num("priority"), FirstAttempt: max(1, num("first")), Route: opt["route"],
			ProgressDue: start.Add(time.Duration(num("promised")) * time.Second), PromptTokens: num("prompt"),
			KVBytesPerToken: int64(num("kv")),
		}
		if has("deadline") {
			cfg.Deadline = start.Add(time.Duration(num("deadline")) * time.Millisecond)
		}
		return NewOpened(cfg)
	case "assign":
		return NewAssigned(AssignedConfig{Stream: id, Pipeline: pipeline(opt["to"]), FreeSlots: num("free")})
	case "none":
		return NewUnassigned(id)
	case "progress":
		return NewProgress(id, num("position"))
	case "failed":
		cfg := FailedConfig{
			Stream: id, Attempt: num("attempt"), Position: num("position"), ProducedToken: has("progressed"),
			HasText: !has("unknown"), StagesRespond: has("head"), CanExport: has("export"), Final: has("final"),
		}
		if has("avoid") {
			cfg.Avoid = []table.EndpointID{table.EndpointID(opt["avoid"])}
		}
		return NewAttemptFailed(cfg)
	case "crash":
		return NewEndpointCrashed(table.EndpointID(words[1]))
	case "done":
		return NewCompleted(id)
	case "gone":
		return NewCallerGone(id)
	case "handover":
		return NewMoveAllRequested()
	}
	t.Fatalf("unknown event %q", text)
	return nil
}

// Runs the scripts in testdata. The comment at the head of each file names the failure it guards against.
//
// A script has one event per line, "at MS" to set the time of the next tick, and "> decision" for each expected
// decision.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		ar, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range ar.Files {
			name := strings.TrimSuffix(filepath.Base(path), ".txtar") + "/" + f.Name
			t.Run(name, func(t *testing.T) { runScript(t, string(f.Data)) })
		}
	}
}

func runScript(t *testing.T, script string) {
	s := New(Config{})
	now := start
	var events []Event
	var got, want []string
	flush := func() {
		for _, d := range s.Tick(now, events) {
			got = append(got, formatDecision(d))
		}
		is.New(t).Equal(got, want)
		events, got, want = nil, nil, nil
	}
	for text := range strings.Lines(script) {
		text = strings.TrimSpace(text)
		switch {
		case text == "":
		case strings.HasPrefix(text, "at "):
			flush()
			ms, err := strconv.Atoi(strings.TrimPrefix(text, "at "))
			if err != nil {
				t.Fatal(err)
			}
			now = start.Add(time.Duration(ms) * time.Millisecond)
		case strings.HasPrefix(text, "> "):
			want = append(want, strings.TrimPrefix(text, "> "))
		default:
			if len(want) > 0 {
				flush()
			}
			events = append(events, parseEvent(t, text))
		}
	}
	flush()
}
