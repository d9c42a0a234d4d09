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

// AddressesResponse lists the hosts that callers of a service should use, and how long they may cache the list.
type AddressesResponse struct {
	Addresses  []Address `json:"addresses"`
	LifetimeMs int64     `json:"lifetime_ms"`
}

// ExplainResponse lists the decisions about one request.
type ExplainResponse struct {
	Request   table.RequestID `json:"request"`
	Decisions []Decision      `json:"decisions"`
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	s := h.cfg.Backend.Status()
	s.Hosts, s.Endpoints, s.Services, s.Leases = emptyIfNil(s.Hosts), emptyIfNil(s.Endpoints), emptyIfNil(s.Services), emptyIfNil(s.Leases)
	writeJSON(w, http.StatusOK, s)
}

// emptyIfNil returns an empty list for nil, so that the JSON has [] instead of null for scripts that iterate over it.
func emptyIfNil[T any](l []T) []T {
	if l == nil {
		return []T{}
	}
	return l
}

// watch responds once the minimum generation in force exceeds the given one, once the service, its generation or
// the hosts that lag behind change, or when the wait time is over.
func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	wait, ok := waitParam(r, "wait_ms")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if !ok || err != nil {
		refuse(w, http.StatusBadRequest, detail{Code: outcome.BadRequest, Message: "after must be a generation, and wait_ms a number of milliseconds"})
		return
	}
	s, exists := h.awaitProgress(r, after, wait)
	if !exists {
		refuseError(w, fmt.Errorf("service %s: %w", serviceID(r), ErrNotFound))
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func (h *Handler) awaitProgress(r *http.Request, after uint64, wait time.Duration) (ServiceStatus, bool) {
	id := serviceID(r)
	first, existed := h.cfg.Backend.Service(id)
	s, exists := first, existed
	if s.InForce > after {
		return s, exists
	}
	h.poll(r, wait, func() bool {
		s, exists = h.cfg.Backend.Service(id)
		changed := exists != existed || s.Generation != first.Generation || !slices.Equal(s.NotInForce, first.NotInForce)
		return s.InForce > after || changed
	})
	return s, exists
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	hosts, lifetime, err := h.cfg.Backend.Addresses(r.Context(), table.ServiceID(r.URL.Query().Get("service")))
	if err != nil {
		refuseError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, AddressesResponse{Addresses: emptyIfNil(hosts), LifetimeMs: lifetime.Milliseconds()})
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.cfg.Backend.Drain()
	writeJSON(w, http.StatusAccepted, h.cfg.Backend.DrainStatus())
}

// drainStatus responds once the status has changed, or when the wait time is over. A stopping host lets open
// requests finish, so a waiting caller still receives the final status.
func (h *Handler) drainStatus(w http.ResponseWriter, r *http.Request) {
	wait, ok := waitParam(r, "wait_ms")
	if !ok {
		refuse(w, http.StatusBadRequest, detail{Code: outcome.BadRequest, Message: "wait_ms must be a number of milliseconds"})
		return
	}
	first := h.cfg.Backend.DrainStatus()
	current := first
	h.poll(r, wait, func() bool {
		current = h.cfg.Backend.DrainStatus()
		return current != first || current.Done
	})
	writeJSON(w, http.StatusOK, current)
}

// poll calls done at each poll interval until it returns true, the wait time is over or the caller has disconnected.
func (h *Handler) poll(r *http.Request, wait time.Duration, done func() bool) {
	if wait == 0 {
		return
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	tick := time.NewTicker(h.cfg.PollInterval)
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
	decisions := h.cfg.Backend.Explain(id)
	if len(decisions) == 0 {
		refuseError(w, fmt.Errorf("request %s: no decision is kept on this host: %w", id, ErrNotFound))
		return
	}
	writeJSON(w, http.StatusOK, ExplainResponse{Request: id, Decisions: decisions})
}
