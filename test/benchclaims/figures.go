package benchclaims

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/claim"
)

// Figure is one line of output. Bound, Baseline and Pass are null if the figure has no target or baseline.
type Figure struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound"`
	Baseline *float64 `json:"baseline"`
	Pass     *bool    `json:"pass"`
}

const (
	// Expected load in two years: 5% of 11,000 requests/s must not be repeated.
	futureClaimsPerS = 550
	// A load that the store can handle without grouping, for comparable latencies.
	lowClaimsPerS = 200
	// The store of the requirements: several hundred writes/s, milliseconds per call.
	storeWritesPerS = 300
	storePerCall    = 3 * time.Millisecond
	todayShards     = 8
	todayInterval   = 25 * time.Millisecond
	futureShards    = 32
	futureInterval  = 160 * time.Millisecond
	futureInline    = 4 << 10
	// Writes/s that the design page allows for claims in two years.
	futureWritesPerS = 200
	// The index holds the hash of each sealed key.
	indexBytesPerKey = 16
	saturationLoad   = 2000
)

// writer collects figures as JSON lines.
type writer struct {
	enc *json.Encoder
	err error
}

func (w *writer) figure(name string, value float64, unit string, bound, baseline *float64, atMost bool) {
	f := Figure{Name: name, Value: value, Unit: unit, Bound: bound, Baseline: baseline}
	if bound != nil {
		pass := value >= *bound
		if atMost {
			pass = value <= *bound
		}
		f.Pass = &pass
	}
	if err := w.enc.Encode(f); err != nil && w.err == nil {
		w.err = eris.Wrap(err, "benchclaims.Run: write figure")
	}
}

func ptr(v float64) *float64 { return &v }

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// grouped returns today's setting. ungrouped writes every claim separately and as early as possible.
func grouped() claim.Config {
	return claim.Config{Shards: todayShards, FlushInterval: todayInterval}
}

func ungrouped() claim.Config {
	return claim.Config{Shards: todayShards, FlushInterval: time.Nanosecond, MaxBatch: 1}
}

func future() claim.Config {
	return claim.Config{Shards: futureShards, FlushInterval: futureInterval, InlineBytes: futureInline}
}

func load(ctx context.Context, sys claim.Config, claimsPerS int, d time.Duration) LoadResult {
	return Load(ctx, LoadConfig{
		System: sys, ClaimsPerS: claimsPerS, Callers: saturationLoad, Duration: d,
		WritesPerS: storeWritesPerS, PerCall: storePerCall,
	})
}

// Run measures claims for about perLoad per load and writes one JSON line per figure.
func Run(ctx context.Context, out io.Writer, perLoad time.Duration) error {
	w := &writer{enc: json.NewEncoder(out)}
	g, u := load(ctx, grouped(), 0, perLoad), load(ctx, ungrouped(), 0, perLoad)
	w.figure("claims_saturated_rate", g.GrantedPerS, "claims/s", ptr(futureClaimsPerS), ptr(u.GrantedPerS), false)
	w.figure("claims_saturated_writes", g.WritesPerS, "writes/s", ptr(storeWritesPerS), ptr(u.WritesPerS), true)
	latencies(w, "claims_200_per_s", load(ctx, grouped(), lowClaimsPerS, perLoad), load(ctx, ungrouped(), lowClaimsPerS, perLoad))
	latencies(w, "claims_550_per_s", load(ctx, grouped(), futureClaimsPerS, perLoad), load(ctx, ungrouped(), futureClaimsPerS, perLoad))
	two := Load(ctx, LoadConfig{
		Hosts: 2, System: grouped(), ClaimsPerS: futureClaimsPerS, Duration: perLoad,
		WritesPerS: storeWritesPerS, PerCall: storePerCall,
	})
	latencies(w, "claims_550_per_s_two_writers", two, LoadResult{})
	w.figure("claims_two_writers_conflicts", float64(two.Conflicts)/perLoad.Seconds(), "conflicts/s", nil, nil, true)
	f := load(ctx, future(), futureClaimsPerS, perLoad)
	latencies(w, "claims_two_years", f, LoadResult{})
	w.figure("claims_two_years_write_budget", f.WritesPerS, "writes/s", ptr(futureWritesPerS), nil, true)
	steadyFigures(w)
	return w.err
}

func latencies(w *writer, name string, r, base LoadResult) {
	baseline := func(d time.Duration) *float64 {
		if base.GrantedPerS == 0 {
			return nil
		}
		return ptr(ms(d))
	}
	w.figure(name+"_p50", ms(r.P50), "ms", nil, baseline(base.P50), true)
	w.figure(name+"_p95", ms(r.P95), "ms", nil, baseline(base.P95), true)
	w.figure(name+"_p99", ms(r.P99), "ms", nil, baseline(base.P99), true)
	w.figure(name+"_writes", r.WritesPerS, "writes/s", ptr(storeWritesPerS), nil, true)
	w.figure(name+"_not_granted", float64(r.NotGranted), "claims", ptr(0), ptr(float64(base.NotGranted)), true)
}

// steadyFigures simulates one of the shards for 3 h.
func steadyFigures(w *writer) {
	r := Steady(SteadyConfig{
		ClaimsPerS: float64(futureClaimsPerS) / futureShards, AnswerBytes: 100, Interval: futureInterval,
		InlineBytes: futureInline, SegmentBytes: 512 << 10, Lifetime: 3 * time.Hour,
	})
	w.figure("claims_shard_writes", r.WritesPerS*futureShards, "writes/s", ptr(futureWritesPerS), nil, true)
	w.figure("claims_shard_bytes", r.BytesPerS, "bytes/s a shard", nil, nil, true)
	w.figure("claims_shard_object", r.ShardBytes, "bytes", nil, nil, true)
	w.figure("claims_shard_object_largest", float64(r.LargestShardBytes), "bytes", ptr(1<<20), nil, true)
	w.figure("claims_index_keys", float64(r.IndexedKeys), "keys a shard", nil, nil, true)
	w.figure("claims_takeover_memory", float64(r.HeapBytes), "bytes a shard", ptr(32<<20), nil, true)
	w.figure("claims_index_memory", float64(r.IndexedKeys*indexBytesPerKey), "bytes a shard", nil, nil, true)
	w.figure("claims_takeover_reads", float64(r.TakeoverReads), "reads a shard", nil, nil, true)
	w.figure("claims_takeover_bytes", float64(r.TakeoverBytes), "bytes a shard", nil, nil, true)
	w.figure("claims_tick", r.TickMicroseconds, "µs a flush interval", nil, nil, true)
}
