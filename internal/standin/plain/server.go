package plain

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
	"time"

	"github.com/go-chi/chi/v5"

	"waxwingplank/internal/standin/script"
)

// Config holds the settings of a Server.
type Config struct {
	// Work is the duration of an execution.
	Work time.Duration
	// Record receives one JSON line for each execution before it starts, so that the record survives when
	// the service is killed.
	Record io.Writer
}

// Execution is one call that took effect.
type Execution struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// From is the source address of the call, which identifies the sending process.
	From string `json:"from"`
}

// Faults holds the injected faults. Each affected call decrements one counter.
type Faults struct {
	// RefuseCalls is the number of calls that fail with status 503 and take no effect.
	RefuseCalls int `json:"refuse_calls"`
	// LoseAnswers is the number of calls that take effect but whose connection is closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// TruncateAnswers is the number of calls whose connection is closed in the middle of the response.
	TruncateAnswers int `json:"truncate_answers"`
	// UnansweredCalls is the number of calls that take effect but get no response.
	UnansweredCalls int `json:"silent_calls"`
	// RawAnswers is the number of calls that take effect and get Raw, byte for byte, and the end of the connection.
	RawAnswers int    `json:"raw_answers"`
	Raw        string `json:"raw"`
	// DelayMS delays all responses after the effect.
	DelayMS int `json:"delay_ms"`
	// AnswerBytes is the size of the padding in all responses.
	AnswerBytes int `json:"answer_bytes"`
}

// Server is a stand-in for a plain service.
type Server struct {
	cfg     Config
	http    *http.Server
	address string
	closing chan struct{}
	done    sync.WaitGroup

	mu         sync.Mutex
	executions []Execution
	faults     Faults
}

// New returns a server that has not been started.
func New(cfg Config) *Server { return &Server{cfg: cfg, closing: make(chan struct{})} }

// Start listens on host:port and serves until Close. Port 0 selects a free port.
func (s *Server) Start(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("plain stand-in: %w", err)
	}
	s.address = listener.Addr().String()
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: time.Minute}
	s.done.Go(func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("plain stand-in: serve: %v", err))
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
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns the calls that took effect, in order.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/standin/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"executions": s.Executions()})
	})
	r.Post("/standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		writeJSON(w, f)
	})
	r.Delete("/standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		s.SetFaults(Faults{})
		writeJSON(w, Faults{})
	})
	r.NotFound(s.execute)
	r.MethodNotAllowed(s.execute)
	return r
}

type callFault string

const (
	refuse   callFault = "refuse"
	lose     callFault = "lose"
	truncate callFault = "truncate"
	silent   callFault = "silent"
	raw      callFault = "raw"
)

// recordCall consumes the fault for the next call and records the call unless it is refused.
func (s *Server) recordCall(e Execution) (number int, fault callFault, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := []struct {
		remaining *int
		fault     callFault
	}{
		{&s.faults.RefuseCalls, refuse},
		{&s.faults.LoseAnswers, lose},
		{&s.faults.TruncateAnswers, truncate},
		{&s.faults.UnansweredCalls, silent},
		{&s.faults.RawAnswers, raw},
	}
	for _, c := range counters {
		if *c.remaining > 0 {
			*c.remaining--
			fault = c.fault
			break
		}
	}
	if fault != refuse {
		s.executions = append(s.executions, e)
		if s.cfg.Record != nil {
			if err := json.NewEncoder(s.cfg.Record).Encode(e); err != nil {
				panic(fmt.Sprintf("plain stand-in: record: %v", err))
			}
		}
	}
	return len(s.executions), fault, s.faults
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	number, fault, f := s.recordCall(Execution{
		Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), From: r.RemoteAddr,
	})
	if fault == refuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	s.sleep(s.cfg.Work + time.Duration(f.DelayMS)*time.Millisecond)
	out, err := json.Marshal(map[string]any{
		"execution": number, "path": r.URL.RequestURI(), "body": string(body),
		"padding": strings.Repeat(".", f.AnswerBytes),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	switch fault {
	case lose:
		panic(http.ErrAbortHandler)
	case silent:
		select {
		case <-r.Context().Done():
		case <-s.closing:
		}
		panic(http.ErrAbortHandler)
	case raw:
		script.WriteRaw(w, f.Raw)
		return
	case truncate:
		w.Header().Set("Content-Length", fmt.Sprint(len(out)))
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

func (s *Server) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.closing:
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
