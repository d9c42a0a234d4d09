package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"waxwingplank/platform/standin"
)

const (
	// errorShare is the share of sound lookups that workers answer with 500 of their own: error_share of stock-lookup in the site
	// file. Of the request that crashes them, they answer each second arrival so.
	errorShare = 0.14
	// flakyWorkers is the number of workers of the plain service.
	flakyWorkers = 12
	// comesPerS is how often the request that crashes workers comes, and comesFor for how long.
	comesPerS = 4
	comesFor  = 30 * time.Second
	// crashDelay is how long a worker runs the request before it crashes, and backAfter when it is back, under a new id.
	crashDelay = 10 * time.Millisecond
	backAfter  = 1200 * time.Millisecond
)

func init() { cases["flaky"] = playFlaky }

// flakyPool is the workers of a plain service that crash on one body.
type flakyPool struct {
	b        *bench
	mu       sync.Mutex
	next     int
	arrivals []arrival
	crashes  []time.Time
}

type flakyWorker struct {
	id     string
	pool   *flakyPool
	server *http.Server
	domain string
	once   sync.Once
	ctx    context.Context
}

func (p *flakyPool) start(ctx context.Context, domain string) {
	p.mu.Lock()
	p.next++
	w := &flakyWorker{id: fmt.Sprintf("ledger-%d", p.next), pool: p, domain: domain, ctx: ctx}
	p.mu.Unlock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	p.b.store.Set("servers", w.id, map[string]any{
		"service": "ledger", "address": l.Addr().String(), "zone": domain, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	context.AfterFunc(ctx, func() { _ = w.server.Close() })
}

// crash ends the worker as the end of its process would.
func (w *flakyWorker) crash() {
	w.once.Do(func() {
		p := w.pool
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
		_ = w.server.Close()
		p.b.note("worker %s crashed", w.id)
		time.AfterFunc(heartbeats, func() { p.b.store.Delete("servers", w.id) })
		time.AfterFunc(backAfter, func() {
			if w.ctx.Err() == nil {
				p.start(w.ctx, w.domain)
			}
		})
	})
	panic(http.ErrAbortHandler)
}

// ServeHTTP implements http.Handler.
func (w *flakyWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Waxwingplank-Request-Id")
	rw.Header().Set("X-Waxwingplank-Request-Id", id)
	if r.Header.Get("X-Waxwingplank-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	poison := w.pool.b.trouble && string(body) == poisonBody
	failed := rand.Float64() < errorShare
	if poison {
		w.pool.mu.Lock()
		failed = len(w.pool.arrivals)%2 == 1
		w.pool.arrivals = append(w.pool.arrivals, arrival{at: time.Now(), id: id, worker: w.id, crash: !failed})
		w.pool.mu.Unlock()
	}
	if failed {
		rw.Header().Set("X-Waxwingplank-Response-Seal", "seal-"+w.id)
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	if poison {
		time.Sleep(crashDelay)
		w.crash()
	}
	time.Sleep(20 * time.Millisecond)
	rw.Header().Set("X-Waxwingplank-Response-Seal", "seal-"+w.id)
	fmt.Fprintf(rw, "%s by %s", id, w.id)
}

func playFlaky(ctx context.Context, b *bench) bool {
	b.store.Set("config", "main", standin.Configuration(1, "key-one"))
	workers := &flakyPool{b: b}
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range flakyWorkers {
		workers.start(working, fmt.Sprintf("zone-%d", i%3))
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
	time.Sleep(5 * time.Second)
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
			status := b.send(h.callers, "/l/poison", s.id, poisonBody)
			b.note("%s sent to %s at %.3f s, answered %d", s.id, h.name, s.at.Sub(b.begun).Seconds(), status)
			mu.Lock()
			sent = append(sent, s)
			mu.Unlock()
		})
		calls.Go(func() {
			status := b.send(b.hosts[(n+3)%len(b.hosts)].callers, "/l/other", fmt.Sprintf("other-%d", n), fmt.Sprintf("lot %d", n))
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
	b.note("%d of %d other lookups served", served, others)
	workers.mu.Lock()
	defer workers.mu.Unlock()
	return b.judgeFlaky(sent, workers.arrivals, workers.crashes)
}

// judgeFlaky counts the retries that reached workers and were sent later than the stability window after the third crash. Nothing
// happens to the hosts, so all are in touch.
func (b *bench) judgeFlaky(sent []sentPoison, arrivals []arrival, crashes []time.Time) bool {
	reached := map[string]bool{}
	for _, a := range arrivals {
		reached[a.id] = true
		b.note("%s reached %s at %.3f s, crash %v", a.id, a.worker, a.at.Sub(b.begun).Seconds(), a.crash)
	}
	if len(crashes) < 3 {
		b.note("%d workers crashed", len(crashes))
		return false
	}
	late := 0
	for _, s := range sent {
		if reached[s.id] && s.at.Sub(crashes[2]) > stability {
			late++
		}
	}
	b.note("%d workers crashed, the third at %.3f s; %d retries reached workers later than the stability window after it, 3 are allowed", len(crashes), crashes[2].Sub(b.begun).Seconds(), late)
	return late > 3
}
