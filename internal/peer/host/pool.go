package host

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
)

// pooled is one connection, which carries one call at a time.
type pooled struct {
	*drpcconn.Conn
	used time.Time
}

// pool keeps idle connections per peer address.
type pool struct {
	dialer net.Dialer
	tls    *tls.Config

	mu     sync.Mutex
	idle   map[string][]pooled
	closed bool
}

// take returns the connection used last, or dials; reused tells which.
func (p *pool) take(ctx context.Context, address string, maxIdle time.Duration) (c pooled, reused bool, err error) {
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

func (p *pool) pop(address string) (pooled, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return pooled{}, false
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c, true
}

func (p *pool) dial(ctx context.Context, address string) (pooled, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return pooled{}, err
	}
	conn := net.Conn(deadlineConn{Conn: raw, timeout: writeTimeout})
	if p.tls != nil {
		t := tls.Client(conn, p.tls)
		if err := t.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // The handshake error is the one to report.
			return pooled{}, err
		}
		conn = t
	}
	opts := drpcconn.Options{Manager: managerOptions()}
	return pooled{Conn: drpcconn.NewWithOptions(conn, opts)}, nil
}

// put returns a connection after a whole call.
func (p *pool) put(address string, c pooled) {
	c.used = time.Now()
	p.mu.Lock()
	list := p.idle[address]
	if p.closed || len(list) >= keepIdle || isClosed(c) {
		p.mu.Unlock()
		discard(c)
		return
	}
	p.idle[address] = append(list, c)
	p.mu.Unlock()
}

// drop closes every idle connection to the peer, because those opened with a silent one are suspect too.
func (p *pool) drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		discard(c)
	}
}

// sweep closes the connections that no call has used for the idle timeout.
func (p *pool) sweep(now time.Time) {
	var old []pooled
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
	p.idle, p.closed = map[string][]pooled{}, true
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			discard(c)
		}
	}
}

func isClosed(c pooled) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// discard closes a connection that is of no more use; a failure to close changes nothing.
func discard(c pooled) { _ = c.Close() }
