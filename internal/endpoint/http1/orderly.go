package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// orderlyConn is a connection whose Read returns io.EOF only if the peer has ended its direction in order. The kernel reports a reset
// once, to the first read or write that asks; after a write that got it, a read sees what looks like an end.
//
// One goroutine may read beside one that writes.
type orderlyConn struct {
	net.Conn

	mu sync.Mutex
	// tls is true if the end in order is the close_notify alert of TLS, after which nothing is read.
	tls bool
	// failure is the first error of a read or a write that shows that the connection has failed.
	failure error
	// writing is true during a write. interrupted, if not nil, is closed when that write has returned.
	writing     bool
	interrupted chan struct{}
	// writeDeadline is the one to restore after an interruption.
	writeDeadline time.Time
}

// errNoAlert is the error of a TLS connection that ended without an alert, which crypto/tls takes for an end in order.
var errNoAlert = fmt.Errorf("http1: no close_notify alert: %w", io.ErrUnexpectedEOF)

// carryTLS sets that the connection carries TLS, whose handshake is complete.
func (c *orderlyConn) carryTLS() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tls = true
}

// Read implements net.Conn.
func (c *orderlyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		err = c.readError(err)
	}
	return n, err
}

// readError returns the error of a read, given what is known of the connection.
func (c *orderlyConn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, io.EOF) && c.writing {
		c.interruptWrite()
	}
	if errors.Is(err, io.EOF) && c.tls {
		err = errNoAlert
	}
	c.record(err)
	if c.failure != nil {
		return c.failure
	}
	return err
}

// interruptWrite lets a write that waits for the peer return, so that a reset that it has got is known. The caller holds mu, which is
// released meanwhile.
func (c *orderlyConn) interruptWrite() {
	done := make(chan struct{})
	c.interrupted = done
	// It fails only if the connection is closed, which ends the write, too.
	_ = c.Conn.SetWriteDeadline(pastTime) //nolint:errcheck // see above
	c.mu.Unlock()
	<-done
	c.mu.Lock()
}

// Write implements net.Conn.
func (c *orderlyConn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.mu.Lock()
		c.writing = true
		c.mu.Unlock()
		n, err := c.Conn.Write(p[written:])
		written += n
		if !c.endWrite(err) {
			return written, err
		}
	}
}

// endWrite records how a write ended and reports whether it was interrupted and has to go on.
func (c *orderlyConn) endWrite(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.record(err)
	if c.interrupted == nil {
		return false
	}
	close(c.interrupted)
	c.interrupted = nil
	restored := c.Conn.SetWriteDeadline(c.writeDeadline) == nil
	return restored && errors.Is(err, os.ErrDeadlineExceeded)
}

// SetWriteDeadline implements net.Conn.
func (c *orderlyConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	if c.interrupted != nil {
		return nil // set at the end of the interruption
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *orderlyConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// record keeps the first error that shows that the connection has failed. EPIPE does not: a write gets it if the peer refuses bytes
// after it has ended its direction in order, or after the failure was reported to a read. The caller holds mu.
func (c *orderlyConn) record(err error) {
	if c.failure == nil && isConnectionFailure(err) && !errors.Is(err, syscall.EPIPE) {
		c.failure = err
	}
}

// isConnectionFailure reports whether err is that of a connection which failed, and was not ended by this process.
func isConnectionFailure(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}
