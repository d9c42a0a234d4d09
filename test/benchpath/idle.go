package benchpath

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/daemon/documents"
	"waxwingplank/internal/platform/objectapi"
	"waxwingplank/test/system"
)

const (
	// The stated targets of a host for control.
	idleMemoryBound  = 32e6
	idlePercentBound = 3.3
	// Fourteen pipelines of three stages and two registries are 44 endpoints, next to today's 43.
	idlePipelines = 14
	idleSettle    = 5 * time.Second
	idleWindow    = 20 * time.Second
	adoptTimeout  = 10 * time.Second
)

// idleWorkspaces are today's number, two between, and the number in two years.
var idleWorkspaces = []int{10, 500, 2000, 4900}

// Idle measures the memory and processor time of a host without requests.
func Idle(ctx context.Context, cfg Config) error {
	sys := system.Config{Hosts: 1, Pipelines: idlePipelines, Step: cpuStep, Slots: 32}
	return inSystem(ctx, cfg, sys, func(ctx context.Context, s *system.System) error {
		for i, n := range idleWorkspaces {
			if err := applyWorkspaces(ctx, s, n, uint64(i+2)); err != nil {
				return err
			}
			if err := pause(ctx, idleSettle); err != nil {
				return err
			}
			if err := idleAt(ctx, cfg, s, n); err != nil {
				return err
			}
		}
		return nil
	})
}

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
	name := func(what string) string { return fmt.Sprintf("idle_%s_%d_workspaces", what, workspaces) }
	return cfg.write(
		figure{Name: name("memory"), Value: m.resident, Unit: "bytes"}.atMost(idleMemoryBound),
		figure{Name: name("memory_without_program"), Value: m.anonymous, Unit: "bytes"},
		figure{Name: name("cpu"), Value: percent, Unit: "percent of a core"}.atMost(idlePercentBound),
	)
}

// applyWorkspaces changes both documents to so many workspaces and waits until a host serves the last one.
func applyWorkspaces(ctx context.Context, s *system.System, n int, generation uint64) error {
	docs, err := s.Documents()
	if err != nil {
		return err
	}
	var spaces []document.Workspace
	for i := range n {
		spaces = append(spaces, document.Workspace{Name: workspace(i), Weight: 1})
	}
	api := objectapi.New(objectapi.Config{Address: s.Platform.Address(), Timeout: time.Second})
	defer api.Close()
	for _, d := range docs {
		if err := applyOne(ctx, api, d, spaces, generation); err != nil {
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

func applyOne(ctx context.Context, api *objectapi.Client, d document.Document, spaces []document.Workspace, generation uint64) error {
	cfg := document.Config{
		Service: string(d.Service()), Kind: d.Kind(), Owner: d.Owner(), Endpoints: d.Endpoints(), Workspaces: spaces,
		Kinds: d.Kinds(), Calls: d.Calls(), Limits: d.Limits(),
	}
	if m, ok := d.Model(); ok {
		cfg.Model = &m
	}
	changed, err := document.New(cfg)
	if err != nil {
		return eris.Wrap(err, "benchpath.applyOne")
	}
	value, err := changed.WithGeneration(generation).Canonical()
	if err != nil {
		return eris.Wrap(err, "benchpath.applyOne")
	}
	old, err := api.Get(ctx, documents.KindServices, string(d.Service()))
	if err != nil {
		return eris.Wrap(err, "benchpath.applyOne")
	}
	w := objectapi.Write{Kind: documents.KindServices, Name: string(d.Service()), Value: value, Expected: old.Version()}
	if _, err := api.Put(ctx, w); err != nil {
		return eris.Wrap(err, "benchpath.applyOne")
	}
	return nil
}
