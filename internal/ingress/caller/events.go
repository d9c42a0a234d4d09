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

// writeTimeout ends a stream whose caller accepts no bytes: a connection that lost its other end
// stays open for good otherwise. It is the bound for noticing a silent connection.
const writeTimeout = 2 * time.Second

// eventWriter writes server-sent events and fills pauses with comment lines, so that a caller can
// tell a slow answer from a dead connection.
type eventWriter struct {
	w      http.ResponseWriter
	ctl    *http.ResponseController
	cancel context.CancelFunc
	every  time.Duration
	timer  *time.Timer

	mu       sync.Mutex
	buf      []byte
	started  bool
	closed   bool
	deadline time.Time
	written  time.Time
}

func newEventWriter(w http.ResponseWriter, every time.Duration, cancel context.CancelFunc) *eventWriter {
	e := &eventWriter{w: w, ctl: http.NewResponseController(w), cancel: cancel, every: every}
	e.mu.Lock()
	e.timer = time.AfterFunc(every, e.heartbeat)
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

// appendQuoted appends the text as encoding/json writes it. Most tokens need no escape and are copied, since
// a call of json.Marshal costs two allocations for each token.
func appendQuoted(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf-1 || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			// Marshal of a string cannot fail: it replaces what is not valid UTF-8.
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

// close stops the heartbeats and reports whether any byte of the answer was written.
func (e *eventWriter) close() bool {
	e.timer.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	return e.started
}

// heartbeat starts the answer as well: a caller whose request waits in a queue would see silence otherwise.
func (e *eventWriter) heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	// An event tells the caller as much as a comment, and the write of a comment costs as much as that of a
	// token. The pause between two writes stays within one period either way.
	if pause := time.Since(e.written); e.started && pause < e.every {
		e.timer.Reset(e.every - pause)
		return
	}
	if e.started {
		e.buf = append(e.buf[:0], ": heartbeat\n\n"...)
		if err := e.write(); err != nil {
			return
		}
	}
	e.timer.Reset(e.every)
}

// write sends the buffer; the caller holds the mutex.
func (e *eventWriter) write() error {
	if !e.started {
		e.w.Header().Set("Content-Type", eventStream)
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
		e.started = true
	}
	// Moving the deadline costs a timer update, so it moves only when a quarter of it has passed.
	e.written = time.Now()
	if e.deadline.Sub(e.written) < writeTimeout {
		e.deadline = e.written.Add(writeTimeout + writeTimeout/4)
		_ = e.ctl.SetWriteDeadline(e.deadline)
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
