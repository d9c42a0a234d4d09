package objectapi

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

const (
	// maxValueBytes is the platform's limit for one value.
	maxValueBytes = 1 << 20
	// maxWait bounds a long poll.
	maxWait = time.Minute
)

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	kind, name := target(r)
	if !s.admit(w, s.reads, "get", kind) {
		return
	}
	o, ok := s.store.get(kind, name)
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(o.version))
	_, _ = w.Write(o.value)
}

// write serves PUT and DELETE.
func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	kind, name := target(r)
	if !s.admit(w, s.writes, strings.ToLower(r.Method), kind) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := condition(r)
	if err != nil {
		http.Error(w, "a write needs If-Match or If-None-Match: *", http.StatusPreconditionRequired)
		return
	}
	fault, status, late := s.faults.take(kind)
	switch fault {
	case failWrite:
		http.Error(w, "injected failure", status)
		return
	case lateEffect:
		s.sleep(late)
	}
	version, ok := s.store.change(kind, name, expected, row{value: value, deleted: r.Method == http.MethodDelete})
	switch fault {
	case loseAnswer:
		panic(http.ErrAbortHandler)
	case lateAnswer:
		s.sleep(late)
	}
	w.Header().Set("ETag", etag(version))
	switch {
	case ok:
		w.WriteHeader(http.StatusOK)
	case version == 0 && r.Method == http.MethodDelete:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		http.Error(w, "version mismatch", http.StatusPreconditionFailed)
	}
}

// sleep outlives the client's connection, as the effect of a real write in flight does.
func (s *Server) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.closing:
	}
}

type wireSnapshot struct {
	Version int64        `json:"version"`
	Objects []wireObject `json:"objects"`
	Reset   bool         `json:"reset,omitempty"`
}

type wireObject struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

func wire(rows []namedRow, version int64, reset bool) wireSnapshot {
	out := wireSnapshot{Version: version, Objects: make([]wireObject, len(rows)), Reset: reset}
	for i, r := range rows {
		out.Objects[i] = wireObject{Name: r.name, Version: r.version, Value: r.value, Deleted: r.deleted}
	}
	return out
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind, _ := target(r)
	if !s.admit(w, s.reads, "list", kind) {
		return
	}
	rows, version, _, _ := s.store.since(kind, 0)
	answer(w, wire(rows, version, false))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	kind, _ := target(r)
	if !s.admit(w, s.reads, "watch", kind) {
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || wait < 0 {
		http.Error(w, "bad wait_ms", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		rows, version, reset, changed := s.store.since(kind, after)
		if (len(rows) > 0 || reset) && !s.faults.get().MuteWatches {
			answer(w, wire(rows, version, reset))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answer(w, wire(nil, version, false))
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-s.closing:
			panic(http.ErrAbortHandler)
		}
	}
}

// admit counts the call and answers 429 over the rate limit.
func (s *Server) admit(w http.ResponseWriter, l *rate.Limiter, call, kind string) bool {
	s.calls.add(call, kind)
	if l.Allow() {
		return true
	}
	s.calls.add("limited", kind)
	w.Header().Set("Retry-After", "1")
	http.Error(w, "rate limit", http.StatusTooManyRequests)
	return false
}

func target(r *http.Request) (kind, name string) {
	return param(r, "kind"), param(r, "name")
}

// param undoes the escapes, which chi leaves in place where the path has escaped slashes.
func param(r *http.Request, key string) string {
	raw := chi.URLParam(r, key)
	if s, err := url.PathUnescape(raw); err == nil && r.URL.RawPath != "" {
		return s
	}
	return raw
}

func condition(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	return strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// hostHistory keeps the host lists with the time of their change, so that readers see them late.
type hostHistory struct {
	mu    sync.Mutex
	lag   time.Duration
	lists []hostList
}

type hostList struct {
	at    time.Time
	hosts []Host
}

func (h *hostHistory) setLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

func (h *hostHistory) add(hosts []Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists = append(h.lists, hostList{at: time.Now(), hosts: hosts})
}

// visible returns the newest list older than the lag; the first list is visible from the start.
func (h *hostHistory) visible() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.lists) - 1; i > 0; i-- {
		if time.Since(h.lists[i].at) >= h.lag {
			h.lists = h.lists[i:]
			break
		}
	}
	return h.lists[0].hosts
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.calls.add("hosts")
	hosts := s.hosts.visible()
	if hosts == nil {
		hosts = []Host{}
	}
	answer(w, map[string][]Host{"hosts": hosts})
}

func (s *Server) limits(w http.ResponseWriter, _ *http.Request) {
	s.calls.add("limits")
	answer(w, map[string]int64{
		"bytes_per_second": s.cfg.WeightBytesPerSecond,
		"loads_at_once":    int64(s.cfg.WeightLoadsAtOnce),
	})
}
