package benchpath

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/test/system"
)

const (
	// The stated rates of the platform; several hundred writes/s are taken as 300.
	platformReads  = 2000
	platformWrites = 300
	platformSettle = 5 * time.Second
	platformWindow = 20 * time.Second
	// loadEvery is one round of a lookup, a registration and a short draft on every host: 20 rounds a second.
	loadEvery = 50 * time.Millisecond
)

var platformHosts = []int{3, 8, 16}

// PlatformCalls counts the calls on the platform by kind, without requests and with them.
func PlatformCalls(ctx context.Context, cfg Config) error {
	for _, n := range platformHosts {
		sys := system.Config{
			Hosts: n, Pipelines: 2, Step: 5 * time.Millisecond, Slots: 128,
			ReadsPerSecond: platformReads, WritesPerSecond: platformWrites,
		}
		err := inSystem(ctx, cfg, sys, func(ctx context.Context, s *system.System) error {
			if err := pause(ctx, platformSettle); err != nil {
				return err
			}
			if err := countCalls(ctx, cfg, s, "idle"); err != nil {
				return err
			}
			loadCtx, stop := context.WithCancel(ctx)
			load := startLoad(loadCtx, s)
			defer load.wait()
			defer stop()
			if err := countCalls(ctx, cfg, s, "load"); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cfg.Log, "platform_calls: %d hosts, %d requests answered, %d not\n", n, load.answered.Load(), load.failed.Load())
			return nil
		})
		if err != nil {
			return eris.Wrapf(err, "%d hosts", n)
		}
	}
	return nil
}

// countCalls counts for the window and writes one figure a kind.
func countCalls(ctx context.Context, cfg Config, s *system.System, when string) error {
	if err := clearCalls(ctx, s.Platform.Address()); err != nil {
		return err
	}
	start := time.Now()
	if err := pause(ctx, platformWindow); err != nil {
		return err
	}
	var counts map[string]int
	if err := system.Get(ctx, s.Platform.Address(), "/standin/calls", &counts); err != nil {
		return err
	}
	seconds, hosts := time.Since(start).Seconds(), len(s.Hosts)
	reads, writes := 0, 0
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		if strings.HasPrefix(kind, "put") || strings.HasPrefix(kind, "delete") {
			writes += counts[kind]
		} else {
			reads += counts[kind]
		}
		f := figure{
			Name:  fmt.Sprintf("platform_%s_%d_hosts_%s", when, hosts, strings.ReplaceAll(kind, " ", "_")),
			Value: float64(counts[kind]) / seconds / float64(hosts), Unit: "calls/s a host",
		}
		if err := cfg.write(f); err != nil {
			return err
		}
	}
	total := func(kind string, n int, bound float64) figure {
		return figure{
			Name: fmt.Sprintf("platform_%s_%d_hosts_all_%s", when, hosts, kind), Value: float64(n) / seconds, Unit: "calls/s",
		}.atMost(bound)
	}
	return cfg.write(total("reads", reads, platformReads), total("writes", writes, platformWrites))
}

func clearCalls(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/standin/calls", nil)
	if err != nil {
		return eris.Wrap(err, "benchpath.clearCalls")
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "benchpath.clearCalls")
	}
	return resp.Body.Close()
}

// load sends a lookup, a registration and a short draft to every host in turn.
type load struct {
	answered, failed atomic.Int64
	wg               sync.WaitGroup
}

func startLoad(ctx context.Context, s *system.System) *load {
	l := &load{}
	l.wg.Go(func() {
		ticker := time.NewTicker(loadEvery)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			l.round(ctx, s.Hosts[i%len(s.Hosts)].Caller, i)
		}
	})
	return l
}

func (l *load) wait() { l.wg.Wait() }

func (l *load) round(ctx context.Context, to string, i int) {
	l.send(ctx, func() error {
		return answered(system.Call(ctx, to, system.CallConfig{
			Method: http.MethodGet, Service: system.Registry, Path: fmt.Sprint("lots/", i), Workspace: "plant-b",
		}))
	})
	l.send(ctx, func() error {
		return answered(system.Call(ctx, to, system.CallConfig{
			Method: http.MethodPost, Service: system.Registry, Path: "registrations", Workspace: "plant-b",
			Key: system.NewKey(fmt.Sprint("bench-", i)), Body: fmt.Sprintf(`{"lot":"%d"}`, i),
		}))
	})
	l.send(ctx, func() error {
		return system.Draft(ctx, to, system.DraftConfig{Prompt: prompt(i), MaxTokens: 20, Workspace: "plant-b"}).Err
	})
}

func (l *load) send(ctx context.Context, f func() error) {
	l.wg.Go(func() {
		switch err := f(); {
		case err == nil:
			l.answered.Add(1)
		case ctx.Err() == nil:
			l.failed.Add(1)
		}
	})
}

func answered(got system.CallResult, err error) error {
	if err == nil && got.Status != http.StatusOK {
		return eris.Errorf("status %d: %s", got.Status, got.Code)
	}
	return err
}
