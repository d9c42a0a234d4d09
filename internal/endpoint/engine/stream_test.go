package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/endpoint/engine"
	"waxwingplank/internal/standin/script"
)

// The deadline is well above the waits of 60 ms in the scripts, so that they pass on a busy machine.
var testConfig = engine.Config{ProgressDeadline: 200 * time.Millisecond, MaxLineBytes: 8 << 10}

// configOf returns testConfig with the timeout of a case.
func configOf(c script.Case) engine.Config {
	cfg := testConfig
	cfg.ProgressDeadline = c.Timeout(cfg.ProgressDeadline)
	return cfg
}

func open(ctx context.Context, c *engine.Client, address string) (*engine.Stream, error) {
	return c.Open(ctx, engine.OpenRequest{
		Stream: "s1", Attempt: 1, Model: "hake", Version: "7", Prompt: "p", MaxTokens: 2,
		Route: []table.Stage{table.NewStage(table.StageConfig{
			Endpoint: "e1", Address: address, Layers: table.Layers{From: 0, To: 8},
		})},
	})
}

func describe(err error) string {
	e, ok := errors.AsType[*engine.Error](err)
	if !ok {
		return "other error " + err.Error()
	}
	kinds := []error{
		engine.ErrUnreachable, engine.ErrUnresponsive, engine.ErrReset,
		engine.ErrRefused, engine.ErrMalformed, engine.ErrCanceled,
	}
	var text string
	for _, k := range kinds {
		if errors.Is(err, k) {
			text += "error " + k.Error()
		}
	}
	if engine.MayHaveSent(err) {
		text += ", sent"
	}
	if e.Status() != 0 {
		text += fmt.Sprintf(", status %d", e.Status())
	}
	if engine.Code(err) != "" {
		text += ", code " + engine.Code(err)
	}
	if e.RetryAfter() != 0 {
		text += ", retry after " + e.RetryAfter().String()
	}
	return text
}

func describeEvent(e engine.Event) string {
	switch e := e.(type) {
	case engine.Token:
		text := fmt.Sprintf("%q", e.Text())
		if len(text) > 100 {
			text = "long"
		}
		return fmt.Sprintf("token %s %d %d %s %v", e.Stream(), e.Attempt(), e.Position(), text, e.Layers())
	case engine.Heartbeat:
		return "heartbeat"
	case engine.Done:
		return fmt.Sprintf("done %d %s", e.Tokens(), e.FinishReason())
	case engine.Failure:
		return fmt.Sprintf("failure %s %q %s", e.Code(), e.Message(), e.Stage())
	}
	return "unknown event"
}

func transcript(s *engine.Stream) string {
	var lines []string
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) && err.Error() == io.EOF.Error() {
			return strings.Join(append(lines, "end"), "\n") + "\n"
		}
		if err != nil {
			return strings.Join(append(lines, describe(err)), "\n") + "\n"
		}
		lines = append(lines, describeEvent(e))
	}
}

// Guards against delivering damaged tokens, against treating a broken stream as a complete response, and
// against confusing an unresponsive engine, a crashed one and one that was never reached.
func TestStreamContract(t *testing.T) {
	cases, err := script.ReadCases("testdata/streams.txtar")
	is.New(t).NoErr(err)
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := script.New(c.Part("script"))
			is.NoErr(server.Start("127.0.0.1:0"))
			defer func() { _ = server.Close() }()
			client := engine.New(configOf(c))
			s, err := open(context.Background(), client, server.Address())
			if err != nil {
				is.Equal("open: "+describe(err)+"\n", c.Part("want"))
			} else {
				is.Equal(transcript(s), c.Part("want"))
			}
			is.Equal(len(server.Requests()), 1) // a stream request is sent once
		})
	}
}

// Guards against reporting that a request may have run although no byte reached the engine.
func TestOpenUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := engine.New(testConfig)
	_, err = open(context.Background(), client, address)
	is.Equal(describe(err), "error "+engine.ErrUnreachable.Error())
	_, err = client.Open(context.Background(), engine.OpenRequest{Stream: "s1"})
	is.Equal(describe(err), "error "+engine.ErrMalformed.Error()) // no route
}

// Guards against reporting an engine failure when the caller canceled the request.
func TestNextCanceledByCaller(t *testing.T) {
	is := is.New(t)
	server := script.New("request\nhead 200\nsend \"{\\\"heartbeat\\\":{}}\\n\"\nstall")
	is.NoErr(server.Start("127.0.0.1:0"))
	defer func() { _ = server.Close() }()
	client := engine.New(engine.Config{ProgressDeadline: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := open(ctx, client, server.Address())
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	cancel()
	_, err = s.Next()
	is.Equal(describe(err), "error "+engine.ErrCanceled.Error()+", sent")
	_, again := s.Next()
	is.Equal(again, err) // the same error is returned again
}

const tokenLine = `{"token":{"stream":"stream-0123456789","attempt":1,"position":%d,"text":" token%d","layers":[[0,8],[8,16],[16,24]]}}` + "\n"

// Measures the cost of one token. The target is well under 10 microseconds.
func BenchmarkNext(b *testing.B) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		var block strings.Builder
		for i := range 1000 {
			fmt.Fprintf(&block, tokenLine, i, i)
		}
		for {
			if _, err := io.WriteString(conn, block.String()); err != nil {
				return
			}
		}
	}()
	s, err := open(context.Background(), engine.New(engine.Config{}), listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
	_ = s.Close()
}

// Guards against using old connections again. Those that have stalled would each cost one stream its progress deadline,
// and a late copy of an earlier response would be taken for the response to another request.
func TestConnectionsAreNotReused(t *testing.T) {
	is := is.New(t)
	old := "connection\nrequest\nwait 50\nanswer 200 \"{\\\"endpoint\\\":\\\"e1\\\"}\"\nrequest\nanswer 200 \"{\\\"endpoint\\\":\\\"e1\\\"}\"\nrequest\nstall\n"
	server := script.New(old + old + "connection\nrequest\nanswer 200 \"{\\\"endpoint\\\":\\\"e2\\\"}\"\n")
	is.NoErr(server.Start("127.0.0.1:0"))
	defer func() { _ = server.Close() }()
	client := engine.New(testConfig)
	first := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := client.Describe(context.Background(), server.Address())
			first <- err
		}()
	}
	is.NoErr(<-first)
	is.NoErr(<-first)
	for range 3 {
		d, err := client.Describe(context.Background(), server.Address())
		is.NoErr(err)
		is.Equal(string(d.Endpoint()), "e2")
	}
}
