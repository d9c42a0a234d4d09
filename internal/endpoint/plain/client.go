package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"waxwingplank/internal/endpoint/http1"
)

const (
	// defaultTimeout is the default request timeout of documents.
	defaultTimeout = 60 * time.Second
	// defaultDialTimeout equals the progress deadline that is used for all connections.
	defaultDialTimeout = time.Second
	// defaultMaxBodyBytes limits the share of a host's 32 MB of memory that one call can use.
	defaultMaxBodyBytes = 1 << 20
)

// Config configures a Client.
type Config struct {
	// Timeout limits a call whose context has no earlier deadline. The default is 60 s.
	Timeout     time.Duration
	DialTimeout time.Duration
	// MaxBodyBytes limits the body of a response. The default is 1 MiB.
	MaxBodyBytes int64
}

// Client calls plain services. One client is used for all services.
//
// Each call has a connection of its own. Responses of a plain service do not identify their request, so that a late second
// copy of a response would be taken for the response to the next request on the same connection.
type Client struct {
	timeout time.Duration
	maxBody int64
	pool    *http1.Pool
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
		timeout: cfg.Timeout, maxBody: cfg.MaxBodyBytes, pool: http1.New(http1.Config{DialTimeout: cfg.DialTimeout, MaxIdle: -1}),
	}
}

// Request describes one call.
type Request struct {
	Address string
	Method  string
	// Path is the escaped path, including the query.
	Path string
	// Header holds the headers to forward. Hop-by-hop headers are left out.
	Header         http.Header
	IdempotencyKey string
	Body           []byte
}

// Response is the complete response of a service.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Header returns the headers. Callers must not change them.
func (r Response) Header() http.Header { return r.header }

// Body returns the body. Callers must not change it.
func (r Response) Body() []byte { return r.body }

// Call sends the request once and reads the complete response. A response with an error status is no error.
func (c *Client) Call(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := r.Method + " " + r.Address + r.Path
	req, err := newHTTPRequest(ctx, r)
	if err != nil {
		return Response{}, &Error{kind: ErrInvalid, target: target, cause: err}
	}
	res, err := c.pool.Do(ctx, r.Address, req)
	if err != nil {
		sent := http1.Sent(err)
		return Response{}, &Error{kind: failureKind(ctx, sent, err), target: target, sent: sent, cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxBody+1))
	if err != nil {
		failed := &Error{kind: failureKind(ctx, true, err), target: target, sent: true, status: res.Status, cause: err}
		if _, ok := errors.AsType[*http1.MalformedError](err); ok {
			// The status is not to be believed either.
			failed.status = 0
		}
		return Response{}, failed
	}
	if int64(len(body)) > c.maxBody {
		err := fmt.Errorf("over %d bytes", c.maxBody)
		return Response{}, &Error{kind: ErrTooLarge, target: target, sent: true, status: res.Status, cause: err}
	}
	return Response{status: res.Status, header: res.Header, body: body}, nil
}

// newHTTPRequest lets net/http check and escape the method and the path.
func newHTTPRequest(ctx context.Context, r Request) (*http1.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, fmt.Errorf("path %q does not start with a slash", r.Path)
	}
	checked, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, http.NoBody)
	if err != nil {
		return nil, err
	}
	req := &http1.Request{
		Method: checked.Method, Target: checked.URL.RequestURI(), Host: r.Address, Header: http.Header{}, Length: int64(len(r.Body)), Fresh: true,
	}
	if len(r.Body) > 0 {
		req.Body = bytes.NewReader(r.Body)
	}
	for name, values := range r.Header {
		if !isHopByHop(name) {
			req.Header[http.CanonicalHeaderKey(name)] = values
		}
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	return req, nil
}

// isHopByHop reports whether a header applies to a single connection and is not forwarded. Expect is
// included because it would delay the body by one round trip.
func isHopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length":
		return true
	}
	return false
}

// failureKind returns the kind of a failed call.
func failureKind(ctx context.Context, sent bool, err error) error {
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
