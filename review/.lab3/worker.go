package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The model of the small deployment is that of the users' site files: 80 layers of 1,750 MB. A card of kind l4 has 22,000 MB.
const (
	layers    = 80
	layerMB   = 1750
	cardMB    = 22000
	loadTime  = 14 * time.Second
	eventGap  = 20 * time.Millisecond
	events    = 40
	plainWork = 30 * time.Millisecond
	reportLag = 300 * time.Millisecond
)

// worker is a stand-in for one worker, of the model or of the plain service.
type worker struct {
	lab      *lab
	id       string
	service  string
	zone     string
	model    bool
	server   *http.Server
	listener net.Listener
	born     int64

	mu       sync.Mutex
	dead     bool
	state    string
	from, to int
	loading  bool
	fence    int64
	sequence int
	paths    map[string][]part // of the streams that it runs first, by request
	// requests are those that it has run, by id.
	requests map[string]int
}

type part struct {
	address  string
	from, to int
}

func (l *lab) newWorker(id, service, zone string, model bool) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("%v", err)
	}
	w := &worker{
		lab: l, id: id, service: service, zone: zone, model: model, listener: listener, born: time.Now().UnixMilli(),
		paths: map[string][]part{}, requests: map[string]int{},
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	l.mu.Lock()
	l.workers[w.address()] = w
	l.mu.Unlock()
	w.register("ready")
	return w
}

func (w *worker) address() string { return w.listener.Addr().String() }

// register writes the worker's entry.
func (w *worker) register(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	if w.state != "draining" {
		w.state = state
	}
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": 192, "state": w.state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.model {
		entry["kind"], entry["phase"] = "l4", "both"
		if w.to > w.from {
			entry["layers"] = map[string]any{"from": w.from, "target": w.to, "version": 1}
		}
	}
	w.lab.store.Set("servers", w.id, entry)
}

// crash ends the worker with its connections. Its entry lapses after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	w.mu.Unlock()
	_ = w.server.Close()
	time.AfterFunc(entryLapse, func() { w.lab.store.Delete("servers", w.id) })
}

// holds reports whether the worker lives, and whether it holds a range of layers.
func (w *worker) holds(from, to int) (alive, held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead, !w.dead && w.from <= from && to <= w.to && from < to
}

func (l *lab) worker(address string) *worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workers[address]
}

// faulty returns the first part of a path that does not run, and whether its worker is dead.
func (l *lab) faulty(path []part) (p *part, dead bool) {
	for i := range path {
		w := l.worker(path[i].address)
		if w == nil {
			return &path[i], true
		}
		if alive, held := w.holds(path[i].from, path[i].to); !alive || !held {
			return &path[i], !alive
		}
	}
	return nil, false
}

func parsePath(text, self string) ([]part, bool) {
	if text == "" {
		return []part{{address: self, from: 0, to: layers}}, true
	}
	var out []part
	for _, entry := range strings.Split(text, ",") {
		address, span, ok := strings.Cut(entry, "=")
		from, to, ok2 := strings.Cut(span, "-")
		a, err := strconv.Atoi(from)
		b, err2 := strconv.Atoi(to)
		if !ok || !ok2 || err != nil || err2 != nil {
			return nil, false
		}
		out = append(out, part{address, a, b})
	}
	return out, out[0].address == self
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Waxwingplank-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/order":
		w.order(rw, body)
		return
	case "/-/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		fmt.Fprintf(rw, `{"phase":"both","busy":%t,"sequence":%d,"queued":0,"running":%d,"pace":1,"born":%d,"handles":0}`, w.loading, w.sequence, len(w.paths), w.born)
		return
	}
	id := r.Header.Get("X-Waxwingplank-Request-Id")
	rw.Header().Set("X-Waxwingplank-Request-Id", id)
	if !w.model {
		w.count(id)
		time.Sleep(plainWork)
		rw.Header().Set("X-Waxwingplank-Response-Seal", "seal."+w.id)
		fmt.Fprintf(rw, "%s %s by %s", r.Method, id, w.id)
		return
	}
	w.stream(rw, r, id)
}

func (w *worker) count(id string) {
	w.mu.Lock()
	w.requests[id]++
	w.mu.Unlock()
	w.lab.note("%s runs %s", w.id, id)
}

// refuse says that a request was not run because of the worker at an address.
func refuse(rw http.ResponseWriter, status int, at string) {
	rw.Header().Set("X-Waxwingplank-Not-Executed", "1")
	rw.Header().Set("At-Server", at)
	rw.WriteHeader(status)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	path, ok := parsePath(r.Header.Get("X-Waxwingplank-Hop-Count"), w.address())
	if !ok {
		refuse(rw, http.StatusBadRequest, w.address())
		return
	}
	if p, dead := w.lab.faulty(path); p != nil {
		status := http.StatusMisdirectedRequest
		if dead {
			status = http.StatusServiceUnavailable
			select {
			case <-time.After(stallMs):
			case <-r.Context().Done():
				return
			}
		}
		refuse(rw, status, p.address)
		return
	}
	next := 0
	for _, p := range path {
		if p.from != next {
			w.lab.note("LAYERS: %s has the path %v", id, path)
		}
		next = p.to
	}
	if next != layers {
		w.lab.note("LAYERS: %s has the path %v", id, path)
	}
	w.mu.Lock()
	w.paths[id] = path
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.paths, id)
		w.mu.Unlock()
	}()
	w.count(id)
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	rw.Header().Set("X-Waxwingplank-Response-Seal", "seal."+w.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	var stalled time.Time
	for n := first; n < events; {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		path = w.paths[id]
		w.mu.Unlock()
		if p, _ := w.lab.faulty(path); p != nil {
			// Work that depends on a worker that is gone stalls, and is cut off then.
			if stalled.IsZero() {
				stalled = time.Now()
			}
			if time.Since(stalled) > stallMs {
				panic(http.ErrAbortHandler)
			}
			continue
		}
		stalled = time.Time{}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
		n++
	}
}

type wireOrder struct {
	Operation string `json:"operation"`
	From      int    `json:"from"`
	Target    int    `json:"target"`
	Fence     int64  `json:"fencing_token"`
	ID        string `json:"id"`
	Path      string `json:"path"`
}

func (w *worker) order(rw http.ResponseWriter, body []byte) {
	var o wireOrder
	if err := json.Unmarshal(body, &o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	switch o.Operation {
	case "place":
		rw.WriteHeader(w.place(o))
	case "repath":
		rw.WriteHeader(w.repath(o))
	default:
		rw.WriteHeader(http.StatusBadRequest)
	}
}

func (w *worker) place(o wireOrder) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case o.Fence < w.fence:
		return http.StatusPreconditionFailed
	case (o.Target-o.From)*layerMB > cardMB:
		w.lab.note("LIMIT: %s is ordered to hold %d-%d", w.id, o.From, o.Target)
		return http.StatusConflict
	}
	w.fence = o.Fence
	switch {
	case w.loading:
		return http.StatusConflict
	case w.from == o.From && w.to == o.Target:
		return http.StatusOK
	}
	w.lab.note("%s loads %d-%d, held %d-%d", w.id, o.From, o.Target, w.from, w.to)
	load := loadTime * time.Duration(o.Target-o.From) / layers
	if w.to == w.from {
		load /= 10 // loads before the first request take a tenth
	}
	w.loading, w.sequence = true, w.sequence+1
	// What it gives up it no longer serves, what it keeps it does.
	w.from, w.to = max(w.from, o.From), min(w.to, o.Target)
	if w.from >= w.to {
		w.from, w.to = 0, 0
	}
	time.AfterFunc(load, func() {
		w.mu.Lock()
		w.from, w.to, w.loading = o.From, o.Target, false
		w.mu.Unlock()
		time.Sleep(reportLag)
		w.register("ready")
	})
	return http.StatusAccepted
}

func (w *worker) repath(o wireOrder) int {
	path, ok := parsePath(o.Path, w.address())
	if !ok {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	_, running := w.paths[o.ID]
	w.mu.Unlock()
	if !running {
		return http.StatusNotFound
	}
	if p, _ := w.lab.faulty(path); p != nil {
		return http.StatusConflict
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paths[o.ID] == nil {
		return http.StatusNotFound
	}
	w.paths[o.ID] = path
	return http.StatusOK
}
