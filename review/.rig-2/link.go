package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// link is a TCP proxy between a host and the store. While it is cut, bytes vanish, and nobody is told.
type link struct {
	listener net.Listener
	to       string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func newLink(to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	k := &link{listener: l, to: to}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(in)
		}
	}()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) serve(in net.Conn) {
	out, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = in.Close()
		return
	}
	k.mu.Lock()
	k.conns = append(k.conns, in, out)
	k.mu.Unlock()
	// A connection that lost bytes stays silent for good.
	var lost atomic.Bool
	forward := func(from, to net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if k.cut.Load() {
				lost.Store(true)
			}
			if n > 0 && !lost.Load() {
				if _, werr := to.Write(buffer[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				break
			}
		}
		if !lost.Load() {
			_ = from.Close()
			_ = to.Close()
		}
	}
	go forward(in, out)
	forward(out, in)
}
