package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/endpoint/http1"
)

const (
	// defaultProgressDeadline is twice the heartbeat interval of the engines.
	defaultProgressDeadline = time.Second
	// defaultMaxLineBytes is far above the size of a token with the receipt of a pipeline of 100 stages.
	defaultMaxLineBytes = 64 << 10
	// maxResponseBytes limits every response that is not a stream. A list of cache events is the longest.
	maxResponseBytes = 1 << 20
	// maxHeaderBytes limits the head of a response, which a faulty engine may send without end.
	maxHeaderBytes = 64 << 10
)

// Config configures a Client.
type Config struct {
	// ProgressDeadline is how long a call or stream may go without receiving anything, heartbeats
	// included. The default is 1 s.
	ProgressDeadline time.Duration
	// OrderTimeout limits an order, because an engine may respond only after it has loaded weights. The
	// default is 5 s.
	OrderTimeout time.Duration
	// MaxLineBytes limits one line of a stream. The default is 64 KiB.
	MaxLineBytes int
}

// Client calls model engines. One client is used for all engines.
//
// Each request has a connection of its own: most responses do not identify their request, so that a late second copy of a
// response would be taken for the response to the next request on the same connection.
type Client struct {
	progress time.Duration
	order    time.Duration
	maxLine  int
	http     *http.Client
}

// defaultOrderTimeout is the longest time that a lease takeover waits for an order to finish.
const defaultOrderTimeout = 5 * time.Second

// New returns a client.
func New(cfg Config) *Client {
	if cfg.ProgressDeadline <= 0 {
		cfg.ProgressDeadline = defaultProgressDeadline
	}
	if cfg.OrderTimeout <= 0 {
		cfg.OrderTimeout = defaultOrderTimeout
	}
	if cfg.MaxLineBytes <= 0 {
		cfg.MaxLineBytes = defaultMaxLineBytes
	}
	return &Client{
		progress: cfg.ProgressDeadline,
		order:    cfg.OrderTimeout,
		maxLine:  cfg.MaxLineBytes,
		http: &http.Client{
			Transport: http1.NewTransport(&http.Transport{
				DialContext:            (&net.Dialer{Timeout: cfg.ProgressDeadline}).DialContext,
				DisableCompression:     true,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Open starts or resumes a stream at the first stage of its route. It returns once the engine has
// accepted the stream, which may still be queued in the engine.
func (c *Client) Open(ctx context.Context, r OpenRequest) (*Stream, error) {
	if len(r.Route) == 0 {
		return nil, &Error{kind: ErrMalformed, operation: "open", cause: fmt.Errorf("stream %s without a route", r.Stream)}
	}
	address := r.Route[0].Address()
	body, err := json.Marshal(r.wire())
	if err != nil {
		return nil, &Error{kind: ErrMalformed, operation: "open", address: address, cause: err}
	}
	streamCtx, cancel := context.WithCancel(ctx)
	p := newProgressTimer(c.progress, cancel)
	res, sent, err := c.do(streamCtx, http.MethodPost, address, "/v1/streams", body) //nolint:bodyclose // Stream.Close closes it.
	p.disarm()
	if err != nil {
		cancel()
		return nil, classify(ctx, p, "open", address, sent, err)
	}
	if res.StatusCode != http.StatusOK {
		p.arm()
		err := refusalError("open", address, res)
		p.disarm()
		cancel()
		return nil, err
	}
	return newStream(ctx, address, res, c.maxLine, p), nil
}

// Cancel cancels the attempts of a stream up to the given one, on every stage.
func (c *Client) Cancel(ctx context.Context, address string, stream table.StreamID, attempt int) error {
	path := "/v1/streams/" + url.PathEscape(string(stream)) + "?attempt=" + strconv.Itoa(attempt)
	return c.call(ctx, exchange{operation: "cancel", method: http.MethodDelete, address: address, path: path})
}

// exchange is one request with a response that is not a stream.
type exchange struct {
	operation string
	method    string
	address   string
	path      string
	timeout   time.Duration
	in        any
	out       any
}

// call runs one exchange. The size of the response is limited.
func (c *Client) call(ctx context.Context, x exchange) error {
	var body []byte
	if x.in != nil {
		var err error
		if body, err = json.Marshal(x.in); err != nil {
			return &Error{kind: ErrMalformed, operation: x.operation, address: x.address, cause: err}
		}
	}
	if x.timeout <= 0 {
		x.timeout = c.progress
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := newProgressTimer(x.timeout, cancel)
	defer p.disarm()
	res, sent, err := c.do(callCtx, x.method, x.address, x.path, body)
	if err != nil {
		return classify(ctx, p, x.operation, x.address, sent, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return refusalError(x.operation, x.address, res)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return classify(ctx, p, x.operation, x.address, true, err)
	}
	if len(data) > maxResponseBytes {
		err = fmt.Errorf("answer over %d bytes", maxResponseBytes)
	} else if x.out != nil {
		err = json.Unmarshal(data, x.out)
	}
	if err != nil {
		return &Error{kind: ErrMalformed, operation: x.operation, address: x.address, sent: true, cause: err}
	}
	return nil
}

// do sends one request and reports whether a connection was made. The transport of net/http repeats a
// POST or DELETE only if nothing of it was written, because the requests have no Idempotency-Key header.
func (c *Client) do(ctx context.Context, method, address, path string, body []byte) (*http.Response, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	return res, connected.Load(), err
}

// maxRefusalBytes limits the body of an error response.
const maxRefusalBytes = 4 << 10

// refusalError returns the error for a response with an error status. The code, the message and the
// retry delay are filled in if the response contains them. A broken response refuses nothing.
func refusalError(operation, address string, res *http.Response) *Error {
	defer func() { _ = res.Body.Close() }()
	e := &Error{
		kind: ErrRefused, operation: operation, address: address, sent: true,
		status: res.StatusCode, cause: fmt.Errorf("status %d", res.StatusCode),
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
		e.retryAfter = time.Duration(s) * time.Second
	}
	var w struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if http1.Broken(err) {
		return &Error{kind: ErrReset, operation: operation, address: address, sent: true, cause: err}
	}
	if err != nil || json.Unmarshal(body, &w) != nil {
		return e
	}
	e.code = w.Error.Code
	e.cause = fmt.Errorf("status %d: %s: %s", res.StatusCode, w.Error.Code, w.Error.Message)
	return e
}
