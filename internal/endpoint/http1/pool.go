package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// defaultDialTimeout is some hundred times the delay between failure domains.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is used where an endpoint does not say how long it keeps connections.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the time that an endpoint gives, so that it does not close as we send.
	idleMargin = 500 * time.Millisecond
	// defaultMaxIdle bounds the kept connections to one address.
	defaultMaxIdle = 32
	// maxForeign bounds the answers to other requests that are dropped before the awaited one.
	maxForeign = 3
	bufferSize = 4 << 10
)

// Config describes a Pool.
type Config struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxIdle     int
	// Ours reports whether an answer belongs to the request; nil accepts all.
	Ours func(*Request, http.Header) bool
}

// Request is one request to be sent.
type Request struct {
	Method string
	// Target is the request target as it is written on the request line.
	Target string
	Host   string
	Header http.Header
	// Body is nil where there is none.
	Body io.Reader
	// Length is the length of the body, or -1 for a body in chunks.
	Length int64
	// Fresh asks for a new connection.
	Fresh bool
}

// Response is the head of an answer and its body.
type Response struct {
	Status int
	Header http.Header
	// Length is -1 where the answer does not say it.
	Length int64
	Body   io.ReadCloser
}

// Error says how far a request came that got no answer.
type Error struct {
	// Sent is true where a byte of the request may have reached the endpoint.
	Sent bool
	err  error
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
	errForeign  = errors.New("http1: answers belong to other requests")
	errUpgraded = errors.New("http1: unexpected informational answer")
)

// Pool keeps connections to endpoints.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	// dials counts new connections.
	dials int64
}

// New returns a pool without connections.
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

// Dials returns how many connections were opened.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes all kept connections to an address.
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
	reader  *bufio.Reader
	expires time.Time
	// watch ends once the watcher of an idle connection has stopped; spoiled is valid after that.
	watch   chan struct{}
	spoiled bool
	once    sync.Once
}

func (c *conn) close() {
	c.once.Do(func() {
		// Only the connection's own failure could be reported, and it is given up.
		_ = c.Close() //nolint:errcheck // nothing depends on it
	})
}

// Do sends a request and returns the answer's head. Ending ctx closes the connection at any time.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	c, err := p.take(ctx, address, req.Fresh)
	if err != nil {
		return nil, &Error{err: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	sent := make(chan error, 1)
	if req.Length < 0 || req.Length > bufferSize*16 {
		// A long body may be answered before it has been read.
		go func() { sent <- c.write(req) }()
	} else {
		err := c.write(req)
		sent <- err
		if err != nil {
			stop()
			c.close()
			return nil, &Error{Sent: true, err: err}
		}
	}
	resp, err := c.read(req, p.cfg.Ours) //nolint:bodyclose // the body is closed by the caller, through body
	if err != nil {
		stop()
		c.close()
		return nil, &Error{Sent: true, err: err}
	}
	b := &body{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, sent: sent, keep: p.keepFor(resp)}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: b}, nil
}

// keepFor returns how long the connection may be kept after the answer; zero means that it may not.
func (p *Pool) keepFor(resp *http.Response) time.Duration {
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		return 0
	}
	keep := p.cfg.IdleTimeout
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(v); err == nil {
				keep = time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return keep
}

func (p *Pool) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		// Wakes the watcher, which tells whether anything came in while the connection was idle.
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.close()
			continue
		}
		<-c.watch
		if c.spoiled || !time.Now().Before(c.expires) {
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
	return &conn{Conn: nc, address: address, reader: bufio.NewReaderSize(nc, bufferSize)}, nil
}

func (p *Pool) pop(address string) *conn {
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

// put keeps a connection and watches it: bytes that come while no request waits, or its end, spoil it.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.expires = time.Now().Add(keep)
	c.watch, c.spoiled = make(chan struct{}), false
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
		defer close(c.watch)
		_, err := c.reader.Peek(1)
		var timeout net.Error
		c.spoiled = !errors.As(err, &timeout) || !timeout.Timeout()
		if c.spoiled || !time.Now().Before(c.expires) {
			p.drop(c)
		}
	}()
}

// drop closes an idle connection and forgets it unless a request has taken it.
func (p *Pool) drop(c *conn) {
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
	if req.Body != nil {
		if err := copyBody(w, req); err != nil {
			return err
		}
	}
	return w.Flush()
}

// read returns the first answer that belongs to the request.
func (c *conn) read(req *Request, ours func(*Request, http.Header) bool) (*http.Response, error) {
	asked := &http.Request{Method: req.Method}
	for range maxForeign {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, errUpgraded
			}
			continue
		}
		if ours == nil || ours(req, resp.Header) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, errForeign
}
