// Command waxwingplankd is the daemon that runs on each host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"waxwingplank/internal/daemon/edge"
	"waxwingplank/internal/daemon/run"
	"waxwingplank/internal/daemon/settings"
	"waxwingplank/platform"
)

// Exit codes of the daemon.
const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file in JSON with comments"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Entry    bool   `long:"entry" description:"serve as an entry host of the users' platform; the settings file is that of docs/OPERATIONS.md"`
}

func main() { os.Exit(start()) }

func start() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitSettings
	}
	if opts.Entry {
		return startEntry(opts)
	}
	set, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if opts.Check {
		return 0
	}
	daemon, err := run.New(run.Config{Settings: set, Log: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return exitCode(daemon.Run(ctx))
}

// exitCode prints the error, if any, and returns the exit code of the process.
func exitCode(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// startEntry runs an entry host of the users' platform and returns the exit code of the process.
func startEntry(opts options) int {
	set, err := edge.LoadSettings(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if opts.Check {
		return 0
	}
	daemon, err := edge.New(edge.Config{
		Settings: set, Platform: platform.Platform{}, Store: platform.NewStore(set.StoreAddress()),
		Workers: platform.NewWorkers(), Log: os.Stdout,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	daemon.WatchSettings(ctx, opts.Settings)
	return exitCode(daemon.Run(ctx))
}
