package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"waxwingplank/platform/standin"
)

func init() { cases["budget"] = playBudget }

// slotted is a worker of a plain service: it runs some requests at once, queues a few more, and rejects others.
type slotted struct {
	id       string
	work     time.Duration
	running  chan struct{}
	mu       sync.Mutex
	inside   int
	most     int
	arrivals []arrival
}

// startSlotted starts a worker with the slots and the queue of the plain services on our pages.
func (b *bench) startSlotted(id, service, domain string, slots, queue int, work time.Duration) *slotted {
	w := &slotted{id: id, work: work, running: make(chan struct{}, slots), most: slots + queue}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, w) }()
	b.store.Set("servers", id, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": domain, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return w
}

// ServeHTTP implements http.Handler.
func (w *slotted) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Waxwingplank-Request-Id")
	rw.Header().Set("X-Waxwingplank-Request-Id", id)
	if r.Header.Get("X-Waxwingplank-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	full := w.inside >= w.most
	w.arrivals = append(w.arrivals, arrival{at: time.Now(), id: id, worker: w.id})
	if !full {
		w.inside++
	}
	w.mu.Unlock()
	if full {
		rw.Header().Set("X-Waxwingplank-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running <- struct{}{}
	time.Sleep(w.work)
	<-w.running
	w.mu.Lock()
	w.inside--
	w.mu.Unlock()
	rw.Header().Set("X-Waxwingplank-Response-Seal", "seal-"+w.id)
	fmt.Fprintf(rw, "%s by %s", id, w.id)
}

const (
	// plainWorkers is the number of workers of the plain service. Each runs 6 requests at once, for 60 ms each, and queues 24 more.
	plainWorkers = 5
	// usualPerS is the usual traffic of lookups, 0.85 of what the workers do in a second. In the second of a burst come 2.3 times as
	// many; burstAtOnce are those beyond the usual ones, which come all at once.
	usualPerS   = 425
	burstAtOnce = 552
	// firstBurst is when the first burst comes, and betweenBursts when the second one follows it.
	firstBurst    = 14500 * time.Millisecond
	betweenBursts = 9700 * time.Millisecond
	trafficTime   = 30 * time.Second
	budgetWindow  = 10 * time.Second
	budgetRatio   = 0.2
	budgetSlack   = 200
)

// lookups is the traffic of clients.
type lookups struct {
	b      *bench
	client *http.Client
	calls  sync.WaitGroup

	mu       sync.Mutex
	next     int
	sent     []time.Time
	statuses map[int]int
}

// send sends the next lookup to the next host.
func (l *lookups) send() {
	l.mu.Lock()
	n := l.next
	l.next++
	l.mu.Unlock()
	l.calls.Go(func() {
		id := fmt.Sprintf("lookup-%d", n)
		req, err := http.NewRequest(http.MethodGet, "http://"+l.b.hosts[n%len(l.b.hosts)].callers+"/l/lot/"+id, nil)
		check(err)
		req.Host = callerHost
		req.Header.Set("X-Waxwingplank-Request-Id", id)
		req.Header.Set("X-Waxwingplank-Deadline-Ms", "3000")
		req.Header.Set("Api-Key", "key-one")
		at, status := time.Now(), 0
		if resp, err := l.client.Do(req); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sent = append(l.sent, at)
		l.statuses[status]++
	})
}

func playBudget(ctx context.Context, b *bench) bool {
	b.store.Set("config", "main", standin.Configuration(1, "key-one"))
	var workers []*slotted
	for i := range plainWorkers {
		workers = append(workers, b.startSlotted(fmt.Sprintf("ledger-%d", i), "ledger", fmt.Sprintf("zone-%d", i%3), 6, 24, 60*time.Millisecond))
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
	// Each request has a connection of its own, on which the client sends nothing twice.
	transport := &http.Transport{DisableKeepAlives: true}
	l := &lookups{b: b, client: &http.Client{Timeout: 4 * time.Second, Transport: transport}, statuses: map[int]int{}}
	begun := time.Now()
	if b.trouble {
		for _, at := range []time.Duration{firstBurst, firstBurst + betweenBursts} {
			time.AfterFunc(at, func() {
				b.note("burst: %d lookups at once", burstAtOnce)
				for range burstAtOnce {
					l.send()
				}
			})
		}
	}
	ticker := time.NewTicker(time.Second / usualPerS)
	defer ticker.Stop()
	for time.Since(begun) < trafficTime {
		<-ticker.C
		l.send()
	}
	l.calls.Wait()
	return b.judgeBudget(l, workers)
}

// judgeBudget counts the arrivals beyond the first of each request, in each span of the length of the window.
func (b *bench) judgeBudget(l *lookups, workers []*slotted) (broken bool) {
	var all []arrival
	for _, w := range workers {
		w.mu.Lock()
		all = append(all, w.arrivals...)
		w.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range all {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	count := func(times []time.Time, from time.Time) (n float64) {
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst := 0.0
	for _, from := range repeats {
		requests := max(count(l.sent, from), count(l.sent, from.Add(-budgetWindow)), count(l.sent, from.Add(-budgetWindow/2)))
		n, allowed := count(repeats, from), budgetRatio*requests+budgetSlack
		if n/allowed > worst {
			worst = n / allowed
			b.note("in the 10 s from %.3f s: %.0f repeats for %.0f requests, %.0f are allowed", from.Sub(b.begun).Seconds(), n, requests, allowed)
		}
		broken = broken || n > allowed
	}
	b.noteTenths(l.sent, all, repeats)
	b.note("%d requests, %d arrivals at workers, %d beyond the first; answers by status: %v", len(l.sent), len(all), len(repeats), l.statuses)
	return broken
}

// noteTenths writes what was sent, and what reached workers, in each tenth of a second.
func (b *bench) noteTenths(sent []time.Time, arrivals []arrival, repeats []time.Time) {
	const tenth = 100 * time.Millisecond
	type tally struct{ sent, arrived, repeated int }
	tallies := map[int]*tally{}
	at := func(t time.Time) *tally {
		n := int(t.Sub(b.begun) / tenth)
		if tallies[n] == nil {
			tallies[n] = &tally{}
		}
		return tallies[n]
	}
	for _, t := range sent {
		at(t).sent++
	}
	for _, a := range arrivals {
		at(a.at).arrived++
	}
	for _, t := range repeats {
		at(t).repeated++
	}
	for _, n := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[n]
		b.note("in the tenth from %.1f s: %d sent by clients, %d reached workers, %d of them beyond the first", float64(n)/10, t.sent, t.arrived, t.repeated)
	}
}
