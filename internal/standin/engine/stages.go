package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type stage struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	Layers   [2]int `json:"layers"`
}

// prefillMessage prepares a stage and the stages after it for an attempt.
type prefillMessage struct {
	Stream   string `json:"stream"`
	Attempt  int    `json:"attempt"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Prompt   string `json:"prompt"`
	Position int    `json:"position"`
	// Generated is the number of positions for which the sender has the text.
	Generated int     `json:"generated"`
	KVHandle  string  `json:"kv_handle,omitempty"`
	Route     []stage `json:"route"`
}

// forwardMessage runs one position on a stage and the stages after it. The first stage in Route is the
// receiver.
type forwardMessage struct {
	Stream   string `json:"stream"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	// Last allows the stages to drop the KV cache after this position.
	Last  bool    `json:"last,omitempty"`
	Route []stage `json:"route"`
}

type forwardResponse struct {
	Text   string   `json:"text"`
	Layers [][2]int `json:"layers"`
}

// stageError is the failure of a stage. The first stage reports it on the stream.
type stageError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Stage   string `json:"stage"`
}

func (e *stageError) Error() string { return e.Code + " at " + e.Stage + ": " + e.Message }

func (s *Server) newStageError(code, message string) *stageError {
	return &stageError{Code: code, Message: message, Stage: s.cfg.Endpoint}
}

func (s *Server) stagePrefill(w http.ResponseWriter, r *http.Request) {
	var m prefillMessage
	if !decode(w, r, &m) {
		return
	}
	if err := s.prefill(r.Context(), m); err != nil {
		s.writeStageError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *Server) stageForward(w http.ResponseWriter, r *http.Request) {
	var m forwardMessage
	if !decode(w, r, &m) {
		return
	}
	out, err := s.forward(r.Context(), m)
	if err != nil {
		s.writeStageError(w, err)
		return
	}
	writeJSON(w, out)
}

func (s *Server) writeStageError(w http.ResponseWriter, err error) {
	var e *stageError
	if !errors.As(err, &e) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusConflict)
	if err := json.NewEncoder(w).Encode(e); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// prefill prepares the KV cache of an attempt on this stage, then on the stages after it.
func (s *Server) prefill(ctx context.Context, m prefillMessage) error {
	if s.cfg.CrashMarker != "" && strings.Contains(m.Prompt, s.cfg.CrashMarker) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if len(m.Route) == 0 || !s.holds(m.Model, m.Version, m.Route[0].Layers) {
		return s.newStageError("not_held", fmt.Sprintf("%s %s %v", m.Model, m.Version, m.Route))
	}
	st := s.currentState()
	kind, err := s.prepareSession(ctx, st, m)
	if err != nil {
		return err
	}
	s.recorder.add(Execution{
		Stream: m.Stream, Attempt: m.Attempt, Position: m.Position, Layers: m.Route[0].Layers, Kind: kind,
	})
	if kind == "prefill" {
		s.cache.store(m.Prompt)
		perByte := s.cfg.Prefill / 1000
		if err := s.sleep(ctx, perByte*time.Duration(len(m.Prompt)+m.Position)); err != nil {
			return err
		}
	}
	if len(m.Route) == 1 {
		return nil
	}
	m.Route = m.Route[1:]
	m.Generated = m.Position
	// The stages after this one compute while this call waits, so its limit includes their prefill time.
	// An unresponsive stage is detected by the first forward.
	return s.postToStage(ctx, m.Route[0], "/v1/stages/prefill", m, nil, s.cfg.StageTimeout+s.downstreamPrefillLimit(m))
}

// downstreamPrefillLimit allows for stages that are up to ten times slower than this one.
func (s *Server) downstreamPrefillLimit(m prefillMessage) time.Duration {
	const slower = 10
	return slower * time.Duration(len(m.Route)) * s.cfg.Prefill / 1000 * time.Duration(len(m.Prompt)+m.Position)
}

// prepareSession resumes the retained KV cache with the new attempt, imports one or starts an empty one.
func (s *Server) prepareSession(ctx context.Context, st *state, m prefillMessage) (kind string, err error) {
	id := contentHash(m.Model, m.Version, m.Prompt)
	imported := false
	if m.KVHandle != "" {
		imported = s.importCache(ctx, m, id)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if last, ok := st.canceled[m.Stream]; ok && last >= m.Attempt {
		return "", s.newStageError("canceled", m.Stream)
	}
	kept := st.find(m.Stream)
	if kept != nil && kept.attempt >= m.Attempt {
		return "", s.newStageError("stale_attempt", fmt.Sprintf("%d after %d", m.Attempt, kept.attempt))
	}
	if kept != nil && kept.contentHash != id {
		return "", s.newStageError("stream_mismatch", m.Stream)
	}
	kind = "resume"
	if kept == nil || kept.layers != m.Route[0].Layers || kept.cachedTokens < m.Position {
		kind = "prefill"
		if imported {
			kind = "import"
		}
	}
	if kind == "prefill" && m.Position > m.Generated {
		return "", s.newStageError("unknown_stream", m.Stream)
	}
	if kept == nil {
		kept = &session{contentHash: id}
		st.sessions[m.Stream] = kept
	}
	kept.attempt = m.Attempt
	kept.layers = m.Route[0].Layers
	kept.route = m.Route
	kept.cachedTokens = m.Position
	kept.lastUsed = time.Now()
	return kind, nil
}

// forward runs one position on this stage, then on the stages after it. The last stage generates the token.
func (s *Server) forward(ctx context.Context, m forwardMessage) (forwardResponse, error) {
	if len(m.Route) == 0 {
		return forwardResponse{}, s.newStageError("bad_route", m.Stream)
	}
	layers := m.Route[0].Layers
	st := s.currentState()
	id, err := s.advance(st, m)
	if err != nil {
		return forwardResponse{}, err
	}
	s.recorder.add(Execution{Stream: m.Stream, Attempt: m.Attempt, Position: m.Position, Layers: layers, Kind: "token"})
	if err := s.sleep(ctx, time.Duration(s.stepNanos.Load())+s.faults.delay(m.Stream)); err != nil {
		return forwardResponse{}, err
	}
	if len(m.Route) == 1 {
		return forwardResponse{Text: tokenText(id, m.Position), Layers: [][2]int{layers}}, nil
	}
	var out forwardResponse
	m.Route = m.Route[1:]
	if err := s.postToStage(ctx, m.Route[0], "/v1/stages/forward", m, &out, s.cfg.StageTimeout); err != nil {
		return forwardResponse{}, err
	}
	out.Layers = append([][2]int{layers}, out.Layers...)
	return out, nil
}

// advance moves the session of a stream past the position, which must be its next one.
func (s *Server) advance(st *state, m forwardMessage) (content uint64, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	c := st.find(m.Stream)
	if c == nil {
		return 0, s.newStageError("stage_lost", "no KV cache for "+m.Stream)
	}
	if c.attempt != m.Attempt {
		return 0, s.newStageError("stale_attempt", fmt.Sprintf("%d, current is %d", m.Attempt, c.attempt))
	}
	if c.cachedTokens != m.Position {
		return 0, s.newStageError("bad_position", fmt.Sprintf("%d, next is %d", m.Position, c.cachedTokens))
	}
	c.cachedTokens++
	c.lastUsed = time.Now()
	if m.Last {
		delete(st.sessions, m.Stream)
	}
	return c.contentHash, nil
}

// postToStage sends a request to another stage and decodes its response.
func (s *Server) postToStage(ctx context.Context, to stage, path string, in, out any, timeout time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := s.stageClient.Do(req)
	if err != nil {
		return s.connectionError(ctx, to, err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return s.connectionError(ctx, to, err)
	}
	if res.StatusCode != http.StatusOK {
		var e stageError
		if json.Unmarshal(data, &e) != nil || e.Code == "" {
			e = stageError{Code: "stage_failed", Message: string(data), Stage: to.Endpoint}
		}
		return &e
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func (s *Server) connectionError(ctx context.Context, to stage, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The other idle connections may have become unresponsive at the same time.
		s.stageClient.CloseIdleConnections()
		return &stageError{Code: "stage_silent", Message: err.Error(), Stage: to.Endpoint}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &stageError{Code: "stage_unreachable", Message: err.Error(), Stage: to.Endpoint}
}

func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) holds(model, version string, layers [2]int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holdings {
		if h.Model == model && h.Version == version && h.Layers[0] <= layers[0] && layers[1] <= h.Layers[1] {
			return true
		}
	}
	return false
}
