package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

func init() {
	cases["early"] = caseEarly
	cases["empty"] = caseEmpty
}

// caseEarly sends requests with a long body: for streams, in turn with a length and in chunks, and unsafe ones, in chunks.
// With the disruption, workers begin to answer before they have read the whole body, keep the connection and read on.
// Without it they read it first.
func caseEarly(r *rig) bool {
	const size, early, piece, requests, long = 200 << 10, 32 << 10, 8 << 10, 6, 100 << 10
	r.configure(1, []route{
		{name: "drafts", prefix: "/d/", kind: "streaming", service: "model", timeoutMs: 20000, targetMs: 500, attempts: 2, resumable: true},
		{name: "orders", prefix: "/o/", kind: "unsafe", service: "ledger", timeoutMs: 5000, targetMs: 500, attempts: 1},
	}, 4)
	// text is the answer to an unsafe request; the worker sends the first part of it at once.
	text := bytes.Repeat([]byte("registered "), long/11)
	const part = 80 << 10
	due := make([]byte, size)
	for i := range due {
		due[i] = "0123456789abcdefghijklmnopqrstuvwxyz"[(i/7+i/1000)%36]
	}
	var other, changed atomic.Int32
	serve := func(w *worker, q *request) bool {
		var got []byte
		buf := make([]byte, 4096)
		// read reads until it has n bytes or the body ends.
		read := func(n int) error {
			for len(got) < n {
				k, err := q.Body.Read(buf)
				got = append(got, buf[:k]...)
				if err != nil {
					return err
				}
			}
			return nil
		}
		first := size
		if r.trouble {
			first = early
		}
		if err := read(first); err != nil && err != io.EOF {
			r.logf("worker %s: %s: body ends after %d bytes: %v", w.id, q.id, len(got), err)
			return false
		}
		r.logf("worker %s: %s runs, time %d, answer begun after %d bytes", w.id, q.id, w.ran(q.id), len(got))
		event := func(n int) {
			text := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
			fmt.Fprintf(q.conn, "%x\r\n%s\r\n", len(text), text)
		}
		stream := w.service == "model"
		if stream {
			fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nX-Waxwingplank-Request-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.id, w.seal())
			event(0)
		} else {
			fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nX-Waxwingplank-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", q.id, w.seal(), len(text), text[:part])
		}
		err := read(size + 1)
		at := 0
		for at < min(len(got), size) && got[at] == due[at] {
			at++
		}
		if at < len(got) {
			other.Add(1)
			r.logf("worker %s: %s: other bytes where the rest of the body is due, from byte %d on: %.30q, due %.30q", w.id, q.id, at, got[at:], due[min(at, size):])
		}
		if err != io.EOF {
			r.logf("worker %s: %s: body ends after %d of %d bytes: %v", w.id, q.id, len(got), size, err)
			return false
		}
		same := bytes.Equal(got, due)
		r.logf("worker %s: %s: body ends as complete after %d of %d bytes, the client's body %t", w.id, q.id, len(got), size, same)
		if !same {
			changed.Add(1)
		}
		if !stream {
			_, err = q.conn.Write(text[part:])
			return err == nil
		}
		for n := 1; n < 20; n++ {
			event(n)
			time.Sleep(10 * time.Millisecond)
		}
		_, err = io.WriteString(q.conn, "0\r\n\r\n")
		return err == nil
	}
	for i := range 4 {
		r.startWorker(fmt.Sprintf("m-%d", i), "model", "card", serve)
	}
	r.startWorker("l-0", "ledger", "", serve)
	h := r.startHost("h0", nil)
	time.Sleep(8 * time.Second) // the layers are placed, and stability_window_ms has passed
	for n := range requests {
		id := fmt.Sprintf("c-%d", n)
		c, err := dial(h)
		must(err)
		chunked := n%3 > 0
		path := "/d/x"
		if n%3 == 2 {
			path = "/o/x"
		}
		form := fmt.Sprintf("Content-Length: %d\r\n", size)
		if chunked {
			form = "Transfer-Encoding: chunked\r\n"
		}
		sent := time.Now()
		c.Write([]byte(head("POST", path, id, 5*time.Second, "X-Waxwingplank-Token-Count: 800,40\r\n"+form)))
		go func() {
			for at := 0; at < size; at += piece {
				b := due[at:min(at+piece, size)]
				if chunked {
					b = fmt.Appendf(nil, "%x\r\n%s\r\n", len(b), b)
				}
				if _, err := c.Write(b); err != nil {
					r.logf("client: %s: not sent on: %v", id, err)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			if chunked {
				io.WriteString(c, "0\r\n\r\n")
			}
			r.logf("client: %s: whole body sent, path %s, chunked %t", id, path, chunked)
		}()
		a := c.read(sent, 5*time.Second)
		r.logf("client: %s: %v", id, a)
		time.Sleep(300 * time.Millisecond)
		c.Close()
	}
	fmt.Printf("of %d requests, workers got other bytes for %d and took a changed body as complete for %d\n", requests, other.Load(), changed.Load())
	return other.Load() > 0
}

// caseEmpty sends unsafe requests, in turn one whose body comes in chunks and has no bytes, and one with a body of 4 bytes.
// With the disruption, workers reject the former before they have read their body, keep the connection and read on.
func caseEmpty(r *rig) bool {
	const end = "0\r\n\r\n"
	r.configure(1, []route{{name: "orders", prefix: "/o/", kind: "unsafe", service: "ledger", timeoutMs: 1000, targetMs: 300, attempts: 1}}, 0)
	var other atomic.Int32
	for i := range 3 {
		r.startWorker(fmt.Sprintf("l-%d", i), "ledger", "", func(w *worker, q *request) bool {
			if len(q.TransferEncoding) > 0 {
				if r.trouble {
					r.logf("worker %s: %s rejected before its body is read", w.id, q.id)
					q.respond(http.StatusServiceUnavailable, "X-Waxwingplank-Not-Executed: 1\r\n", "")
				}
				got, err := q.conn.reader.Peek(len(end))
				if string(got) != end && len(got) > 0 {
					other.Add(1)
					more, _ := q.conn.reader.Peek(q.conn.reader.Buffered())
					r.logf("worker %s: %s: other bytes where the rest of the body is due: %.120q, due %q", w.id, q.id, more, end)
					return false
				}
				if err != nil {
					r.logf("worker %s: %s: the end of the body does not come: %v", w.id, q.id, err)
					return false
				}
				if r.trouble {
					return q.readBody() == nil
				}
			}
			if q.readBody() != nil {
				return false
			}
			r.logf("worker %s: %s runs, body %q, time %d", w.id, q.id, q.body, w.ran(q.id))
			return q.respond(http.StatusOK, w.seal(), "done") == nil
		})
	}
	h := r.startHost("h0", nil)
	time.Sleep(4 * time.Second) // stability_window_ms and a margin
	for n := range 6 {
		for _, form := range []struct{ name, header, body string }{{"empty", "Transfer-Encoding: chunked\r\n", end}, {"order", "Content-Length: 4\r\n", "body"}} {
			id := fmt.Sprintf("%s-%d", form.name, n)
			c, err := dial(h)
			must(err)
			sent := time.Now()
			c.Write([]byte(head("POST", "/o/x", id, 1500*time.Millisecond, form.header) + form.body))
			a := c.read(sent, 1500*time.Millisecond)
			c.Close()
			r.logf("client: %s: %v", id, a)
		}
	}
	fmt.Println("workers got other bytes where a body was due", other.Load(), "times")
	return other.Load() > 0
}
