package run

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a caller's connection that stays open forever after a firewall on the path has lost its state.
func TestAcceptedConnectionsEndWhenSilent(t *testing.T) {
	is := is.New(t)
	listener, err := listenTCP(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		for _, option := range []struct{ name, want int }{
			{tcpUserTimeout, 2000},
			{syscall.TCP_KEEPIDLE, 1},
			{syscall.TCP_KEEPINTVL, 1},
			{syscall.TCP_KEEPCNT, 2},
		} {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option.name)
			is.NoErr(err)
			is.Equal(got, option.want)
		}
	}))
}
