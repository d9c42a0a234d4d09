package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcerr"

	"waxwingplank/internal/endpoint/http1"
	"waxwingplank/internal/peer/hostpb"
)

// Error is a failed call to another host.
type Error struct {
	op      string
	address string
	sent    bool
	err     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("host: %s to %s: %v", e.op, e.address, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// MayHaveSent reports whether any byte of the call may have reached the peer.
func (e *Error) MayHaveSent() bool { return e.sent }

// Refused reports whether the peer received the call and its handler returned an error.
func (e *Error) Refused() bool { return drpcerr.Code(e.err) == handlerErrorCode }

// ErrUnresponsive is the cause of a call that ended because the peer sent nothing within the deadline.
var ErrUnresponsive = errors.New("the peer fell silent")

// ErrTooLarge is the cause of a call that was not sent because its message exceeds the size limit.
var ErrTooLarge = errors.New("the message is larger than the bound")

// ClientConfig configures a Client.
type ClientConfig struct {
	// TLS must contain the client certificate. Connections are not encrypted if it is nil.
	TLS *tls.Config
	// CallTimeout limits heartbeats, probes, crash marks and demand reports, and the dialing of a
	// forwarded request. The default is 400 ms, which is below the heartbeat period.
	CallTimeout time.Duration
	// FetchTimeout limits the fetching of documents. The default is 5 s.
	FetchTimeout time.Duration
}

// Client calls other hosts.
type Client struct {
	cfg  ClientConfig
	pool *pool
	stop chan struct{}
	done chan struct{}
}

// NewClient returns a client that keeps a pool of connections until Close.
func NewClient(cfg ClientConfig) *Client {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = 400 * time.Millisecond
	}
	if cfg.FetchTimeout == 0 {
		cfg.FetchTimeout = 5 * time.Second
	}
	c := &Client{
		cfg:  cfg,
		pool: &pool{tls: cfg.TLS, idle: map[string][]pooledConn{}},
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go c.sweep()
	return c
}

// Close stops the goroutine that expires idle connections, waits for it and closes the idle connections.
func (c *Client) Close() {
	close(c.stop)
	<-c.done
	c.pool.close()
}

func (c *Client) sweep() {
	defer close(c.done)
	t := time.NewTicker(idleTimeout / 4)
	defer t.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-t.C:
			c.pool.sweep(now)
		}
	}
}

// Heartbeat sends a host's state to a relay and returns the changes that the relay has for it.
func (c *Client) Heartbeat(ctx context.Context, address string, in *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error) {
	return call(ctx, c, "heartbeat", address, c.cfg.CallTimeout, in, hostpb.DRPCPeersClient.Heartbeat)
}

// Probe asks a host to confirm that it, or another host, responds.
func (c *Client) Probe(ctx context.Context, address string, in *hostpb.ProbeRequest) (*hostpb.ProbeReply, error) {
	return call(ctx, c, "probe", address, c.cfg.CallTimeout, in, hostpb.DRPCPeersClient.Probe)
}

// FetchDocuments fetches the documents that the caller is missing.
func (c *Client) FetchDocuments(ctx context.Context, address string, in *hostpb.FetchDocumentsRequest) (*hostpb.FetchDocumentsReply, error) {
	return call(ctx, c, "fetch documents", address, c.cfg.FetchTimeout, in, hostpb.DRPCPeersClient.FetchDocuments)
}

// SpreadMarks sends crash marks to a host.
func (c *Client) SpreadMarks(ctx context.Context, address string, in *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error) {
	return call(ctx, c, "spread marks", address, c.cfg.CallTimeout, in, hostpb.DRPCPeersClient.SpreadMarks)
}

// ReportDemand reports this host's demand to the owner of pipelines.
func (c *Client) ReportDemand(ctx context.Context, address string, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	return call(ctx, c, "report demand", address, c.cfg.CallTimeout, in, hostpb.DRPCPeersClient.ReportDemand)
}

// method is a unary call of the generated client.
type method[In, Out any] func(hostpb.DRPCPeersClient, context.Context, In) (Out, error)

// call makes a call that is safe to repeat. An idle connection may be dead although new connections
// work, so a call that fails on an idle connection is retried once on a new one within the same deadline.
func call[In proto.Message, Out any](ctx context.Context, c *Client, op, address string, timeout time.Duration, in In, m method[In, Out]) (Out, error) {
	var none Out
	if proto.Size(in) > maxMessageBytes {
		return none, &Error{op: op, address: address, err: ErrTooLarge}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, reused, err := c.pool.take(ctx, address, idleTimeout/2)
	if err != nil {
		return none, &Error{op: op, address: address, err: err}
	}
	if reused {
		// Reserve half of the timeout for the retry on a new connection.
		half, stop := context.WithTimeout(ctx, timeout/2)
		out, err := m(hostpb.NewDRPCPeersClient(conn), half, in)
		stop()
		if err == nil || drpcerr.Code(err) == handlerErrorCode {
			return finish(c, op, address, conn, out, err)
		}
		discard(conn)
		c.pool.closeIdle(address)
		if conn, err = c.pool.dial(ctx, address); err != nil {
			return none, &Error{op: op, address: address, sent: true, err: err}
		}
	}
	out, err := m(hostpb.NewDRPCPeersClient(conn), ctx, in)
	if err == nil || drpcerr.Code(err) == handlerErrorCode {
		return finish(c, op, address, conn, out, err)
	}
	discard(conn)
	return none, &Error{op: op, address: address, sent: true, err: wrapTimeout(ctx, err)}
}

// finish returns the connection to the pool after the peer responded, with an error or without.
func finish[Out any](c *Client, op, address string, conn pooledConn, out Out, err error) (Out, error) {
	c.pool.put(address, conn)
	if err != nil {
		var none Out
		return none, &Error{op: op, address: address, sent: true, err: err}
	}
	return out, nil
}

// wrapTimeout adds ErrUnresponsive to the error if the deadline has passed.
func wrapTimeout(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrUnresponsive, err)
	}
	return err
}

// ForwardResponse is the response to a forwarded request. It arrives in parts.
type ForwardResponse struct {
	client  *Client
	address string
	conn    pooledConn
	stream  hostpb.DRPCPeers_ForwardClient
	cancel  context.CancelCauseFunc
	ctx     context.Context
	status  int
	headers []*hostpb.Header
	ended   bool
}

// Forward forwards a request and returns once the status and the headers of the response have arrived.
//
// Forward never repeats the request. ctx covers the complete response; the caller must call Close.
func (c *Client) Forward(ctx context.Context, address string, in *hostpb.ForwardRequest) (*ForwardResponse, error) {
	const op = "forward"
	if proto.Size(in) > maxMessageBytes {
		return nil, &Error{op: op, address: address, err: ErrTooLarge}
	}
	dialing, stop := context.WithTimeout(ctx, c.cfg.CallTimeout)
	// The request is not retried, so reuse only a connection that has shown progress recently: one that
	// carried a call within progressTimeout.
	conn, _, err := c.pool.take(dialing, address, progressTimeout)
	stop()
	if err != nil {
		return nil, &Error{op: op, address: address, err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r := &ForwardResponse{client: c, address: address, conn: conn, cancel: cancel, ctx: ctx}
	watch := time.AfterFunc(progressTimeout, func() { cancel(ErrUnresponsive) })
	r.stream, err = hostpb.NewDRPCPeersClient(conn).Forward(ctx, in)
	watch.Stop()
	if err != nil {
		return nil, r.fail(err)
	}
	p, err := r.next()
	if err != nil {
		return nil, r.fail(err)
	}
	if err := checkHead(p); err != nil {
		return nil, r.fail(err)
	}
	r.status, r.headers = int(p.GetStatus()), p.GetHeaders()
	return r, nil
}

// checkHead returns an error unless the first part of a response has the head of a final response.
func checkHead(p *hostpb.ForwardPart) error {
	header := http.Header{}
	for _, h := range p.GetHeaders() {
		header[h.GetName()] = nil
	}
	status := int(p.GetStatus())
	if err := http1.CheckHead(status, header); err != nil {
		return err
	}
	if status < http.StatusOK {
		return fmt.Errorf("status %d is not final", status)
	}
	return nil
}

// Status returns the HTTP status of the response.
func (r *ForwardResponse) Status() int { return r.status }

// Headers returns the HTTP headers of the response.
func (r *ForwardResponse) Headers() []*hostpb.Header { return r.headers }

// Next returns the next part of the body, or io.EOF after the complete response.
func (r *ForwardResponse) Next() ([]byte, error) {
	p, err := r.next()
	if errors.Is(err, io.EOF) {
		r.ended = true
		return nil, io.EOF
	}
	if err != nil {
		return nil, r.fail(err)
	}
	return p.GetBody(), nil
}

// Close ends the response. The connection is returned to the pool only if the response was read completely.
func (r *ForwardResponse) Close() {
	if r.ended {
		r.client.pool.put(r.address, r.conn)
		r.cancel(nil)
		return
	}
	r.cancel(nil)
	discard(r.conn)
}

// next returns the next part that is not a heartbeat. Each part that arrives restarts the progress timeout.
func (r *ForwardResponse) next() (*hostpb.ForwardPart, error) {
	for {
		watch := time.AfterFunc(progressTimeout, func() { r.cancel(ErrUnresponsive) })
		p, err := r.stream.Recv()
		watch.Stop()
		if err != nil {
			return nil, err
		}
		if p.GetStatus() != 0 || len(p.GetBody()) > 0 {
			return p, nil
		}
	}
}

func (r *ForwardResponse) fail(err error) error {
	if cause := context.Cause(r.ctx); errors.Is(cause, ErrUnresponsive) {
		err = ErrUnresponsive
	}
	r.cancel(nil)
	discard(r.conn)
	r.client.pool.closeIdle(r.address)
	return &Error{op: "forward", address: r.address, sent: true, err: err}
}
