package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/table"
)

// ServiceResponse is the document in force on a host, and the status of its service.
type ServiceResponse struct {
	ServiceStatus
	Document json.RawMessage `json:"document"`
}

// ChangeResponse lists the changes that a document makes. Generation is 0 if nothing was written.
type ChangeResponse struct {
	Service table.ServiceID `json:"service"`
	// Base is the generation that the change is based on.
	Base       uint64   `json:"base"`
	Generation uint64   `json:"generation,omitempty"`
	Changes    []string `json:"changes"`
}

// Changes lists the changes from the document in force, if any, to d.
func Changes(current document.Document, exists bool, d document.Document) []string {
	changes := []string{}
	if !exists {
		return append(changes, fmt.Sprintf("service %s: new", d.Service()))
	}
	return append(changes, document.Diff(current, d)...)
}

func serviceID(r *http.Request) table.ServiceID { return table.ServiceID(chi.URLParam(r, "service")) }

func (h *Handler) services(w http.ResponseWriter, _ *http.Request) {
	list := []ServiceStatus{}
	for _, d := range h.cfg.Backend.Documents() {
		if s, ok := h.cfg.Backend.Service(d.Service()); ok {
			list = append(list, s)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"services": list})
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	id := serviceID(r)
	d, ok := h.cfg.Backend.Document(id)
	if !ok {
		refuseError(w, fmt.Errorf("service %s: %w", id, ErrNotFound))
		return
	}
	value, err := d.Canonical()
	if err != nil {
		refuseError(w, err)
		return
	}
	s, _ := h.cfg.Backend.Service(id)
	s.Generation = d.Generation()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(d.Generation(), 10)))
	writeJSON(w, http.StatusOK, ServiceResponse{ServiceStatus: s, Document: value})
}

func (h *Handler) check(w http.ResponseWriter, r *http.Request) {
	d, err := readDocument(r)
	if err != nil {
		refuseError(w, err)
		return
	}
	current, exists := h.cfg.Backend.Document(d.Service())
	writeJSON(w, http.StatusOK, ChangeResponse{
		Service: d.Service(), Base: current.Generation(), Changes: Changes(current, exists, d),
	})
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	expected, err := precondition(r)
	if err != nil {
		refuse(w, http.StatusPreconditionRequired, detail{Code: NoPrecondition, Message: err.Error()})
		return
	}
	d, err := readDocument(r)
	if err != nil {
		refuseError(w, err)
		return
	}
	current, exists := h.cfg.Backend.Document(d.Service())
	// A caller that disconnects must not cancel the write, because its outcome would then be unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), h.cfg.ApplyTimeout)
	defer cancel()
	written, err := h.cfg.Backend.Apply(ctx, d, expected)
	if err != nil {
		refuseError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(written.Generation(), 10)))
	writeJSON(w, http.StatusOK, ChangeResponse{
		Service: d.Service(), Base: expected, Generation: written.Generation(), Changes: Changes(current, exists, d),
	})
}

// readDocument parses the document in the body, which must belong to the service named in the path.
func readDocument(r *http.Request) (document.Document, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return document.Document{}, fmt.Errorf("body: %w", err)
	}
	d, err := document.Parse(data)
	if err != nil {
		return d, err
	}
	if d.Service() != serviceID(r) {
		return d, &document.Error{Line: 1, Field: "service", Reason: fmt.Sprintf("is %q, but the path names %q", d.Service(), serviceID(r))}
	}
	return d, nil
}

// precondition returns the generation that the change is based on; 0 means that the service must not exist.
func precondition(r *http.Request) (uint64, error) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	if match == "" && none == "*" {
		return 0, nil
	}
	n, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || none != "" || n == 0 {
		return 0, errors.New("the change needs If-Match with the generation it is based on, or If-None-Match: *")
	}
	return n, nil
}
