package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hup"] = caseHup }

// caseHup stops a host as planned while clients wait for answers of unsafe requests. With the disruption, the settings of
// the host change one second later, which SIGHUP says.
func caseHup(r *rig) bool {
	const clients = 8
	r.configure(1, []route{{name: "orders", prefix: "/o/", kind: "unsafe", service: "ledger", timeoutMs: 3000, targetMs: 300, attempts: 1}}, 0)
	for i := range 3 {
		r.startWorker(fmt.Sprintf("l-%d", i), "ledger", "", func(w *worker, q *request) bool {
			if q.readBody() != nil {
				return false
			}
			r.logf("worker %s: %s runs, time %d", w.id, q.id, w.ran(q.id))
			if !q.work(300 * time.Millisecond) {
				r.logf("worker %s: %s: connection closed while it runs", w.id, q.id)
				return false
			}
			return q.respond(http.StatusOK, w.seal(), "done") == nil
		})
	}
	h := r.startHost("h0", nil)
	time.Sleep(4 * time.Second) // stability_window_ms and a margin

	var all sync.WaitGroup
	var mu sync.Mutex
	var cut []string
	answers := map[int]int{}
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
					// The host takes no more connections.
					r.logf("client: %s: not connected: %v", id, err)
					return
				}
				sent := time.Now()
				c.Write([]byte(head("POST", "/o/x", id, 3*time.Second, "Content-Length: 4\r\n") + "body"))
				a := c.read(sent, 3*time.Second)
				c.Close()
				r.logf("client: %s: %v", id, a)
				ran := 0
				for _, w := range r.workers {
					w.mu.Lock()
					ran += w.runs[id]
					w.mu.Unlock()
				}
				mu.Lock()
				answers[a.status]++
				if !a.whole && ran > 0 {
					cut = append(cut, id)
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	r.logf("SIGTERM")
	h.expected = true
	h.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if r.trouble {
		r.logf("SIGHUP")
		h.signal(syscall.SIGHUP)
	}
	select {
	case <-h.exited:
	case <-time.After(9 * time.Second):
	}
	close(stop)
	all.Wait()
	r.logf("answers by status: %v; passed on to a worker and ended without an answer: %v", answers, cut)
	fmt.Println(answers, len(cut), "cut")
	return len(cut) > 0
}
