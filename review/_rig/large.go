package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["large"] = caseLarge }

// caseLarge sends safe requests with answers of 200 KB from several clients. With the disruption, the host is stopped as
// planned meanwhile. Only requests that were passed on to a worker count, from the SIGTERM on, as the rule says.
func caseLarge(r *rig) bool {
	const size, clients = 200 << 10, 4
	r.configure(1, []route{{name: "lookups", prefix: "/l/", kind: "safe", service: "ledger", timeoutMs: 3000, targetMs: 300, attempts: 2}}, 0)
	data := strings.Repeat("0123456789abcdef", size/16)
	for i := range 3 {
		r.startWorker(fmt.Sprintf("l-%d", i), "ledger", "", func(w *worker, q *request) bool {
			if q.readBody() != nil {
				return false
			}
			n := w.ran(q.id)
			if !q.work(60 * time.Millisecond) {
				r.logf("worker %s: %s: connection closed while it runs", w.id, q.id)
				return false
			}
			err := q.respond(http.StatusOK, w.seal(), data)
			r.logf("worker %s: %s ran, time %d, answer of %d bytes written: %v", w.id, q.id, n, len(data), err)
			return err == nil
		})
	}
	h := r.startHost("h0", nil)
	time.Sleep(4 * time.Second) // stability_window_ms and a margin
	var mu sync.Mutex
	var all sync.WaitGroup
	var term time.Time
	counts := map[string]int{}
	stop := make(chan struct{})
	for i := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				c, err := dial(h)
				if err != nil {
					r.logf("client: %s: not connected: %v", id, err)
					return
				}
				sent := time.Now()
				c.Write([]byte(head("GET", "/l/x", id, 3*time.Second, "")))
				a := c.read(sent, 3*time.Second)
				c.Close()
				r.logf("client: %s: %v, the worker's body %t", id, a, bytes.Equal(a.body, []byte(data)))
				mu.Lock()
				when := "before SIGTERM"
				if !term.IsZero() && sent.Add(a.took).After(term) {
					when = "from SIGTERM on"
				}
				switch {
				case a.whole:
					counts[when+": whole"]++
				case runs(r, id) > 0:
					counts[when+": passed on and cut"]++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	if r.trouble {
		mu.Lock()
		term = time.Now()
		mu.Unlock()
		r.logf("SIGTERM")
		h.expected = true
		h.signal(syscall.SIGTERM)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	all.Wait()
	r.logf("answers: %v", counts)
	fmt.Println(counts)
	return counts["from SIGTERM on: passed on and cut"] > 0
}

// runs returns how often workers have run a request.
func runs(r *rig, id string) (n int) {
	for _, x := range r.workers {
		x.mu.Lock()
		n += x.runs[id]
		x.mu.Unlock()
	}
	return n
}
