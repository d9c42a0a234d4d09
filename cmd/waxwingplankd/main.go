// Command waxwingplankd is the daemon that runs on each host.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"waxwingplank/internal/daemon/edge"
	"waxwingplank/internal/daemon/run"
	"waxwingplank/internal/daemon/settings"
	"waxwingplank/internal/daemon/signals"
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

func main() {
	stop, hangups := signals.Catch()
	os.Exit(start(stop, hangups))
}

// start runs the daemon until stop ends and returns the exit code of the process.
func start(stop context.Context, hangups <-chan os.Signal) int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitSettings
	}
	if opts.Entry {
		return startEntry(stop, hangups, opts)
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
	daemon.IgnoreHangups(hangups)
	return exitCode(daemon.Run(stop))
}

// exitCode prints the error, if any, and returns the exit code of the process.
func exitCode(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// startEntry runs an entry host of the users' platform until stop ends and returns the exit code of the process.
func startEntry(stop context.Context, hangups <-chan os.Signal, opts options) int {
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
	daemon.WatchSettings(stop, hangups, opts.Settings)
	return exitCode(daemon.Run(stop))
}
