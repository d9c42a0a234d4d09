package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"
)

// session is the KV cache of one stream on this engine.
type session struct {
	attempt int
	content uint64
	// upTo is the number of generated tokens that the cache covers.
	upTo     int
	layers   [2]int
	route    []stage
	lastUsed time.Time
}

// opened is a connection that generates a stream, on its first stage.
type opened struct {
	attempt int
	cancel  context.CancelFunc
}

// state is everything that a crash loses.
type state struct {
	mu       sync.Mutex
	cfg      Config
	sessions map[string]*session
	opens    map[string]opened
	// canceled holds the highest canceled attempt, so that a late forward does not bring a stream back.
	canceled map[string]int
	running  int
	waiting  []*waiter
	sequence int
}

type waiter struct {
	priority int
	sequence int
	ready    chan struct{}
}

func newState(cfg Config) *state {
	return &state{cfg: cfg, sessions: map[string]*session{}, opens: map[string]opened{}, canceled: map[string]int{}}
}

// acquire takes a slot or queues for one. The slot is held once the channel is closed.
func (s *state) acquire(priority int) (*waiter, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{priority: priority, sequence: s.sequence, ready: make(chan struct{})}
	s.sequence++
	if s.running < s.cfg.Slots {
		s.running++
		close(w.ready)
		return w, true
	}
	if len(s.waiting) >= s.cfg.QueueLimit {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.sequence - b.sequence
	})
	s.waiting = slices.Insert(s.waiting, i, w)
	return w, true
}

// release gives the slot to the next waiter, or takes a waiter out of the queue.
func (s *state) release(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	next := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	close(next.ready)
}

// find returns the session of a stream unless it has expired. The caller holds the lock.
func (s *state) find(id string) *session {
	c := s.sessions[id]
	if c == nil {
		return nil
	}
	if time.Since(c.lastUsed) > s.cfg.KeepBroken {
		delete(s.sessions, id)
		return nil
	}
	return c
}

// sweep drops expired sessions.
func (s *state) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.sessions {
		s.find(id)
	}
}

// end drops the session of a stream up to an attempt and returns it.
func (s *state) end(id string, attempt int, canceled bool) (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if canceled {
		s.canceled[id] = max(attempt, s.canceled[id])
	}
	if o, ok := s.opens[id]; ok && o.attempt <= attempt && canceled {
		o.cancel()
	}
	c := s.find(id)
	if c == nil || c.attempt > attempt {
		return session{}, false
	}
	delete(s.sessions, id)
	return *c, true
}

// begin registers the connection of an attempt and ends that of an older one.
func (s *state) begin(id string, o opened) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.canceled[id]; ok && last >= o.attempt {
		return false
	}
	if c := s.find(id); c != nil && c.attempt >= o.attempt {
		return false
	}
	if old, ok := s.opens[id]; ok {
		if old.attempt >= o.attempt {
			return false
		}
		old.cancel()
	}
	s.opens[id] = o
	return true
}

// leave removes the connection of an attempt.
func (s *state) leave(id string, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.opens[id]; ok && o.attempt == attempt {
		delete(s.opens, id)
	}
}

// keeps reports whether the cache of a stream covers the position.
func (s *state) keeps(id string, position int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.find(id)
	return c != nil && c.upTo >= position
}

// usage returns the running and waiting streams and the generated tokens in the cache.
func (s *state) usage() (running, queued int, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		tokens += int64(c.upTo)
	}
	return s.running, len(s.waiting), tokens
}

// Execution is one run of layers for one position of a stream.
type Execution struct {
	Stream   string `json:"stream"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	Layers   [2]int `json:"layers"`
	// Kind is "token" for a generated token, "prefill" for rebuilding or building KV cache up to the
	// position, "resume" for going on with a kept cache and "import" for an imported one.
	Kind string `json:"kind"`
}

type recorder struct {
	mu         sync.Mutex
	limit      int
	executions []Execution
	dropped    int
	cancels    []Cancel
	orders     []Order
	// out outlives the process, so that the record of a killed engine can be read.
	out *json.Encoder
}

// Cancel is a cancellation that reached the engine.
type Cancel struct {
	Stream  string `json:"stream"`
	Attempt int    `json:"attempt"`
}

func (r *recorder) add(e Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.executions) >= r.limit {
		r.dropped++
		return
	}
	r.executions = append(r.executions, e)
	if r.out == nil {
		return
	}
	if err := r.out.Encode(e); err != nil {
		panic(fmt.Sprintf("engine stand-in: record: %v", err))
	}
}

func (r *recorder) addCancel(c Cancel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels = append(r.cancels, c)
}
