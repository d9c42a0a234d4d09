package operator

import (
	"expvar"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"waxwingplank/internal/core/outcome"
)

// The limits for fields that are zero in Config.
const (
	// defaultBodyBytes is the largest value that the object API stores.
	defaultBodyBytes = 1 << 20
	// defaultApplyTimeout leaves time to read the document back if the response to one write is lost.
	defaultApplyTimeout = 5 * time.Second
	// defaultPollInterval is short compared with the 3 s within which a change is in force everywhere.
	defaultPollInterval = 50 * time.Millisecond
	// maxWait bounds how long a request may wait for a change, so that an unresponsive connection is detected.
	maxWait = 10 * time.Second
)

// Config configures a Handler; only Backend is required.
type Config struct {
	Backend Backend
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// ApplyTimeout is the maximum time for writing a document.
	ApplyTimeout time.Duration
	// PollInterval is the interval at which a waiting request checks for a change.
	PollInterval time.Duration
}

// Handler serves the HTTP requests of operators.
type Handler struct {
	cfg    Config
	router chi.Router
}

// New returns a handler.
func New(cfg Config) *Handler {
	if cfg.BodyBytes == 0 {
		cfg.BodyBytes = defaultBodyBytes
	}
	if cfg.ApplyTimeout == 0 {
		cfg.ApplyTimeout = defaultApplyTimeout
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = defaultPollInterval
	}
	h := &Handler{cfg: cfg, router: chi.NewRouter()}
	// The platform's health probes carry no token.
	h.router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	h.router.Group(func(r chi.Router) {
		r.Use(h.authorize)
		r.Get("/v1/services", h.services)
		r.Get("/v1/services/{service}", h.service)
		r.Put("/v1/services/{service}", h.apply)
		r.Post("/v1/services/{service}/check", h.check)
		r.Get("/v1/status", h.status)
		r.Get("/v1/watch/{service}", h.watch)
		r.Get("/v1/addresses", h.addresses)
		r.Post("/v1/drain", h.drain)
		r.Get("/v1/drain", h.drainStatus)
		r.Get("/v1/requests/{request}", h.explain)
		r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	})
	h.router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, http.StatusNotFound, detail{Code: outcome.NotFound, Message: "no such path: " + r.URL.Path})
	})
	h.router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, http.StatusMethodNotAllowed, detail{Code: outcome.BadRequest, Message: "method not allowed: " + r.Method})
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if h.cfg.Backend.IsOperator(token) {
			r.Body = http.MaxBytesReader(w, r.Body, h.cfg.BodyBytes)
			next.ServeHTTP(w, r)
			return
		}
		if token == "" {
			refuse(w, http.StatusUnauthorized, detail{Code: outcome.Unauthorized, Message: "the bearer token is missing"})
			return
		}
		refuse(w, http.StatusForbidden, detail{Code: outcome.Forbidden, Message: "the token is unknown, expired or without the operator right"})
	})
}

// waitParam returns the query parameter that says how long the request may wait, in milliseconds, limited to maxWait.
// It returns false if the value is invalid.
func waitParam(r *http.Request, name string) (time.Duration, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, false
	}
	return min(time.Duration(n)*time.Millisecond, maxWait), true
}
