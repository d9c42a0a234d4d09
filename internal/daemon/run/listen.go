package run

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// silentAfter bounds how long a connection of a caller counts as alive while nothing of what was sent to
// it is acknowledged. A firewall or address translator that has lost track of a connection drops packets without
// a reset, and the caller's place on every stage would stay taken.
const silentAfter = 2 * time.Second

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const tcpUserTimeout = 0x12

// listenTCP listens for callers or operators; accepted connections inherit the options.
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		// A caller that waits is sent nothing, so only keepalives show that its connection is dead.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: silentAfter / 2, Interval: silentAfter / 4, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentAfter.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "run.listenTCP")
	}
	return listener, nil
}
