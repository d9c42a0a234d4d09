package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["large"] = caseLarge }

// caseLarge sends safe requests from several clients. With the disruption, a new version of the configuration moves their
// route to another service, whose answers have 200 KB; those of the first have 800 bytes. Requests count as cut if they
// were passed on to a worker and their connection ended without a complete answer.
func caseLarge(r *rig) bool {
	const (
		clients = 4
		window  = 3 * time.Second // config_apply_ms + 1 s
	)
	configure := func(version int, service string) {
		r.configure(version, []route{{name: "lookups", prefix: "/l/", kind: "safe", service: service, timeoutMs: 3000, targetMs: 300, attempts: 2}}, 0)
	}
	data := map[string]string{"ledger": strings.Repeat("01234567", 100), "archive": strings.Repeat("0123456789abcdef", 200<<6)}
	configure(1, "ledger")
	for i := range 6 {
		service := []string{"ledger", "archive"}[i%2]
		r.startWorker(fmt.Sprintf("%s-%d", service, i), service, "", func(w *worker, q *request) bool {
			if q.readBody() != nil {
				return false
			}
			n := w.ran(q.id)
			if !q.work(60 * time.Millisecond) {
				r.logf("worker %s: %s: connection closed while it runs", w.id, q.id)
				return false
			}
			err := q.respond(http.StatusOK, w.seal(), data[w.service])
			r.logf("worker %s: %s ran, time %d, answer of %d bytes written: %v", w.id, q.id, n, len(data[w.service]), err)
			return err == nil
		})
	}
	h := r.startHost("h0", nil)
	time.Sleep(4 * time.Second) // stability_window_ms and a margin
	var mu sync.Mutex
	var all sync.WaitGroup
	when := "at other times"
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
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				c, err := dial(h)
				if err != nil {
					r.logf("client: %s: not connected: %v", id, err)
					continue
				}
				sent := time.Now()
				c.Write([]byte(head("GET", "/l/x", id, 3*time.Second, "")))
				a := c.read(sent, 3*time.Second)
				c.Close()
				right := bytes.Equal(a.body, []byte(data["ledger"])) || bytes.Equal(a.body, []byte(data["archive"]))
				r.logf("client: %s: %v, a worker's body %t", id, a, right)
				mu.Lock()
				switch {
				case a.whole:
					counts[when+": whole"]++
				case runs(r, id) > 0:
					counts[when+": cut"]++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	when = "around the configuration"
	mu.Unlock()
	if r.trouble {
		configure(2, "archive")
	}
	time.Sleep(window)
	close(stop)
	all.Wait()
	r.logf("answers: %v", counts)
	fmt.Println(counts)
	share := func(when string) float64 {
		cut, whole := float64(counts[when+": cut"]), float64(counts[when+": whole"])
		return cut / max(cut+whole, 1)
	}
	return counts["around the configuration: cut"] > 0 && share("around the configuration") > 3*share("at other times")
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
