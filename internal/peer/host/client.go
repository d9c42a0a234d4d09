package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcerr"

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

// Sent reports whether a byte of the call may have reached the peer.
func (e *Error) Sent() bool { return e.sent }

// Refused reports whether the peer received the call and answered it with an error.
func (e *Error) Refused() bool { return drpcerr.Code(e.err) == handlerFailed }

// ErrSilent is the cause of a call that ended because the peer fell silent.
var ErrSilent = errors.New("the peer fell silent")

// ErrTooLarge is the cause of a call that was not sent because its message passes the size bound.
var ErrTooLarge = errors.New("the message is larger than the bound")

// ClientConfig describes a Client.
type ClientConfig struct {
	// TLS, where set, must carry the client certificate.
	TLS *tls.Config
	// CallTimeout bounds heartbeats, probes and marks; 400 ms where it is 0, below the heartbeat period.
	CallTimeout time.Duration
	// FetchTimeout bounds the fetching of documents; 5 s where it is 0.
	FetchTimeout time.Duration
}

// Client calls other hosts.
type Client struct {
	cfg  ClientConfig
	pool *pool
	stop chan struct{}
	done chan struct{}
}

// NewClient returns a client, which keeps connections until Close.
func NewClient(cfg ClientConfig) *Client {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = 400 * time.Millisecond
	}
	if cfg.FetchTimeout == 0 {
		cfg.FetchTimeout = 5 * time.Second
	}
	c := &Client{
		cfg:  cfg,
		pool: &pool{tls: cfg.TLS, idle: map[string][]pooled{}},
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go c.sweep()
	return c
}

// Close closes the idle connections and waits for the goroutine that sweeps them.
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

// Heartbeat sends a host's state to a relay.
func (c *Client) Heartbeat(ctx context.Context, address string, in *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error) {
	return call(ctx, c, "heartbeat", address, c.cfg.CallTimeout, in, hostpb.DRPCPeersClient.Heartbeat)
}

// Probe asks a host whether it, or another host, answers.
func (c *Client) Probe(ctx context.Context, address string, in *hostpb.ProbeRequest) (*hostpb.ProbeReply, error) {
	return call(ctx, c, "probe", address, c.cfg.CallTimeout, in, hostpb.DRPCPeersClient.Probe)
}

// FetchDocuments asks a host for the documents that the caller lacks.
func (c *Client) FetchDocuments(ctx context.Context, address string, in *hostpb.FetchDocumentsRequest) (*hostpb.FetchDocumentsReply, error) {
	return call(ctx, c, "fetch documents", address, c.cfg.FetchTimeout, in, hostpb.DRPCPeersClient.FetchDocuments)
}

// SpreadMarks hands crash marks to a host.
func (c *Client) SpreadMarks(ctx context.Context, address string, in *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error) {
	return call(ctx, c, "spread marks", address, c.cfg.CallTimeout, in, hostpb.DRPCPeersClient.SpreadMarks)
}

// ReportDemand tells the owner of pipelines what this host wants of them.
func (c *Client) ReportDemand(ctx context.Context, address string, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	return call(ctx, c, "report demand", address, c.cfg.CallTimeout, in, hostpb.DRPCPeersClient.ReportDemand)
}

// method is a unary call of the generated client.
type method[In, Out any] func(hostpb.DRPCPeersClient, context.Context, In) (Out, error)

// call makes a call that may be repeated. An idle connection may have gone silent for good while
// new ones work, so a call that fails on one is made again on a new one within the same deadline.
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
		// Half the deadline is left for the new connection.
		half, stop := context.WithTimeout(ctx, timeout/2)
		out, err := m(hostpb.NewDRPCPeersClient(conn), half, in)
		stop()
		if err == nil || drpcerr.Code(err) == handlerFailed {
			return finish(c, op, address, conn, out, err)
		}
		discard(conn)
		c.pool.drop(address)
		if conn, err = c.pool.dial(ctx, address); err != nil {
			return none, &Error{op: op, address: address, sent: true, err: err}
		}
	}
	out, err := m(hostpb.NewDRPCPeersClient(conn), ctx, in)
	if err == nil || drpcerr.Code(err) == handlerFailed {
		return finish(c, op, address, conn, out, err)
	}
	discard(conn)
	return none, &Error{op: op, address: address, sent: true, err: silence(ctx, err)}
}

// finish keeps the connection of a call that the peer answered, with an error or without.
func finish[Out any](c *Client, op, address string, conn pooled, out Out, err error) (Out, error) {
	c.pool.put(address, conn)
	if err != nil {
		var none Out
		return none, &Error{op: op, address: address, sent: true, err: err}
	}
	return out, nil
}

func silence(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return err
}

// Answer is a forwarded answer that arrives in parts.
type Answer struct {
	client  *Client
	address string
	conn    pooled
	stream  hostpb.DRPCPeers_ForwardClient
	cancel  context.CancelCauseFunc
	ctx     context.Context
	status  int
	headers []*hostpb.Header
	ended   bool
}

// Forward passes a request on and returns once the status and the headers of the answer are there.
//
// The call is never repeated here. ctx bounds the whole answer; the caller must call Close.
func (c *Client) Forward(ctx context.Context, address string, in *hostpb.ForwardRequest) (*Answer, error) {
	const op = "forward"
	if proto.Size(in) > maxMessageBytes {
		return nil, &Error{op: op, address: address, err: ErrTooLarge}
	}
	dialing, stop := context.WithTimeout(ctx, c.cfg.CallTimeout)
	// A connection that carried a call within the heartbeat period has shown progress.
	conn, _, err := c.pool.take(dialing, address, silentAfter)
	stop()
	if err != nil {
		return nil, &Error{op: op, address: address, err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &Answer{client: c, address: address, conn: conn, cancel: cancel, ctx: ctx}
	watch := time.AfterFunc(silentAfter, func() { cancel(ErrSilent) })
	a.stream, err = hostpb.NewDRPCPeersClient(conn).Forward(ctx, in)
	watch.Stop()
	if err != nil {
		return nil, a.fail(err)
	}
	p, err := a.next()
	if err != nil {
		return nil, a.fail(err)
	}
	if p.GetStatus() == 0 {
		return nil, a.fail(errors.New("the answer has no status"))
	}
	a.status, a.headers = int(p.GetStatus()), p.GetHeaders()
	return a, nil
}

// Status returns the HTTP status of the answer.
func (a *Answer) Status() int { return a.status }

// Headers returns the HTTP headers of the answer.
func (a *Answer) Headers() []*hostpb.Header { return a.headers }

// Next returns the next part of the body, or io.EOF after the whole answer.
func (a *Answer) Next() ([]byte, error) {
	p, err := a.next()
	if errors.Is(err, io.EOF) {
		a.ended = true
		return nil, io.EOF
	}
	if err != nil {
		return nil, a.fail(err)
	}
	return p.GetBody(), nil
}

// Close ends the answer; a connection with a whole answer behind it is kept.
func (a *Answer) Close() {
	if a.ended {
		a.client.pool.put(a.address, a.conn)
		a.cancel(nil)
		return
	}
	a.cancel(nil)
	discard(a.conn)
}

// next skips heartbeat parts, each of which shows progress.
func (a *Answer) next() (*hostpb.ForwardPart, error) {
	for {
		watch := time.AfterFunc(silentAfter, func() { a.cancel(ErrSilent) })
		p, err := a.stream.Recv()
		watch.Stop()
		if err != nil {
			return nil, err
		}
		if p.GetStatus() != 0 || len(p.GetBody()) > 0 {
			return p, nil
		}
	}
}

func (a *Answer) fail(err error) error {
	if cause := context.Cause(a.ctx); errors.Is(cause, ErrSilent) {
		err = ErrSilent
	}
	a.cancel(nil)
	discard(a.conn)
	a.client.pool.drop(a.address)
	return &Error{op: "forward", address: a.address, sent: true, err: err}
}
