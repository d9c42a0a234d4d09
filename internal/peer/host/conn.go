package host

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// The limits of the protocol between hosts.
const (
	// maxMessageBytes limits one message. It leaves a wide margin over a document of 1 MB and its envelope.
	maxMessageBytes = 4 << 20
	// heartbeatInterval is the interval of heartbeat parts in a forwarded response.
	heartbeatInterval = 500 * time.Millisecond
	// progressTimeout ends a forwarded response after two missed heartbeat parts.
	progressTimeout = time.Second
	// writeTimeout limits each write to a receiver that has stopped reading.
	writeTimeout = 5 * time.Second
	// idleTimeout is how long either side keeps a connection that carries no call. The client's pool
	// closes its connections after half of it.
	idleTimeout = 30 * time.Second
	// maxIdlePerPeer limits the idle connections per peer. A connection carries one call at a time.
	maxIdlePerPeer = 8
)

// deadlineConn sets a deadline on each write, so that an unresponsive receiver cannot block a sender.
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
