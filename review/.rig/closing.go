package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["closing"] = caseClosing }

// caseClosing sends requests for streams whose answers end with their connection. With the disruption, one of them comes
// again and again that crashes each worker that runs it, after three whole events. With CHUNKS=1 in the environment answers
// come in chunks.
func caseClosing(r *rig) bool {
	const (
		workers, clients, crashAfter = 6, 4, 3
		stability                    = 3 * time.Second
		heartbeats                   = 3600 * time.Millisecond
		back                         = 2 * time.Second
	)
	r.configure(1, []route{{name: "drafts", prefix: "/d/", kind: "streaming", service: "model", timeoutMs: 20000, targetMs: 500, attempts: 2, resumable: true}}, 4)
	chunks := os.Getenv("CHUNKS") != ""
	poison := append([]byte("crash"), bytes.Repeat([]byte("x"), 800)...)
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	sound := map[string]int{}
	short := 0
	starts := 0
	var serve func(w *worker, q *request) bool
	start := func(place int, address string) {
		mu.Lock()
		starts++
		id := fmt.Sprintf("m-%d-%d", place, starts)
		mu.Unlock()
		r.startWorkerAt(id, "model", "card", address, serve).place = place
	}
	serve = func(w *worker, q *request) bool {
		if q.readBody() != nil {
			return false
		}
		crashing := bytes.Equal(q.body, poison)
		if crashing {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
		}
		from := 0
		if n, err := fmt.Sscanf(q.Header.Get("Last-Event-Id"), "%d", &from); n == 1 && err == nil {
			from++
		}
		r.logf("worker %s: %s runs, time %d, from event %d", w.id, q.id, w.ran(q.id), from)
		framing := "Connection: close\r\n"
		if chunks {
			framing = "Transfer-Encoding: chunked\r\n"
		}
		fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nX-Waxwingplank-Request-Id: %s\r\n%sContent-Type: text/event-stream\r\n%s\r\n", q.id, w.seal(), framing)
		for n := from; n < 12; n++ {
			if crashing && n-from == crashAfter {
				mu.Lock()
				crashes = append(crashes, time.Now())
				r.logf("worker %s: %s crashes it; crash %d", w.id, q.id, len(crashes))
				mu.Unlock()
				address, place := w.address(), w.place
				w.close()
				go func() {
					time.Sleep(back)
					start(place, address)
				}()
				go func() {
					time.Sleep(heartbeats)
					r.store.Delete("servers", w.id)
				}()
				return false
			}
			if !q.work(20 * time.Millisecond) {
				return false
			}
			text := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
			if chunks {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			if _, err := q.conn.Write([]byte(text)); err != nil {
				return false
			}
		}
		if chunks {
			_, err := q.conn.Write([]byte("0\r\n\r\n"))
			return err == nil
		}
		return false
	}
	for i := range workers {
		start(i, "127.0.0.1:0")
	}
	hosts := []*host{r.startHost("h0", nil)}
	hosts = append(hosts, r.startHost("h1", map[string]any{"seed_addresses": []string{hosts[0].peers}}))
	time.Sleep(8 * time.Second) // the layers are placed, and stability_window_ms has passed
	stop := make(chan struct{})
	var all sync.WaitGroup
	draft := func(name string, n int, body []byte, h *host) answer {
		c, err := dial(h)
		if err != nil {
			return answer{err: err, header: http.Header{}}
		}
		defer c.Close()
		id := fmt.Sprintf("%s-%d", name, n)
		sent := time.Now()
		c.Write(append([]byte(head("POST", "/d/x", id, 20*time.Second, fmt.Sprintf("X-Waxwingplank-Token-Count: 100,24\r\nContent-Length: %d\r\n", len(body)))), body...))
		a := c.read(sent, 5*time.Second)
		r.logf("client: %s at %s: %v, %d events", id, h.name, a, bytes.Count(a.body, []byte("id:")))
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
				case <-time.After(200 * time.Millisecond):
				}
				body := append(fmt.Appendf(nil, "draft %d of client %d ", n, i), bytes.Repeat([]byte("y"), 700)...)
				a := draft(fmt.Sprintf("c%d", i), n, body, hosts[n%len(hosts)])
				mu.Lock()
				switch events := bytes.Count(a.body, []byte("id:")); {
				case a.status == http.StatusOK && a.whole && events == 12:
					sound["served"]++
				case a.status == http.StatusOK && a.whole:
					sound["ended as complete, pieces missing"]++
				default:
					sound[fmt.Sprint(a.status)]++
				}
				mu.Unlock()
			}
		}()
	}
	for n := range 20 {
		if r.trouble {
			if a := draft("poison", n, poison, hosts[n%len(hosts)]); a.status == http.StatusOK && a.whole {
				short++
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	all.Wait()
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > stability {
			late++
		}
	}
	text := fmt.Sprintf("%d crashes, %d runs of the request later than %v after the third; its answers that ended as complete: %d; sound requests: %v", len(crashes), late, stability, short, sound)
	r.logf("%s", text)
	fmt.Println(text)
	return late > 3
}
