package path

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/standin/script"
)

// Guards against streams on workers that have ended, and against workers that stay excluded though the evidence was wrong.
func TestEndedWorkers(t *testing.T) {
	cases, err := script.ReadCases("testdata/ended.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			s, now, begun := newSystem(nil), start, map[string]time.Time{}
			s.engine.Layers = 4
			for line := range strings.Lines(c.Part("script")) {
				is := is.New(t)
				words := strings.Fields(line)
				ms := func(text string) time.Duration {
					n, err := strconv.Atoi(text)
					is.NoErr(err)
					return time.Duration(n) * time.Millisecond
				}
				switch args := words[1:]; words[0] {
				case "list":
					s.SetEndpoints(scriptedWorkers(args))
				case "broken":
					s.RecordEnded(now, args[0])
				case "reported":
					s.RecordEndReport(now, now.Add(-ms(args[1])), args[0])
				case "refused":
					s.RecordRefusedConnection(now, args[0])
				case "stream":
					p, refusal := s.Choose(now, Demand{PromptTokens: 10, AnswerTokens: 10})
					got := []string{string(refusal)}
					if refusal == Accepted {
						s.Begin(now, args[0], p, Demand{})
						begun[args[0]], got = now, nil
						for _, part := range p {
							got = append(got, part.Worker)
						}
					}
					if want := args[1:]; strings.Join(got, " ") != strings.Join(want, " ") {
						t.Errorf("%s: got %v", strings.TrimSpace(line), got)
					}
				case "event":
					s.Progress(now, args[0])
				case "answered":
					s.RecordResponse(begun[args[0]], args[1])
				case "end":
					s.End(args[0])
				case "wait":
					now = now.Add(ms(args[0]))
				default:
					t.Fatalf("unknown command %q", words[0])
				}
			}
		})
	}
}

// scriptedWorkers returns workers from names like a or a/2.
func scriptedWorkers(names []string) (out []deployment.Endpoint) {
	for _, name := range names {
		id, instance, _ := strings.Cut(name, "/")
		n, _ := strconv.ParseInt(instance, 10, 64) //nolint:errcheck // an instance without a number is 0
		layers := map[string]deployment.Range{"a": {To: 2}, "b": {From: 2, To: 4}, "c": {To: 2}}[id]
		out = append(out, deployment.Endpoint{ID: id, Address: id, State: deployment.Ready, StartedMs: n, Accelerator: "medium", Layers: layers})
	}
	return out
}
