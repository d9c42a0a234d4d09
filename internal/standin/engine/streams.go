package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"waxwingplank/internal/standin/script"
)

type openMessage struct {
	Stream    string   `json:"stream"`
	Attempt   int      `json:"attempt"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Workspace string   `json:"workspace"`
	Priority  int      `json:"priority"`
	Route     []stage  `json:"route"`
	Prompt    string   `json:"prompt"`
	Generated []string `json:"generated"`
	Position  int      `json:"position"`
	MaxTokens int      `json:"max_tokens"`
	KVHandle  string   `json:"kv_handle"`
}

type tokenLine struct {
	Token tokenBody `json:"token"`
}

type tokenBody struct {
	Stream   string   `json:"stream"`
	Attempt  int      `json:"attempt"`
	Position int      `json:"position"`
	Text     string   `json:"text"`
	Layers   [][2]int `json:"layers"`
}

type doneLine struct {
	Done struct {
		Tokens       int    `json:"tokens"`
		FinishReason string `json:"finish_reason"`
	} `json:"done"`
}

type errorLine struct {
	Error *stageError `json:"error"`
}

func (s *Server) open(w http.ResponseWriter, r *http.Request) {
	var m openMessage
	if !decode(w, r, &m) {
		return
	}
	if len(m.Route) == 0 || m.Stream == "" || m.Position < 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "a stream needs an id, a route and a position")
		return
	}
	if text, ok := s.faults.consumeRaw(m.Stream); ok {
		script.WriteRaw(w, text)
		return
	}
	if !s.holds(m.Model, m.Version, m.Route[0].Layers) {
		writeError(w, http.StatusConflict, "not_held", m.Model+" "+m.Version)
		return
	}
	st := s.currentState()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !st.registerAttempt(m.Stream, activeStream{attempt: m.Attempt, cancel: cancel}) {
		writeError(w, http.StatusConflict, "stale_attempt", strconv.Itoa(m.Attempt))
		return
	}
	defer st.unregisterAttempt(m.Stream, m.Attempt)
	if m.KVHandle == "" && m.Position > len(m.Generated) && !st.covers(m.Stream, m.Position) {
		writeError(w, http.StatusNotFound, "unknown_stream", m.Stream)
		return
	}
	slot, ok := st.acquire(m.Priority)
	if !ok {
		writeError(w, http.StatusTooManyRequests, "queue_full", m.Stream)
		return
	}
	defer st.release(slot)
	out := &lineWriter{w: w, flush: http.NewResponseController(w), server: s, open: m}
	w.Header().Set("Content-Type", "application/x-ndjson")
	out.start()
	lines := make(chan any)
	var generateErr error
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer close(lines)
		generateErr = s.generate(ctx, m, slot, lines)
	}()
	defer func() {
		cancel()
		<-done
	}()
	s.write(ctx, out, lines)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	<-done
	if generateErr != nil {
		panic(http.ErrAbortHandler)
	}
	st.dropSession(m.Stream, m.Attempt, false)
}

// write sends lines as they arrive, and heartbeats while none is due.
func (s *Server) write(ctx context.Context, out *lineWriter, lines <-chan any) {
	heartbeat := time.NewTicker(s.cfg.Heartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				return
			}
			out.send(line)
			heartbeat.Reset(s.cfg.Heartbeat)
		case <-heartbeat.C:
			out.writeRaw([]byte("{\"heartbeat\":{}}\n"))
		case <-ctx.Done():
			return
		}
	}
}

// generate waits for the slot, prepares the stages, and sends the tokens and the end of the stream.
func (s *Server) generate(ctx context.Context, m openMessage, slot *waiter, lines chan<- any) (err error) {
	// A crash in a stage panics to end the handler. Here it ends only this goroutine.
	defer func() {
		if p := recover(); p != nil {
			err = errors.New("crashed")
		}
	}()
	select {
	case <-slot.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	err = s.prefill(ctx, prefillMessage{
		Stream: m.Stream, Attempt: m.Attempt, Model: m.Model, Version: m.Version, Prompt: m.Prompt,
		Position: m.Position, Generated: len(m.Generated), KVHandle: m.KVHandle, Route: m.Route,
	})
	for position := m.Position; err == nil && position < m.MaxTokens; position++ {
		var out forwardResponse
		out, err = s.forward(ctx, forwardMessage{
			Stream: m.Stream, Attempt: m.Attempt, Position: position, Route: m.Route,
			Last: position == m.MaxTokens-1,
		})
		if err == nil {
			err = sendLine(ctx, lines, tokenLine{tokenBody{m.Stream, m.Attempt, position, out.Text, out.Layers}})
		}
	}
	var failed *stageError
	if errors.As(err, &failed) {
		return sendLine(ctx, lines, errorLine{failed})
	}
	if err != nil {
		return err
	}
	var end doneLine
	end.Done.Tokens = max(m.MaxTokens, m.Position)
	end.Done.FinishReason = "length"
	return sendLine(ctx, lines, end)
}

func sendLine(ctx context.Context, lines chan<- any, line any) error {
	select {
	case lines <- line:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lineWriter writes the lines of a stream and injects token faults.
type lineWriter struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	server  *Server
	open    openMessage
	delayed *tokenLine
}

func (l *lineWriter) start() {
	l.w.WriteHeader(http.StatusOK)
	_ = l.flush.Flush()
}

func (l *lineWriter) send(line any) {
	t, ok := line.(tokenLine)
	if !ok {
		l.sendDelayed()
		l.encode(line)
		return
	}
	switch l.server.faults.consume(l.open.Stream, t.Token.Position) {
	case Duplicate:
		l.encode(t)
	case Reorder:
		l.sendDelayed()
		l.delayed = &t
		return
	case Foreign:
		other := t
		other.Token.Stream = "foreign-" + t.Token.Stream
		l.encode(other)
	case Stale:
		other := t
		other.Token.Attempt--
		l.encode(other)
	case Gap:
		t.Token.Layers = t.Token.Layers[:len(t.Token.Layers)-1]
	case Skip:
		return
	case Reset:
		l.reset()
	}
	l.encode(t)
	l.sendDelayed()
}

// sendDelayed sends the token that a reorder fault delayed.
func (l *lineWriter) sendDelayed() {
	if l.delayed != nil {
		l.encode(*l.delayed)
		l.delayed = nil
	}
}

func (l *lineWriter) reset() {
	conn, _, err := l.flush.Hijack()
	if err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

func (l *lineWriter) encode(line any) {
	b, err := json.Marshal(line)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.writeRaw(append(b, '\n'))
}

func (l *lineWriter) writeRaw(b []byte) {
	if _, err := l.w.Write(b); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := l.flush.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// cancel ends a stream on this engine and forwards the cancellation along its route.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := streamID(r)
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "attempt")
		return
	}
	s.recorder.addCancel(Cancel{Stream: id, Attempt: attempt})
	st := s.currentState()
	c, ok := st.dropSession(id, attempt, true)
	if ok && len(c.route) > 1 {
		s.forwardCancel(r.Context(), c.route[1], id, attempt)
	}
	writeJSON(w, struct{}{})
}

func (s *Server) forwardCancel(ctx context.Context, to stage, id string, attempt int) {
	ctx, stop := context.WithTimeout(ctx, s.cfg.StageTimeout)
	defer stop()
	address := "http://" + to.Address + "/v1/streams/" + url.PathEscape(id) + "?attempt=" + strconv.Itoa(attempt)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address, nil)
	if err != nil {
		return
	}
	if res, err := s.stageClient.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// streamID unescapes the id. chi leaves the escapes in place if the path contains escaped slashes.
func streamID(r *http.Request) string {
	raw := chi.URLParam(r, "id")
	if s, err := url.PathUnescape(raw); err == nil && r.URL.RawPath != "" {
		return s
	}
	return raw
}
