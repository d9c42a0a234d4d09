package engine

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"waxwingplank/internal/endpoint/engine"
)

func (s *Server) describe(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	holdings := slices.Clone(s.holdings)
	s.mu.Unlock()
	if holdings == nil {
		holdings = []Holding{}
	}
	writeJSON(w, map[string]any{
		"endpoint": s.cfg.Endpoint, "accelerator": s.cfg.Accelerator, "failure_domain": s.cfg.FailureDomain,
		"memory_bytes": s.cfg.MemoryBytes, "checks_fencing": s.cfg.ChecksFencing, "incarnation": s.Incarnation(),
		"slots": s.cfg.Slots, "holdings": holdings,
	})
}

type loadResponse struct {
	Incarnation  uint64 `json:"incarnation"`
	Running      int    `json:"running"`
	Queued       int    `json:"queued"`
	Slots        int    `json:"slots"`
	FreeKVBytes  int64  `json:"free_kv_bytes"`
	MeasuredAtMS int64  `json:"measured_at_ms"`
	StepUS       int64  `json:"step_us"`
}

// loadHistory keeps load measurements until they are old enough to be reported.
type loadHistory struct {
	mu     sync.Mutex
	recent []loadResponse
}

func (l *loadHistory) reset(first loadResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = []loadResponse{first}
}

func (s *Server) measureLoad(st *state) loadResponse {
	running, queued, tokens := st.usage()
	return loadResponse{
		Incarnation: s.Incarnation(), Running: running, Queued: queued, Slots: s.cfg.Slots,
		FreeKVBytes:  max(0, s.cfg.MemoryBytes-tokens*s.cfg.KVBytesPerToken),
		MeasuredAtMS: time.Now().UnixMilli(), StepUS: time.Duration(s.stepNanos.Load()).Microseconds(),
	}
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.LoadReportDelay <= 0 {
		st := s.currentState()
		writeJSON(w, s.measureLoad(st))
		return
	}
	s.load.mu.Lock()
	report := s.load.recent[0]
	s.load.mu.Unlock()
	writeJSON(w, report)
}

// samplesPerLag is the number of measurements taken within LoadLag.
const samplesPerLag = 4

// housekeeping measures the load samplesPerLag times per LoadLag, or once a second without a lag, and
// drops expired sessions.
func (s *Server) housekeeping() {
	period := s.cfg.LoadReportDelay / samplesPerLag
	if period <= 0 {
		period = time.Second
	}
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			st := s.currentState()
			st.dropExpired()
			s.sampleLoad(st)
		case <-s.closing:
			return
		}
	}
}

func (s *Server) sampleLoad(st *state) {
	m := s.measureLoad(st)
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	s.load.recent = append(s.load.recent, m)
	if len(s.load.recent) > samplesPerLag {
		s.load.recent = s.load.recent[1:]
	}
}

type cacheEvent struct {
	Sequence   int    `json:"sequence"`
	Kind       string `json:"kind"`
	PrefixHash string `json:"prefix_hash"`
	at         time.Time
}

// prefixCache holds the hashes of cached prompt prefixes and evicts the one that was stored first.
type prefixCache struct {
	mu           *sync.Mutex
	limit        int
	lossInterval int
	stored       map[string]struct{}
	order        []string
	sequence     int
	events       []cacheEvent
}

// maxEvents is the number of cache events retained for readers.
const maxEvents = 4096

func newCache(cfg Config) prefixCache {
	return prefixCache{mu: &sync.Mutex{}, limit: cfg.CachePrefixes, lossInterval: cfg.EventLossInterval, stored: map[string]struct{}{}}
}

func (c *prefixCache) store(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hash := range engine.PrefixHashes(prompt) {
		if _, ok := c.stored[hash]; ok {
			continue
		}
		c.stored[hash] = struct{}{}
		c.order = append(c.order, hash)
		c.publish("stored", hash)
		if len(c.order) > c.limit {
			oldest := c.order[0]
			c.order = c.order[1:]
			delete(c.stored, oldest)
			c.publish("evicted", oldest)
		}
	}
}

// publish numbers every event but drops every lossInterval-th, so that readers see gaps.
func (c *prefixCache) publish(kind, hash string) {
	c.sequence++
	if c.lossInterval > 0 && c.sequence%c.lossInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Kind: kind, PrefixHash: hash, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (c *prefixCache) after(sequence int, delay time.Duration) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []cacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && time.Since(e.at) >= delay {
			out = append(out, e)
		}
	}
	return out
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "after")
		return
	}
	writeJSON(w, map[string]any{"events": s.cache.after(after, s.cfg.EventDelay)})
}
