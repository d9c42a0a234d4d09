package host

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
)

// pooledConn is a connection with the time of its last use. It carries one call at a time.
type pooledConn struct {
	*drpcconn.Conn
	used time.Time
}

// pool holds the idle connections of each peer address.
type pool struct {
	dialer net.Dialer
	tls    *tls.Config

	mu     sync.Mutex
	idle   map[string][]pooledConn
	closed bool
}

// take returns the idle connection that was used last, or dials a new one. Connections that have been
// idle for longer than maxIdle are closed. reused reports whether the connection was idle.
func (p *pool) take(ctx context.Context, address string, maxIdle time.Duration) (c pooledConn, reused bool, err error) {
	for {
		c, ok := p.pop(address)
		if !ok {
			break
		}
		if time.Since(c.used) <= maxIdle && !isClosed(c) {
			return c, true, nil
		}
		discard(c)
	}
	c, err = p.dial(ctx, address)
	return c, false, err
}

func (p *pool) pop(address string) (pooledConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return pooledConn{}, false
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c, true
}

func (p *pool) dial(ctx context.Context, address string) (pooledConn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return pooledConn{}, err
	}
	conn := net.Conn(deadlineConn{Conn: raw, timeout: writeTimeout})
	if p.tls != nil {
		t := tls.Client(conn, p.tls)
		if err := t.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // The handshake error is returned instead.
			return pooledConn{}, err
		}
		conn = t
	}
	opts := drpcconn.Options{Manager: managerOptions()}
	return pooledConn{Conn: drpcconn.NewWithOptions(conn, opts)}, nil
}

// put returns a connection to the pool after a complete call.
func (p *pool) put(address string, c pooledConn) {
	c.used = time.Now()
	p.mu.Lock()
	list := p.idle[address]
	if p.closed || len(list) >= maxIdlePerPeer || isClosed(c) {
		p.mu.Unlock()
		discard(c)
		return
	}
	p.idle[address] = append(list, c)
	p.mu.Unlock()
}

// closeIdle closes every idle connection to the peer after a call failed on one: the others may be dead too.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		discard(c)
	}
}

// sweep closes the connections that no call has used for half of idleTimeout.
func (p *pool) sweep(now time.Time) {
	var old []pooledConn
	p.mu.Lock()
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Sub(c.used) > idleTimeout/2 || isClosed(c) {
				old = append(old, c)
				continue
			}
			keep = append(keep, c)
		}
		p.idle[address] = keep
		if len(keep) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		discard(c)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	all := p.idle
	p.idle, p.closed = map[string][]pooledConn{}, true
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			discard(c)
		}
	}
}

func isClosed(c pooledConn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// discard closes a connection that is no longer needed and ignores the error of Close.
func discard(c pooledConn) { _ = c.Close() }
