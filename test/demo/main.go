// Command demo runs a small system of separate processes on the loopback interface. It streams a label
// draft, registers a lot code, checks both responses and drains every host.
//
// It exits with status 0 only if both responses were correct and every host drained.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"waxwingplank/test/system"
)

// runTimeout is the time limit of the demo without --serve.
const runTimeout = 60 * time.Second

// serveTimeout is the longest time that --serve keeps the system running.
const serveTimeout = 10 * time.Minute

const draftTokens = 40

type options struct {
	Serve bool `long:"serve" description:"keep the system running for up to 10 minutes, or until interrupted"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	timeout := runTimeout
	if opts.Serve {
		timeout += serveTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	exe, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find the directory of the executables")
	}
	dir, err := os.MkdirTemp("", "waxwingplank-demo-")
	if err != nil {
		return eris.Wrap(err, "create a directory for logs and settings")
	}
	fmt.Println("logs and settings:", dir)
	s, err := system.Start(ctx, system.Config{
		Bin: filepath.Dir(exe), Dir: dir, Hosts: 3, Pipelines: 2, Step: 5 * time.Millisecond, Slots: 8,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Printf("started 1 platform, %d engines, %d plain services, %d hosts\n", len(s.Engines), len(s.Plain), len(s.Hosts))
	steps := []func(context.Context, *system.System) error{draft, register, lookup}
	if opts.Serve {
		steps = append(steps, serve)
	}
	steps = append(steps, stop)
	for _, step := range steps {
		if err := step(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// serviceAddress asks a host for an address that serves the service.
func serviceAddress(ctx context.Context, s *system.System, service string) (string, error) {
	var answer struct {
		Addresses []struct{ Address string }
	}
	if err := system.Get(ctx, s.Hosts[1].Caller, "/v1/addresses?service="+service, &answer); err != nil {
		return "", err
	}
	if len(answer.Addresses) == 0 {
		return "", eris.Errorf("no address for %s", service)
	}
	return answer.Addresses[0].Address, nil
}

func draft(ctx context.Context, s *system.System) error {
	to, err := serviceAddress(ctx, s, system.Drafts)
	if err != nil {
		return err
	}
	prompt := "Declare the species of lot 4711, hake, Valparaiso."
	got := system.Draft(ctx, to, system.DraftConfig{
		Prompt: prompt, MaxTokens: draftTokens, Workspace: "exporter-a", Kind: "declaration",
	})
	if err := got.Check(prompt, 0, draftTokens); err != nil {
		return eris.Wrap(err, "label draft")
	}
	fmt.Printf("label draft: %d tokens in order from %s, first after %s\n", len(got.Tokens), to, got.FirstAt.Round(time.Millisecond))
	return nil
}

func register(ctx context.Context, s *system.System) error {
	call := system.CallConfig{
		Method: http.MethodPost, Service: system.Registry, Path: "registrations", Workspace: "exporter-a",
		Key: system.NewKey("lot-4711"), Body: `{"lot":"4711"}`,
	}
	for i, h := range s.Hosts {
		call.Resend = i > 0
		got, err := system.Call(ctx, h.Caller, call)
		if err != nil {
			return eris.Wrap(err, "registration")
		}
		if got.Status != http.StatusOK || got.Recorded != (i > 0) {
			return eris.Errorf("registration through %s: status %d, recorded %t: %s", h.ID, got.Status, got.Recorded, got.Body)
		}
	}
	runs := 0
	for _, p := range s.Plain {
		var all struct {
			Executions []struct{ Key string }
		}
		if err := system.Get(ctx, p.Address(), "/standin/executions", &all); err != nil {
			return err
		}
		for _, e := range all.Executions {
			if e.Key == call.Key {
				runs++
			}
		}
	}
	if runs != 1 {
		return eris.Errorf("registration executed %d times instead of once", runs)
	}
	fmt.Printf("registration: sent through %d hosts with one key, executed once, same response each time\n", len(s.Hosts))
	return nil
}

func lookup(ctx context.Context, s *system.System) error {
	to, err := serviceAddress(ctx, s, system.Registry)
	if err != nil {
		return err
	}
	got, err := system.Call(ctx, to, system.CallConfig{
		Method: http.MethodGet, Service: system.Registry, Path: "lots/4711", Workspace: "exporter-a",
	})
	if err != nil || got.Status != http.StatusOK {
		return eris.Errorf("lookup: status %d, %v: %s", got.Status, err, got.Body)
	}
	if !json.Valid([]byte(got.Body)) {
		return eris.Errorf("lookup: response is not JSON: %q", got.Body)
	}
	fmt.Println("lookup: response received")
	return nil
}

// serve keeps the system running for manual requests.
func serve(ctx context.Context, s *system.System) error {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	for _, h := range s.Hosts {
		fmt.Printf("%s: callers http://%s, operators http://%s, settings %s\n", h.ID, h.Caller, h.Operator, h.Settings())
	}
	select {
	case <-ctx.Done():
	case <-time.After(serveTimeout):
	}
	return nil
}

func stop(ctx context.Context, s *system.System) error {
	var group errgroup.Group
	for _, h := range s.Hosts {
		group.Go(func() error { return eris.Wrapf(h.Stop(ctx), "stop %s", h.ID) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Println("stop: every host drained and exited")
	return nil
}
