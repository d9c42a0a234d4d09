package http1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// repeatingConn is a connection on which a text arrives again and again.
type repeatingConn struct {
	net.Conn
	text string
	next int
}

// Read implements net.Conn.
func (r *repeatingConn) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.next:])
	r.next = (r.next + n) % len(r.text)
	return n, nil
}

func newRepeatingConn(text string) *conn {
	c := &conn{Conn: &repeatingConn{text: text}, headLeft: -1}
	c.reader = bufio.NewReaderSize(headReader{c}, bufferSize)
	return c
}

const benchmarkHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Identifier: 9c41d07be2a35f68\r\n" +
	"Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nWeight-Version: 3\r\nKeep-Alive: timeout=5\r\n"

// Measures what a call pays for the head of its response.
func BenchmarkReadHead(b *testing.B) {
	c := newRepeatingConn(benchmarkHead + "Content-Length: 0\r\n\r\n")
	request := &http.Request{Method: http.MethodPost}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.readHead(request); err != nil {
			b.Fatal(err)
		}
	}
}

// Measures what a stream pays for one event.
func BenchmarkReadEvent(b *testing.B) {
	const event = "id: 12\ndata: a token of text\n\n"
	c := newRepeatingConn(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
	c.reader.Reset(&repeatingConn{text: benchmarkHead + "Transfer-Encoding: chunked\r\n\r\n"})
	resp, err := c.readHead(&http.Request{Method: http.MethodPost})
	if err != nil {
		b.Fatal(err)
	}
	c.reader.Reset(headReader{c})
	body := &body{ReadCloser: resp.Body, conn: c}
	buffer := make([]byte, len(event))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := body.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
}
