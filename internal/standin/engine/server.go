package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
)

// Server is a stand-in for a model engine.
type Server struct {
	cfg         Config
	faults      faultList
	recorder    recorder
	cache       prefixCache
	load        loadHistory
	stepNanos   atomic.Int64
	stageClient *http.Client
	incarnation atomic.Uint64
	crashes     atomic.Int64
	address     string
	closing     chan struct{}
	crashed     chan struct{}
	closeOnce   sync.Once
	background  sync.WaitGroup

	mu       sync.Mutex
	state    *state
	http     *http.Server
	conns    map[net.Conn]*connection
	holdings []Holding
	fence    int64
	role     string
	down     bool
}

// connection is the fault state of one accepted connection.
type connection struct {
	mute    atomic.Bool
	control atomic.Bool
}

type connectionKey struct{}

// New returns a server that has not been started.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:         cfg,
		recorder:    recorder{limit: cfg.MaxExecutions},
		cache:       newCache(cfg),
		stageClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots + cfg.QueueLimit}},
		closing:     make(chan struct{}),
		// A buffer of one is enough, since an engine that is down cannot crash again.
		crashed:  make(chan struct{}, 1),
		conns:    map[net.Conn]*connection{},
		holdings: cfg.Holdings,
	}
	if cfg.DiscardExecutions {
		s.recorder.limit = 0
	}
	if cfg.Record != nil {
		s.recorder.encoder = json.NewEncoder(cfg.Record)
	}
	s.stepNanos.Store(int64(cfg.Step))
	return s
}

// Start listens on host:port and serves until Close. Port 0 selects a free port.
func (s *Server) Start(address string) error {
	if err := s.listen(address); err != nil {
		return err
	}
	s.background.Go(s.housekeeping)
	s.background.Go(s.restartAfterCrash)
	return nil
}

func (s *Server) listen(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("engine stand-in: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = listener.Addr().String()
	if s.cfg.Endpoint == "" {
		s.cfg.Endpoint = s.address
	}
	s.incarnation.Store(max(s.incarnation.Load()+1, uint64(time.Now().UnixMilli())))
	s.state = newState(s.cfg)
	s.down = false
	server := &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: time.Minute,
		ConnContext:       s.trackConn,
		ConnState:         s.untrackConn,
	}
	s.http = server
	s.load.reset(s.measureLoad(s.state))
	s.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("engine stand-in: serve: %v", err))
		}
	})
	return nil
}

func (s *Server) trackConn(ctx context.Context, c net.Conn) context.Context {
	state := &connection{}
	state.mute.Store(s.faults.mutesNewConns())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = state
	return context.WithValue(ctx, connectionKey{}, state)
}

func (s *Server) untrackConn(c net.Conn, to http.ConnState) {
	if to == http.StateClosed || to == http.StateHijacked {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// Address returns host:port of the started server.
func (s *Server) Address() string { return s.address }

// Endpoint returns the endpoint name of the engine.
func (s *Server) Endpoint() string { return s.cfg.Endpoint }

// Incarnation returns a number that increases with each crash.
func (s *Server) Incarnation() uint64 { return s.incarnation.Load() }

// Close stops the server and closes all its connections.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	err := server.Close()
	s.background.Wait()
	s.stageClient.CloseIdleConnections()
	return err
}

// Crash resets all connections and drops all streams. The server listens on the same address again after
// CrashDowntime, with a new incarnation.
func (s *Server) Crash() {
	s.crashes.Add(1)
	s.mu.Lock()
	if s.down || s.closed() {
		s.mu.Unlock()
		return
	}
	s.down = true
	server := s.http
	for c, state := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok && !state.control.Load() {
			// Closing without linger sends a TCP reset, as often happens when a process crashes.
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = server.Close()
	s.crashed <- struct{}{}
}

// restartAfterCrash starts the listener again CrashDowntime after each crash.
func (s *Server) restartAfterCrash() {
	for {
		select {
		case <-s.crashed:
		case <-s.closing:
			return
		}
		t := time.NewTimer(s.cfg.CrashDowntime)
		select {
		case <-t.C:
		case <-s.closing:
			t.Stop()
			return
		}
		if err := s.listen(s.address); err != nil {
			panic(err.Error())
		}
		if s.closed() {
			_ = s.http.Close()
			return
		}
	}
}

func (s *Server) closed() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// SetStep changes the time to generate one token.
func (s *Server) SetStep(d time.Duration) { s.stepNanos.Store(int64(d)) }

// Inject adds a fault.
func (s *Server) Inject(f Fault) {
	s.faults.add(f)
	if f.Fault != Unresponsive {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.mute.Store(true)
	}
}

// ClearFaults removes all faults. Connections that are already muted stay muted.
func (s *Server) ClearFaults() { s.faults.clear() }

// Executions returns the recorded executions in the order in which they started.
func (s *Server) Executions() []Execution {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return append([]Execution{}, s.recorder.executions...)
}

// Cancels returns the cancellations that the engine received.
func (s *Server) Cancels() []Cancel {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return append([]Cancel{}, s.recorder.cancels...)
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(withMuting)
		r.Get("/v1/describe", s.describe)
		r.Get("/v1/load", s.getLoad)
		r.Get("/v1/events", s.events)
		r.Post("/v1/streams", s.open)
		r.Delete("/v1/streams/{id}", s.cancel)
		r.Post("/v1/streams/{id}/export", s.export)
		r.Get("/v1/kv/{id}", s.getCache)
		r.Post("/v1/orders", s.handleOrder)
		r.Post("/v1/stages/prefill", s.stagePrefill)
		r.Post("/v1/stages/forward", s.stageForward)
	})
	r.Group(func(r chi.Router) {
		r.Use(markControl)
		r.Get("/standin/executions", s.getExecutions)
		r.Get("/standin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, map[string]any{"orders": s.Orders()}) })
		r.Get("/standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.list()) })
		r.Post("/standin/faults", s.postFault)
		r.Delete("/standin/faults", func(w http.ResponseWriter, _ *http.Request) {
			s.ClearFaults()
			writeJSON(w, s.faults.list())
		})
		r.Post("/standin/crash", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, map[string]uint64{"incarnation": s.Incarnation()})
			s.background.Go(s.Crash)
		})
		r.Get("/standin/crashes", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, map[string]int64{"crashes": s.crashes.Load()})
		})
		r.Post("/standin/settings", s.postSettings)
	})
	return r
}

func (s *Server) getExecutions(w http.ResponseWriter, r *http.Request) {
	stream := r.URL.Query().Get("stream")
	s.recorder.mu.Lock()
	executions := make([]Execution, 0, len(s.recorder.executions))
	for _, e := range s.recorder.executions {
		if stream == "" || e.Stream == stream {
			executions = append(executions, e)
		}
	}
	dropped := s.recorder.dropped
	s.recorder.mu.Unlock()
	writeJSON(w, map[string]any{
		"endpoint": s.cfg.Endpoint, "executions": executions, "dropped": dropped, "cancels": s.Cancels(),
	})
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if decode(w, r, &f) {
		s.Inject(f)
		writeJSON(w, s.faults.list())
	}
}

func (s *Server) postSettings(w http.ResponseWriter, r *http.Request) {
	var in struct {
		StepUS int64 `json:"step_us"`
	}
	if decode(w, r, &in) {
		s.SetStep(time.Duration(in.StepUS) * time.Microsecond)
		writeJSON(w, in)
	}
}

// currentState returns the state of the current incarnation.
func (s *Server) currentState() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// muteWriter blocks all writes to a muted connection until the connection ends.
type muteWriter struct {
	http.ResponseWriter
	conn *connection
	done <-chan struct{}
}

func (m muteWriter) wait() {
	if m.conn.mute.Load() {
		<-m.done
		panic(http.ErrAbortHandler)
	}
}

// WriteHeader implements http.ResponseWriter.
func (m muteWriter) WriteHeader(status int) {
	m.wait()
	m.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (m muteWriter) Write(b []byte) (int, error) {
	m.wait()
	return m.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the connection.
func (m muteWriter) Unwrap() http.ResponseWriter { return m.ResponseWriter }

func withMuting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(muteWriter{ResponseWriter: w, conn: conn, done: r.Context().Done()}, r)
	})
}

// markControl exempts the connection of a control request from the resets of a crash.
func markControl(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			conn.control.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	// Read the whole body: net/http detects a lost connection only after that.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := json.Unmarshal(body, v); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
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

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"message":%q}}`, code, strings.ToValidUTF8(message, "?"))
}
