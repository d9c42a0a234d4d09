package tcp

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// drainTime is how long a listener that closes waits for a connection that may be in its queue.
	drainTime = 100 * time.Millisecond
	// maxDrainTime bounds the time in which callers that connect one after the other keep a listener open.
	maxDrainTime = time.Second
	// lastAcceptTime replaces drainTime after maxDrainTime: what is in the queue is still accepted, for maxDrainTime at most.
	lastAcceptTime = 200 * time.Microsecond
)

// Listener can stop listening without cutting off connections that callers have established already.
type Listener struct {
	*net.TCPListener
	// end is the latest end of draining, or nil while the listener is not drained.
	end *atomic.Pointer[time.Time]
}

// Listen opens a listener on host:port with the socket options of the configuration.
func Listen(ctx context.Context, config net.ListenConfig, address string) (Listener, error) {
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return Listener{}, eris.Wrapf(err, "tcp.Listen %s", address)
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return Listener{}, eris.Errorf("tcp.Listen %s: no TCP listener", address)
	}
	return Listener{TCPListener: t, end: &atomic.Pointer[time.Time]{}}, nil
}

// Drain accepts the connections that are waiting and closes the listener. A later attempt to connect fails at once, so
// that the caller uses another host.
func (l Listener) Drain() error {
	now := time.Now()
	end := now.Add(maxDrainTime)
	l.end.Store(&end)
	return l.SetDeadline(now)
}

// Accept implements net.Listener. It returns net.ErrClosed once the listener is drained: the queue is empty when an
// accept that began after the deadline of Drain has waited for drainTime.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	end := l.end.Load()
	if end == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return c, err
	}
	for last := false; !last && time.Since(*end) < maxDrainTime; {
		began := time.Now()
		wait := drainTime
		if last = began.After(*end); last {
			wait = lastAcceptTime
		}
		if err := l.SetDeadline(began.Add(wait)); err != nil {
			return nil, err
		}
		c, err := l.TCPListener.Accept()
		if err == nil {
			// The next call looks at the queue again.
			return c, l.SetDeadline(began)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if time.Since(began) < 2*wait {
			break
		}
		// The goroutine was not scheduled for so long that the deadline may have passed before it called accept.
	}
	return nil, net.ErrClosed
}
