package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
)

// The names of the headers that callers and hosts exchange.
const (
	HeaderWorkspace      = "Workspace"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Request-Attempt"
	HeaderTimeout        = "Request-Timeout-Ms"
	HeaderKind           = "Request-Kind"
	HeaderRequestID      = "Request-Id"
	HeaderOutcome        = "Request-Outcome"
	HeaderLastEventID    = "Last-Event-ID"
	// HeaderRecorded marks a response that was recorded for an earlier copy of the request.
	HeaderRecorded = "Answer-Recorded"
)

// These limits bound how much a caller can make a host store for one request.
const (
	maxKeyBytes  = 128
	maxNameBytes = 128
)

// Config configures a Handler.
type Config struct {
	Backend Backend
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// BodyTimeout is the maximum time to read a request body.
	BodyTimeout time.Duration
	// MaxStreams is the maximum number of concurrent streams.
	MaxStreams int
	// MaxRequestTime is the maximum time for serving a request, up to the end of its response.
	MaxRequestTime time.Duration
	// HeartbeatInterval is the time without an event after which a stream gets a comment line.
	HeartbeatInterval time.Duration
	// NewRequestID returns a request id that is unique across all hosts.
	NewRequestID func() table.RequestID
}

// Handler serves the HTTP requests of callers.
type Handler struct {
	cfg         Config
	router      chi.Router
	streamSlots chan struct{}
}

// New returns a handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, router: chi.NewRouter(), streamSlots: make(chan struct{}, cfg.MaxStreams)}
	h.router.Get("/v1/addresses", h.addresses)
	h.router.Post("/v1/services/{service}/streams", h.stream)
	h.router.HandleFunc("/v1/services/{service}/calls/*", h.call)
	h.router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, refusal(outcome.NotFound, "no such path: "+r.URL.Path, true))
	})
	h.router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, refusal(outcome.BadRequest, "method not allowed: "+r.Method, true))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// ForwardedWriter is a ResponseWriter for a request that a peer has forwarded after it authenticated the caller.
type ForwardedWriter interface {
	http.ResponseWriter
	// Hops counts the hosts that forwarded the request.
	Hops() int
	Workspace() table.WorkspaceID
	RequestID() table.RequestID
	// Abort ends a response that was cut off, so that the forwarding host does not take it for complete.
	Abort(err error)
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	service := table.ServiceID(r.URL.Query().Get("service"))
	list, lifetime, err := h.cfg.Backend.Addresses(r.Context(), service)
	if err != nil {
		h.refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"addresses": list, "lifetime_ms": lifetime.Milliseconds()})
}

// parseRequest parses the parts that stream requests and call requests share.
func (h *Handler) parseRequest(w http.ResponseWriter, r *http.Request) (Request, error) {
	req := Request{
		Service:   table.ServiceID(chi.URLParam(r, "service")),
		Kind:      r.Header.Get(HeaderKind),
		Key:       r.Header.Get(HeaderIdempotencyKey),
		FirstSend: r.Header.Get(HeaderAttempt) == "1",
		Received:  time.Now(),
	}
	if forwarded, ok := w.(ForwardedWriter); ok {
		req.ID, req.Hops, req.Workspace = forwarded.RequestID(), forwarded.Hops(), forwarded.Workspace()
	} else {
		req.ID = h.cfg.NewRequestID()
		ws, err := h.cfg.Backend.Workspace(bearerToken(r), r.Header.Get(HeaderWorkspace), req.FirstSend)
		if err != nil {
			return req, eris.Wrap(err, "caller.request")
		}
		req.Workspace = ws
	}
	w.Header().Set(HeaderRequestID, string(req.ID))
	if len(req.Key) > maxKeyBytes || len(req.Kind) > maxNameBytes || len(req.Service) > maxNameBytes {
		return req, refusal(outcome.BadRequest, "service, kind or key is too long", req.FirstSend)
	}
	if v := r.Header.Get(HeaderTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return req, refusal(outcome.BadRequest, HeaderTimeout+" must be a positive number of milliseconds", req.FirstSend)
		}
		req.Timeout = time.Duration(min(ms, h.cfg.MaxRequestTime.Milliseconds())) * time.Millisecond
	}
	return req, nil
}

func bearerToken(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}
