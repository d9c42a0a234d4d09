package benchrecovery

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/seal"
	"waxwingplank/internal/core/stream"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/test/fakeengine"
)

const (
	layers       = 16
	promptTokens = 64
	// boundMs is the design page's bound for a stage failure.
	boundMs = 2000
	// faultAfter lets every stream be well into its answer, so that a restart has work to repeat.
	faultAfter = 2 * time.Second
	// stagger spreads the starts, as callers do.
	stagger = 500 * time.Millisecond
)

// Config sizes the bench; zero values are replaced by the defaults.
type Config struct {
	Pipelines, Slots, Streams, Tokens int
	// Step is the time between tokens, Prefill the time to recompute one token.
	Step, Prefill time.Duration
}

func (c Config) withDefaults() Config {
	if c.Pipelines == 0 {
		c.Pipelines = 10
	}
	if c.Slots == 0 {
		c.Slots = 64
	}
	if c.Streams == 0 {
		c.Streams = 300
	}
	if c.Tokens == 0 {
		c.Tokens = 250
	}
	if c.Step == 0 {
		// Within the 49 ms between tokens that the design page promises.
		c.Step = 20 * time.Millisecond
	}
	if c.Prefill == 0 {
		// That of stream.Config: about 5,000 prompt tokens a second.
		c.Prefill = 200 * time.Microsecond
	}
	return c
}

// scenario is one kind of fault.
type scenario struct {
	name   string
	hit    []table.EndpointID
	silent bool
}

func scenarios() []scenario {
	rack := []table.EndpointID{head(0), tail(0), head(1), tail(1), head(2), tail(2)}
	return []scenario{
		{name: "endpoint_crash", hit: rack[:1]},
		{name: "stage_crash", hit: rack[1:2]},
		{name: "endpoint_silent", hit: rack[:1], silent: true},
		// A rack takes three pipelines; recovery then depends on the pace set for survivors.
		{name: "rack_crash", hit: rack},
		{name: "rack_silent", hit: rack, silent: true},
	}
}

func head(i int) table.EndpointID { return table.EndpointID(fmt.Sprint("head", i)) }
func tail(i int) table.EndpointID { return table.EndpointID(fmt.Sprint("tail", i)) }

func (sc scenario) fault(f *fakeengine.Fleet) {
	for _, id := range sc.hit {
		if sc.silent {
			f.Mute(id, true)
			continue
		}
		f.Crash(id)
	}
}

// Run measures every kind of fault and prints JSON lines. The baseline of each figure is the same fault
// with callers that send their request again from the beginning.
func Run(ctx context.Context, out io.Writer, cfg Config) error {
	cfg = cfg.withDefaults()
	for _, sc := range scenarios() {
		ours, err := measure(ctx, cfg, sc, false)
		if err != nil {
			return err
		}
		base, err := measure(ctx, cfg, sc, true)
		if err != nil {
			return err
		}
		if err := write(out, figures(sc.name, ours, base)...); err != nil {
			return err
		}
	}
	f, err := tokenCost(ctx)
	if err != nil {
		return err
	}
	return write(out, f)
}

func figures(name string, ours, base result) []figure {
	fig := func(stat string, q float64) figure {
		return figure{
			Name: "recovery_" + name + "_" + stat, Value: quantile(ours.times, q), Unit: "ms",
		}.against(quantile(base.times, q))
	}
	count := func(stat string, n, b int) figure {
		return figure{Name: "recovery_" + name + "_" + stat, Value: float64(n), Unit: "streams"}.against(float64(b))
	}
	return []figure{
		fig("p50", 0.5),
		fig("p95", 0.95).atMost(boundMs),
		fig("max", 1),
		count("hit", len(ours.times), len(base.times)),
		count("lost", ours.lost, base.lost).atMost(0),
		count("wrong_tokens", ours.wrong, base.wrong).atMost(0),
	}
}

// result is the outcome of one scenario.
type result struct {
	times []time.Duration
	lost  int
	wrong int
}

func measure(ctx context.Context, cfg Config, sc scenario, restart bool) (result, error) {
	sealer, err := seal.New(seal.Config{Keys: [][]byte{make([]byte, 32)}, Random: rand.Reader})
	if err != nil {
		return result{}, err
	}
	fleet := fakeengine.New(fakeengine.Config{
		Step: cfg.Step, Prefill: cfg.Prefill, Tokens: cfg.Tokens, Layers: layers,
	})
	attempts := 0
	if restart {
		attempts = 1
	}
	pl := pipelines(cfg, fleet)
	run, stop := newRunner(ctx, fleet, pl, sealer, attempts)
	defer stop()
	callers := make([]*caller, cfg.Streams)
	var wg sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{name: fmt.Sprint("draft", i), restart: restart}
		wg.Go(func() {
			pause(ctx, stagger*time.Duration(i)/time.Duration(cfg.Streams))
			callers[i].run(ctx, run, cfg)
		})
	}
	pause(ctx, faultAfter)
	fault := time.Now()
	sc.fault(fleet)
	if restart {
		// Favours the baseline: its router keeps resent requests away from the fault as soon as that can be known.
		if sc.silent {
			pause(ctx, time.Second)
		}
		for _, id := range sc.hit {
			pl.Eject(id)
		}
	}
	wg.Wait()
	return collect(callers, fault, func(id string) int {
		m, err := sealer.Open(id)
		if err != nil {
			return 0
		}
		return m.Attempt()
	}), ctx.Err()
}

func collect(callers []*caller, fault time.Time, attempt func(string) int) result {
	var r result
	for _, c := range callers {
		if d, hit := c.recovery(fault, attempt); hit {
			r.times = append(r.times, d)
		}
		r.wrong += c.wrong
		if !c.ended {
			r.lost++
		}
	}
	return r
}

func newRunner(ctx context.Context, engines streams.Engines, pl streams.Pipelines, s *seal.Sealer, attempts int) (*streams.Runner, func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := streams.NewLoop(streams.LoopConfig{Log: log, Streams: stream.Config{MaxAttempts: attempts}})
	run := streams.New(streams.Config{
		Loop: loop, Engines: engines, Pipelines: pl,
		Sealer: s, Log: log, MaxAttempts: attempts,
	})
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		loop.Serve(ctx)
	}()
	return run, func() {
		run.Wait()
		cancel()
		<-done
	}
}

func pipelines(cfg Config, fleet *fakeengine.Fleet) *fakeengine.Pipelines {
	all := make([]table.Pipeline, cfg.Pipelines)
	for i := range all {
		all[i] = fleet.Pipeline(string(head(i)), string(tail(i)))
	}
	return fakeengine.NewPipelines(cfg.Slots, all...)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
