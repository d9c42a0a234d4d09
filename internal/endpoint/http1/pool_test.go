package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scriptedServer responds to each request, on any connection, with the next text of its script, unchanged.
type scriptedServer struct {
	listener net.Listener
	accepted chan struct{}
	requests chan *http.Request
}

// newScriptedServer starts a server that writes one of the responses for each request, in their order. An empty
// response closes the connection.
func newScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{listener: listener, accepted: make(chan struct{}, 10), requests: make(chan *http.Request, 10)}
	next := make(chan string, len(responses))
	for _, a := range responses {
		next <- a
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go s.serve(c, next)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, next chan string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.requests <- req
		response := <-next
		if response == "" {
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

func matches(req *Request, h http.Header) Match {
	switch h.Get("Id") {
	case req.Header.Get("Id"):
		return Same
	case "":
		return Unidentified
	default:
		return Other
	}
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x?y=%2F", Host: "host.example", Header: http.Header{"Id": {id}}}
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// readBody returns the body of a response, or "error" for a request that failed after it had been sent.
func readBody(t *testing.T, resp *Response, err error) string {
	t.Helper()
	is := is.New(t)
	if err != nil {
		is.True(Sent(err))
		return "error"
	}
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return string(data)
}

// Guards the reuse of connections: bytes that are not part of the response to a request must not reach its caller.
func TestDo(t *testing.T) {
	cases := []struct {
		name      string
		responses []string
		// want lists the bodies that three requests receive; "error" stands for a failed request.
		want  []string
		conns int
	}{
		{"a connection is kept", []string{responseText("0", "a"), responseText("1", "b"), responseText("2", "c")}, []string{"a", "b", "c"}, 1},
		{"bytes after an answer", []string{responseText("0", "a") + responseText("9", "z"), responseText("1", "b"), responseText("2", "c")}, []string{"a", "b", "c"}, 2},
		{"an answer to another request first", []string{responseText("0", "a"), responseText("0", "a") + responseText("1", "b"), responseText("2", "c")}, []string{"a", "b", "c"}, 1},
		{"only foreign answers", []string{responseText("8", "a") + responseText("8", "a") + responseText("8", "a"), responseText("1", "b"), responseText("2", "c")}, []string{"error", "b", "c"}, 2},
		{"no answer", []string{"", responseText("1", "b"), responseText("2", "c")}, []string{"error", "b", "c"}, 2},
		{"not HTTP", []string{"nonsense\r\n\r\n", responseText("1", "b"), responseText("2", "c")}, []string{"error", "b", "c"}, 2},
		{"a status below 100 before an answer", []string{"HTTP/1.1 000 Broken\r\n\r\n" + responseText("0", "a"), responseText("1", "b"), responseText("2", "c")}, []string{"error", "b", "c"}, 2},
		{"close is said", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", responseText("1", "b"), responseText("2", "c")}, []string{"a", "b", "c"}, 2},
		{"a response without id on a new connection", []string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", responseText("1", "b"), responseText("2", "c")}, []string{"a", "b", "c"}, 1},
		{"a late copy without id when the next request is sent", []string{responseText("0", "a"), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" + responseText("1", "b"), responseText("2", "c")}, []string{"a", "error", "c"}, 2},
		{"a hint before the answer", []string{"HTTP/1.1 102 Processing\r\n\r\n" + responseText("0", "a"), responseText("1", "b"), responseText("2", "c")}, []string{"a", "b", "c"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, c.responses...)
			pool := New(Config{Matches: matches})
			for i, want := range c.want {
				resp, err := pool.Do(context.Background(), s.listener.Addr().String(), get(string(rune('0'+i))))
				is.Equal(readBody(t, resp, err), want)
				req := <-s.requests
				is.Equal(req.RequestURI, "/x?y=%2F")
				is.Equal(req.Host, "host.example")
				is.Equal(len(req.Header), 1) // nothing is added
			}
			is.Equal(len(s.accepted), c.conns)
			is.Equal(len(s.requests), 0) // nothing is sent twice
		})
	}
}

// Guards against a read that fails because the endpoint closes an idle connection just then, and against any other request being sent
// twice.
func TestDoRepeatable(t *testing.T) {
	cases := []struct {
		name      string
		responses []string
		// want lists the bodies that two requests receive; sends is the number of requests that arrive.
		want  []string
		sends int
	}{
		{"an idle connection ends", []string{responseText("0", "a"), "", responseText("1", "b")}, []string{"a", "b"}, 3},
		{"the new connection ends, too", []string{responseText("0", "a"), "", ""}, []string{"a", "error"}, 3},
		{"a new connection ends", []string{"", responseText("1", "b")}, []string{"error", "b"}, 2},
		{"an idle connection delivers no response", []string{responseText("0", "a"), "HTTP/1.1 000 Broken\r\n\r\n"}, []string{"a", "error"}, 2},
		{"an idle connection is kept", []string{responseText("0", "a"), responseText("1", "b")}, []string{"a", "b"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, c.responses...)
			pool := New(Config{Matches: matches})
			for i, want := range c.want {
				resp, err := pool.DoRepeatable(context.Background(), s.listener.Addr().String(), get(string(rune('0'+i))))
				is.Equal(readBody(t, resp, err), want)
			}
			is.Equal(len(s.requests), c.sends)
		})
	}
}

// Guards against a request being reported as possibly sent although no connection was established.
func TestDoUnreached(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = New(Config{}).Do(context.Background(), address, get("0"))
	is.True(err != nil)
	is.True(!Sent(err))
}

// Guards against a request on an idle connection that has been closed.
func TestDoNoticesClosedConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, responseText("0", "a"), responseText("1", "b"))
	pool := New(Config{Matches: matches, IdleTimeout: time.Minute})
	address := s.listener.Addr().String()
	resp, err := pool.Do(context.Background(), address, get("0"))
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	pool.Close(address)
	resp, err = pool.Do(context.Background(), address, get("1"))
	is.NoErr(err)
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(data), "b")
	is.Equal(pool.Dials(), int64(2))
}

// Guards against the remainder of a long body being written to a connection that is reused for the next request.
func TestDoAnsweredBeforeTheBody(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	conns := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				reader := bufio.NewReader(c)
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(c, responseText("0", "a"))
				}
			}()
		}
	}()
	body, writer := io.Pipe()
	defer func() { is.NoErr(writer.Close()) }()
	go func() { _, _ = writer.Write([]byte(strings.Repeat("x", 100))) }()
	pool := New(Config{Matches: matches})
	req := get("0")
	req.Method, req.Body, req.Length = http.MethodPost, body, -1
	resp, err := pool.Do(context.Background(), listener.Addr().String(), req)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	resp, err = pool.Do(context.Background(), listener.Addr().String(), get("0"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(len(conns), 2)
}

// Guards against an endpoint that responds before it has read a long body and does not get the rest, also if the request's
// context ends with the response.
func TestDoSendsTheRestOfTheBodyAfterTheResponse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	bodies := make(chan string, 2)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseText("0", "a"))
			text, err := io.ReadAll(req.Body)
			bodies <- fmt.Sprint(len(text), " ", err)
		}
	}()
	pool := New(Config{Matches: matches})
	address := listener.Addr().String()
	for range 2 {
		ctx, cancel := context.WithCancel(context.Background())
		body, writer := io.Pipe()
		req := get("0")
		req.Method, req.Body, req.Length = http.MethodPost, body, -1
		// The head of the request is sent with the first bytes of its body.
		go func() { _, _ = io.WriteString(writer, "x") }()
		resp, err := pool.Do(ctx, address, req)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		cancel()
		_, err = io.WriteString(writer, strings.Repeat("x", 100_000))
		is.NoErr(err)
		is.NoErr(writer.Close())
		is.Equal(<-bodies, "100001 <nil>")
		// The connection is put back after that.
		for n := 0; n < 500 && pool.idleCount(address) == 0; n++ {
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(pool.Dials(), int64(1))
}

func (p *Pool) idleCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}
