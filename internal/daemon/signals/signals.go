package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Catch returns a context that ends with the first SIGTERM or SIGINT, and a channel that receives SIGHUP. Signals that
// arrive while one is waiting in the channel are dropped. From then on none of these signals ends the process by its
// default action, nor does SIGPIPE, which a write to a closed standard output raises. The daemon's stop lasts until its
// last request has ended, so they are never released.
func Catch() (stop context.Context, hangups <-chan os.Signal) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	// A write then fails with EPIPE. Nothing reads the channel.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	stop, cancel := context.WithCancel(context.Background())
	go func() {
		<-terminate
		cancel()
	}()
	return stop, hangup
}
