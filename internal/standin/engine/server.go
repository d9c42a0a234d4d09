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

// Server is the engine stand-in.
type Server struct {
	cfg         Config
	faults      faultList
	recorder    recorder
	cache       cache
	load        loadReport
	step        atomic.Int64
	next        *http.Client
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

// New returns a server that is not started.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:      cfg,
		recorder: recorder{limit: cfg.MaxExecutions},
		cache:    newCache(cfg),
		next:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots + cfg.QueueLimit}},
		closing:  make(chan struct{}),
		// One crash can wait, since an engine that is down does not crash.
		crashed:  make(chan struct{}, 1),
		conns:    map[net.Conn]*connection{},
		holdings: cfg.Holdings,
	}
	if cfg.NoExecutionsKept {
		s.recorder.limit = 0
	}
	if cfg.Record != nil {
		s.recorder.out = json.NewEncoder(cfg.Record)
	}
	s.step.Store(int64(cfg.Step))
	return s
}

// Start listens on host:port, where port 0 picks a free one, and serves until Close.
func (s *Server) Start(address string) error {
	if err := s.listen(address); err != nil {
		return err
	}
	s.background.Go(s.housekeeping)
	s.background.Go(s.restart)
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
		ConnContext:       s.track,
		ConnState:         s.forget,
	}
	s.http = server
	s.load.reset(s.measure(s.state))
	s.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("engine stand-in: serve: %v", err))
		}
	})
	return nil
}

func (s *Server) track(ctx context.Context, c net.Conn) context.Context {
	state := &connection{}
	state.mute.Store(s.faults.muteNew())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = state
	return context.WithValue(ctx, connectionKey{}, state)
}

func (s *Server) forget(c net.Conn, to http.ConnState) {
	if to == http.StateClosed || to == http.StateHijacked {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// Address returns host:port of the started server.
func (s *Server) Address() string { return s.address }

// Endpoint returns the engine's name.
func (s *Server) Endpoint() string { return s.cfg.Endpoint }

// Incarnation returns a number that is higher after each crash.
func (s *Server) Incarnation() uint64 { return s.incarnation.Load() }

// Close ends the server and all its connections.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	err := server.Close()
	s.background.Wait()
	s.next.CloseIdleConnections()
	return err
}

// Crash resets all connections, loses all streams and comes back with a new incarnation on the same
// address after the downtime.
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
			// Without linger the close sends a reset, as the end of a crashed process often does.
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = server.Close()
	s.crashed <- struct{}{}
}

// restart brings a crashed engine back.
func (s *Server) restart() {
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

// SetStep changes the time for one token.
func (s *Server) SetStep(d time.Duration) { s.step.Store(int64(d)) }

// Inject adds a fault.
func (s *Server) Inject(f Fault) {
	s.faults.add(f)
	if f.Fault != Silent {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.mute.Store(true)
	}
}

// ClearFaults removes all faults; connections that went silent stay silent.
func (s *Server) ClearFaults() { s.faults.clear() }

// Executions returns the recorded executions in the order of their start.
func (s *Server) Executions() []Execution {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return append([]Execution{}, s.recorder.executions...)
}

// Cancels returns the cancellations that reached the engine.
func (s *Server) Cancels() []Cancel {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return append([]Cancel{}, s.recorder.cancels...)
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(muteSilent)
		r.Get("/v1/describe", s.describe)
		r.Get("/v1/load", s.getLoad)
		r.Get("/v1/events", s.events)
		r.Post("/v1/streams", s.open)
		r.Delete("/v1/streams/{id}", s.cancel)
		r.Post("/v1/streams/{id}/export", s.export)
		r.Get("/v1/kv/{id}", s.sendCache)
		r.Post("/v1/orders", s.order)
		r.Post("/v1/stages/prefill", s.stagePrefill)
		r.Post("/v1/stages/forward", s.stageForward)
	})
	r.Group(func(r chi.Router) {
		r.Use(markControl)
		r.Get("/standin/executions", s.getExecutions)
		r.Get("/standin/orders", func(w http.ResponseWriter, _ *http.Request) { answer(w, map[string]any{"orders": s.Orders()}) })
		r.Get("/standin/faults", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.faults.list()) })
		r.Post("/standin/faults", s.postFault)
		r.Delete("/standin/faults", func(w http.ResponseWriter, _ *http.Request) {
			s.ClearFaults()
			answer(w, s.faults.list())
		})
		r.Post("/standin/crash", func(w http.ResponseWriter, _ *http.Request) {
			answer(w, map[string]uint64{"incarnation": s.Incarnation()})
			s.background.Go(s.Crash)
		})
		r.Get("/standin/crashes", func(w http.ResponseWriter, _ *http.Request) {
			answer(w, map[string]int64{"crashes": s.crashes.Load()})
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
	answer(w, map[string]any{
		"endpoint": s.cfg.Endpoint, "executions": executions, "dropped": dropped, "cancels": s.Cancels(),
	})
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if decode(w, r, &f) {
		s.Inject(f)
		answer(w, s.faults.list())
	}
}

func (s *Server) postSettings(w http.ResponseWriter, r *http.Request) {
	var in struct {
		StepUS int64 `json:"step_us"`
	}
	if decode(w, r, &in) {
		s.SetStep(time.Duration(in.StepUS) * time.Microsecond)
		answer(w, in)
	}
}

// current returns the state of this incarnation.
func (s *Server) current() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// muteWriter blocks the answer of a silent connection until it ends.
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

// Unwrap lets http.ResponseController reach the connection.
func (m muteWriter) Unwrap() http.ResponseWriter { return m.ResponseWriter }

func muteSilent(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(muteWriter{ResponseWriter: w, conn: conn, done: r.Context().Done()}, r)
	})
}

// markControl spares the connection of a control request from resets.
func markControl(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			conn.control.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	// The body is read to its end, because net/http notices a lost connection only then.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := json.Unmarshal(body, v); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
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

func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"message":%q}}`, code, strings.ToValidUTF8(message, "?"))
}
