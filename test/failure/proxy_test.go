package failure

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// proxy is a TCP proxy in front of a host. After mute it keeps the open connections but discards their data, like a
// network path that drops all packets. Connections made after that work.
type proxy struct {
	listener      net.Listener
	to            string
	receivedBytes atomic.Int64
	tasks         sync.WaitGroup

	mu        sync.Mutex
	connPairs []*connPair
}

// connPair is a connection of a caller and its connection to the host.
type connPair struct {
	in, out net.Conn
	muted   atomic.Bool
}

func newProxy(to string) (*proxy, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to}
	p.tasks.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := new(net.Dialer).DialContext(context.Background(), "tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		pair := &connPair{in: in, out: out}
		p.mu.Lock()
		p.connPairs = append(p.connPairs, pair)
		p.mu.Unlock()
		p.tasks.Go(func() { p.forward(pair, in, out, &p.receivedBytes) })
		p.tasks.Go(func() { p.forward(pair, out, in, new(atomic.Int64)) })
	}
}

// forward copies one direction and adds the copied bytes to count.
func (p *proxy) forward(pair *connPair, from, to net.Conn, count *atomic.Int64) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !pair.muted.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
			count.Add(int64(n))
		}
		if err == nil {
			continue
		}
		if !pair.muted.Load() {
			_ = from.Close()
			_ = to.Close()
		}
		return
	}
}

// mute makes the connections that are open now discard all further data.
func (p *proxy) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pair := range p.connPairs {
		pair.muted.Store(true)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, pair := range p.connPairs {
		_ = pair.in.Close()
		_ = pair.out.Close()
	}
	p.mu.Unlock()
	p.tasks.Wait()
}
