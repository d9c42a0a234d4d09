// Command demo runs a small system of separate processes on loopback, has a label draft streamed and a
// lot code registered, checks both answers, and stops every host.
//
// It exits 0 only where both answers were right and every host drained.
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

	"waxwingplank/test/system"
)

// runTimeout bounds the whole demo.
const runTimeout = 60 * time.Second

// serveTimeout bounds how long --serve keeps the system running.
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
		return eris.Wrap(err, "find the programs")
	}
	dir, err := os.MkdirTemp("", "waxwingplank-demo-")
	if err != nil {
		return eris.Wrap(err, "make a folder for logs")
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

// address asks a host which one to use.
func address(ctx context.Context, s *system.System, service string) (string, error) {
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
	to, err := address(ctx, s, system.Drafts)
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
		return eris.Errorf("the registration ran %d times", runs)
	}
	fmt.Printf("registration: sent through %d hosts with one key, ran once, the same answer each time\n", len(s.Hosts))
	return nil
}

func lookup(ctx context.Context, s *system.System) error {
	to, err := address(ctx, s, system.Registry)
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
		return eris.Errorf("lookup: answer %q", got.Body)
	}
	fmt.Println("lookup: answered")
	return nil
}

// serve keeps the system running, for trying requests by hand.
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
	for _, h := range s.Hosts {
		if err := h.Stop(ctx); err != nil {
			return eris.Wrapf(err, "stop %s", h.ID)
		}
	}
	fmt.Println("stop: every host drained and ended")
	return nil
}
