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

	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/roster"
)

const rpcTell = "/waxwingplank.Exchange/Tell"

// Snapshot is the last list that a host read from the store, as the store gave it.
type Snapshot struct {
	Revision int64             `json:"revision"`
	Objects  []json.RawMessage `json:"objects"`
}

// State is what a host tells another.
type State struct {
	roster.Host
	// ConfigVersion and EndpointsRevision say how new the sender's knowledge is.
	ConfigVersion     int64 `json:"config_version"`
	EndpointsRevision int64 `json:"endpoints_revision"`
	// Config and Endpoints are sent to a peer that lacks them and asked.
	Config    json.RawMessage `json:"config,omitempty"`
	Endpoints *Snapshot       `json:"endpoints,omitempty"`
	// Want asks the receiver for what is newer than the sender's.
	Want bool `json:"want,omitempty"`
	// Usage is what the sender's streams use.
	Usage path.Usage `json:"usage"`
	// Full asks a hub for what it knows of the others, which it gives in Others, with their use and number.
	Full       bool          `json:"full,omitempty"`
	Others     []roster.Seen `json:"others,omitempty"`
	OthersUse  *path.Usage   `json:"others_use,omitempty"`
	OtherCount int           `json:"other_count,omitempty"`
	// Marks lists requests that crashed the endpoints that ran them.
	Marks json.RawMessage `json:"marks,omitempty"`
}

// Handler takes what a peer tells and returns the host's own state.
type Handler interface {
	Tell(ctx context.Context, from *State) (*State, error)
}

// encoding carries messages as JSON, so that a field more or less is no break between versions.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(m drpc.Message) ([]byte, error) { return json.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(data []byte, m drpc.Message) error { return json.Unmarshal(data, m) }

type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(srv interface{}, ctx context.Context, in1, _ interface{}) (drpc.Message, error) {
		return srv.(Handler).Tell(ctx, in1.(*State))
	}
	return rpcTell, encoding{}, receive, Handler.Tell, true
}

// Serve answers peers on the listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	mux := drpcmux.New()
	if err := mux.Register(handler, description{}); err != nil {
		return eris.Wrap(err, "exchange.Serve register")
	}
	if err := drpcserver.New(mux).Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "exchange.Serve")
	}
	return nil
}

// Client tells peers; it keeps one connection to each.
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

// Tell hands the host's state to the peer at an address and returns the peer's. Calls to one address must not
// overlap.
func (c *Client) Tell(ctx context.Context, address string, state *State) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "exchange.Tell dial %s", address)
	}
	var out State
	if err := conn.Invoke(ctx, rpcTell, encoding{}, state, &out); err != nil {
		// A connection may be silent for good while new ones work.
		c.forget(address, conn)
		return nil, eris.Wrapf(err, "exchange.Tell %s", address)
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

func (c *Client) forget(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	// The connection is given up, so how its closing ends doesn't matter.
	_ = conn.Close() //nolint:errcheck // given up
}
