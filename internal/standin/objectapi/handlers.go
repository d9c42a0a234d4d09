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
	// maxValueBytes is the platform's size limit for a value.
	maxValueBytes = 1 << 20
	// maxWait is the longest duration of a long poll.
	maxWait = time.Minute
)

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	kind, name := kindAndName(r)
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

// write handles PUT and DELETE.
func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	kind, name := kindAndName(r)
	if !s.admit(w, s.writes, strings.ToLower(r.Method), kind) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := expectedVersion(r)
	if err != nil {
		http.Error(w, "a write needs If-Match or If-None-Match: *", http.StatusPreconditionRequired)
		return
	}
	fault, status, late := s.faults.consume(kind)
	switch fault {
	case failWrite:
		http.Error(w, "injected failure", status)
		return
	case lateEffect:
		s.sleep(late)
	}
	version, ok := s.store.compareAndSwap(kind, name, expected, object{value: value, deleted: r.Method == http.MethodDelete})
	switch fault {
	case loseResponse:
		panic(http.ErrAbortHandler)
	case lateResponse:
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

// sleep ignores the end of the client's connection, because a real write in flight also takes effect
// after its client has disconnected.
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

func newWireSnapshot(objects []namedObject, version int64, reset bool) wireSnapshot {
	out := wireSnapshot{Version: version, Objects: make([]wireObject, len(objects)), Reset: reset}
	for i, r := range objects {
		out.Objects[i] = wireObject{Name: r.name, Version: r.version, Value: r.value, Deleted: r.deleted}
	}
	return out
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind, _ := kindAndName(r)
	if !s.admit(w, s.reads, "list", kind) {
		return
	}
	objects, version, _, _ := s.store.changesAfter(kind, 0)
	writeJSON(w, newWireSnapshot(objects, version, false))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	kind, _ := kindAndName(r)
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
		objects, version, reset, changed := s.store.changesAfter(kind, after)
		if (len(objects) > 0 || reset) && !s.faults.get().MuteWatches {
			writeJSON(w, newWireSnapshot(objects, version, reset))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, newWireSnapshot(nil, version, false))
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-s.closing:
			panic(http.ErrAbortHandler)
		}
	}
}

// admit counts the call and responds with status 429 if the rate limit is exceeded.
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

func kindAndName(r *http.Request) (kind, name string) {
	return pathParam(r, "kind"), pathParam(r, "name")
}

// pathParam unescapes a path parameter. chi leaves the escapes in place if the path contains escaped slashes.
func pathParam(r *http.Request, key string) string {
	raw := chi.URLParam(r, key)
	if s, err := url.PathUnescape(raw); err == nil && r.URL.RawPath != "" {
		return s
	}
	return raw
}

func expectedVersion(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	return strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// hostHistory keeps the host lists with the time of their change, so that readers see them after the lag.
type hostHistory struct {
	mu    sync.Mutex
	lag   time.Duration
	lists []hostList
}

type hostList struct {
	changedAt time.Time
	hosts     []Host
}

func (h *hostHistory) setLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

func (h *hostHistory) add(hosts []Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists = append(h.lists, hostList{changedAt: time.Now(), hosts: hosts})
}

// visible returns the newest list that is older than the lag. The first list is visible at once.
func (h *hostHistory) visible() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.lists) - 1; i > 0; i-- {
		if time.Since(h.lists[i].changedAt) >= h.lag {
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
	writeJSON(w, map[string][]Host{"hosts": hosts})
}

func (s *Server) limits(w http.ResponseWriter, _ *http.Request) {
	s.calls.add("limits")
	writeJSON(w, map[string]int64{
		"bytes_per_second": s.cfg.WeightBytesPerSecond,
		"loads_at_once":    int64(s.cfg.WeightLoadsAtOnce),
	})
}
