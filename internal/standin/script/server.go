package script

import (
	"bufio"
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
	"time"
)

// Server plays a script to each connection. The commands, one a line, are:
//
//	connection            starts the script of the next connection; the last script serves all further ones
//	request               reads one whole request
//	answer STATUS BODY HEADER...  sends an answer with its length; all but the status are quoted
//	head STATUS           sends the head of an answer that ends with the connection
//	send TEXT             sends a quoted text
//	repeat N TEXT         sends a quoted text n times
//	wait MS               waits
//	reset                 resets the connection
//	stall                 holds the connection without a byte until the server closes
//
// The connection is closed at the end of its script.
type Server struct {
	listener net.Listener
	scripts  [][]string
	closing  chan struct{}
	done     sync.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	requests []string
}

// New returns a server that is not started.
func New(text string) *Server {
	s := &Server{scripts: [][]string{nil}, closing: make(chan struct{})}
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

// Start listens on host:port, where port 0 picks a free one, and serves until Close.
func (s *Server) Start(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("script stand-in: %w", err)
	}
	s.listener = listener
	s.done.Go(s.serve)
	return nil
}

// Address returns host:port of the started server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and all its connections.
func (s *Server) Close() error {
	close(s.closing)
	err := s.listener.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	return err
}

// Requests returns the requests that were read, in the order of their arrival.
func (s *Server) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.requests...)
}

// Connections returns the number of connections made.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) serve() {
	for i := 0; ; i++ {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		script := s.scripts[min(i, len(s.scripts)-1)]
		s.done.Go(func() { s.play(conn, script) })
	}
}

func (s *Server) play(conn net.Conn, script []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, line := range script {
		if err := s.step(conn, reader, line); err != nil {
			// The client may close first; that ends the script.
			return
		}
	}
}

func (s *Server) step(conn net.Conn, reader *bufio.Reader, line string) error {
	command, rest, _ := strings.Cut(line, " ")
	number, tail, _ := strings.Cut(rest, " ")
	switch command {
	case "request":
		return s.read(reader)
	case "answer":
		return sendAnswer(conn, number, quoted(tail))
	case "head":
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s Scripted\r\nConnection: close\r\n\r\n", number)
		return err
	case "send":
		_, err := io.WriteString(conn, quoted(rest)[0])
		return err
	case "repeat":
		_, err := io.WriteString(conn, strings.Repeat(quoted(tail)[0], count(number)))
		return err
	case "wait":
		return s.wait(time.Duration(count(number)) * time.Millisecond)
	case "reset":
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return errors.New("reset")
	case "stall":
		return s.wait(time.Hour)
	}
	panic("script stand-in: unknown command: " + line)
}

func (s *Server) read(reader *bufio.Reader) error {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	dump, err := httputil.DumpRequest(r, true)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, string(dump))
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

func sendAnswer(conn net.Conn, status string, parts []string) error {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %s Scripted\r\n", status)
	for _, h := range parts[1:] {
		head.WriteString(h + "\r\n")
	}
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head.String(), len(parts[0]), parts[0])
	return err
}

// quoted reads texts in Go syntax, separated by spaces; there is always at least one.
func quoted(rest string) []string {
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

func count(number string) int {
	n, err := strconv.Atoi(number)
	if err != nil {
		panic("script stand-in: not a number: " + number)
	}
	return n
}
