package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"waxwingplank/internal/endpoint/engine"
)

// Order is an order that the engine received.
type Order struct {
	Order   string `json:"order"`
	Fence   int64  `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Layers  [2]int `json:"layers"`
	// Refused is set if the fencing token was old and the engine checks it.
	Refused bool `json:"refused"`
	// Stale is set if the fencing token was old and the engine executed the order nevertheless.
	Stale bool `json:"stale"`
}

// Orders returns the received orders in the order of their arrival.
func (s *Server) Orders() []Order {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return append([]Order{}, s.recorder.orders...)
}

// Holdings returns the layer ranges that the engine has loaded.
func (s *Server) Holdings() []Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.holdings)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !decode(w, r, &o) {
		return
	}
	if !s.recordOrder(&o) {
		writeError(w, http.StatusConflict, engine.CodeOldFence, "fence "+strconv.FormatInt(o.Fence, 10))
		return
	}
	// As on a real engine, the order continues when the connection of its sender breaks.
	if err := s.sleep(context.WithoutCancel(r.Context()), s.cfg.OrderDuration); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.apply(o)
	writeJSON(w, struct{}{})
}

// recordOrder records the order and reports whether the engine executes it.
func (s *Server) recordOrder(o *Order) bool {
	s.mu.Lock()
	old := o.Fence < s.fence
	s.fence = max(s.fence, o.Fence)
	s.mu.Unlock()
	o.Refused = old && s.cfg.ChecksFencing
	o.Stale = old && !s.cfg.ChecksFencing
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	s.recorder.orders = append(s.recorder.orders, *o)
	return !o.Refused
}

// apply establishes the end state that the order names. The engine holds one layer range for each model
// and version.
func (s *Server) apply(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Kind == string(engine.OrderRole) {
		s.role = o.Role
		return
	}
	if o.Adapter != "" {
		return
	}
	s.holdings = slices.DeleteFunc(slices.Clone(s.holdings), func(h Holding) bool {
		return h.Model == o.Model && h.Version == o.Version
	})
	if o.Kind == string(engine.OrderLoad) {
		s.holdings = append(s.holdings, Holding{Model: o.Model, Version: o.Version, Layers: o.Layers})
	}
}

// handlePrefix starts the handle of an exported KV cache. The engine's address, a slash and the stream
// follow.
const handlePrefix = "kv:"

type cacheResponse struct {
	Content string `json:"content"`
	UpTo    int    `json:"up_to"`
	Layers  [2]int `json:"layers"`
}

// export returns a handle to the KV cache of a stream while the engine retains it.
func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Attempt int `json:"attempt"`
	}
	if !decode(w, r, &in) {
		return
	}
	id := streamID(r)
	c, ok := s.cachedSession(id)
	if !ok || c.attempt != in.Attempt {
		writeError(w, http.StatusNotFound, "unknown_stream", id)
		return
	}
	writeJSON(w, map[string]any{
		"kv_handle": handlePrefix + s.address + "/" + id,
		"bytes":     int64(c.cachedTokens) * s.cfg.KVBytesPerToken,
	})
}

func (s *Server) cachedSession(id string) (session, bool) {
	st := s.currentState()
	st.mu.Lock()
	defer st.mu.Unlock()
	c := st.find(id)
	if c == nil {
		return session{}, false
	}
	return *c, true
}

func (s *Server) getCache(w http.ResponseWriter, r *http.Request) {
	c, ok := s.cachedSession(streamID(r))
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_stream", streamID(r))
		return
	}
	writeJSON(w, cacheResponse{Content: strconv.FormatUint(c.contentHash, 16), UpTo: c.cachedTokens, Layers: c.layers})
}

// importCache reports whether the handle leads to a KV cache for the layers of this stage that covers the
// position.
func (s *Server) importCache(ctx context.Context, m prefillMessage, id uint64) bool {
	address, stream, ok := strings.Cut(strings.TrimPrefix(m.KVHandle, handlePrefix), "/")
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StageTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/kv/"+stream, nil)
	if err != nil {
		return false
	}
	res, err := s.stageClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return false
	}
	var c cacheResponse
	if err := json.Unmarshal(body, &c); err != nil {
		return false
	}
	return c.Content == strconv.FormatUint(id, 16) && c.Layers == m.Route[0].Layers && c.UpTo >= m.Position
}
