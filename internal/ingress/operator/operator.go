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

// The bounds that hold where Config leaves them out.
const (
	// defaultBodyBytes is the largest value of the object API.
	defaultBodyBytes = 1 << 20
	// defaultApply leaves time for one lost answer to be read back.
	defaultApply = 5 * time.Second
	// defaultPoll is short against the 3 s in which a change is in force everywhere.
	defaultPoll = 50 * time.Millisecond
	// maxWait bounds a waiting watch, so that a silent connection is noticed.
	maxWait = 10 * time.Second
)

// Config describes a Handler; only Backend is required.
type Config struct {
	Backend Backend
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// ApplyTimeout bounds the writing of a document.
	ApplyTimeout time.Duration
	// PollEvery is how often a waiting watch looks for progress.
	PollEvery time.Duration
}

// Handler serves operators.
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
		cfg.ApplyTimeout = defaultApply
	}
	if cfg.PollEvery == 0 {
		cfg.PollEvery = defaultPoll
	}
	h := &Handler{cfg: cfg, router: chi.NewRouter()}
	// Probes of the platform carry no token.
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
		if h.cfg.Backend.Operator(token) {
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

// milliseconds reads a waiting time of the query, bounded by maxWait.
func milliseconds(r *http.Request, name string) (time.Duration, bool) {
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
