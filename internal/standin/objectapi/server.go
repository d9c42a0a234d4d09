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

// Config holds the settings of a Server. Rates of zero are unlimited.
type Config struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Hosts           []Host
	HostLag         time.Duration
	// WeightBytesPerSecond and WeightLoadsAtOnce are the limits of the weight store.
	WeightBytesPerSecond int64
	WeightLoadsAtOnce    int
}

// Host is one entry of the host list.
type Host struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
}

// Server is a stand-in for the platform.
type Server struct {
	cfg     Config
	store   *store
	faults  faultState
	calls   callCounter
	reads   *rate.Limiter
	writes  *rate.Limiter
	hosts   hostHistory
	http    *http.Server
	address string
	closing chan struct{}
	done    sync.WaitGroup
}

// burstFraction is the share of a second's calls that may arrive at once.
const burstFraction = 0.1

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1+int(perSecond*burstFraction))
}

// Default limits of the weight store: ten layers of 100 MB a second.
const (
	defaultBytesPerSecond = 1_000_000_000
	defaultLoadsAtOnce    = 4
)

// New returns a server that has not been started.
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
		calls:   callCounter{counts: map[string]int{}},
		reads:   newLimiter(cfg.ReadsPerSecond),
		writes:  newLimiter(cfg.WritesPerSecond),
		closing: make(chan struct{}),
	}
	s.SetHosts(cfg.Hosts, 0)
	s.hosts.setLag(cfg.HostLag)
	return s
}

// Start listens on host:port and serves until Close. Port 0 selects a free port.
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

// Close stops the server and closes all its connections.
func (s *Server) Close() error {
	close(s.closing)
	err := s.http.Close()
	s.done.Wait()
	return err
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Faults returns the injected faults with their remaining counts.
func (s *Server) Faults() Faults { return s.faults.get() }

// SetHosts replaces the host list. Readers see the change after the lag; a negative lag leaves the lag
// unchanged.
func (s *Server) SetHosts(hosts []Host, lag time.Duration) {
	if lag >= 0 {
		s.hosts.setLag(lag)
	}
	s.hosts.add(hosts)
}

// Calls returns the number of calls by method and object kind, such as "put claim-shards".
func (s *Server) Calls() map[string]int { return s.calls.snapshot(false) }

// Snapshot saves the current objects and returns the number of the snapshot.
func (s *Server) Snapshot() int { return s.store.snapshot() }

// Restore restores the objects of a snapshot and reports whether it exists. With rewind, the versions of
// the store are restored as well.
func (s *Server) Restore(id int, rewind bool) bool { return s.store.restore(id, rewind) }

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.injectOutage)
		r.Get("/v1/objects/{kind}/{name}", s.get)
		r.Put("/v1/objects/{kind}/{name}", s.write)
		r.Delete("/v1/objects/{kind}/{name}", s.write)
		r.Get("/v1/objects/{kind}", s.list)
		r.Get("/v1/watch/{kind}", s.watch)
		r.Get("/v1/hosts", s.listHosts)
		r.Get("/v1/limits", s.limits)
	})
	r.Get("/standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	r.Post("/standin/faults", s.postFaults)
	r.Delete("/standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		s.SetFaults(Faults{})
		writeJSON(w, s.Faults())
	})
	r.Get("/standin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	r.Delete("/standin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.calls.snapshot(true)) })
	r.Post("/standin/snapshots", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int{"snapshot": s.Snapshot()})
	})
	r.Post("/standin/restore", s.postRestore)
	r.Post("/standin/hosts", s.postHosts)
	return r
}

// injectOutage applies outages and delays before a call can take effect.
func (s *Server) injectOutage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.get()
		switch f.Outage {
		case Unavailable:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case Closed:
			panic(http.ErrAbortHandler)
		case Unresponsive:
			s.sleepContext(r.Context(), time.Hour)
			panic(http.ErrAbortHandler)
		}
		if f.DelayMS > 0 {
			// Lets a test see that a call is delayed and has not taken effect yet.
			s.calls.add("delayed", r.Method, r.URL.Path)
		}
		s.sleep(time.Duration(f.DelayMS) * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

// sleepContext waits until the time is up, the context ends or the server is closed.
func (s *Server) sleepContext(ctx context.Context, d time.Duration) {
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
		writeJSON(w, f)
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
	writeJSON(w, in)
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
	writeJSON(w, in)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
