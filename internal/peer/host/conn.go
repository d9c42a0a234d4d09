package host

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// The bounds of the protocol between hosts.
const (
	// maxMessageBytes bounds one message: a document of 1 MB and its envelope fit with room.
	maxMessageBytes = 4 << 20
	// heartbeatEvery is the period of heartbeat parts on a forwarded answer.
	heartbeatEvery = 500 * time.Millisecond
	// silentAfter ends a forwarded answer after two missed heartbeat parts.
	silentAfter = time.Second
	// writeTimeout ends a connection whose receiver takes no more bytes.
	writeTimeout = 5 * time.Second
	// idleTimeout closes connections that no call has used for so long, on either side.
	idleTimeout = 30 * time.Second
	// keepIdle bounds the idle connections per peer. A connection carries one call at a time.
	keepIdle = 8
)

// deadlineConn sets a deadline on each write, so that a silent receiver cannot hold a sender.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, eris.Wrap(err, "host: set write deadline")
	}
	return c.Conn.Write(b)
}
