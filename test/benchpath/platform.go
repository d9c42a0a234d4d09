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
	// Rates of the platform per second, as stated in the design. "Several hundred writes/s" is read as 300.
	platformReads  = 2000
	platformWrites = 300
	platformSettle = 5 * time.Second
	platformWindow = 20 * time.Second
	// loadInterval is the interval between rounds of a lookup, a registration and a short draft: 20 rounds per second,
	// to the hosts in turn.
	loadInterval = 50 * time.Millisecond
)

var platformHosts = []int{3, 8, 16}

// PlatformCalls counts the calls to the platform by kind, without and with a load of requests.
func PlatformCalls(ctx context.Context, cfg Config) error {
	for _, n := range platformHosts {
		sys := system.Config{
			Hosts: n, Pipelines: 2, Step: 5 * time.Millisecond, Slots: 128,
			ReadsPerSecond: platformReads, WritesPerSecond: platformWrites,
		}
		err := withSystem(ctx, cfg, sys, func(ctx context.Context, s *system.System) error {
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
			_, _ = fmt.Fprintf(cfg.Log, "platform_calls: %d hosts, %d requests answered, %d failed\n", n, load.answered.Load(), load.failed.Load())
			return nil
		})
		if err != nil {
			return eris.Wrapf(err, "%d hosts", n)
		}
	}
	return nil
}

// countCalls counts the calls during the window and writes one figure per kind, then the totals and the
// processor time of the hosts.
func countCalls(ctx context.Context, cfg Config, s *system.System, when string) error {
	if err := clearCalls(ctx, s.Platform.Address()); err != nil {
		return err
	}
	start := time.Now()
	used, err := processorTimeByHost(s, func() error { return pause(ctx, platformWindow) })
	if err != nil {
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
	cpu := func(kind string, used time.Duration) figure {
		return figure{
			Name:  fmt.Sprintf("platform_%s_%d_hosts_cpu_%s", when, hosts, kind),
			Value: 100 * used.Seconds() / platformWindow.Seconds(), Unit: "percent of a core",
		}
	}
	return cfg.write(total("reads", reads, platformReads), total("writes", writes, platformWrites),
		cpu("lowest", used[0]), cpu("median", used[hosts/2]), cpu("highest", used[hosts-1]))
}

// processorTimeByHost returns the processor time of each host while f runs, in ascending order.
func processorTimeByHost(s *system.System, f func() error) ([]time.Duration, error) {
	before := make([]time.Duration, len(s.Hosts))
	for i, h := range s.Hosts {
		var err error
		if before[i], err = processorTime(h.PID()); err != nil {
			return nil, err
		}
	}
	if err := f(); err != nil {
		return nil, err
	}
	used := make([]time.Duration, len(s.Hosts))
	for i, h := range s.Hosts {
		after, err := processorTime(h.PID())
		if err != nil {
			return nil, err
		}
		used[i] = after - before[i]
	}
	slices.Sort(used)
	return used, nil
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

// load sends a lookup, a registration and a short draft per round to the hosts in turn.
type load struct {
	answered, failed atomic.Int64
	wg               sync.WaitGroup
}

func startLoad(ctx context.Context, s *system.System) *load {
	l := &load{}
	l.wg.Go(func() {
		ticker := time.NewTicker(loadInterval)
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
