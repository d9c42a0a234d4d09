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
	attempt     int
	contentHash uint64
	// cachedTokens is the number of generated tokens that the cache covers.
	cachedTokens int
	layers       [2]int
	route        []stage
	lastUsed     time.Time
}

// activeStream is an open connection on the first stage of a stream.
type activeStream struct {
	attempt int
	cancel  context.CancelFunc
}

// state holds everything that is lost in a crash.
type state struct {
	mu       sync.Mutex
	cfg      Config
	sessions map[string]*session
	active   map[string]activeStream
	// canceled maps a stream to its highest canceled attempt, so that a late forward does not revive it.
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
	return &state{cfg: cfg, sessions: map[string]*session{}, active: map[string]activeStream{}, canceled: map[string]int{}}
}

// acquire takes a slot or queues for one. The caller holds the slot once waiter.ready is closed.
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

// release hands the slot to the next waiter, or removes w from the queue if it has no slot yet.
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

// find returns the session of a stream, or nil if there is none or it has expired. The caller holds the lock.
func (s *state) find(id string) *session {
	c := s.sessions[id]
	if c == nil {
		return nil
	}
	if time.Since(c.lastUsed) > s.cfg.SessionTTL {
		delete(s.sessions, id)
		return nil
	}
	return c
}

// dropExpired removes expired sessions.
func (s *state) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.sessions {
		s.find(id)
	}
}

// dropSession removes the session of a stream and returns it, unless it belongs to a later attempt.
func (s *state) dropSession(id string, attempt int, canceled bool) (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if canceled {
		s.canceled[id] = max(attempt, s.canceled[id])
	}
	if o, ok := s.active[id]; ok && o.attempt <= attempt && canceled {
		o.cancel()
	}
	c := s.find(id)
	if c == nil || c.attempt > attempt {
		return session{}, false
	}
	delete(s.sessions, id)
	return *c, true
}

// registerAttempt registers the connection of an attempt and cancels that of an earlier attempt. It
// returns false if the attempt is canceled or out of date.
func (s *state) registerAttempt(id string, o activeStream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.canceled[id]; ok && last >= o.attempt {
		return false
	}
	if c := s.find(id); c != nil && c.attempt >= o.attempt {
		return false
	}
	if old, ok := s.active[id]; ok {
		if old.attempt >= o.attempt {
			return false
		}
		old.cancel()
	}
	s.active[id] = o
	return true
}

// unregisterAttempt removes the connection of an attempt.
func (s *state) unregisterAttempt(id string, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.active[id]; ok && o.attempt == attempt {
		delete(s.active, id)
	}
}

// covers reports whether the KV cache of a stream covers all positions before position.
func (s *state) covers(id string, position int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.find(id)
	return c != nil && c.cachedTokens >= position
}

// usage returns the running and queued streams and the number of generated tokens in KV caches.
func (s *state) usage() (running, queued int, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		tokens += int64(c.cachedTokens)
	}
	return s.running, len(s.waiting), tokens
}

// Execution is one run of a layer range for one position of a stream.
type Execution struct {
	Stream   string `json:"stream"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	Layers   [2]int `json:"layers"`
	// Kind is "token" for a generated token, "prefill" if the KV cache up to the position was built,
	// "resume" if a retained cache was reused, and "import" if the cache came from another engine.
	Kind string `json:"kind"`
}

type recorder struct {
	mu         sync.Mutex
	limit      int
	executions []Execution
	dropped    int
	cancels    []Cancel
	orders     []Order
	// encoder writes to Config.Record, which can be read after the engine was killed.
	encoder *json.Encoder
}

// Cancel is a cancellation that the engine received.
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
	if r.encoder == nil {
		return
	}
	if err := r.encoder.Encode(e); err != nil {
		panic(fmt.Sprintf("engine stand-in: record: %v", err))
	}
}

func (r *recorder) addCancel(c Cancel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels = append(r.cancels, c)
}
