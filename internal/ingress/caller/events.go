package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"waxwingplank/internal/core/outcome"
)

const eventStream = "text/event-stream"

// writeTimeout ends a stream whose caller accepts no bytes. Without it, a connection that lost its other
// end would stay open forever. It bounds the time to detect an unresponsive connection.
const writeTimeout = 2 * time.Second

// eventWriter writes server-sent events. It sends a comment line after each interval without an event, so
// that a caller can distinguish a slow response from a dead connection.
type eventWriter struct {
	w        http.ResponseWriter
	ctl      *http.ResponseController
	cancel   context.CancelFunc
	interval time.Duration
	timer    *time.Timer

	mu            sync.Mutex
	buf           []byte
	started       bool
	closed        bool
	writeDeadline time.Time
	lastWrite     time.Time
}

func newEventWriter(w http.ResponseWriter, interval time.Duration, cancel context.CancelFunc) *eventWriter {
	e := &eventWriter{w: w, ctl: http.NewResponseController(w), cancel: cancel, interval: interval}
	e.mu.Lock()
	e.timer = time.AfterFunc(interval, e.heartbeat)
	e.mu.Unlock()
	return e
}

// Token implements Sink.
func (e *eventWriter) Token(id string, position int, text string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf = append(e.buf[:0], "event: token\nid: "...)
	e.buf = append(e.buf, id...)
	e.buf = append(e.buf, "\ndata: {\"position\":"...)
	e.buf = strconv.AppendInt(e.buf, int64(position), 10)
	e.buf = append(e.buf, ",\"text\":"...)
	e.buf = appendQuoted(e.buf, text)
	e.buf = append(e.buf, "}\n\n"...)
	return e.write()
}

// appendQuoted appends the text as encoding/json encodes it. Most tokens need no escaping and are copied, because
// json.Marshal costs two allocations for each token.
func appendQuoted(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf-1 || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			// Marshal of a string cannot fail, because it replaces invalid UTF-8.
			quoted, _ := json.Marshal(text)
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

// Done implements Sink.
func (e *eventWriter) Done(tokens int, reason string) error {
	return e.event("done", map[string]any{"tokens": tokens, "finish_reason": reason})
}

// Moved implements Sink.
func (e *eventWriter) Moved(address string) error {
	return e.event("moved", map[string]any{"address": address})
}

func (e *eventWriter) fail(r *outcome.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeEvent(e.w, "error", "", errorBody(r))
}

func (e *eventWriter) event(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf = append(e.buf[:0], "event: "+name+"\ndata: "...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, "\n\n"...)
	return e.write()
}

// close stops the heartbeats and reports whether the response has started.
func (e *eventWriter) close() bool {
	e.timer.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	return e.started
}

// heartbeat writes a comment line if the stream has had no event for one interval. It does not start the response,
// so that a request refused while it waits in a queue still gets the HTTP status of its refusal.
func (e *eventWriter) heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	// A recent event makes the comment unnecessary, since it also shows that the connection is alive, and writing
	// a comment costs as much as writing a token. The time between two writes stays within one interval either way.
	if idle := time.Since(e.lastWrite); e.started && idle < e.interval {
		e.timer.Reset(e.interval - idle)
		return
	}
	if e.started {
		e.buf = append(e.buf[:0], ": heartbeat\n\n"...)
		if err := e.write(); err != nil {
			return
		}
	}
	e.timer.Reset(e.interval)
}

// write sends the buffer; the caller holds the mutex.
func (e *eventWriter) write() error {
	if !e.started {
		e.w.Header().Set("Content-Type", eventStream)
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
		e.started = true
	}
	// Setting the deadline costs a timer update. It is set to 1.25 times writeTimeout, and renewed only after a
	// quarter of writeTimeout has passed.
	e.lastWrite = time.Now()
	if e.writeDeadline.Sub(e.lastWrite) < writeTimeout {
		e.writeDeadline = e.lastWrite.Add(writeTimeout + writeTimeout/4)
		_ = e.ctl.SetWriteDeadline(e.writeDeadline)
	}
	if _, err := e.w.Write(e.buf); err != nil {
		e.cancel()
		return err
	}
	if err := e.ctl.Flush(); err != nil {
		e.cancel()
		return err
	}
	return nil
}

func writeEvent(w http.ResponseWriter, name, id string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	text := "event: " + name + "\n"
	if id != "" {
		text += "id: " + id + "\n"
	}
	_, _ = w.Write([]byte(text + "data: " + string(data) + "\n\n"))
	_ = http.NewResponseController(w).Flush()
}
