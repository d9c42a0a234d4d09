package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const key = "key-1"

// configuration is a small one, with the kinds of routes of the users' site files.
func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "drafts", "host": modelHost, "path_prefix": "/d/", "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 500, "target_gap_ms": 200, "service": "redactor", "max_attempts": 2, "resumable": true, "sticky": true, "priority": 1},
			{"name": "orders", "host": modelHost, "path_prefix": "/o/", "kind": "unsafe", "timeout_ms": 800, "target_latency_ms": 300, "service": "registro", "max_attempts": 1, "priority": 2},
			{"name": "lookups", "host": modelHost, "path_prefix": "/l/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 300, "service": "registro", "max_attempts": 2, "priority": 2},
		},
		"services": []map[string]any{
			{"name": "redactor", "health_path": "/health", "max_connections": 978, "engine": map[string]any{
				"slots": 192, "kv_token_bytes": 320000, "step_ms": 0.85, "per_seq_ms": 0.01, "context_per_k": 0.01, "read_per_s": 272000, "loads_at_once": 6,
				"models": []map[string]any{{"name": "m", "load_time_s": loadTime.Seconds()}}, "layers": layers, "layer_mb": layerMB, "activation_bytes": 8000,
				"cross_zone_mbps": 6500, "kinds": []map[string]any{{"name": "l4", "size_mb": cardMB, "pace": 16, "read_factor": 8.2}},
				"usual": map[string]any{"prompt": 760, "answer": 80},
			}},
			{"name": "registro", "health_path": "/health", "max_connections": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "one", "api_keys": []string{key}}},
	}
}

// attempt is one request, as its client saw it.
type attempt struct {
	id     string
	sent   time.Time
	status int
	// whole is true for a success with the worker's seal and its whole body.
	whole bool
}

// clients send requests at a steady rate until they are stopped.
type clients struct {
	lab *lab

	mu       sync.Mutex
	attempts []*attempt
	wait     sync.WaitGroup
	stop     chan struct{}
}

// sendEvery starts to send requests, drafts and calls in about the shares of the users' site files (65.1 to 8.6).
func (l *lab) sendEvery(pause time.Duration) *clients {
	c := &clients{lab: l, stop: make(chan struct{})}
	c.wait.Go(func() {
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			c.wait.Go(func() { c.request(n) })
		}
	})
	return c
}

func (c *clients) end() []*attempt {
	close(c.stop)
	c.wait.Wait()
	return c.attempts
}

// request sends one request, and once more after a promise that it has not run.
func (c *clients) request(n int) {
	kind := "/d/"
	switch n % 17 {
	case 8:
		kind = "/o/"
	case 16:
		kind = "/l/"
	}
	deadline := 1500 * time.Millisecond
	if kind == "/d/" {
		deadline = 20 * time.Second
	}
	end := time.Now().Add(deadline)
	for try := 0; try < 2 && time.Now().Before(end); try++ {
		a, after := c.send(fmt.Sprintf("r%d-%d", n, try), kind, time.Until(end))
		if a.whole || (a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests) {
			return
		}
		select {
		case <-time.After(min(after, time.Until(end)/3)):
		case <-c.stop:
			return
		}
	}
}

func (c *clients) send(id, kind string, left time.Duration) (*attempt, time.Duration) {
	a := &attempt{id: id, sent: time.Now()}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	addresses := c.lab.addresses(zone(len(id)))
	if len(addresses) == 0 {
		c.lab.note("%s: no address", id)
		return a, 500 * time.Millisecond
	}
	address := addresses[rand.IntN(len(addresses))]
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	method, body := http.MethodPost, []byte("prompt of "+id)
	if kind == "/l/" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+kind+id, bytes.NewReader(body))
	if err != nil {
		cannot("%v", err)
	}
	req.Host = modelHost
	req.Header.Set("X-Waxwingplank-Request-Id", id)
	req.Header.Set("X-Waxwingplank-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	req.Header.Set("Api-Key", key)
	if kind == "/d/" {
		req.Header.Set("X-Waxwingplank-Model", "m")
		req.Header.Set("X-Waxwingplank-Token-Count", "100,80")
		req.Header.Set("X-Waxwingplank-Prompt-Prefix", "5c1e07a2:40,"+fmt.Sprintf("%x", id)+":60")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		c.lab.note("%s to %s: %v", id, address, err)
		return a, 0
	}
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.status = resp.StatusCode
	sealed := resp.Header.Get("X-Waxwingplank-Response-Seal") != ""
	a.whole = err == nil && resp.StatusCode == http.StatusOK && sealed && (kind != "/d/" || strings.Count(string(answer), "\n\n") == events)
	c.lab.note("%s to %s: %d, whole success %t, %s %v", id, address, resp.StatusCode, a.whole, firstLine(answer), err)
	var after float64
	_, _ = fmt.Sscan(resp.Header.Get("Retry-After"), &after)
	return a, time.Duration(after * float64(time.Second))
}

func firstLine(text []byte) string {
	line, _, _ := strings.Cut(string(text), "\n")
	return line
}
