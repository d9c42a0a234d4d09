package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"waxwingplank/platform/standin"
)

const (
	// stallTime is stall_ms of the deployment: work that depends on a dead worker stalls for so long.
	stallTime  = 2 * time.Second
	layerCount = 8
	// pathEvents is the number of events of a stream, one each pathGap.
	pathEvents = 30
	pathGap    = 15 * time.Millisecond
)

func init() { cases["later"] = playLater }

// pathWorkers is the workers of a model service, each of which holds half of the layers.
type pathWorkers struct {
	b         *bench
	mu        sync.Mutex
	next      int
	byAddress map[string]*pathWorker
	arrivals  []arrival
	crashes   []time.Time
}

// pathWorker is one of them. It keeps its address over a crash.
type pathWorker struct {
	pool    *pathWorkers
	address string
	domain  string

	mu     sync.Mutex
	id     string
	born   int64
	layers *[2]int
	alive  bool
	server *http.Server
}

func (p *pathWorkers) start(ctx context.Context, address, domain string, layers *[2]int) {
	l, err := net.Listen("tcp", address)
	check(err)
	p.mu.Lock()
	w := p.byAddress[l.Addr().String()]
	if w == nil {
		w = &pathWorker{pool: p, address: l.Addr().String(), domain: domain}
		p.byAddress[w.address] = w
	}
	p.next++
	id := fmt.Sprintf("model-%d", p.next)
	p.mu.Unlock()
	w.mu.Lock()
	w.id, w.born, w.layers, w.alive, w.server = id, time.Now().UnixMilli(), layers, true, &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	w.register()
}

func (w *pathWorker) register() {
	w.mu.Lock()
	entry := map[string]any{
		"service": "model", "address": w.address, "zone": w.domain, "version": "v1", "slots": 192, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": w.born, "kind": "card", "layers": nil,
	}
	if w.layers != nil {
		entry["layers"] = map[string]any{"from": w.layers[0], "target": w.layers[1], "version": 1}
	}
	id := w.id
	w.mu.Unlock()
	w.pool.b.store.Set("servers", id, entry)
}

// crash ends the worker. It is back after some time, at its address, under a new id and without layers.
func (w *pathWorker) crash(ctx context.Context) {
	w.mu.Lock()
	alive, id, server := w.alive, w.id, w.server
	w.alive = false
	w.mu.Unlock()
	if !alive {
		return
	}
	p := w.pool
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.b.note("worker %s crashed", id)
	_ = server.Close()
	time.AfterFunc(heartbeats, func() { p.b.store.Delete("servers", id) })
	time.AfterFunc(backAfter, func() {
		if ctx.Err() == nil {
			p.start(ctx, w.address, w.domain, nil)
		}
	})
}

func (w *pathWorker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		Target    int    `json:"target"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Operation != "place" {
		rw.WriteHeader(http.StatusNotFound) // no running request is moved
		return
	}
	time.AfterFunc(100*time.Millisecond, func() {
		w.mu.Lock()
		alive := w.alive
		w.layers = &[2]int{o.From, o.Target}
		w.mu.Unlock()
		if alive {
			w.register()
		}
	})
	rw.WriteHeader(http.StatusAccepted)
}

// ServeHTTP implements http.Handler.
func (w *pathWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/order":
		w.order(rw, r)
		return
	case "/-/report":
		_, _ = io.WriteString(rw, `{"phase":"both","busy":false,"running":2,"pace":1}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Waxwingplank-Request-Id")
	rw.Header().Set("X-Waxwingplank-Request-Id", id)
	w.mu.Lock()
	own := w.id
	w.mu.Unlock()
	if r.Header.Get("X-Waxwingplank-Expect-Instance") != own {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	poison := w.pool.b.trouble && string(body) == poisonBody
	if poison {
		w.pool.mu.Lock()
		w.pool.arrivals = append(w.pool.arrivals, arrival{at: time.Now(), id: id, worker: own})
		w.pool.mu.Unlock()
	}
	refuse := func(status int, fault string) {
		rw.Header().Set("At-Server", fault)
		rw.Header().Set("X-Waxwingplank-Not-Executed", "1")
		rw.WriteHeader(status)
	}
	for i, part := range strings.Split(r.Header.Get("X-Waxwingplank-Hop-Count"), ",") {
		address, _, _ := strings.Cut(part, "=")
		w.pool.mu.Lock()
		later := w.pool.byAddress[address]
		w.pool.mu.Unlock()
		var from, target int
		if _, err := fmt.Sscanf(part[len(address):], "=%d-%d", &from, &target); err != nil || later == nil {
			refuse(http.StatusMisdirectedRequest, address)
			return
		}
		later.mu.Lock()
		alive, holds := later.alive, later.layers != nil && later.layers[0] <= from && target <= later.layers[1]
		later.mu.Unlock()
		if alive && !holds {
			refuse(http.StatusMisdirectedRequest, address)
			return
		}
		if i > 0 && alive && poison {
			time.Sleep(crashDelay)
			later.crash(context.WithoutCancel(w.pool.b.ctx))
			alive = false
		}
		if !alive {
			// What depends on a dead worker stalls, and is refused then, since it has not begun.
			select {
			case <-time.After(stallTime):
				refuse(http.StatusServiceUnavailable, address)
			case <-r.Context().Done():
			}
			return
		}
	}
	rw.Header().Set("X-Waxwingplank-Response-Seal", "seal-"+own)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := range pathEvents {
		select {
		case <-time.After(pathGap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
}

func playLater(ctx context.Context, b *bench) bool {
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	b.ctx = working
	b.store.Set("config", "main", standin.Configuration(1, "key-one"))
	workers := &pathWorkers{b: b, byAddress: map[string]*pathWorker{}}
	for i := range 30 {
		layers := &[2]int{0, layerCount / 2}
		if i%3 != 0 {
			layers = &[2]int{layerCount / 2, layerCount}
		}
		workers.start(working, freeAddresses(1)[0], fmt.Sprintf("zone-%d", i/3%3), layers)
	}
	b.hosts = newHosts(6, b.dir, b.binary, b.address)
	for _, h := range b.hosts {
		h.start(true)
	}
	startCtx, stopWaiting := context.WithTimeout(ctx, 20*time.Second)
	defer stopWaiting()
	if !awaitReady(startCtx, b.hosts) {
		panic("hosts are not ready")
	}
	time.Sleep(8 * time.Second)
	var mu sync.Mutex
	var sent []sentPoison
	served, others := 0, 0
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / comesPerS)
	defer ticker.Stop()
	for n, begun := 0, time.Now(); time.Since(begun) < comesFor; n++ {
		h := b.hosts[n%len(b.hosts)]
		calls.Go(func() {
			s := sentPoison{id: fmt.Sprintf("again-%d", n), host: h, at: time.Now()}
			mu.Lock()
			sent = append(sent, s)
			mu.Unlock()
			status := b.send(h.callers, "/d/poison", s.id, poisonBody)
			b.note("%s sent to %s at %.3f s, answered %d", s.id, h.name, s.at.Sub(b.begun).Seconds(), status)
		})
		calls.Go(func() {
			status := b.send(b.hosts[(n+3)%len(b.hosts)].callers, "/d/other", fmt.Sprintf("other-%d", n), fmt.Sprintf("lot %d", n))
			mu.Lock()
			defer mu.Unlock()
			others++
			if status == http.StatusOK {
				served++
			}
		})
		<-ticker.C
	}
	calls.Wait()
	b.note("%d of %d other streams served", served, others)
	workers.mu.Lock()
	defer workers.mu.Unlock()
	return b.judgeFlaky(sent, workers.arrivals, workers.crashes)
}
