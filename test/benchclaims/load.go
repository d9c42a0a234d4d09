package benchclaims

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/daemon/claims"
)

// LoadConfig describes one run in real time.
type LoadConfig struct {
	// Hosts is the number of keepers. Claims are assigned to them in turn, so with more than one, several hosts
	// write each shard.
	Hosts  int
	System claim.Config
	// ClaimsPerS is the offered load per second. Zero means that Callers callers claim continuously.
	ClaimsPerS int
	Callers    int
	Duration   time.Duration
	WritesPerS int
	PerCall    time.Duration
}

// LoadResult holds the figures of one run.
type LoadResult struct {
	GrantedPerS   float64
	NotGranted    int
	P50, P95, P99 time.Duration
	WritesPerS    float64
	BytesPerWrite float64
	Conflicts     int
}

// run collects the latencies and results of one load.
type run struct {
	mu      sync.Mutex
	hist    *hdrhistogram.Histogram
	granted int
	other   int
	keepers []*claims.Manager
	issued  int64
}

func (r *run) claim(ctx context.Context, i int) {
	key, err := claim.NewKey(claim.KeyConfig{Workspace: "w", Service: "s", Text: fmt.Sprintf("%d-%d", r.issued, i)})
	if err != nil {
		panic(err)
	}
	start := time.Now()
	result, _ := r.keepers[i%len(r.keepers)].Claim(ctx, key)
	took := time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Status() != claim.Granted {
		r.other++
		return
	}
	r.granted++
	if err := r.hist.RecordValue(took.Microseconds()); err != nil {
		panic(err)
	}
}

// Load runs claims against the keepers, waits until all have ended and returns the figures.
func Load(ctx context.Context, cfg LoadConfig) LoadResult {
	log := logrus.New()
	log.SetOutput(io.Discard)
	st := newStore(cfg.WritesPerS, cfg.PerCall)
	r := &run{hist: hdrhistogram.New(1, time.Minute.Microseconds(), 3), issued: time.Now().Unix()}
	runCtx, stop := context.WithCancel(ctx)
	var running, claiming sync.WaitGroup
	for i := range max(1, cfg.Hosts) {
		sys := cfg.System
		sys.Seed = [2]uint64{uint64(i), 1}
		// The call timeout is longer than the wait at the write limit, which is part of the measured latency.
		k := claims.New(claims.Config{Store: st, System: sys, Log: log, CallTimeout: time.Minute})
		r.keepers = append(r.keepers, k)
		running.Go(func() { k.Run(runCtx) })
	}
	start := time.Now()
	if cfg.ClaimsPerS > 0 {
		offer(ctx, r, cfg, &claiming)
	} else {
		saturate(ctx, r, cfg, &claiming)
	}
	claiming.Wait()
	took := time.Since(start).Seconds()
	stop()
	running.Wait()
	return LoadResult{
		GrantedPerS:   float64(r.granted) / took,
		NotGranted:    r.other,
		P50:           time.Duration(r.hist.ValueAtQuantile(50)) * time.Microsecond,
		P95:           time.Duration(r.hist.ValueAtQuantile(95)) * time.Microsecond,
		P99:           time.Duration(r.hist.ValueAtQuantile(99)) * time.Microsecond,
		WritesPerS:    float64(st.writes) / took,
		BytesPerWrite: float64(st.written) / float64(max(1, st.writes-st.conflict)),
		Conflicts:     st.conflict,
	}
}

// offer starts claims at a fixed rate, whether or not earlier ones have ended.
func offer(ctx context.Context, r *run, cfg LoadConfig, wg *sync.WaitGroup) {
	start := time.Now()
	total := int(cfg.Duration.Seconds() * float64(cfg.ClaimsPerS))
	for i := range total {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(cfg.ClaimsPerS))
		time.Sleep(time.Until(due))
		wg.Go(func() { r.claim(ctx, i) })
	}
}

// saturate keeps a fixed number of claims in flight.
func saturate(ctx context.Context, r *run, cfg LoadConfig, wg *sync.WaitGroup) {
	end := time.Now().Add(cfg.Duration)
	for c := range cfg.Callers {
		wg.Go(func() {
			for i := c; time.Now().Before(end); i += cfg.Callers {
				r.claim(ctx, i)
			}
		})
	}
}
