package benchpath

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/daemon/documents"
	"waxwingplank/internal/platform/objectapi"
	"waxwingplank/test/system"
)

const (
	// Upper bounds of a host's control work, as stated in the design: memory in bytes and percent of a core.
	idleMemoryBound  = 32e6
	idlePercentBound = 3.3
	idleSettle       = 5 * time.Second
	idleWindow       = 20 * time.Second
	adoptTimeout     = 10 * time.Second
)

// idleSizes lists the measured sizes. The number of pipelines of three stages grows first, then the number of
// workspaces. Fourteen pipelines and two registries are 44 endpoints, close to today's 43.
var idleSizes = []struct {
	pipelines  int
	workspaces []int
}{
	{2, []int{10}},
	{7, []int{10}},
	{14, []int{10, 500, 2000, 4900}},
}

// Idle measures the memory and processor time of a host without requests.
func Idle(ctx context.Context, cfg Config) error {
	for _, size := range idleSizes {
		sys := system.Config{Hosts: 1, Pipelines: size.pipelines, Step: cpuStep, Slots: 32}
		err := withSystem(ctx, cfg, sys, func(ctx context.Context, s *system.System) error {
			return idleSystem(ctx, cfg, s, size.workspaces)
		})
		if err != nil {
			return eris.Wrapf(err, "%d pipelines", size.pipelines)
		}
	}
	return nil
}

func idleSystem(ctx context.Context, cfg Config, s *system.System, workspaces []int) error {
	for i, n := range workspaces {
		if err := applyWorkspaces(ctx, s, n, uint64(i+2)); err != nil {
			return err
		}
		if err := pause(ctx, idleSettle); err != nil {
			return err
		}
		if err := idleAt(ctx, cfg, s, n); err != nil {
			return err
		}
		if err := operatorAt(ctx, cfg, s, n); err != nil {
			return err
		}
	}
	return nil
}

// operatorCalls is large enough to use many clock ticks of processor time, the resolution of /proc.
const operatorCalls = 400

// operatorAt measures the processor time and bytes of a host per operator call that reads a document or the status.
func operatorAt(ctx context.Context, cfg Config, s *system.System, workspaces int) error {
	for _, p := range []struct{ name, path string }{{"document", "/v1/services/" + system.Drafts}, {"status", "/v1/status"}} {
		size := int64(0)
		used, _, err := processorTimeOf(s.Hosts[0].PID(), func() error {
			for range operatorCalls {
				var err error
				if size, err = fetch(ctx, "http://"+s.Hosts[0].Operator+p.path); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		endpoints := len(s.Engines) + len(s.Plain)
		name := fmt.Sprintf("operator_%s_%%s_%d_endpoints_%d_workspaces", p.name, endpoints, workspaces)
		err = cfg.write(
			figure{Name: fmt.Sprintf(name, "cpu"), Value: float64(used.Microseconds()) / operatorCalls, Unit: "us a call"},
			figure{Name: fmt.Sprintf(name, "bytes"), Value: float64(size), Unit: "bytes a call"},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// fetch reads a complete response and returns the size of its body in bytes.
func fetch(ctx context.Context, url string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, eris.Wrap(err, "benchpath.fetch")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "benchpath.fetch")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("benchpath.fetch: %s: %s", url, resp.Status)
	}
	return io.Copy(io.Discard, resp.Body)
}

// idleAt measures the memory and processor time of a host during the idle window.
func idleAt(ctx context.Context, cfg Config, s *system.System, workspaces int) error {
	pid := s.Hosts[0].PID()
	before, err := processorTime(pid)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := pause(ctx, idleWindow); err != nil {
		return err
	}
	after, err := processorTime(pid)
	if err != nil {
		return err
	}
	percent := 100 * (after - before).Seconds() / time.Since(start).Seconds()
	m, err := memoryOf(pid)
	if err != nil {
		return err
	}
	endpoints := len(s.Engines) + len(s.Plain)
	name := func(what string) string {
		return fmt.Sprintf("idle_%s_%d_endpoints_%d_workspaces", what, endpoints, workspaces)
	}
	return cfg.write(
		figure{Name: name("memory"), Value: m.resident, Unit: "bytes"}.atMost(idleMemoryBound),
		figure{Name: name("memory_without_program"), Value: m.anonymous, Unit: "bytes"},
		figure{Name: name("cpu"), Value: percent, Unit: "percent of a core"}.atMost(idlePercentBound),
	)
}

// applyWorkspaces updates both documents to n workspaces and waits until the first host serves the last one.
func applyWorkspaces(ctx context.Context, s *system.System, n int, generation uint64) error {
	docs, err := s.Documents()
	if err != nil {
		return err
	}
	var workspaces []document.Workspace
	for i := range n {
		workspaces = append(workspaces, document.Workspace{Name: workspace(i), Weight: 1})
	}
	api := objectapi.New(objectapi.Config{Address: s.Platform.Address(), Timeout: time.Second})
	defer api.Close()
	for _, d := range docs {
		if err := applyDocument(ctx, api, d, workspaces, generation); err != nil {
			return err
		}
	}
	last := system.CallConfig{Method: http.MethodGet, Service: system.Registry, Path: "lots/0", Workspace: workspace(n - 1)}
	return system.WaitFor(ctx, adoptTimeout, func() error {
		got, err := system.Call(ctx, s.Hosts[0].Caller, last)
		if err == nil && got.Status != http.StatusOK {
			err = eris.Errorf("lookup: status %d", got.Status)
		}
		return err
	})
}

func workspace(i int) string { return fmt.Sprintf("workspace-%04d", i) }

// applyDocument writes a document with the given workspaces and generation to the object API.
func applyDocument(ctx context.Context, api *objectapi.Client, d document.Document, workspaces []document.Workspace, generation uint64) error {
	cfg := document.Config{
		Service: string(d.Service()), Kind: d.Kind(), Owner: d.Owner(), Endpoints: d.Endpoints(), Workspaces: workspaces,
		Kinds: d.Kinds(), Calls: d.Calls(), Limits: d.Limits(),
	}
	if m, ok := d.Model(); ok {
		cfg.Model = &m
	}
	changed, err := document.New(cfg)
	if err != nil {
		return eris.Wrap(err, "benchpath.applyDocument")
	}
	value, err := changed.WithGeneration(generation).Canonical()
	if err != nil {
		return eris.Wrap(err, "benchpath.applyDocument")
	}
	old, err := api.Get(ctx, documents.KindServices, string(d.Service()))
	if err != nil {
		return eris.Wrap(err, "benchpath.applyDocument")
	}
	w := objectapi.Write{Kind: documents.KindServices, Name: string(d.Service()), Value: value, Expected: old.Version()}
	if _, err := api.Put(ctx, w); err != nil {
		return eris.Wrap(err, "benchpath.applyDocument")
	}
	return nil
}
