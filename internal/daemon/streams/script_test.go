package streams_test

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/test/fakeengine"
)

// script is one txtar case: faults of engines, and the results expected at the caller and the engines.
type script struct {
	pipelines    []string
	cfg          fakeengine.Config
	faults       map[[2]int]fakeengine.Fault
	leaveAt      int
	promptTokens int
	kvBytes      int64
	timeout      time.Duration
	want         [][]string
}

func parse(t *testing.T, path string) script {
	t.Helper()
	ar, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := script{faults: map[[2]int]fakeengine.Fault{}, cfg: fakeengine.Config{Layers: layers}}
	for _, f := range ar.Files {
		for line := range strings.Lines(string(f.Data)) {
			words := strings.Fields(line)
			if len(words) == 0 {
				continue
			}
			if f.Name == "want" {
				s.want = append(s.want, words)
				continue
			}
			s.set(t, words)
		}
	}
	return s
}

func (s *script) set(t *testing.T, w []string) {
	t.Helper()
	switch w[0] {
	case "pipelines":
		s.pipelines = w[1:]
	case "tokens":
		s.cfg.Tokens = number(t, w[1])
	case "step":
		s.cfg.Step = duration(t, w[1])
	case "prefill":
		s.cfg.Prefill = duration(t, w[1])
	case "restart":
		s.cfg.RestartAfter = duration(t, w[1])
	case "prompt_tokens":
		s.promptTokens = number(t, w[1])
	case "kv_bytes":
		s.kvBytes = int64(number(t, w[1]))
	case "leave":
		s.leaveAt = number(t, w[1])
	case "timeout":
		s.timeout = duration(t, w[1])
	case "fault": // fault ATTEMPT POSITION KIND
		s.faults[[2]int{number(t, w[1]), number(t, w[2])}] = fakeengine.Fault(w[3])
	default:
		t.Fatalf("unknown setting %q", w[0])
	}
}

func number(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against delivering a token that breaks the receipt rules, losing a token or delivering it twice, and against
// a stream that does not recover. Each file in testdata injects one kind of engine fault.
func TestEngineFaults(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) { parse(t, path).run(t) })
		})
	}
}

func (s script) run(t *testing.T) {
	used := map[[2]int]bool{}
	s.cfg.Fault = func(req streams.OpenRequest, p int) fakeengine.Fault {
		at := [2]int{req.Attempt, p}
		if used[at] && s.faults[at] != fakeengine.StaleForever {
			return fakeengine.None
		}
		used[at] = true
		return s.faults[at]
	}
	fleet := fakeengine.New(s.cfg)
	var all []table.Pipeline
	for _, p := range s.pipelines {
		all = append(all, fleet.Pipeline(strings.Split(p, "+")...))
	}
	pl := fakeengine.NewPipelines(8, all...)
	h := newHost(t, fleet, pl, nil)
	rec := &recorder{leaveAt: s.leaveAt}
	req := request("draft", s.cfg.Tokens)
	req.PromptTokens, req.KVBytesPerToken = s.promptTokens, s.kvBytes
	ctx := context.Background()
	if s.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.timeout)
		defer cancel()
	}
	err := h.runner.Run(ctx, streams.NewRequest(req), rec)
	h.close()
	fleet.Wait()
	s.check(t, rec, fleet, h.runner.Counters(), err)
	is.New(t).Equal(pl.Used(), 0) // every slot has been released
}

func (s script) check(t *testing.T, rec *recorder, fleet *fakeengine.Fleet, c streams.Counters, err error) {
	t.Helper()
	rec.requireTokens(t, "draft", 0, len(rec.texts))
	for _, w := range s.want {
		var got string
		switch w[0] {
		case "result":
			got = result(rec, err)
		case "tokens":
			got = strconv.Itoa(len(rec.texts))
		case "opens":
			got = strings.Join(opens(fleet), " ")
		case "dropped":
			got = strconv.FormatInt(c.Dropped, 10)
		case "cancels":
			got = fmt.Sprintf("%s %d", w[1], fleet.Cancels(table.EndpointID(w[1])))
		case "crashes":
			got = strconv.FormatInt(c.Crashes, 10)
		case "gap": // gap MAX
			if rec.longestGap() > duration(t, w[1]) {
				got = rec.longestGap().String()
			} else {
				got = w[1]
			}
		default:
			t.Fatalf("unknown check %q", w[0])
		}
		if want := strings.Join(w[1:], " "); got != want {
			t.Errorf("%s: got %q, want %q (error %v)", w[0], got, want, err)
		}
	}
}

func result(rec *recorder, err error) string {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return string(refusal.Code()) + " " + string(refusal.Outcome())
	}
	if err != nil {
		return "caller_gone"
	}
	return string(rec.end.Kind())
}

// opens lists the attempt, pipeline and position of every Open, and whether it had a KV handle.
func opens(fleet *fakeengine.Fleet) []string {
	var out []string
	for _, o := range fleet.OpenRequests() {
		s := fmt.Sprintf("%d@%s:%d", o.Attempt, o.Pipeline.ID(), o.Position)
		if o.KVHandle != "" {
			s += "/kv"
		}
		out = append(out, s)
	}
	return out
}
