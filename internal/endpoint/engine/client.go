package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"waxwingplank/internal/core/table"
)

const (
	// defaultProgress is twice the period of the engines' heartbeats.
	defaultProgress = time.Second
	// defaultMaxLineBytes is far above a token with the receipt of a pipeline of 100 stages.
	defaultMaxLineBytes = 64 << 10
	// maxAnswerBytes bounds every answer that is no stream; a list of cache events is the longest.
	maxAnswerBytes = 1 << 20
	// maxIdleConnections keeps connections for the streams that one host opens at one engine in a burst.
	maxIdleConnections = 16
	// idleTimeout bounds how long a pooled connection that went silent can still be chosen.
	idleTimeout = 30 * time.Second
)

// Config describes a Client.
type Config struct {
	// ProgressDeadline is how long a call or stream may receive nothing, not even a heartbeat.
	ProgressDeadline time.Duration
	// OrderTimeout bounds an order, which an engine may answer only after loading weights.
	OrderTimeout time.Duration
	// MaxLineBytes bounds one line of a stream.
	MaxLineBytes int
}

// Client calls model engines; one client serves all engines.
type Client struct {
	progress time.Duration
	order    time.Duration
	maxLine  int
	pooled   *http.Client
	fresh    *http.Client
	// silent holds, by address, when a connection went silent.
	silent sync.Map
}

// defaultOrderTimeout is the longest order that the lease takeover waits for.
const defaultOrderTimeout = 5 * time.Second

// New returns a client.
func New(cfg Config) *Client {
	if cfg.ProgressDeadline <= 0 {
		cfg.ProgressDeadline = defaultProgress
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
		pooled:   newHTTPClient(cfg, false),
		fresh:    newHTTPClient(cfg, true),
	}
}

func newHTTPClient(cfg Config, fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: cfg.ProgressDeadline}).DialContext,
			DisableKeepAlives:   fresh,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// client returns the pooled connections unless one of the address went silent within the time that
// others of the same age may be idle: each of those would cost one more stream its progress deadline.
func (c *Client) client(address string) *http.Client {
	at, ok := c.silent.Load(address)
	if !ok {
		return c.pooled
	}
	if time.Since(at.(time.Time)) < idleTimeout {
		return c.fresh
	}
	c.silent.Delete(address)
	return c.pooled
}

// failed names the reason of a failure and remembers silent addresses.
func (c *Client) failed(ctx context.Context, p *progress, operation, address string, sent bool, err error) *Error {
	e := classify(ctx, p, operation, address, sent, err)
	c.remember(e)
	return e
}

func (c *Client) remember(e *Error) {
	if errors.Is(e, ErrSilent) {
		c.silent.Store(e.address, time.Now())
	}
}

// Open starts or resumes a stream at the first stage of its route. It returns once the engine has
// accepted the stream, which may still wait in the engine's queue.
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
	p := newProgress(c.progress, cancel)
	res, sent, err := c.do(streamCtx, http.MethodPost, address, "/v1/streams", body) //nolint:bodyclose // Stream.Close closes it.
	p.disarm()
	if err != nil {
		cancel()
		return nil, c.failed(ctx, p, "open", address, sent, err)
	}
	if res.StatusCode != http.StatusOK {
		p.arm()
		err := refusal("open", address, res)
		p.disarm()
		cancel()
		return nil, err
	}
	s := newStream(ctx, address, res, c.maxLine, p)
	s.failed = c.remember
	return s, nil
}

// Cancel ends a stream on every stage, up to the given attempt.
func (c *Client) Cancel(ctx context.Context, address string, stream table.StreamID, attempt int) error {
	path := "/v1/streams/" + url.PathEscape(string(stream)) + "?attempt=" + strconv.Itoa(attempt)
	return c.call(ctx, exchange{operation: "cancel", method: http.MethodDelete, address: address, path: path})
}

type exchange struct {
	operation string
	method    string
	address   string
	path      string
	timeout   time.Duration
	in        any
	out       any
}

// call runs one exchange with a bounded answer.
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
	p := newProgress(x.timeout, cancel)
	defer p.disarm()
	res, sent, err := c.do(callCtx, x.method, x.address, x.path, body)
	if err != nil {
		return c.failed(ctx, p, x.operation, x.address, sent, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return refusal(x.operation, x.address, res)
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return c.failed(ctx, p, x.operation, x.address, true, err)
	}
	if len(answer) > maxAnswerBytes {
		err = fmt.Errorf("answer over %d bytes", maxAnswerBytes)
	} else if x.out != nil {
		err = json.Unmarshal(answer, x.out)
	}
	if err != nil {
		return &Error{kind: ErrMalformed, operation: x.operation, address: x.address, sent: true, cause: err}
	}
	return nil
}

// do sends one request. Go's transport may repeat a POST or DELETE only where nothing was written:
// the requests carry no Idempotency-Key header.
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
	res, err := c.client(address).Do(req)
	return res, connected.Load(), err
}

// maxRefusalBytes bounds the body of an error answer.
const maxRefusalBytes = 4 << 10

func refusal(operation, address string, res *http.Response) *Error {
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
	if err != nil || json.Unmarshal(body, &w) != nil {
		return e
	}
	e.code = w.Error.Code
	e.cause = fmt.Errorf("status %d: %s: %s", res.StatusCode, w.Error.Code, w.Error.Message)
	return e
}
