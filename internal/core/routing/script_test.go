package routing

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/table"
)

// epoch is the start time of every scripted test.
var epoch = time.Unix(1_700_000_000, 0)

// Guards against unintended changes of decisions. Each file in testdata holds a script of events and the
// decisions expected from it; its head names the failure that it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			is.True(len(archive.Comment) > 0)
			is.Equal(len(archive.Files), 2)
			got := runScript(t, string(archive.Files[0].Data))
			if os.Getenv("UPDATE_SCRIPTS") != "" {
				archive.Files[1].Data = []byte(got)
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o600))
				return
			}
			is.Equal(got, string(archive.Files[1].Data))
		})
	}
}

// runScript collects events line by line and calls Tick at each "tick" line.
func runScript(t *testing.T, script string) string {
	s := New(Config{Seed: 1, DemandInterval: time.Hour})
	s.demandReportedAt = epoch
	var events []Event
	var out strings.Builder
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		switch {
		case len(words) == 0 || words[0] == "#":
			continue
		case words[0] == "tick":
			at := duration(t, words[1])
			for _, d := range s.Tick(epoch.Add(at), events) {
				fmt.Fprintf(&out, "%s %s\n", words[1], render(d))
			}
			events = events[:0]
		default:
			events = append(events, parseEvent(t, words))
		}
	}
	return out.String()
}

func render(d Decision) string {
	switch d := d.(type) {
	case *Dispatch:
		return d.String()
	case Refuse:
		r := d.Refusal()
		return fmt.Sprintf("refuse request=%s code=%s outcome=%s", d.request, r.Code(), r.Outcome())
	case Drop:
		return "drop request=" + string(d.request)
	case Preempt:
		return fmt.Sprintf("preempt request=%s for=%s", d.request, d.beneficiary)
	case Demand:
		return fmt.Sprintf("demand %s/%s/%d running=%d queued=%d", d.Service(), d.Workspace(), d.Priority(),
			d.Running(), d.Queued())
	}
	return "unknown"
}

func parseEvent(t *testing.T, words []string) Event {
	args := map[string]string{}
	for _, w := range words[1:] {
		if k, v, ok := strings.Cut(w, "="); ok {
			args[k] = v
		}
	}
	switch words[0] {
	case "hosts":
		return NewHosts(number(t, args["live"]), number(t, args["rank"]))
	case "pipelines":
		return NewPipelines("s", parsePipelines(t, words[1:]))
	case "plain":
		var list []PlainEndpointConfig
		for _, w := range words[1:] {
			name, slots, _ := strings.Cut(w, ":")
			list = append(list, PlainEndpointConfig{Endpoint: table.EndpointID(name), Slots: number(t, slots)})
		}
		return NewPlainEndpoints("s", list)
	case "limits":
		return NewLimits(LimitsConfig{
			Service: "s", Queue: number(t, args["queue"]), QueuePerWorkspace: number(t, args["workspace"]),
		})
	case "grant":
		return NewGrants([]GrantConfig{{
			Pipeline: words[1], Slots: number(t, args["slots"]), Sequence: uint64(number(t, args["sequence"])),
			Lifetime: duration(t, args["lifetime"]),
		}})
	case "arrive":
		return parseArrival(t, words[1], args)
	case "depart":
		return NewDeparted(table.RequestID(words[1]))
	case "finish":
		return NewFinished(table.RequestID(words[1]), number(t, args["tokens"]), duration(t, args["elapsed"]))
	case "fail":
		return NewAttemptFailed(table.RequestID(words[1]), table.EndpointID(args["endpoint"]), Reason(args["reason"]))
	case "first":
		return NewFirstToken(table.RequestID(words[1]), duration(t, args["elapsed"]))
	case "stored":
		return NewCacheEvents(table.EndpointID(words[1]), []CacheEventConfig{{
			Sequence: uint64(number(t, args["sequence"])), Kind: CacheStored, Prefix: uint64(number(t, args["prefix"])),
		}})
	}
	t.Fatalf("unknown command %q", words[0])
	return nil
}

func parsePipelines(t *testing.T, words []string) []PipelineConfig {
	var list []PipelineConfig
	for _, w := range words {
		names, slots, _ := strings.Cut(w, ":")
		list = append(list, PipelineConfig{Pipeline: pipeline(strings.Split(names, "+")...), Slots: number(t, slots)})
	}
	return list
}

func pipeline(names ...string) table.Pipeline {
	var stages []table.Stage
	for i, n := range names {
		stages = append(stages, table.NewStage(table.StageConfig{
			Endpoint: table.EndpointID(n), Layers: table.Layers{From: i * 8, To: i*8 + 8},
		}))
	}
	return table.NewPipeline(stages)
}

func parseArrival(t *testing.T, id string, args map[string]string) Event {
	cfg := ArrivedConfig{
		Request: table.RequestID(id), Service: "s", Workspace: "w", FirstSend: args["resend"] == "",
		Repeatable: args["once"] == "", Recovery: args["recovery"] != "", MaxTokens: 100, Key: args["key"],
		Preemptible: args["preemptible"] != "", PreferredPipeline: args["prefer"],
	}
	if v := args["workspace"]; v != "" {
		cfg.Workspace = table.WorkspaceID(v)
	}
	cfg.Priority = number(t, args["priority"])
	cfg.Weight = number(t, args["weight"])
	cfg.Preamble = uint64(number(t, args["preamble"]))
	if v := args["deadline"]; v != "" {
		cfg.Deadline = epoch.Add(duration(t, v))
	}
	if v := args["since"]; v != "" {
		cfg.WaitingSince = epoch.Add(duration(t, v))
	}
	if v := args["crash"]; v != "" {
		cfg.CrashMarks = strings.Split(v, ",")
	}
	for v := range strings.SplitSeq(args["avoid"], ",") {
		if v != "" {
			cfg.AvoidEndpoints = append(cfg.AvoidEndpoints, table.EndpointID(v))
		}
	}
	return NewArrived(cfg)
}

func number(t *testing.T, s string) int {
	if s == "" {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
