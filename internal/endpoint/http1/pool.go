package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// defaultDialTimeout is several hundred times the delay between failure domains.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout applies if an endpoint does not announce how long it keeps idle connections.
	defaultIdleTimeout = 4 * time.Second
	// defaultSendTimeout limits how long the rest of a request is sent after its response, if the context has no deadline.
	defaultSendTimeout = 30 * time.Second
	// idleMargin is subtracted from the timeout that an endpoint announces, so that the endpoint does not close a
	// connection while a request is being sent on it.
	idleMargin = 500 * time.Millisecond
	// defaultMaxIdle limits the idle connections to one address.
	defaultMaxIdle = 32
	// maxUnrelated limits how many responses to other requests are read before the connection is abandoned.
	maxUnrelated = 3
	// maxUnrelatedBytes limits the body of a response to another request.
	maxUnrelatedBytes = 256 << 10
	// maxInformational limits how many informational responses come before a response.
	maxInformational = 8
	// maxHeadBytes limits what is read until the head of the response is complete, apart from the bodies of
	// responses to other requests.
	maxHeadBytes = 64 << 10
	bufferSize   = 4 << 10
)

// Config describes a Pool.
type Config struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// MaxIdle limits the idle connections to one address. If it is negative, no connection is kept.
	MaxIdle int
	// Matches tells whether a response with these headers belongs to the request; nil accepts all responses.
	Matches func(*Request, http.Header) Match
}

// Match tells whether a response belongs to a request.
type Match string

// The matches.
const (
	// Same is a response to the request.
	Same Match = "same"
	// Other is a response to another request.
	Other Match = "other"
	// Unidentified is a response that does not name its request. It is accepted only on a new connection, since it
	// may be a late copy of an earlier response.
	Unidentified Match = "unidentified"
)

// Request is one request to be sent.
type Request struct {
	Method string
	// Target is the request target, written unchanged on the request line.
	Target string
	Host   string
	Header http.Header
	// Body is nil for a request without a body or with an empty one. The endpoint may respond before it has read all of it. It then gets the
	// rest after the response, until the context's deadline. A Body that is an io.Closer is closed once it is read no more.
	Body io.Reader
	// Length is the length of the body in bytes, or -1 for a chunked body.
	Length int64
	// Fresh requires a new connection in place of an idle one.
	Fresh bool
}

// Response is the response to a request. Its body must be closed. A body that breaks off ends with an *IncompleteError, one whose
// trailer is malformed with a *MalformedError.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	Body   io.ReadCloser
	// CloseDelimited is true if the body has neither a length nor chunks and ends with the connection.
	CloseDelimited bool
}

// Error is the error of a request without a response. It reports whether the request may have been sent.
type Error struct {
	// Sent is true if a byte of the request may have reached the endpoint.
	Sent bool
	// stale is true if the connection had been idle before and ended without having delivered anything.
	stale bool
	err   error
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Sent reports whether a request that failed with err may have reached the endpoint.
func Sent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Sent
}

var (
	errUnrelated     = errors.New("http1: responses belong to other requests")
	errUnidentified  = errors.New("http1: response on a connection in use again does not say to which request it belongs")
	errInformational = errors.New("http1: too many informational responses")
	errHeadTooLong   = errors.New("http1: head of the response is too long")
)

// Pool keeps idle connections to endpoints for reuse.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	// dials counts new connections.
	dials int64
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = defaultMaxIdle
	}
	return &Pool{cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}, idle: map[string][]*conn{}}
}

// Dials returns the number of connections that were opened.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes all idle connections to the address.
func (p *Pool) Close(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	// reused is set once a request was sent on the connection.
	reused bool
	// received is set once something has arrived since the last request was sent.
	received bool
	// headLeft is how many bytes may still be read for the head of a response; it is negative outside of heads.
	headLeft int
	reader   *bufio.Reader
	expires  time.Time
	// watchDone is closed when the goroutine that watches the idle connection has stopped. unusable is valid only
	// after that.
	watchDone chan struct{}
	unusable  bool
	once      sync.Once
}

func (c *conn) close() {
	c.once.Do(func() {
		// An error could only concern this connection, which is no longer used.
		_ = c.Close() //nolint:errcheck // nothing depends on it
	})
}

// DoRepeatable is Do for a request without a body that may be sent twice. It is sent again, on a new connection, if the endpoint closed
// an idle connection at the moment at which the request was sent on it.
func (p *Pool) DoRepeatable(ctx context.Context, address string, req *Request) (*Response, error) {
	resp, err := p.Do(ctx, address, req)
	var failed *Error
	if errors.As(err, &failed) && failed.stale && ctx.Err() == nil {
		again := *req
		again.Fresh = true
		return p.Do(ctx, address, &again)
	}
	return resp, err
}

// Do sends a request and returns the response once its headers have been read. If ctx ends, also while the response's body
// is read, the connection is closed. An error has the type *Error.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, req.Fresh)
	if err != nil {
		return nil, &Error{err: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	sent := make(chan error, 1)
	reused := c.reused
	c.received = false
	if req.Length < 0 || req.Length > bufferSize*16 {
		// The endpoint may respond to a long body before it has read all of it.
		go func() {
			err := c.write(req)
			var unread *bodyError
			if errors.As(err, &unread) {
				// The endpoint waits for the rest of a body that does not come.
				c.close()
			}
			if closer, ok := req.Body.(io.Closer); ok {
				_ = closer.Close() //nolint:errcheck // how the body ended is known
			}
			sent <- err
		}()
	} else {
		err := c.write(req)
		sent <- err
		if err != nil {
			stop()
			c.close()
			return nil, &Error{Sent: true, stale: reused, err: err}
		}
	}
	resp, err := c.read(req, p.cfg.Matches) //nolint:bodyclose // the body is closed by the caller, through body
	if err != nil {
		stop()
		c.close()
		return nil, &Error{Sent: true, stale: reused && !c.received, err: err}
	}
	b := &body{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, sent: sent, idleTimeout: p.idleTimeoutAfter(resp)}
	var limited bool
	if b.sendDeadline, limited = ctx.Deadline(); !limited {
		b.sendDeadline = time.Now().Add(defaultSendTimeout)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: b, CloseDelimited: closeDelimited(resp),
	}, nil
}

// closeDelimited reports whether the end of the connection is all that marks the end of the body.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// idleTimeoutAfter returns how long the connection may stay idle after the response; 0 means that it must not be
// reused.
func (p *Pool) idleTimeoutAfter(resp *http.Response) time.Duration {
	if resp.Close || closeDelimited(resp) {
		return 0
	}
	idleTimeout := p.cfg.IdleTimeout
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(v); err == nil {
				idleTimeout = time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return idleTimeout
}

func (p *Pool) acquire(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		// The past deadline wakes the watching goroutine, which records whether anything was received while the
		// connection was idle.
		if err := c.SetReadDeadline(pastTime); err != nil {
			c.close()
			continue
		}
		<-c.watchDone
		if c.unusable || !time.Now().Before(c.expires) {
			c.close()
			continue
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			c.close()
			continue
		}
		return c, nil
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	c := &conn{Conn: &orderlyConn{Conn: nc}, address: address, headLeft: -1}
	c.reader = bufio.NewReaderSize(headReader{c}, bufferSize)
	return c, nil
}

// Connect opens a connection to an address and closes it.
func (p *Pool) Connect(ctx context.Context, address string) error {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return nc.Close()
}

// headReader reads from a connection and bounds the size of heads, which net/http keeps in memory whole.
type headReader struct{ c *conn }

// Read implements io.Reader.
func (r headReader) Read(p []byte) (int, error) {
	c := r.c
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if c.headLeft > 0 && len(p) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.Read(p)
	c.received = c.received || n > 0
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	return n, err
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// put adds an idle connection to the pool and watches it. Bytes that arrive without a request, or the end of the
// connection, make it unusable.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.expires = time.Now().Add(idleTimeout)
	c.watchDone, c.unusable = make(chan struct{}), false
	if err := c.SetReadDeadline(c.expires); err != nil {
		c.close()
		return
	}
	p.mu.Lock()
	if len(p.idle[c.address]) >= p.cfg.MaxIdle {
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
	go func() {
		defer close(c.watchDone)
		_, err := c.reader.Peek(1)
		var timeout net.Error
		c.unusable = !errors.As(err, &timeout) || !timeout.Timeout()
		if c.unusable || !time.Now().Before(c.expires) {
			p.removeIdle(c)
		}
	}()
}

// removeIdle closes a connection and removes it from the pool, unless a request has acquired it already.
func (p *Pool) removeIdle(c *conn) {
	p.mu.Lock()
	conns := p.idle[c.address]
	for i := range conns {
		if conns[i] == c {
			p.idle[c.address] = append(conns[:i], conns[i+1:]...)
			break
		}
	}
	if len(p.idle[c.address]) == 0 {
		delete(p.idle, c.address)
	}
	p.mu.Unlock()
	c.close()
}

func (c *conn) write(req *Request) error {
	w := bufio.NewWriterSize(c.Conn, bufferSize)
	head := req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n"
	switch {
	case req.Body == nil && req.Length == 0 && (req.Method == http.MethodGet || req.Method == http.MethodHead):
	case req.Length >= 0:
		head += "Content-Length: " + strconv.FormatInt(req.Length, 10) + "\r\n"
	default:
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := w.WriteString(head); err != nil {
		return err
	}
	if err := req.Header.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if req.Body != nil || req.Length < 0 {
		if err := copyBody(w, req); err != nil {
			return err
		}
	}
	return w.Flush()
}

// read returns the first response that belongs to the request.
func (c *conn) read(req *Request, matches func(*Request, http.Header) Match) (*http.Response, error) {
	request := &http.Request{Method: req.Method}
	defer func() { c.reused = true }()
	for range maxUnrelated {
		resp, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		match := Same
		if matches != nil {
			match = matches(req, resp.Header)
		}
		switch {
		case match == Same, match == Unidentified && !c.reused:
			return resp, nil
		case match == Unidentified:
			return nil, errUnidentified
		}
		if n, err := io.CopyN(io.Discard, resp.Body, maxUnrelatedBytes); !errors.Is(err, io.EOF) {
			return nil, eris.Wrapf(errUnrelated, "%d bytes read: %v", n, err)
		}
		if resp.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, errUnrelated
}

// readHead returns the next response that is not informational.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.headLeft = maxHeadBytes
	defer func() { c.headLeft = -1 }()
	for range maxInformational + 1 {
		resp, err := c.readResponse(request)
		if err != nil && c.received {
			err = checkRead(err)
		}
		if err != nil {
			return nil, err
		}
		if err := checkResponse(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInformational
}

// readResponse reads the next head. net/http drops the Transfer-Encoding of a response of HTTP/1.0 and would take the sizes of chunks
// for a part of the body, so that such a response is read as one of HTTP/1.1 and refused if it has the field.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	const http10, http11 = "HTTP/1.0", "HTTP/1.1"
	version, err := c.reader.Peek(len(http10))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if string(version) != http10 {
		return http.ReadResponse(c.reader, request)
	}
	if _, err := c.reader.Discard(len(http10)); err != nil {
		return nil, err
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(strings.NewReader(http11), c.reader), bufferSize)
	resp, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err
	}
	if encoding := resp.TransferEncoding; len(encoding) > 0 {
		return nil, newMalformedError(InvalidFraming, fmt.Errorf("transfer encoding %q in %s", encoding, http10))
	}
	// The connection is not kept, since its reader is wrapped.
	resp.Close = true
	return resp, nil
}
