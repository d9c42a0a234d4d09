package http1

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/standin/script"
)

// endlessBody is a request's body that has no end.
type endlessBody struct {
	sent int
	// flowing is closed once more was sent than an endpoint that stops reading has read, closed once the body is read no more.
	flowing chan struct{}
	closed  chan struct{}
}

func newEndlessBody() *endlessBody {
	return &endlessBody{flowing: make(chan struct{}), closed: make(chan struct{})}
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	const flow = 256 << 10
	if b.sent < flow && b.sent+len(p) >= flow {
		close(b.flowing)
	}
	b.sent += len(p)
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	close(b.closed)
	return nil
}

// upload returns a request with a long body.
func upload(body io.Reader, length int64) *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "host.example", Header: http.Header{}, Body: body, Length: length}
}

// startScript starts an endpoint and returns it with a context that ends a test that waits in vain.
func startScript(t *testing.T, text string) (*script.Server, context.Context) {
	t.Helper()
	s := script.New(text)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return s, ctx
}

// describeEnd names how a response ended.
func describeEnd(err error) string {
	if err == nil {
		return "complete"
	}
	if incomplete, ok := errors.AsType[*IncompleteError](err); ok {
		return string(incomplete.Part())
	}
	return err.Error()
}

// lengths are the lengths with which requests are sent: known and chunked.
var lengths = map[string]int64{"length": 1 << 40, "chunks": -1}

// Guards against a part of an answer that looks complete because the sender of the request was the first to get the error of the
// connection, which the kernel reports once: the reader is held back until the sender has failed.
func TestSenderLearnsFirst(t *testing.T) {
	cases, err := script.ReadCases("testdata/incomplete.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		for form, length := range lengths {
			t.Run(c.Name()+"/"+form, func(t *testing.T) {
				is := is.New(t)
				want, end := strings.TrimSpace(c.Part("body")), strings.TrimSpace(c.Part("end"))
				if n := strings.TrimSpace(c.Part("repeat")); n != "" {
					count, err := strconv.Atoi(n)
					is.NoErr(err)
					want = strings.Repeat(want, count)
				}
				s, ctx := startScript(t, c.Part("script"))
				counted := Incomplete()
				pool, body := New(Config{}), newEndlessBody()
				if end == string(Head) {
					go s.Release()
				}
				resp, err := pool.Do(ctx, s.Address(), upload(body, length))
				var got []byte
				if err == nil {
					got = make([]byte, len(want))
					_, err = io.ReadFull(resp.Body, got)
					is.NoErr(err)
					<-body.flowing
					s.Release()
					<-body.closed
					var rest []byte
					rest, err = io.ReadAll(resp.Body)
					got = append(got, rest...)
					_, again := resp.Body.Read(make([]byte, 1))
					is.True(err == nil || errors.Is(again, err)) // the error remains
				} else {
					is.True(Sent(err))
				}
				is.Equal(string(got), want)
				is.Equal(describeEnd(err), end)
				is.Equal(pool.popIdle(s.Address()), nil) // the connection is not used again
				for _, part := range Parts() {
					n := counted[part]
					if string(part) == end {
						n++
					}
					is.Equal(Incomplete()[part], n)
				}
			})
		}
	}
}

// sendFunc sends a long request and returns the body of the response.
type sendFunc func(ctx context.Context, address string, body io.ReadCloser, length int64) (io.ReadCloser, error)

var sendFuncs = map[string]sendFunc{
	"pool": func(ctx context.Context, address string, body io.ReadCloser, length int64) (io.ReadCloser, error) {
		resp, err := New(Config{}).Do(ctx, address, upload(body, length))
		if err != nil {
			return nil, err
		}
		return resp.Body, nil
	},
	"transport": func(ctx context.Context, address string, body io.ReadCloser, length int64) (io.ReadCloser, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x", body)
		if err != nil {
			return nil, err
		}
		req.ContentLength = length
		resp, err := (&http.Client{Transport: NewTransport(&http.Transport{})}).Do(req)
		if err != nil {
			return nil, err
		}
		return resp.Body, nil
	},
}

// Guards against a part of an answer that looks complete when the sender and the reader of a connection get its end at the same time.
func TestSenderAndReaderLearnTogether(t *testing.T) {
	const rounds = 300
	for name, send := range sendFuncs {
		for form, length := range lengths {
			t.Run(name+"/"+form, func(t *testing.T) {
				is := is.New(t)
				s, ctx := startScript(t, "begin\nsend \"HTTP/1.1 200 OK\\r\\n\\r\\npart\"\nhold\nreset")
				ends := map[string]int{}
				for range rounds {
					body := newEndlessBody()
					resp, err := send(ctx, s.Address(), body, length)
					is.NoErr(err)
					go s.Release()
					got, err := io.ReadAll(resp)
					is.Equal(string(got), "part")
					ends[describeEnd(err)]++
					<-body.closed
					is.NoErr(resp.Close())
				}
				is.Equal(ends, map[string]int{string(Body): rounds})
			})
		}
	}
}

// Guards against an error of the sender that net/http keeps from the reader of the answer, which it would take for its own end of the
// connection.
func TestTransportSenderLearnsFirst(t *testing.T) {
	cases, err := script.ReadCases("testdata/incomplete.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		if strings.TrimSpace(c.Part("end")) != string(Body) {
			continue
		}
		for form, length := range lengths {
			t.Run(c.Name()+"/"+form, func(t *testing.T) {
				is := is.New(t)
				s, ctx := startScript(t, c.Part("script"))
				body := newEndlessBody()
				resp, err := sendFuncs["transport"](ctx, s.Address(), body, length)
				is.NoErr(err)
				_, err = io.ReadFull(resp, make([]byte, len(strings.TrimSpace(c.Part("body")))))
				is.NoErr(err)
				<-body.flowing
				s.Release()
				<-body.closed
				_, err = io.ReadAll(resp)
				is.Equal(describeEnd(err), string(Body))
				is.NoErr(resp.Close())
			})
		}
	}
}

// Guards against a sound answer without a length that is refused, or that waits for the end of the upload, because the endpoint ended
// its direction early; and against an upload that loses or repeats bytes when the reader interrupts it to ask for errors.
func TestEarlyAnswerIsCompleteAndWaitsForNoUpload(t *testing.T) {
	sent := make([]byte, 0, 16<<20)
	for n := 0; len(sent) < cap(sent)-8; n++ {
		sent = fmt.Appendf(sent, "%07d ", n)
	}
	for form, length := range map[string]int64{"length": int64(len(sent)), "chunks": -1} {
		t.Run(form, func(t *testing.T) {
			is := is.New(t)
			s, ctx := startScript(t, "begin\nreceive 100000\nsend \"HTTP/1.1 200 OK\\r\\n\\r\\nwhole\"\nshutdown\nhold\nrest")
			body := &notifyingBody{Reader: bytes.NewReader(sent), closed: make(chan struct{})}
			resp, err := New(Config{}).Do(ctx, s.Address(), upload(body, length))
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(got), "whole")
			select {
			case <-body.closed:
				t.Fatal("the upload has ended, so that the test shows nothing")
			default:
			}
			s.Release()
			<-body.closed
			for len(s.Requests()) == 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			is.Equal(len(s.Requests()), 1)
			_, received, _ := strings.Cut(s.Requests()[0], "\r\n\r\n")
			if length < 0 {
				whole, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(received)))
				is.NoErr(err)
				received = string(whole)
			}
			is.True(received == string(sent)) // no byte is lost or repeated
		})
	}
}

// fakeConn is a connection whose reads return io.EOF and whose writes wait for a deadline and then return the results in their order.
type fakeConn struct {
	net.Conn
	results  []writeResult
	deadline chan time.Time
	written  bytes.Buffer
}

type writeResult struct {
	n   int
	err error
}

// Read implements net.Conn.
func (c *fakeConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c *fakeConn) Write(p []byte) (int, error) {
	result := c.results[0]
	c.results = c.results[1:]
	if result.err != nil {
		<-c.deadline
	}
	c.written.Write(p[:result.n])
	return result.n, result.err
}

// SetWriteDeadline implements net.Conn.
func (c *fakeConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() {
		c.deadline <- t
	}
	return nil
}

// Guards against an end that is believed while the write that has got the reset is still to return, and against a write that is
// interrupted and loses or repeats bytes.
func TestReadDuringAWrite(t *testing.T) {
	reset := &net.OpError{Op: "write", Err: syscall.ECONNRESET}
	refused := &net.OpError{Op: "write", Err: syscall.EPIPE}
	deadline := &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
	cases := []struct {
		name     string
		results  []writeResult
		read     error
		written  string
		writeErr error
	}{
		{"the write has got a reset", []writeResult{{0, reset}}, reset, "", reset},
		{"a part was written before the reset", []writeResult{{2, reset}}, reset, "up", reset},
		{"the write waits", []writeResult{{0, deadline}, {6, nil}}, io.EOF, "upload", nil},
		{"the write waits after a part", []writeResult{{2, deadline}, {4, nil}}, io.EOF, "upload", nil},
		{"the peer has ended its direction before it refused the rest", []writeResult{{2, refused}}, io.EOF, "up", refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fake := &fakeConn{results: c.results, deadline: make(chan time.Time)}
			conn := &orderlyConn{Conn: fake}
			ended := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("upload"))
				ended <- err
			}()
			for !conn.inWrite() {
				time.Sleep(time.Millisecond)
			}
			_, err := conn.Read(make([]byte, 1))
			is.Equal(err, c.read)
			is.Equal(<-ended, c.writeErr)
			is.Equal(fake.written.String(), c.written)
		})
	}
}

func (c *orderlyConn) inWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing
}

// notifyingBody closes a channel once it is read no more.
type notifyingBody struct {
	io.Reader
	closed chan struct{}
}

// Close implements io.Closer.
func (b *notifyingBody) Close() error {
	close(b.closed)
	return nil
}

// Guards against a part of an answer over TLS that looks complete because its connection ended without the peer's close_notify alert.
func TestEndOverTLS(t *testing.T) {
	cases := []struct {
		name, answer string
		alert        bool
		end          string
	}{
		{"no length and no alert", "HTTP/1.1 200 OK\r\n\r\npart", false, string(Body)},
		{"HTTP/1.0 and no alert", "HTTP/1.0 200 OK\r\n\r\npart", false, string(Body)},
		{"no length and an alert", "HTTP/1.1 200 OK\r\n\r\npart", true, "complete"},
		{"a length and no alert", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", false, "complete"},
		{"chunks and no alert", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", false, "complete"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(conn, c.answer)
				if !c.alert {
					conn = conn.(*tls.Conn).NetConn()
				}
				_ = conn.Close()
			}))
			defer server.Close()
			base := &http.Transport{TLSClientConfig: server.Client().Transport.(*http.Transport).TLSClientConfig}
			counted := Incomplete()[Body]
			resp, err := (&http.Client{Transport: NewTransport(base)}).Get(server.URL)
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.Equal(string(got), "part")
			is.Equal(describeEnd(err), c.end)
			is.Equal(Incomplete()[Body] > counted, c.end == string(Body))
			is.NoErr(resp.Body.Close())
		})
	}
}
