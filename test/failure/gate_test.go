package failure

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// gate passes connections on to a host. A muted one keeps its connections open and carries nothing more, as a
// link does that went silent; connections made after that work.
type gate struct {
	listener net.Listener
	to       string
	arrived  atomic.Int64
	tasks    sync.WaitGroup

	mu    sync.Mutex
	pairs []*pair
}

type pair struct {
	in, out net.Conn
	muted   atomic.Bool
}

func newGate(to string) (*gate, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: l, to: to}
	g.tasks.Go(g.accept)
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) accept() {
	for {
		in, err := g.listener.Accept()
		if err != nil {
			return
		}
		out, err := new(net.Dialer).DialContext(context.Background(), "tcp", g.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		p := &pair{in: in, out: out}
		g.mu.Lock()
		g.pairs = append(g.pairs, p)
		g.mu.Unlock()
		g.tasks.Go(func() { g.carry(p, in, out, &g.arrived) })
		g.tasks.Go(func() { g.carry(p, out, in, new(atomic.Int64)) })
	}
}

// carry copies one direction and counts the bytes that the other side took.
func (g *gate) carry(p *pair, from, to net.Conn, count *atomic.Int64) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.muted.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
			count.Add(int64(n))
		}
		if err == nil {
			continue
		}
		if !p.muted.Load() {
			_ = from.Close()
			_ = to.Close()
		}
		return
	}
}

// mute silences the connections that are open now.
func (g *gate) mute() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pairs {
		p.muted.Store(true)
	}
}

func (g *gate) close() {
	_ = g.listener.Close()
	g.mu.Lock()
	for _, p := range g.pairs {
		_ = p.in.Close()
		_ = p.out.Close()
	}
	g.mu.Unlock()
	g.tasks.Wait()
}
