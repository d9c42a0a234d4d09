// Command bench runs all measurements, or the selected one, and prints one JSON line per figure.
//
// The exit code reports whether the measurements ran. It does not depend on whether figures keep their bounds.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"waxwingplank/test/benchclaims"
	"waxwingplank/test/benchfleet"
	"waxwingplank/test/benchload"
	"waxwingplank/test/benchmembers"
	"waxwingplank/test/benchpath"
	"waxwingplank/test/benchprocess"
	"waxwingplank/test/benchrecovery"
)

// claimLoad is the duration of each claims load. It is much longer than the flush interval of 160 ms and the wait
// in the queue of the store.
const claimLoad = 10 * time.Second

// options are the command-line flags.
type options struct {
	Name string `long:"name" description:"run only this measurement"`
	List bool   `long:"list" description:"list the measurements and stop"`
	Bin  string `long:"bin" description:"folder with the built programs; that of this program by default"`
	Seed uint64 `long:"seed" default:"1" description:"seed of the simulated measurements"`

	CopyServer bool `long:"copy-server" hidden:"true" description:"serve as the baseline of the processor time of a token"`
}

// measurement is one selectable measurement. run writes its figures as JSON lines.
type measurement struct {
	name  string
	about string
	run   func(ctx context.Context, out io.Writer, o options) error
}

var measurements = []measurement{
	{"latency", "latency that a host adds to a lookup and to a first token", path(benchpath.Latency)},
	{"token_cpu", "processor time of a host for one streamed token", path(benchpath.TokenCPU)},
	{"decision", "one routing decision from 50 to 1,100 workers and 10 to 4,900 workspaces", path(benchpath.Decision)},
	{"idle", "memory and processor time of an idle host", path(benchpath.Idle)},
	{"platform_calls", "calls on the platform at 3, 8 and 16 hosts", path(benchpath.PlatformCalls)},
	{"claims", "at-most-once claims", claims},
	{"policy", "useful work when capacity is short, and one routing decision", policy},
	{"members", "membership, relays and adoption of changes from 8 to 410 hosts", members},
	{"fleet", "bytes and processor time of endpoint owners from 8 to 410 hosts", fleet},
	{"process", "recovery, documents and addresses on separate processes", process},
	{"recovery", "time from a fault to the next token, within one process", recovery},
}

func fleet(_ context.Context, out io.Writer, _ options) error {
	return benchfleet.Run(benchfleet.Config{Out: out})
}

func process(ctx context.Context, out io.Writer, o options) error {
	return benchprocess.Run(ctx, out, o.Bin)
}

// path adapts a measurement of package benchpath.
func path(f func(context.Context, benchpath.Config) error) func(context.Context, io.Writer, options) error {
	return func(ctx context.Context, out io.Writer, o options) error {
		return f(ctx, benchpath.Config{Bin: o.Bin, Seed: o.Seed, Out: out, Log: os.Stderr})
	}
}

func claims(ctx context.Context, out io.Writer, _ options) error {
	return benchclaims.Run(ctx, out, claimLoad)
}

func policy(_ context.Context, out io.Writer, o options) error {
	return benchload.Run(benchload.Config{Seed: o.Seed, Table: os.Stderr, Lines: out})
}

func members(_ context.Context, out io.Writer, _ options) error {
	return benchmembers.Run(out, "")
}

func recovery(ctx context.Context, out io.Writer, _ options) error {
	return benchrecovery.Run(ctx, out, benchrecovery.Config{})
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options, out io.Writer) error {
	if o.List {
		return list(out)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.CopyServer {
		return benchpath.ServeCopy(ctx, out)
	}
	if o.Bin == "" {
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("bench: find the built programs: %w", err)
		}
		o.Bin = filepath.Dir(self)
	}
	found := false
	for _, m := range measurements {
		if o.Name != "" && o.Name != m.name {
			continue
		}
		found = true
		if err := m.run(ctx, out, o); err != nil {
			return fmt.Errorf("bench: %s: %w", m.name, err)
		}
	}
	if !found {
		return fmt.Errorf("bench: no measurement is named %q; --list shows them", o.Name)
	}
	return nil
}

func list(out io.Writer) error {
	for _, m := range measurements {
		if _, err := fmt.Fprintf(out, "%-16s %s\n", m.name, m.about); err != nil {
			return fmt.Errorf("bench: list: %w", err)
		}
	}
	return nil
}
