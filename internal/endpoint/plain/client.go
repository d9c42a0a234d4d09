package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// defaultTimeout is the request lifetime that documents use unless they say otherwise.
	defaultTimeout = 60 * time.Second
	// defaultDialTimeout is the progress deadline of all connections.
	defaultDialTimeout = time.Second
	// defaultMaxBodyBytes bounds what one call holds of a host's 32 MB.
	defaultMaxBodyBytes = 1 << 20
	// maxIdleConnections keeps connections for the lookups that one host sends to one service at once.
	maxIdleConnections = 16
)

// Config describes a Client.
type Config struct {
	// Timeout bounds a call whose context has no earlier deadline.
	Timeout     time.Duration
	DialTimeout time.Duration
	// MaxBodyBytes bounds the body of an answer.
	MaxBodyBytes int64
}

// Client calls plain services; one client serves all of them.
type Client struct {
	timeout time.Duration
	maxBody int64
	pooled  *http.Client
	fresh   *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	return &Client{
		timeout: cfg.Timeout,
		maxBody: cfg.MaxBodyBytes,
		pooled:  newHTTPClient(cfg, false),
		fresh:   newHTTPClient(cfg, true),
	}
}

func newHTTPClient(cfg Config, fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
			DisableKeepAlives:   fresh,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		// Following a redirect would send the call a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Request is one call.
type Request struct {
	Address string
	Method  string
	// Path is the escaped path with the query.
	Path string
	// Header holds the headers to pass on; those that concern one connection are left out.
	Header         http.Header
	IdempotencyKey string
	Body           []byte
	// Repeatable calls use pooled connections. Others use a new one, since an old connection that the
	// service closes or that went silent would leave open whether the call ran.
	Repeatable bool
}

// Answer is the whole answer of a service.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Header returns the headers; callers must not change them.
func (a Answer) Header() http.Header { return a.header }

// Body returns the body; callers must not change it.
func (a Answer) Body() []byte { return a.body }

// Call sends the request once and reads the whole answer, whatever its status.
func (c *Client) Call(ctx context.Context, r Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	target := r.Method + " " + r.Address + r.Path
	req, err := build(traced, r)
	if err != nil {
		return Answer{}, &Error{kind: ErrInvalid, target: target, cause: err}
	}
	client := c.fresh
	if r.Repeatable {
		client = c.pooled
	}
	res, err := client.Do(req)
	if err != nil {
		sent := connected.Load()
		c.distrustIdle(ctx)
		return Answer{}, &Error{kind: kindOf(ctx, sent, err), target: target, sent: sent, cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxBody+1))
	if err != nil {
		c.distrustIdle(ctx)
		return Answer{}, &Error{kind: kindOf(ctx, true, err), target: target, sent: true, status: res.StatusCode, cause: err}
	}
	if int64(len(body)) > c.maxBody {
		err := fmt.Errorf("over %d bytes", c.maxBody)
		return Answer{}, &Error{kind: ErrTooLarge, target: target, sent: true, status: res.StatusCode, cause: err}
	}
	return Answer{status: res.StatusCode, header: res.Header, body: body}, nil
}

// distrustIdle closes the idle connections after a timeout. They may have gone silent together with
// the one that was used, and each of them would cost one more lookup its timeout.
func (c *Client) distrustIdle(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pooled.CloseIdleConnections()
	}
}

// onceBody hides the type of its reader from net/http, so that the request gets no GetBody. Without
// GetBody the transport cannot send the body again on another connection, as it otherwise does for
// idempotent methods and for requests with an Idempotency-Key. An empty body is wrapped too, because
// the transport repeats requests without one.
type onceBody struct{ io.Reader }

func build(ctx context.Context, r Request) (*http.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, fmt.Errorf("path %q does not start with a slash", r.Path)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, onceBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		if !connectionHeader(name) {
			req.Header[http.CanonicalHeaderKey(name)] = values
		}
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	return req, nil
}

// connectionHeader reports whether a header concerns one connection only. Expect is among them: it
// would delay the body by one round trip.
func connectionHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length":
		return true
	}
	return false
}

func kindOf(ctx context.Context, sent bool, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return ErrCanceled
	case !sent:
		return ErrUnreachable
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return ErrTimeout
	}
	return ErrReset
}
