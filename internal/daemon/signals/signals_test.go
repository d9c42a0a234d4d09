package signals

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a signal that ends the process, with its requests, before or after the one that starts the stop. The test
// process itself would end.
func TestNoSignalEndsTheProcess(t *testing.T) {
	is := is.New(t)
	stop, hangups := Catch()
	send := func(signals ...syscall.Signal) {
		for _, s := range signals {
			is.NoErr(syscall.Kill(os.Getpid(), s))
		}
	}
	received := func() {
		select {
		case <-hangups:
		case <-time.After(10 * time.Second):
			t.Fatal("SIGHUP not received")
		}
	}
	send(syscall.SIGHUP)
	received()
	send(syscall.SIGPIPE)
	is.NoErr(stop.Err())
	send(syscall.SIGTERM)
	<-stop.Done()
	for range 3 {
		send(syscall.SIGTERM, syscall.SIGINT, syscall.SIGPIPE, syscall.SIGHUP)
		received()
	}
}
