package caller

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"waxwingplank/internal/core/outcome"

	"github.com/go-chi/chi/v5"
)

// endpointHeaders are the request headers of a plain-service call that are sent to the endpoint.
var endpointHeaders = []string{"Content-Type", "Accept", "Accept-Language", HeaderIdempotencyKey}

func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	req, err := h.parseRequest(w, r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	path := chi.URLParam(r, "*")
	if path == "" || strings.Contains(path, "..") {
		h.refuse(w, refusal(outcome.BadRequest, "the path of the call is empty or not clean", req.FirstSend))
		return
	}
	body, err := h.readBody(w, r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	call := CallRequest{Request: req, Method: r.Method, Path: path, Header: http.Header{}, Body: body}
	for _, name := range endpointHeaders {
		if v := r.Header.Get(name); v != "" {
			call.Header.Set(name, v)
		}
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	if h.forward(w, r, body, req, &call) {
		return
	}
	h.serveCall(w, r, call)
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request, call CallRequest) {
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout(call.Request))
	defer cancel()
	response, err := h.cfg.Backend.Call(ctx, call)
	if err != nil {
		h.refuse(w, err)
		return
	}
	for _, name := range []string{"Content-Type", "Content-Language"} {
		if v := response.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	if response.Recorded {
		w.Header().Set(HeaderRecorded, "true")
	}
	w.Header().Set(HeaderOutcome, string(outcome.Ran))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// forward sends the request to the peer that should serve it, if any, and reports whether a response was written.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, body []byte, req Request, call *CallRequest) bool {
	to, other := h.cfg.Backend.ForwardTarget(req, call)
	if !other {
		return false
	}
	started, err := h.cfg.Backend.Forward(w, r, body, req, to)
	if err != nil && !started {
		h.refuse(w, err)
	}
	if err != nil && started {
		abortResponse(w, err)
	}
	return true
}

// abortResponse ends a response that a peer cut off, so that the caller cannot take it for complete. A stream gets an
// error event; for any other response the connection is closed.
func abortResponse(w http.ResponseWriter, err error) {
	if slices.Contains(w.Header()["Content-Type"], eventStream) {
		writeEvent(w, "error", "", errorBody(asRefusal(err)))
		return
	}
	if forwarded, ok := w.(ForwardedWriter); ok {
		forwarded.Abort(err)
		return
	}
	panic(http.ErrAbortHandler)
}
