package engine_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/table"
	client "waxwingplank/internal/endpoint/engine"
	"waxwingplank/internal/standin/engine"
)

const (
	model   = "hake"
	version = "7"
)

func start(t *testing.T, from, to int, change func(*engine.Config)) *engine.Server {
	t.Helper()
	cfg := engine.Config{
		Holdings:  []engine.Holding{{Model: model, Version: version, Layers: [2]int{from, to}}},
		Heartbeat: 20 * time.Millisecond,
	}
	if change != nil {
		change(&cfg)
	}
	s := engine.New(cfg)
	is.New(t).NoErr(s.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func stage(s *engine.Server, from, to int) table.Stage {
	return table.NewStage(table.StageConfig{
		Endpoint: table.EndpointID(s.Endpoint()), Address: s.Address(), Layers: table.Layers{From: from, To: to},
	})
}

func request(stream string, attempt int, route ...table.Stage) client.OpenRequest {
	return client.OpenRequest{
		Stream: table.StreamID(stream), Attempt: attempt, Model: model, Version: version,
		Route: route, Prompt: "hake landed at Lebu", MaxTokens: 8,
	}
}

// read collects what a stream says until it ends.
func read(t *testing.T, c *client.Client, r client.OpenRequest) (texts []string, end string) {
	t.Helper()
	s, err := c.Open(context.Background(), r)
	if err != nil {
		return nil, err.Error()
	}
	defer func() { _ = s.Close() }()
	for {
		e, err := s.Next()
		if err != nil {
			return texts, err.Error()
		}
		switch e := e.(type) {
		case client.Token:
			texts = append(texts, fmt.Sprintf("%s/%d/%d%s%v", e.Stream(), e.Attempt(), e.Position(), e.Text(), e.Layers()))
		case client.Done:
			return texts, fmt.Sprintf("done %d %s", e.Tokens(), e.FinishReason())
		case client.Failure:
			return texts, "failure " + e.Code() + " " + e.Stage()
		}
	}
}

func want(stream string, attempt, from, to int, layers string) []string {
	var lines []string
	for p := from; p < to; p++ {
		text := engine.Text(model, version, "hake landed at Lebu", p)
		lines = append(lines, fmt.Sprintf("%s/%d/%d%s%s", stream, attempt, p, text, layers))
	}
	return lines
}

// Guards against stand-ins that run a layer twice, skip one or generate text that depends on the engine.
func TestPipelineRunsEachLayerOnce(t *testing.T) {
	is := is.New(t)
	a, b := start(t, 0, 8, nil), start(t, 8, 24, nil)
	c := client.New(client.Config{})
	defer c.Close()
	texts, end := read(t, c, request("s1", 1, stage(a, 0, 8), stage(b, 8, 24)))
	is.Equal(end, "done 8 length")
	is.Equal(texts, want("s1", 1, 0, 8, "[{0 8} {8 24}]"))
	for i, s := range []*engine.Server{a, b} {
		var got []int
		for _, e := range s.Executions() {
			if e.Kind == "token" {
				got = append(got, e.Position)
				is.Equal(e.Layers, [][2]int{{0, 8}, {8, 24}}[i])
			}
		}
		is.Equal(got, []int{0, 1, 2, 3, 4, 5, 6, 7})
	}
}
