package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"waxwingplank/internal/core/outcome"
)

type streamBody struct {
	Prompt    string `json:"prompt"`
	Preamble  string `json:"preamble"`
	MaxTokens int    `json:"max_tokens"`
	Kind      string `json:"kind"`
}

func (h *Handler) stream(w http.ResponseWriter, r *http.Request) {
	select {
	case h.streamSlots <- struct{}{}:
		defer func() { <-h.streamSlots }()
	default:
		h.refuse(w, refusal(outcome.NoCapacity, "this host serves as many streams as it may", isFirstSend(r)))
		return
	}
	req, err := h.parseRequest(w, r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	body, err := h.readBody(w, r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	parsed, err := parseStreamBody(body, req.FirstSend)
	if err != nil {
		h.refuse(w, err)
		return
	}
	if parsed.Kind != "" {
		req.Kind = parsed.Kind
	}
	if h.forward(w, r, body, req, nil) {
		return
	}
	h.serveStream(w, r, StreamRequest{
		Request:     req,
		Preamble:    parsed.Preamble,
		Prompt:      parsed.Prompt,
		MaxTokens:   parsed.MaxTokens,
		Body:        body,
		LastEventID: r.Header.Get(HeaderLastEventID),
	})
}

func (h *Handler) serveStream(w http.ResponseWriter, r *http.Request, req StreamRequest) {
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout(req.Request))
	defer cancel()
	sink := newEventWriter(w, h.cfg.HeartbeatInterval, cancel)
	err := h.cfg.Backend.Stream(ctx, req, sink)
	started := sink.close()
	if err == nil {
		return
	}
	if !started {
		h.refuse(w, err)
		return
	}
	sink.fail(asRefusal(err))
}

func parseStreamBody(body []byte, firstSend bool) (streamBody, error) {
	var parsed streamBody
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&parsed); err != nil {
		return parsed, refusal(outcome.BadRequest, "body: "+err.Error(), firstSend)
	}
	if err := dec.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return parsed, refusal(outcome.BadRequest, "body: data after the JSON value", firstSend)
	}
	if parsed.Prompt == "" {
		return parsed, refusal(outcome.BadRequest, "body: prompt is empty", firstSend)
	}
	if parsed.MaxTokens < 0 {
		return parsed, refusal(outcome.BadRequest, "body: max_tokens is negative", firstSend)
	}
	return parsed, nil
}
