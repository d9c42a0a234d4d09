package run

import (
	"context"
	"net"
	"syscall"
	"time"

	"waxwingplank/internal/ingress/tcp"
)

// unacknowledgedTimeout is how long a caller's connection stays open while the data sent on it is not acknowledged.
// A firewall or address translator that has lost the state of a connection drops packets without a reset. The request
// of the caller would otherwise keep its slot on every stage.
const unacknowledgedTimeout = 2 * time.Second

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// listenTCP opens a listener for callers or operators. Accepted connections inherit its socket options.
func listenTCP(ctx context.Context, address string) (tcp.Listener, error) {
	config := net.ListenConfig{
		// Nothing is sent to a caller that waits, so only keepalives detect that its connection is dead.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: unacknowledgedTimeout / 2, Interval: unacknowledgedTimeout / 4, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return tcp.Listen(ctx, config, address)
}
