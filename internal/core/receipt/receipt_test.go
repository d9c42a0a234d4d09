package receipt

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/table"
)

// The seed is fixed so that a failure can be reproduced; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

const modelLayers = 24

func allLayers() []table.Layers { return []table.Layers{{From: 0, To: 8}, {From: 8, To: 24}} }

func newTestChecker() *Checker {
	return NewChecker(CheckerConfig{Stream: "s", Attempt: 2, Position: 5, Layers: modelLayers})
}

// Guards against delivering a token for which some layer did not run exactly once and in order.
func TestAccept(t *testing.T) {
	cases := []struct {
		name    string
		receipt Config
		verdict Verdict
		fault   Fault
	}{
		{"next", Config{"s", 2, 5, allLayers()}, Deliver, NoFault},
		{"gap", Config{"s", 2, 5, []table.Layers{{From: 0, To: 8}, {From: 9, To: 24}}}, Fail, LayerGap},
		{"overlap", Config{"s", 2, 5, []table.Layers{{From: 0, To: 8}, {From: 7, To: 24}}}, Fail, LayerOverlap},
		{"reorder", Config{"s", 2, 5, []table.Layers{{From: 8, To: 24}, {From: 0, To: 8}}}, Fail, LayerGap},
		{"twice", Config{"s", 2, 5, []table.Layers{{From: 0, To: 24}, {From: 0, To: 24}}}, Fail, LayerOverlap},
		{"empty range", Config{"s", 2, 5, []table.Layers{{From: 0, To: 0}, {From: 0, To: 24}}}, Fail, LayersIncomplete},
		{"end missing", Config{"s", 2, 5, []table.Layers{{From: 0, To: 23}}}, Fail, LayersIncomplete},
		{"beyond the model", Config{"s", 2, 5, []table.Layers{{From: 0, To: 25}}}, Fail, LayersIncomplete},
		{"no layers", Config{"s", 2, 5, nil}, Fail, LayersIncomplete},
		{"position skipped", Config{"s", 2, 6, allLayers()}, Fail, PositionSkipped},
		{"position delivered", Config{"s", 2, 4, allLayers()}, Drop, PositionDelivered},
		{"stale attempt", Config{"s", 1, 5, allLayers()}, Drop, StaleAttempt},
		{"future attempt", Config{"s", 3, 5, allLayers()}, Fail, FutureAttempt},
		{"foreign stream", Config{"other", 2, 5, allLayers()}, Fail, ForeignStream},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newTestChecker()
			is.Equal(k.Accept(New(c.receipt)), c.verdict)
			is.Equal(k.Fault(), c.fault)
			is.Equal(k.Position() == 6, c.verdict == Deliver) // only a delivered token advances the position
		})
	}
}

// Guards against restarting with an old or the current attempt number.
func TestRestartNeedsHigherAttempt(t *testing.T) {
	is := is.New(t)
	k := newTestChecker()
	is.True(!k.Restart(2))
	is.True(!k.Restart(1))
	is.True(k.Restart(4))
	is.Equal(k.Accept(New(Config{"s", 2, 5, allLayers()})), Drop)
	is.Equal(k.Accept(New(Config{"s", 4, 5, allLayers()})), Deliver)
}

// Guards against delivering a position twice, skipping one, or accepting a token of an attempt that is not the
// current one, in any order of receipts and restarts.
func TestAnyOrderDeliversEachPositionOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewChecker(CheckerConfig{Stream: "s", Attempt: 1, Layers: modelLayers})
		attempt, next, dropped := 1, 0, 0
		cuts := rapid.SliceOfN(rapid.IntRange(-1, modelLayers+1), 0, 4)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				n := rapid.IntRange(0, attempt+2).Draw(t, "restart")
				if k.Restart(n) != (n > attempt) {
					t.Fatalf("restart %d after %d", n, attempt)
				}
				attempt = max(attempt, n)
				continue
			}
			cfg := Config{
				Stream:   rapid.SampledFrom([]table.StreamID{"s", "s", "s", "o"}).Draw(t, "stream"),
				Attempt:  attempt + rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(t, "attempt"),
				Position: next + rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(t, "position"),
				Layers:   allLayers(),
			}
			if rapid.IntRange(0, 2).Draw(t, "cut") == 0 {
				cfg.Layers = rangesFromCuts(cuts.Draw(t, "cuts"))
			}
			want := cfg.Stream == "s" && cfg.Attempt == attempt && cfg.Position == next && eachLayerOnce(cfg.Layers)
			got := k.Accept(New(cfg))
			if (got == Deliver) != want {
				t.Fatalf("%v gave %s (%s)", cfg, got, k.Fault())
			}
			if want {
				next++
			}
			if got == Drop {
				dropped++
			}
			if k.Position() != next || k.Dropped() != dropped {
				t.Fatalf("position %d, want %d", k.Position(), next)
			}
		}
	})
}

func rangesFromCuts(cuts []int) []table.Layers {
	var out []table.Layers
	from := 0
	for _, c := range cuts {
		out = append(out, table.Layers{From: from, To: c})
		from = c
	}
	return append(out, table.Layers{From: from, To: modelLayers})
}

// eachLayerOnce reports whether each layer appears once and in order. It counts layers, independently of the
// checker.
func eachLayerOnce(layers []table.Layers) bool {
	var run []int
	for _, l := range layers {
		if l.To <= l.From {
			return false
		}
		for i := l.From; i < l.To; i++ {
			run = append(run, i)
		}
	}
	for i, l := range run {
		if i != l {
			return false
		}
	}
	return len(run) == modelLayers
}

// Guards against an allocation per token, which at 13,000 tokens/s per host would load the garbage collector.
func TestAcceptAllocatesNothing(t *testing.T) {
	k := NewChecker(CheckerConfig{Stream: "s", Attempt: 1, Layers: modelLayers})
	layers := allLayers()
	n := testing.AllocsPerRun(1000, func() {
		k.Accept(New(Config{Stream: "s", Attempt: 1, Position: k.Position(), Layers: layers}))
	})
	is.New(t).Equal(n, 0.0)
}

func BenchmarkAccept(b *testing.B) {
	k := NewChecker(CheckerConfig{Stream: "stream-0123456789", Attempt: 1, Layers: modelLayers})
	layers := allLayers()
	b.ReportAllocs()
	for b.Loop() {
		r := New(Config{Stream: "stream-0123456789", Attempt: 1, Position: k.Position(), Layers: layers})
		if k.Accept(r) != Deliver {
			b.Fatal("not delivered")
		}
	}
}
