package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"waxwingplank/platform/standin"
)

const (
	poisonBody = "lot 7714, glyph that no renderer knows"
	// stability is stability_window_ms of the deployment.
	stability = 3 * time.Second
)

func init() { cases["poison"] = playPoison }

// arrival is a request as a worker received it.
type arrival struct {
	at     time.Time
	id     string
	worker string
	crash  bool
}

// pool is the workers of the plain service. One that crashes is back after two seconds, under a new id.
type pool struct {
	b    *bench
	mu   sync.Mutex
	all  []*standin.Worker
	next int
}

func (p *pool) start(ctx context.Context, domain string) {
	p.mu.Lock()
	p.next++
	id := fmt.Sprintf("ledger-%d", p.next)
	p.mu.Unlock()
	w, err := standin.StartWorker(standin.WorkerConfig{
		ID: id, Service: "ledger", Domain: domain, Kind: "card", Slots: 6, WorkTime: 20 * time.Millisecond, Store: p.b.store,
		Crash: standin.Crash{Body: poisonBody, Stage: standin.BeforeHead, Delay: 10 * time.Millisecond},
	})
	check(err)
	p.mu.Lock()
	p.all = append(p.all, w)
	p.mu.Unlock()
	p.b.note("worker %s started", id)
	go func() {
		select {
		case <-ctx.Done():
			w.Close()
			return
		case <-w.Crashed():
		}
		p.b.note("worker %s crashed", id)
		// Its entry is removed after three heartbeats of silence.
		time.AfterFunc(3600*time.Millisecond, func() { p.b.store.Delete("servers", id) })
		time.Sleep(2 * time.Second)
		if ctx.Err() == nil {
			p.start(ctx, domain)
		}
	}()
}

// arrivals returns what the workers have received of the request that crashes them.
func (p *pool) arrivals() (out []arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.all {
		for _, r := range w.Requests() {
			if r.Body == poisonBody {
				out = append(out, arrival{at: r.Arrived, id: r.ID, worker: w.ID(), crash: true})
			}
		}
	}
	return out
}

// send sends a request on a new connection and returns the status, or 0 if no answer came.
func (b *bench) send(address, path, id, body string) int {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	check(err)
	req.Host = callerHost
	req.Header.Set("X-Waxwingplank-Request-Id", id)
	req.Header.Set("X-Waxwingplank-Deadline-Ms", "3000")
	req.Header.Set("Api-Key", "key-one")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// sentPoison is one client attempt of the request that crashes workers.
type sentPoison struct {
	id   string
	host *host
	at   time.Time
}

func playPoison(ctx context.Context, b *bench) bool {
	b.store.Set("config", "main", standin.Configuration(1, "key-one"))
	workers := &pool{b: b}
	stopWorkers, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range 12 {
		workers.start(stopWorkers, fmt.Sprintf("zone-%d", i%3))
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
	byAddress := map[string]*host{}
	for _, h := range b.hosts {
		byAddress[h.callers] = h
	}
	time.Sleep(4 * time.Second)
	// Lookups of other clients go on all the while.
	var lookups sync.WaitGroup
	lookups.Go(func() {
		for n := 0; stopWorkers.Err() == nil; n++ {
			if list := resolve(b.hosts); len(list) > 0 {
				b.send(list[rand.IntN(len(list))], "/l/other", fmt.Sprintf("other-%d", n), fmt.Sprintf("lot %d", n))
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	defer lookups.Wait()
	defer cancel()
	var sent []sentPoison
	var sending sync.Mutex
	// sendAndRepeat sends the request and, after a failure, at once again, three times more, each time to another host.
	sendAndRepeat := func(label string) {
		list := resolve(b.hosts)
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for n := range min(4, len(list)) {
			s := sentPoison{id: fmt.Sprintf("%s-%d", label, n), host: byAddress[list[n]], at: time.Now()}
			sending.Lock()
			sent = append(sent, s)
			sending.Unlock()
			b.note("%s sent to %s", s.id, s.host.name)
			status := b.send(list[n], "/l/poison", s.id, poisonBody)
			b.note("%s answered %d", s.id, status)
			if status == http.StatusOK {
				return
			}
		}
	}
	// come lets four clients of the same tenant, who hold the same request, send it.
	come := func(label string) {
		var clients sync.WaitGroup
		for n := range 4 {
			clients.Go(func() { sendAndRepeat(fmt.Sprintf("%s-%d", label, n)) })
		}
		clients.Wait()
	}
	come("first")
	time.Sleep(stability + time.Second)
	come("second")
	time.Sleep(time.Second)
	if b.trouble {
		for _, h := range b.hosts {
			h.signal(9)
		}
		for _, h := range b.hosts {
			h.kill()
		}
		b.note("all hosts killed")
		time.Sleep(1500 * time.Millisecond)
		for _, h := range b.hosts {
			h.start(false)
		}
		b.note("all hosts started again")
		if !awaitReady(ctx, b.hosts) {
			panic("hosts are not ready")
		}
	}
	time.Sleep(stability + 2*time.Second)
	come("third")
	time.Sleep(4 * time.Second)
	come("fourth")
	time.Sleep(time.Second)
	return b.judgePoison(sent, workers.arrivals())
}

// judgePoison counts the retries that reached workers and were sent, by hosts in touch, later than the stability window after
// the third crash.
func (b *bench) judgePoison(sent []sentPoison, arrivals []arrival) bool {
	reached := map[string][]arrival{}
	var third time.Time
	var crashes []time.Time
	for _, a := range arrivals {
		reached[a.id] = append(reached[a.id], a)
		crashes = append(crashes, a.at)
	}
	for i := range crashes {
		for j := i + 1; j < len(crashes); j++ {
			if crashes[j].Before(crashes[i]) {
				crashes[i], crashes[j] = crashes[j], crashes[i]
			}
		}
	}
	if len(crashes) >= 3 {
		third = crashes[2].Add(10 * time.Millisecond)
		b.note("third crash at %.3f s", third.Sub(b.begun).Seconds())
	}
	late := 0
	for _, s := range sent {
		for _, a := range reached[s.id] {
			b.note("%s reached %s at %.3f s", s.id, a.worker, a.at.Sub(b.begun).Seconds())
		}
		if third.IsZero() || len(reached[s.id]) == 0 || s.at.Sub(third) <= stability || s.at.Sub(s.host.began) <= stability {
			continue
		}
		late++
	}
	b.note("%d workers crashed; %d retries reached workers later than the stability window after the third crash, 3 are allowed", len(crashes), late)
	return late > 3
}
