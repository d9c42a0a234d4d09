package script

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Server runs a script on each connection. The commands, one on each line, are:
//
//	connection            starts the script of the next connection; the last script serves all further ones
//	request               reads one complete request
//	begin                 reads the head of a request
//	receive N             reads N bytes of the body of the request that was begun
//	rest                  reads the rest of that request
//	answer STATUS BODY HEADER...  sends a response with its length; all but the status are quoted
//	head STATUS           sends the head of a response that ends with the connection
//	send TEXT             sends a quoted text
//	repeat N TEXT         sends a quoted text N times
//	wait MS               waits for MS milliseconds
//	hold                  waits until the test calls Release
//	unread                waits until bytes have arrived that are not read, so that a close resets the connection
//	buffer N              limits the receive buffer of the connection to about N bytes
//	shutdown              ends the server's direction of the connection in order
//	reset                 resets the connection
//	stall                 sends nothing for an hour or until the server is closed
//
// The connection is closed at the end of its script.
type Server struct {
	listeners []net.Listener
	scripts   [][]string
	released  chan struct{}
	closing   chan struct{}
	done      sync.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	begun    []string
	requests []string
}

// New parses a script and returns a server that has not been started.
func New(text string) *Server {
	s := &Server{scripts: [][]string{nil}, released: make(chan struct{}), closing: make(chan struct{})}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		last := len(s.scripts) - 1
		switch {
		case line == "":
		case line == "connection" && len(s.scripts[last]) > 0:
			s.scripts = append(s.scripts, nil)
		case line != "connection":
			s.scripts[last] = append(s.scripts[last], line)
		}
	}
	return s
}

// Start listens on host:port and serves until Close. Port 0 selects a free port. A server that is started several times has
// several addresses; connections to all of them get the scripts in the order of their arrival.
func (s *Server) Start(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("script stand-in: %w", err)
	}
	s.listeners = append(s.listeners, listener)
	s.done.Go(func() { s.serve(listener) })
	return nil
}

// Address returns host:port of the server as it was started last.
func (s *Server) Address() string { return s.listeners[len(s.listeners)-1].Addr().String() }

// Close stops the server and closes all its connections.
func (s *Server) Close() error {
	close(s.closing)
	var errs []error
	for _, listener := range s.listeners {
		errs = append(errs, listener.Close())
	}
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	return errors.Join(errs...)
}

// Release waits until a script has arrived at a hold and lets it continue.
func (s *Server) Release() { s.released <- struct{}{} }

// Requests returns the complete requests that the server read, in the order of their arrival.
func (s *Server) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.requests...)
}

// Begun returns the method and the target of each request whose head the server has read, in the order of their arrival.
func (s *Server) Begun() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.begun...)
}

// Connections returns the number of accepted connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		script := s.scripts[min(len(s.conns), len(s.scripts)-1)]
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.done.Go(func() { s.runScript(conn, script) })
	}
}

// session is the script of one connection in progress.
type session struct {
	*Server
	conn   net.Conn
	reader *bufio.Reader
	// request is the one whose head was read last, received what was read of its body.
	request  *http.Request
	received bytes.Buffer
}

func (s *Server) runScript(conn net.Conn, script []string) {
	defer func() { _ = conn.Close() }()
	c := &session{Server: s, conn: conn, reader: bufio.NewReader(conn)}
	for _, line := range script {
		if err := c.runCommand(line); err != nil {
			// The client may close the connection first, which ends the script.
			return
		}
	}
}

func (c *session) runCommand(line string) error {
	command, rest, _ := strings.Cut(line, " ")
	number, tail, _ := strings.Cut(rest, " ")
	switch command {
	case "request":
		if err := c.begin(); err != nil {
			return err
		}
		return c.finishRequest()
	case "begin":
		return c.begin()
	case "receive":
		_, err := io.CopyN(&c.received, c.request.Body, int64(parseCount(number)))
		return err
	case "rest":
		return c.finishRequest()
	case "answer":
		return writeResponse(c.conn, number, parseQuoted(tail))
	case "head":
		_, err := fmt.Fprintf(c.conn, "HTTP/1.1 %s Scripted\r\nConnection: close\r\n\r\n", number)
		return err
	case "send":
		_, err := io.WriteString(c.conn, parseQuoted(rest)[0])
		return err
	case "repeat":
		_, err := io.WriteString(c.conn, strings.Repeat(parseQuoted(tail)[0], parseCount(number)))
		return err
	case "wait":
		return c.wait(time.Duration(parseCount(number)) * time.Millisecond)
	case "hold":
		select {
		case <-c.released:
			return nil
		case <-c.closing:
			return net.ErrClosed
		}
	case "unread":
		return awaitUnread(c.conn.(*net.TCPConn))
	case "buffer":
		return c.conn.(*net.TCPConn).SetReadBuffer(parseCount(number))
	case "shutdown":
		return c.conn.(*net.TCPConn).CloseWrite()
	case "reset":
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return errors.New("reset")
	case "stall":
		return c.wait(time.Hour)
	}
	panic("script stand-in: unknown command: " + line)
}

// awaitUnread waits for bytes in the kernel's receive buffer, or for the end of the connection.
func awaitUnread(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

func (c *session) begin() (err error) {
	c.received.Reset()
	if c.request, err = http.ReadRequest(c.reader); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = append(c.begun, c.request.Method+" "+c.request.RequestURI)
	return nil
}

// finishRequest reads what remains of the request that was begun and notes the whole.
func (c *session) finishRequest() error {
	c.request.Body = io.NopCloser(io.MultiReader(&c.received, c.request.Body))
	dump, err := httputil.DumpRequest(c.request, true)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, string(dump))
	return nil
}

func (s *Server) wait(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.closing:
		return net.ErrClosed
	}
}

func writeResponse(conn net.Conn, status string, parts []string) error {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %s Scripted\r\n", status)
	for _, h := range parts[1:] {
		head.WriteString(h + "\r\n")
	}
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head.String(), len(parts[0]), parts[0])
	return err
}

// parseQuoted parses space-separated strings in Go syntax. It returns at least one string, possibly empty.
func parseQuoted(rest string) []string {
	parts := []string{}
	for rest = strings.TrimSpace(rest); rest != ""; rest = strings.TrimSpace(rest) {
		prefix, err := strconv.QuotedPrefix(rest)
		if err != nil {
			panic("script stand-in: not a quoted text: " + rest)
		}
		text, err := strconv.Unquote(prefix)
		if err != nil {
			panic("script stand-in: not a quoted text: " + prefix)
		}
		parts = append(parts, text)
		rest = rest[len(prefix):]
	}
	if len(parts) == 0 {
		return []string{""}
	}
	return parts
}

func parseCount(number string) int {
	n, err := strconv.Atoi(number)
	if err != nil {
		panic("script stand-in: not a number: " + number)
	}
	return n
}
