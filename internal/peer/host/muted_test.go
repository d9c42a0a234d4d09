package host_test

import (
	"net"
	"sync"
)

// muted is a listener whose open connections can be made silent: bytes written to them vanish and
// nothing is read from them, while new connections work.
type muted struct {
	net.Listener
	mu   sync.Mutex
	open []*mutedConn
}

type mutedConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
	closed chan struct{}
	once   sync.Once
}

func (l *muted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &mutedConn{Conn: c, closed: make(chan struct{})}
	l.mu.Lock()
	l.open = append(l.open, m)
	l.mu.Unlock()
	return m, nil
}

func (l *muted) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (c *mutedConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *mutedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *mutedConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *mutedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
