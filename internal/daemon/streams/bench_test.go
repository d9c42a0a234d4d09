package streams_test

import (
	"context"
	"testing"

	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/test/fakeengine"
)

// instant is an engine that generates tokens at almost no cost.
type instant struct {
	*fakeengine.Fleet
	tokens int
}

type instantStream struct {
	req      streams.OpenRequest
	position int
	end      int
	layers   []table.Layers
}

func (e instant) Open(_ context.Context, req streams.OpenRequest) (streams.Stream, error) {
	return &instantStream{req: req, end: e.tokens, layers: []table.Layers{{From: 0, To: 8}, {From: 8, To: 16}}}, nil
}

func (s *instantStream) Close() error { return nil }

func (s *instantStream) Next() (streams.Event, error) {
	if s.position == s.end {
		return streams.NewDone(s.end, "stop"), nil
	}
	s.position++
	return streams.NewToken(receipt.Config{
		Stream: s.req.Stream, Attempt: s.req.Attempt, Position: s.position - 1, Layers: s.layers,
	}, " token"), nil
}

type discard struct{ bytes int }

func (d *discard) Token(_ int, text, id string) error {
	d.bytes += len(text) + len(id)
	return nil
}
func (d *discard) End(streams.End) error { return nil }

// BenchmarkRunnerToken measures the cost of one token in the Runner: event, receipt, chain, seal and sink call.
func BenchmarkRunnerToken(b *testing.B) {
	fleet := fakeengine.New(fakeengine.Config{Layers: layers})
	h := newHost(b, instant{fleet, b.N}, fakeengine.NewPipelines(8, fleet.Pipeline("a", "b")), nil)
	defer h.close()
	b.ReportAllocs()
	b.ResetTimer()
	if err := h.runner.Run(context.Background(), streams.NewRequest(request("draft", b.N)), &discard{}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRunnerStream measures the cost of one short stream, including its messages to and from the loop.
func BenchmarkRunnerStream(b *testing.B) {
	fleet := fakeengine.New(fakeengine.Config{Layers: layers})
	h := newHost(b, instant{fleet, 1}, fakeengine.NewPipelines(8, fleet.Pipeline("a", "b")), nil)
	defer h.close()
	b.ReportAllocs()
	for b.Loop() {
		if err := h.runner.Run(context.Background(), streams.NewRequest(request("draft", 1)), &discard{}); err != nil {
			b.Fatal(err)
		}
	}
}
