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
)

// Config describes a Server.
type Config struct {
	// Work is the time that an execution takes.
	Work time.Duration
	// Record takes a JSON line for each execution before it starts, so that a killed service leaves its record.
	Record io.Writer
}

// Execution is one call that took effect.
type Execution struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// From is the address that the call came from, which tells the process that sent it.
	From string `json:"from"`
}

// Faults are the faults in force. Counters count down as calls meet them.
type Faults struct {
	// RefuseCalls makes the next calls end with 503 and no effect.
	RefuseCalls int `json:"refuse_calls"`
	// LoseAnswers closes the connection of the next calls after their effect.
	LoseAnswers int `json:"lose_answers"`
	// TruncateAnswers breaks the connection in the middle of the answers of the next calls.
	TruncateAnswers int `json:"truncate_answers"`
	// SilentCalls makes the next calls take effect and never answers them.
	SilentCalls int `json:"silent_calls"`
	// DelayMS delays all answers after the effect.
	DelayMS int `json:"delay_ms"`
	// AnswerBytes pads all answers to a size.
	AnswerBytes int `json:"answer_bytes"`
}

// Server is the stand-in of a plain service.
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

// New returns a server that is not started.
func New(cfg Config) *Server { return &Server{cfg: cfg, closing: make(chan struct{})} }

// Start listens on host:port, where port 0 picks a free one, and serves until Close.
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

// Close ends the server and all its connections.
func (s *Server) Close() error {
	close(s.closing)
	err := s.http.Close()
	s.done.Wait()
	return err
}

// SetFaults replaces the faults in force.
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
		answer(w, map[string]any{"executions": s.Executions()})
	})
	r.Post("/standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		answer(w, f)
	})
	r.Delete("/standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		s.SetFaults(Faults{})
		answer(w, Faults{})
	})
	r.NotFound(s.execute)
	r.MethodNotAllowed(s.execute)
	return r
}

type fault string

const (
	refuse   fault = "refuse"
	lose     fault = "lose"
	truncate fault = "truncate"
	silent   fault = "silent"
)

// begin takes the fault of the next call and records the call unless it is refused.
func (s *Server) begin(e Execution) (number int, met fault, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := []struct {
		left *int
		met  fault
	}{
		{&s.faults.RefuseCalls, refuse},
		{&s.faults.LoseAnswers, lose},
		{&s.faults.TruncateAnswers, truncate},
		{&s.faults.SilentCalls, silent},
	}
	for _, c := range counters {
		if *c.left > 0 {
			*c.left--
			met = c.met
			break
		}
	}
	if met != refuse {
		s.executions = append(s.executions, e)
		if s.cfg.Record != nil {
			if err := json.NewEncoder(s.cfg.Record).Encode(e); err != nil {
				panic(fmt.Sprintf("plain stand-in: record: %v", err))
			}
		}
	}
	return len(s.executions), met, s.faults
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	number, met, f := s.begin(Execution{
		Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), From: r.RemoteAddr,
	})
	if met == refuse {
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
	switch met {
	case lose:
		panic(http.ErrAbortHandler)
	case silent:
		select {
		case <-r.Context().Done():
		case <-s.closing:
		}
		panic(http.ErrAbortHandler)
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

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
