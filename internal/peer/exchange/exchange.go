package exchange

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

const rpcSendState = "/waxwingplank.Exchange/Tell"

// Handler receives the state of a peer and returns the host's own state.
type Handler interface {
	HandleState(ctx context.Context, from *State) (*State, error)
}

// jsonEncoding encodes messages as JSON, so that versions of hosts remain compatible when a field is added or removed.
type jsonEncoding struct{}

// Marshal implements drpc.Encoding.
func (jsonEncoding) Marshal(m drpc.Message) ([]byte, error) { return json.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (jsonEncoding) Unmarshal(data []byte, m drpc.Message) error { return json.Unmarshal(data, m) }

type rpcDescription struct{}

// NumMethods implements drpc.Description.
func (rpcDescription) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (rpcDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(srv interface{}, ctx context.Context, in1, _ interface{}) (drpc.Message, error) {
		return srv.(Handler).HandleState(ctx, in1.(*State))
	}
	return rpcSendState, jsonEncoding{}, receive, Handler.HandleState, true
}

// Serve handles calls of peers on the listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	mux := drpcmux.New()
	if err := mux.Register(handler, rpcDescription{}); err != nil {
		return eris.Wrap(err, "exchange.Serve: register handler")
	}
	if err := drpcserver.New(mux).Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "exchange.Serve")
	}
	return nil
}

// Client sends states to peers. It keeps one connection to each peer.
type Client struct {
	timeout time.Duration
	dialer  net.Dialer
	mu      sync.Mutex
	conns   map[string]*drpcconn.Conn
}

// NewClient returns a client whose calls end after the timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{timeout: timeout, conns: map[string]*drpcconn.Conn{}}
}

// SendState sends the host's state to the peer at the address and returns the peer's state. Calls to the same address
// must not overlap.
func (c *Client) SendState(ctx context.Context, address string, state *State) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "exchange.SendState: dial %s", address)
	}
	var out State
	if err := conn.Invoke(ctx, rpcSendState, jsonEncoding{}, state, &out); err != nil {
		// A stalled connection may never recover while new connections to the peer work.
		c.removeConn(address, conn)
		return nil, eris.Wrapf(err, "exchange.SendState %s", address)
	}
	return &out, nil
}

func (c *Client) conn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Closed():
		default:
			return conn, nil
		}
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = drpcconn.New(nc)
	c.mu.Lock()
	c.conns[address] = conn
	c.mu.Unlock()
	return conn, nil
}

func (c *Client) removeConn(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	// The connection is no longer used, so an error from Close has no effect.
	_ = conn.Close() //nolint:errcheck // given up
}
