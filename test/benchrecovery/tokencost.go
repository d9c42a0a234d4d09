package benchrecovery

import (
	"context"
	"crypto/rand"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/seal"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/test/fakeengine"
)

const (
	costTokens = 400_000
	// boundTokenUs is the target for the whole daemon; the runner is one part of it.
	boundTokenUs = 10
)

// instant is an engine without any cost of its own.
type instant struct{ *fakeengine.Fleet }

type instantStream struct {
	req    streams.OpenRequest
	at     int
	layers []table.Layers
}

// Open implements streams.Engines.
func (e instant) Open(_ context.Context, req streams.OpenRequest) (streams.Stream, error) {
	return &instantStream{req: req, layers: []table.Layers{{From: 0, To: 8}, {From: 8, To: layers}}}, nil
}

// Close implements streams.Stream.
func (s *instantStream) Close() error { return nil }

// Next implements streams.Stream.
func (s *instantStream) Next() (streams.Event, error) {
	if s.at == costTokens {
		return streams.NewDone(s.at, "stop"), nil
	}
	s.at++
	return streams.NewToken(receipt.Config{
		Stream: s.req.Stream, Attempt: s.req.Attempt, Position: s.at - 1, Layers: s.layers,
	}, " token"), nil
}

type discard struct{}

// Token implements streams.Sink.
func (discard) Token(int, string, string) error { return nil }

// End implements streams.Sink.
func (discard) End(streams.End) error { return nil }

// tokenCost measures the CPU time of the process for one token in the runner.
func tokenCost(ctx context.Context) (figure, error) {
	sealer, err := seal.New(seal.Config{Keys: [][]byte{make([]byte, 32)}, Random: rand.Reader})
	if err != nil {
		return figure{}, err
	}
	fleet := fakeengine.New(fakeengine.Config{Layers: layers})
	run, stop := newRunner(ctx, instant{fleet}, pipelines(Config{}.withDefaults(), fleet), sealer, 0)
	defer stop()
	before, err := cpu()
	if err != nil {
		return figure{}, err
	}
	err = run.Run(ctx, streams.NewRequest(streams.RequestConfig{
		Stream: "cost", Service: "bench", Workspace: "bench", Layers: layers, Prompt: "cost", MaxTokens: costTokens,
	}), discard{})
	if err != nil {
		return figure{}, err
	}
	after, err := cpu()
	if err != nil {
		return figure{}, err
	}
	us := float64((after - before).Nanoseconds()) / 1000 / costTokens
	return figure{Name: "runner_cpu_per_token", Value: us, Unit: "us"}.atMost(boundTokenUs), nil
}

func cpu() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, eris.Wrap(err, "benchrecovery: getrusage")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
