package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/connection"
)

const (
	// expireInterval is how late a timeout may be enforced, a fraction of the shortest ones that are configured.
	expireInterval = 50 * time.Millisecond
	// logInterval bounds the log lines about closed connections, of which hostile callers may cause thousands in a second.
	logInterval = time.Second
	// refusalWriteTimeout bounds the sending of a refusal. It fits into the empty send buffer of a connection, so that it waits for
	// nothing as a rule.
	refusalWriteTimeout = 100 * time.Millisecond
	refusal             = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// errRefused is the error of a connection whose head is too large.
var errRefused = errors.New("request head too large")

// Guard limits the heads and the number of the connections of all listeners of a process.
type Guard struct {
	mu      sync.Mutex
	limiter *connection.Limiter
	conns   map[connection.ID]*Conn
	closed  map[connection.Cause]int64
}

// NewGuard returns a guard with the given limits.
func NewGuard(limits connection.Limits) *Guard {
	return &Guard{limiter: connection.NewLimiter(limits), conns: map[connection.ID]*Conn{}, closed: map[connection.Cause]int64{}}
}

// Stats are the counters of a guard.
type Stats struct {
	// Open is the number of open connections, and HeadMemoryBytes the memory of unfinished heads.
	Open            int
	HeadMemoryBytes int64
	// Closed is how many connections were closed for each cause.
	Closed map[connection.Cause]int64
}

// Stats returns the counters.
func (g *Guard) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Stats{Open: g.limiter.Count(), HeadMemoryBytes: g.limiter.HeadMemory(), Closed: map[connection.Cause]int64{}}
	for _, cause := range connection.Causes() {
		s.Closed[cause] = g.closed[cause]
	}
	return s
}

// SetLimits sets the limits for all connections.
func (g *Guard) SetLimits(limits connection.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetLimits(limits)
}

// ListenerConfig describes a guarded listener.
type ListenerConfig struct {
	Listener net.Listener
	// TLS is true if the connections carry TLS, which a listener around the guarded one handles.
	TLS bool
	// Reserved is true for checks and operators, whose connections are accepted even if the callers' requests use all others.
	Reserved bool
}

// Listener returns a listener whose connections the guard limits. The server that accepts them must report their states to
// ConnState.
func (g *Guard) Listener(cfg ListenerConfig) net.Listener {
	return guardedListener{Listener: cfg.Listener, guard: g, options: connection.Options{Opaque: cfg.TLS, Reserved: cfg.Reserved}}
}

type guardedListener struct {
	net.Listener
	guard   *Guard
	options connection.Options
}

// Accept implements net.Listener.
func (l guardedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, guard: l.guard}
	var closures []connection.Closure
	l.guard.mu.Lock()
	c.id, closures = l.guard.limiter.Open(time.Now(), l.options)
	l.guard.conns[c.id] = c
	closing := l.guard.take(closures)
	l.guard.mu.Unlock()
	closeAll(closing)
	return c, nil
}

// ConnState implements the hook of http.Server.
func (g *Guard) ConnState(nc net.Conn, state http.ConnState) {
	// Connections of package tls have what they wrap.
	if wrapped, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapped.NetConn()
	}
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive:
		g.limiter.Served(c.id, time.Now())
	case http.StateIdle:
		g.limiter.Finished(c.id, time.Now())
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Run closes connections whose time is over and logs what was closed, until ctx ends.
func (g *Guard) Run(ctx context.Context, log logrus.FieldLogger) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	logged, before := time.Now(), g.Stats().Closed
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.mu.Lock()
		closing := g.take(g.limiter.Expire(now))
		g.mu.Unlock()
		closeAll(closing)
		if now.Sub(logged) >= logInterval {
			logged, before = now, logClosed(log, g.Stats(), before)
		}
	}
}

// logClosed logs how many connections were closed since the counters before, and returns the present ones. Idle connections that are
// closed after their time are nothing that operators need to know.
func logClosed(log logrus.FieldLogger, stats Stats, before map[connection.Cause]int64) map[connection.Cause]int64 {
	fields := logrus.Fields{}
	for _, cause := range connection.Causes() {
		if n := stats.Closed[cause] - before[cause]; n > 0 && cause != connection.IdleTimeout {
			fields[string(cause)] = n
		}
	}
	if len(fields) > 0 {
		fields["open"], fields["head_memory_bytes"] = stats.Open, stats.HeadMemoryBytes
		log.WithFields(fields).Warn("connections closed")
	}
	return stats.Closed
}

// take counts closures and returns the connections to close. The caller holds the lock.
func (g *Guard) take(closures []connection.Closure) []*Conn {
	var out []*Conn
	for _, x := range closures {
		if x.Cause != "" {
			g.closed[x.Cause]++
		}
		if x.Cause == connection.HeadTooLarge {
			continue // the connection's reader sends the refusal
		}
		out = append(out, g.conns[x.ID])
		delete(g.conns, x.ID)
	}
	return out
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		_ = c.Conn.Close() // the server may have closed it already
	}
}

// Conn is a connection that a guard limits.
type Conn struct {
	net.Conn
	guard *Guard
	id    connection.ID
	// refused is true once the head was too large.
	refused atomic.Bool
}

// Read implements net.Conn. It ends with an error once the head is too large.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, c.readError()
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.guard.mu.Lock()
	closures := c.guard.limiter.Received(c.id, p[:n], time.Now())
	closing := c.guard.take(closures)
	c.guard.mu.Unlock()
	closeAll(closing)
	for _, x := range closures {
		if x.ID == c.id && x.Cause == connection.HeadTooLarge {
			c.refuse()
			return 0, c.readError()
		}
	}
	return n, err
}

// readError returns an error after which net/http closes the connection without a response of its own.
func (c *Conn) readError() error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

// refuse answers a head that is too large. Nothing else is being written: the response to the request before it has been sent.
func (c *Conn) refuse() {
	c.refused.Store(true)
	if err := c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)); err != nil {
		return // the connection is closed
	}
	if _, err := io.WriteString(c.Conn, refusal); err != nil {
		return // the caller has left or reads nothing
	}
	_ = c.CloseWrite() // the connection is closed a moment later in any case
}

// CloseWrite ends the sending direction, as net/http does before it closes a connection after a refusal.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. A refused connection stays open for a moment, so that a reset does not overtake the refusal; the guard
// closes it.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	closes := c.guard.limiter.Close(c.id)
	if closes {
		delete(c.guard.conns, c.id)
	}
	c.guard.mu.Unlock()
	if !closes {
		return nil
	}
	return c.Conn.Close()
}
