package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"waxwingplank/internal/endpoint/http1"
)

const (
	// defaultTimeout is far above the few milliseconds that the object API normally needs.
	defaultTimeout = 2 * time.Second
	// maxValueBytes is the limit of the object API for one value.
	maxValueBytes = 1 << 20
	// maxListBytes limits the response of List and Watch to half of the 32 MB of memory that a host may use for
	// control.
	maxListBytes = 16 << 20
	// maxIdleConnections allows one connection for each concurrent shard write of a host.
	maxIdleConnections = 32
)

// Config configures a Client.
type Config struct {
	// Address is host:port of the object API.
	Address string
	// Timeout limits each call. The wait of a watch is added to it. The default is 2 s.
	Timeout time.Duration
}

// Client calls the object API.
type Client struct {
	address string
	timeout time.Duration
	pool    *http1.Pool
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{
		address: cfg.Address,
		timeout: cfg.Timeout,
		pool:    http1.New(http1.Config{DialTimeout: cfg.Timeout, IdleTimeout: time.Minute, MaxIdle: maxIdleConnections}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close(c.address) }

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	r := c.call(ctx, call{method: http.MethodGet, path: objectPath(kind, name), maxBytes: maxValueBytes})
	if r.err != nil {
		return Object{}, r.err
	}
	version, err := parseVersion(r.header.Get("ETag"))
	if err != nil {
		return Object{}, r.newError(ErrUnavailable, err)
	}
	return Object{kind: kind, name: name, version: version, value: r.body}, nil
}

// Put writes one object if its version is the expected one, and returns its new version.
func (c *Client) Put(ctx context.Context, w Write) (int64, error) {
	r := c.call(ctx, call{
		method: http.MethodPut, path: objectPath(w.Kind, w.Name),
		body: w.Value, write: true, expected: w.Expected, maxBytes: maxValueBytes,
	})
	if r.err != nil {
		return 0, r.err
	}
	version, err := parseVersion(r.header.Get("ETag"))
	if err != nil {
		return 0, r.newError(ErrEffectUnknown, err)
	}
	return version, nil
}

// Delete deletes the object if its version is the expected one.
func (c *Client) Delete(ctx context.Context, kind, name string, expected int64) error {
	r := c.call(ctx, call{
		method: http.MethodDelete, path: objectPath(kind, name),
		write: true, expected: expected, maxBytes: maxValueBytes,
	})
	return r.err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (Snapshot, error) {
	r := c.call(ctx, call{method: http.MethodGet, path: "/v1/objects/" + url.PathEscape(kind), maxBytes: maxListBytes})
	return r.snapshot(kind)
}

// Watch waits up to the given time for changes to objects of a kind after a store version. It makes one
// long poll. The snapshot has no objects if nothing changed.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Snapshot, error) {
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", url.PathEscape(kind), after, wait.Milliseconds())
	r := c.call(ctx, call{method: http.MethodGet, path: path, maxBytes: maxListBytes, pollWait: wait})
	return r.snapshot(kind)
}

type call struct {
	method   string
	path     string
	body     []byte
	write    bool
	expected int64
	maxBytes int64
	pollWait time.Duration
}

type callResult struct {
	call   call
	header http.Header
	body   []byte
	err    error
}

// call sends one request and reads the response. Only a read may be sent twice.
func (c *Client) call(ctx context.Context, k call) callResult {
	r := callResult{call: k}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.pollWait)
	defer cancel()
	req := &http1.Request{Method: k.method, Target: k.path, Host: c.address, Header: http.Header{}}
	send := c.pool.DoRepeatable
	if k.write {
		setCondition(req.Header, k)
		send = c.pool.Do
	}
	if len(k.body) > 0 {
		req.Body, req.Length = bytes.NewReader(k.body), int64(len(k.body))
	}
	res, err := send(ctx, c.address, req)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		r.err = r.newError(r.kindWithoutResponse(http1.Sent(err)), err)
		return r
	}
	defer func() { _ = res.Body.Close() }()
	body, err := readBounded(res.Body, k.maxBytes)
	r.header, r.body = res.Header, body
	switch {
	case err != nil && (res.Status < http.StatusMultipleChoices || http1.Broken(err)):
		c.closeIdleAfterTimeout(ctx)
		r.err = r.newError(r.kindWithoutResponse(true), err)
	case res.Status >= http.StatusMultipleChoices:
		r.err = r.statusError(res)
	}
	return r
}

// closeIdleAfterTimeout closes the idle connections if the call timed out or was canceled. They may have
// stalled together with the one that was used, and each of them would cost one more call its timeout.
func (c *Client) closeIdleAfterTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		c.pool.Close(c.address)
	}
}

// setCondition adds the header that makes a write conditional on the expected version.
func setCondition(h http.Header, k call) {
	if k.method == http.MethodPut && k.expected == 0 {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", formatVersion(k.expected))
}

// kindWithoutResponse returns the kind of a call without a complete response: ErrEffectUnknown for a write
// that may have been sent, ErrUnavailable otherwise. A read has no effect, so its effect is never unknown.
func (r *callResult) kindWithoutResponse(sent bool) error {
	if r.call.write && sent {
		return ErrEffectUnknown
	}
	return ErrUnavailable
}

// statusError returns the error for a response with an error status.
func (r *callResult) statusError(res *http1.Response) error {
	cause := fmt.Errorf("status %d", res.Status)
	e := r.newError(ErrRejected, cause)
	switch res.Status {
	case http.StatusPreconditionFailed:
		e.kind = ErrConflict
		if v, err := parseVersion(res.Header.Get("ETag")); err == nil {
			e.current = v
		}
	case http.StatusNotFound:
		e.kind = ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		e.kind = ErrUnavailable
		if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
			e.retryAfter = time.Duration(s) * time.Second
		}
	default:
		if res.Status >= http.StatusInternalServerError || res.Status < http.StatusBadRequest {
			e.kind = r.kindWithoutResponse(true)
		}
	}
	return e
}

func (r *callResult) newError(kind, cause error) *Error {
	return &Error{kind: kind, operation: r.call.method, object: r.call.path, current: -1, cause: cause}
}

type wireSnapshot struct {
	Version *int64       `json:"version"`
	Objects []wireObject `json:"objects"`
	Reset   bool         `json:"reset"`
}

type wireObject struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted"`
}

// snapshot decodes the response of List and Watch.
func (r *callResult) snapshot(kind string) (Snapshot, error) {
	if r.err != nil {
		return Snapshot{}, r.err
	}
	var w wireSnapshot
	if err := json.Unmarshal(r.body, &w); err != nil {
		return Snapshot{}, r.newError(ErrUnavailable, err)
	}
	if w.Version == nil {
		return Snapshot{}, r.newError(ErrUnavailable, errors.New("answer without a store version"))
	}
	s := Snapshot{version: *w.Version, reset: w.Reset, objects: make([]Object, len(w.Objects))}
	for i, o := range w.Objects {
		if o.Name == "" || o.Version <= 0 {
			return Snapshot{}, r.newError(ErrUnavailable, errors.New("object without a name or version"))
		}
		s.objects[i] = Object{kind: kind, name: o.Name, version: o.Version, value: o.Value, deleted: o.Deleted}
	}
	return s, nil
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer over %d bytes", limit)
	}
	return body, nil
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func formatVersion(v int64) string { return `"` + strconv.FormatInt(v, 10) + `"` }

func parseVersion(s string) (int64, error) {
	v, err := strconv.ParseInt(strings.Trim(s, `"`), 10, 64)
	if err != nil || v < 0 {
		return 0, fmt.Errorf("bad version %q", s)
	}
	return v, nil
}
