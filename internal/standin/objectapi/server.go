package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

// Config describes a Server; zero rates are unlimited.
type Config struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Hosts           []Host
	HostLag         time.Duration
	// WeightBytesPerSecond and WeightLoadsAtOnce are the weight store's limits.
	WeightBytesPerSecond int64
	WeightLoadsAtOnce    int
}

// Host is one row of the host list.
type Host struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
}

// Server is the platform stand-in.
type Server struct {
	cfg     Config
	store   *store
	faults  faultState
	calls   calls
	reads   *rate.Limiter
	writes  *rate.Limiter
	hosts   hostHistory
	http    *http.Server
	address string
	closing chan struct{}
	done    sync.WaitGroup
}

// burst is the part of a second's calls that may come at once.
const burst = 0.1

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1+int(perSecond*burst))
}

// The weight store's limits where the configuration names none: ten layers of 100 MB a second.
const (
	defaultBytesPerSecond = 1_000_000_000
	defaultLoadsAtOnce    = 4
)

// New returns a server that is not started.
func New(cfg Config) *Server {
	if cfg.WeightBytesPerSecond == 0 {
		cfg.WeightBytesPerSecond = defaultBytesPerSecond
	}
	if cfg.WeightLoadsAtOnce == 0 {
		cfg.WeightLoadsAtOnce = defaultLoadsAtOnce
	}
	s := &Server{
		cfg:     cfg,
		store:   newStore(),
		calls:   calls{counts: map[string]int{}},
		reads:   limiter(cfg.ReadsPerSecond),
		writes:  limiter(cfg.WritesPerSecond),
		closing: make(chan struct{}),
	}
	s.SetHosts(cfg.Hosts, 0)
	s.hosts.setLag(cfg.HostLag)
	return s
}

// Start listens on host:port, where port 0 picks a free one, and serves until Close.
func (s *Server) Start(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	s.address = listener.Addr().String()
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: time.Minute}
	s.done.Go(func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("platform stand-in: serve: %v", err))
		}
	})
	return nil
}

// Address returns host:port of the started server.
func (s *Server) Address() string { return s.address }

// Close ends the server and all its connections.
func (s *Server) Close() error {
	close(s.closing)
	err := s.http.Close()
	s.done.Wait()
	return err
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Faults returns the faults in force with their counters.
func (s *Server) Faults() Faults { return s.faults.get() }

// SetHosts changes the host list, which readers see after the lag; a negative lag keeps the current one.
func (s *Server) SetHosts(hosts []Host, lag time.Duration) {
	if lag >= 0 {
		s.hosts.setLag(lag)
	}
	s.hosts.add(hosts)
}

// Calls returns the number of calls by method and object kind, such as "put claim-shards".
func (s *Server) Calls() map[string]int { return s.calls.take(false) }

// Snapshot remembers the current state and returns its number.
func (s *Server) Snapshot() int { return s.store.snapshot() }

// Restore brings back a remembered state. With rewind the store's versions go back as well.
func (s *Server) Restore(id int, rewind bool) bool { return s.store.restore(id, rewind) }

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.disturb)
		r.Get("/v1/objects/{kind}/{name}", s.get)
		r.Put("/v1/objects/{kind}/{name}", s.write)
		r.Delete("/v1/objects/{kind}/{name}", s.write)
		r.Get("/v1/objects/{kind}", s.list)
		r.Get("/v1/watch/{kind}", s.watch)
		r.Get("/v1/hosts", s.listHosts)
		r.Get("/v1/limits", s.limits)
	})
	r.Get("/standin/faults", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Faults()) })
	r.Post("/standin/faults", s.postFaults)
	r.Delete("/standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		s.SetFaults(Faults{})
		answer(w, s.Faults())
	})
	r.Get("/standin/calls", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Calls()) })
	r.Delete("/standin/calls", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.calls.take(true)) })
	r.Post("/standin/snapshots", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, map[string]int{"snapshot": s.Snapshot()})
	})
	r.Post("/standin/restore", s.postRestore)
	r.Post("/standin/hosts", s.postHosts)
	return r
}

// disturb applies outages and delays, which come before any effect.
func (s *Server) disturb(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.get()
		switch f.Outage {
		case Unavailable:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case Closed:
			panic(http.ErrAbortHandler)
		case Silent:
			s.pause(r.Context(), time.Hour)
			panic(http.ErrAbortHandler)
		}
		if f.DelayMS > 0 {
			// Tells a test that a call waits, before it has any effect.
			s.calls.add("delayed", r.Method, r.URL.Path)
		}
		s.sleep(time.Duration(f.DelayMS) * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

// pause waits for the time, for the end of the context or for Close.
func (s *Server) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-s.closing:
	}
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		s.SetFaults(f)
		answer(w, f)
	}
}

func (s *Server) postRestore(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Snapshot       int  `json:"snapshot"`
		RewindVersions bool `json:"rewind_versions"`
	}
	if !decode(w, r, &in) {
		return
	}
	if !s.Restore(in.Snapshot, in.RewindVersions) {
		http.Error(w, "no such snapshot", http.StatusNotFound)
		return
	}
	answer(w, in)
}

func (s *Server) postHosts(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Hosts []Host `json:"hosts"`
		LagMS *int   `json:"lag_ms"`
	}
	if !decode(w, r, &in) {
		return
	}
	lag := -time.Millisecond
	if in.LagMS != nil {
		lag = time.Duration(*in.LagMS) * time.Millisecond
	}
	s.SetHosts(in.Hosts, lag)
	answer(w, in)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
