package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["flap"] = caseFlap }

// caseFlap lets each of three workers crash four times, one after the other, and come back under its id. Then an order comes
// again and again that crashes each worker that begins to run it. Sound orders come all the while. With CALM=1 in the
// environment, the workers do not crash before that order comes. Without the disruption no worker crashes.
func caseFlap(r *rig) bool {
	size := 2 << 10
	const (
		workers, clients = 3, 4
		stability        = 3 * time.Second
		back             = 2 * time.Second
	)
	r.configure(1, []route{{name: "orders", prefix: "/o/", kind: "unsafe", service: "ledger", timeoutMs: 1500, targetMs: 300, attempts: 1}}, 0)
	poison := append([]byte("crash"), bytes.Repeat([]byte("x"), size-5)...)
	var mu sync.Mutex
	var crashes []time.Time
	var arrivals []time.Time
	sound := map[int]int{}
	starts := 0
	var serve func(w *worker, q *request) bool
	start := func(place int, address string) {
		mu.Lock()
		starts++
		id := fmt.Sprintf("l-%d", place)
		mu.Unlock()
		r.startWorkerAt(id, "ledger", "", address, serve).place = place
	}
	serve = func(w *worker, q *request) bool {
		if q.readBody() != nil {
			return false
		}
		n := w.ran(q.id)
		if !bytes.Equal(q.body, poison) {
			r.logf("worker %s: %s runs, time %d", w.id, q.id, n)
			if !q.work(40 * time.Millisecond) {
				return false
			}
			return q.respond(http.StatusOK, w.seal(), "done") == nil
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		q.work(20 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		r.logf("worker %s: %s runs, time %d, and crashes it; crash %d", w.id, q.id, n, len(crashes))
		mu.Unlock()
		address, place := w.address(), w.place
		w.close()
		go func() {
			time.Sleep(back)
			start(place, address)
		}()
		return false
	}
	for i := range workers {
		start(i, "127.0.0.1:0")
	}
	hosts := []*host{r.startHost("h0", nil)}
	hosts = append(hosts, r.startHost("h1", map[string]any{"seed_addresses": []string{hosts[0].peers}}))
	time.Sleep(5 * time.Second) // stability_window_ms and a margin
	stop := make(chan struct{})
	var all sync.WaitGroup
	order := func(name string, n int, body []byte, h *host) answer {
		c, err := dial(h)
		if err != nil {
			return answer{err: err, header: http.Header{}}
		}
		defer c.Close()
		id := fmt.Sprintf("%s-%d", name, n)
		sent := time.Now()
		c.Write(append([]byte(head("POST", "/o/x", id, 1500*time.Millisecond, fmt.Sprintf("Content-Length: %d\r\n", len(body)))), body...))
		a := c.read(sent, 1500*time.Millisecond)
		r.logf("client: %s at %s: %v", id, h.name, a)
		return a
	}
	for i := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				body := append(fmt.Appendf(nil, "order %d of client %d ", n, i), bytes.Repeat([]byte("y"), size-40)...)
				a := order(fmt.Sprintf("c%d", i), n, body, hosts[n%len(hosts)])
				mu.Lock()
				sound[a.status]++
				mu.Unlock()
			}
		}()
	}
	if r.trouble && os.Getenv("CALM") == "" {
		for range 4 {
			for place := range workers {
				mu.Lock()
				var w *worker
				for _, x := range r.workers {
					if x.place == place {
						w = x
					}
				}
				mu.Unlock()
				r.logf("worker %s goes down", w.id)
				address := w.address()
				w.close()
				time.Sleep(700 * time.Millisecond)
				start(place, address)
				time.Sleep(700 * time.Millisecond)
			}
		}
	}
	for n := range 15 {
		if r.trouble {
			order("poison", n, poison, hosts[n%len(hosts)])
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	all.Wait()
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > stability {
			late++
		}
	}
	text := fmt.Sprintf("%d crashes, %d arrivals of the request later than %v after the third; sound requests by status: %v", len(crashes), late, stability, sound)
	r.logf("%s", text)
	fmt.Println(text)
	return late > 3
}
