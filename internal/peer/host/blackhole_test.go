package host_test

import (
	"net"
	"sync"
)

// blackholeListener is a listener that can blackhole its open connections: what the server writes to
// them is dropped and reads block until Close. Later connections work normally.
type blackholeListener struct {
	net.Listener
	mu   sync.Mutex
	open []*blackholeConn
}

type blackholeConn struct {
	net.Conn
	mu         sync.Mutex
	blackholed bool
	closed     chan struct{}
	once       sync.Once
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &blackholeConn{Conn: c, closed: make(chan struct{})}
	l.mu.Lock()
	l.open = append(l.open, m)
	l.mu.Unlock()
	return m, nil
}

func (l *blackholeListener) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.mu.Lock()
		c.blackholed = true
		c.mu.Unlock()
	}
}

func (c *blackholeConn) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

func (c *blackholeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isBlackholed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.isBlackholed() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
