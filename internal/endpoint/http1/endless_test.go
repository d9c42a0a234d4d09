package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/standin/script"
)

// startEndlessServer accepts one request and writes once, and then again and again until the connection is closed. It
// returns its address and the number of bytes that it has written.
func startEndlessServer(t *testing.T, once, again string) (address string, written *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	written = &atomic.Int64{}
	again = strings.Repeat(again, 4096/len(again)+1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for text := once; ; text = again {
			n, err := io.WriteString(c, text)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return listener.Addr().String(), written
}

// unquote turns escapes of a script into bytes.
func unquote(t *testing.T, text string) string {
	t.Helper()
	out, err := strconv.Unquote(`"` + strings.TrimSuffix(text, "\n") + `"`)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against bytes without end that are no response: they must end the request long before its deadline, and must
// not be kept in memory.
func TestDoEndless(t *testing.T) {
	const (
		deadline = 20 * time.Second
		bound    = 5 * time.Second
		// maxTaken is far above the limit of a head, and bounds what the sockets' buffers hold besides.
		maxTaken = 32 << 20
	)
	cases, err := script.ReadCases("testdata/endless.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			is := is.New(t)
			address, written := startEndlessServer(t, unquote(t, c.Part("once")), unquote(t, c.Part("again")))
			pool := New(Config{Matches: matches})
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			start := time.Now()
			got := "complete"
			resp, err := pool.Do(ctx, address, get("0"))
			if err != nil {
				is.True(Sent(err))
				got = "head"
			} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				got = "body"
			}
			is.Equal(got, strings.TrimSpace(c.Part("want")))
			is.True(time.Since(start) < bound)
			is.True(written.Load() < maxTaken)
			is.Equal(pool.popIdle(address), nil) // the connection is not used again
		})
	}
}

// readOnly is a connection that has received some bytes and was closed by the endpoint then.
type readOnly struct {
	net.Conn
	left  []byte
	taken int
}

// Read implements net.Conn.
func (r *readOnly) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.left)
	r.left, r.taken = r.left[n:], r.taken+n
	return n, nil
}

// Checks that no bytes stop the reader of heads, make it read more than a head may have, or give a response that does not
// end the request or has a field name that is no token.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=" + strings.Repeat("y", 100) + "\r\nhello\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"))
	f.Add([]byte(" HTTP/1.1 200\r\n:\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 Broken\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\na"))
	f.Fuzz(func(t *testing.T, received []byte) {
		nc := &readOnly{left: received}
		c := &conn{Conn: nc, headLeft: -1}
		c.reader = bufio.NewReaderSize(headReader{c}, bufferSize)
		resp, err := c.readHead(&http.Request{Method: http.MethodGet})
		if nc.taken > maxHeadBytes {
			t.Fatalf("%d bytes were read for a head", nc.taken)
		}
		if err != nil {
			return
		}
		if resp.StatusCode < http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r) }) {
				t.Fatalf("field name %q", name)
			}
		}
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Fatalf("a body of %d bytes looks complete, its length is %d", len(body), resp.ContentLength)
		}
	})
}
