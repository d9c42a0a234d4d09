package operator

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// AddressesAnswer is what callers of a service are told.
type AddressesAnswer struct {
	Addresses  []Address `json:"addresses"`
	LifetimeMs int64     `json:"lifetime_ms"`
}

// ExplainAnswer holds the decisions about one request.
type ExplainAnswer struct {
	Request   table.RequestID `json:"request"`
	Decisions []Decision      `json:"decisions"`
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	s := h.cfg.Backend.Status()
	s.Hosts, s.Endpoints, s.Services, s.Leases = list(s.Hosts), list(s.Endpoints), list(s.Services), list(s.Leases)
	writeJSON(w, http.StatusOK, s)
}

// list makes a missing list an empty one, because scripts iterate over it.
func list[T any](l []T) []T {
	if l == nil {
		return []T{}
	}
	return l
}

// watch answers once the minimum in force is above the generation given, once other hosts are
// behind than at its start, or after the wait.
func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	wait, ok := milliseconds(r, "wait_ms")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if !ok || err != nil {
		refuse(w, http.StatusBadRequest, detail{Code: outcome.BadRequest, Message: "after must be a generation, and wait_ms a number of milliseconds"})
		return
	}
	s, known := h.progress(r, after, wait)
	if !known {
		refuseError(w, fmt.Errorf("service %s: %w", serviceID(r), ErrNotFound))
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func (h *Handler) progress(r *http.Request, after uint64, wait time.Duration) (ServiceStatus, bool) {
	id := serviceID(r)
	first, knownFirst := h.cfg.Backend.Service(id)
	s, known := first, knownFirst
	if s.InForce > after {
		return s, known
	}
	h.poll(r, wait, func() bool {
		s, known = h.cfg.Backend.Service(id)
		changed := known != knownFirst || s.Generation != first.Generation || !slices.Equal(s.NotInForce, first.NotInForce)
		return s.InForce > after || changed
	})
	return s, known
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	hosts, lifetime, err := h.cfg.Backend.Addresses(r.Context(), table.ServiceID(r.URL.Query().Get("service")))
	if err != nil {
		refuseError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, AddressesAnswer{Addresses: list(hosts), LifetimeMs: lifetime.Milliseconds()})
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.cfg.Backend.Drain()
	writeJSON(w, http.StatusAccepted, h.cfg.Backend.DrainStatus())
}

// drainStatus answers once something has changed, or after the wait. A host that stops lets open
// requests end, so a waiting caller learns that nothing is left.
func (h *Handler) drainStatus(w http.ResponseWriter, r *http.Request) {
	wait, ok := milliseconds(r, "wait_ms")
	if !ok {
		refuse(w, http.StatusBadRequest, detail{Code: outcome.BadRequest, Message: "wait_ms must be a number of milliseconds"})
		return
	}
	first := h.cfg.Backend.DrainStatus()
	now := first
	h.poll(r, wait, func() bool {
		now = h.cfg.Backend.DrainStatus()
		return now != first || now.Done
	})
	writeJSON(w, http.StatusOK, now)
}

// poll calls the function until it is true, the wait has passed or the caller has left.
func (h *Handler) poll(r *http.Request, wait time.Duration, done func() bool) {
	if wait == 0 {
		return
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	tick := time.NewTicker(h.cfg.PollEvery)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-end.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	id := table.RequestID(chi.URLParam(r, "request"))
	lines := h.cfg.Backend.Explain(id)
	if len(lines) == 0 {
		refuseError(w, fmt.Errorf("request %s: no decision is kept on this host: %w", id, ErrNotFound))
		return
	}
	writeJSON(w, http.StatusOK, ExplainAnswer{Request: id, Decisions: lines})
}
