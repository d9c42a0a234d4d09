package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"waxwingplank/platform/standin"
)

const (
	streamEvents = 60
	eventGap     = 30 * time.Millisecond
	// modelWorkers is the number of workers, of which one crashes, 0.14 of them, and streams the number of streams.
	modelWorkers = 7
	streams      = 21
	// heartbeats is the time after which the entry of a silent worker is removed: three heartbeats and the lag.
	heartbeats = 3600*time.Millisecond + 800*time.Millisecond
)

var (
	workerID      = flag.String("worker", "", "serve as the worker with this id")
	workerAddress = flag.String("address", "", "address of the worker")
)

func init() { cases["ending"] = playEnding }

// serveWorker serves streams as a worker of the model service. The answers have no length and end with their connections.
func serveWorker() error {
	l, err := net.Listen("tcp", *workerAddress)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			if err := serveStream(c); err != nil && !errors.Is(err, io.EOF) {
				fmt.Fprintln(os.Stderr, *workerID, err)
			}
			_ = c.Close()
		}()
	}
}

func serveStream(c net.Conn) error {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	if strings.HasPrefix(req.URL.Path, "/-/") {
		text := `{"phase":"both","busy":false,"running":1,"pace":1}`
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		return err
	}
	id := req.Header.Get("X-Waxwingplank-Request-Id")
	if req.Header.Get("X-Waxwingplank-Expect-Instance") != *workerID {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Waxwingplank-Request-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return err
	}
	first := 0
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Waxwingplank-Request-Id: %s\r\nX-Waxwingplank-Response-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, *workerID); err != nil {
		return err
	}
	for n := first; n < streamEvents; n++ {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return err
		}
	}
	return nil
}

// process is a worker that runs as a process of its own.
type process struct {
	id  string
	cmd *exec.Cmd
}

func (b *bench) startProcess(id, domain string) *process {
	self, err := os.Executable()
	check(err)
	address := freeAddresses(1)[0]
	p := &process{id: id, cmd: exec.Command(self, "-worker", id, "-address", address)}
	p.cmd.Stderr = os.Stderr
	check(p.cmd.Start())
	b.processes = append(b.processes, p)
	for range 100 {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.store.Set("servers", id, map[string]any{
		"service": "model", "address": address, "zone": domain, "version": "v1", "slots": 192, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": time.Now().UnixMilli(), "kind": "card", "layers": map[string]any{"from": 0, "target": 8, "version": 1},
	})
	return p
}

func playEnding(ctx context.Context, b *bench) (broken bool) {
	config := standin.Configuration(1, "key-one")
	// One worker holds all layers, so that a stream depends on one worker only.
	engine := config["services"].([]map[string]any)[0]["engine"].(map[string]any)
	engine["kinds"] = []map[string]any{{"name": "card", "size_mb": 16000, "pace": 1, "read_factor": 1}}
	b.store.Set("config", "main", config)
	var workers []*process
	for i := range modelWorkers {
		workers = append(workers, b.startProcess(fmt.Sprintf("model-%d", i), fmt.Sprintf("zone-%d", i%3)))
	}
	defer func() {
		for _, w := range workers {
			_ = w.cmd.Process.Kill()
			_ = w.cmd.Wait()
		}
	}()
	b.hosts = newHosts(3, b.dir, b.binary, b.address)
	for _, h := range b.hosts {
		h.start(true)
	}
	startCtx, stopWaiting := context.WithTimeout(ctx, 20*time.Second)
	defer stopWaiting()
	if !awaitReady(startCtx, b.hosts) {
		panic("hosts are not ready")
	}
	time.Sleep(5 * time.Second)
	type result struct {
		id     string
		worker string
		events int
		inTurn bool
		err    error
	}
	results := make(chan result, streams)
	for i := range streams {
		go func() {
			r := result{id: fmt.Sprintf("draft-%d", i), inTurn: true}
			defer func() { results <- r }()
			req, err := http.NewRequest(http.MethodPost, "http://"+b.hosts[i%len(b.hosts)].callers+"/d/draft", strings.NewReader("lot"))
			check(err)
			req.Host = callerHost
			req.Header.Set("X-Waxwingplank-Request-Id", r.id)
			req.Header.Set("X-Waxwingplank-Deadline-Ms", "20000")
			req.Header.Set("X-Waxwingplank-Token-Count", "800,120")
			req.Header.Set("Api-Key", "key-one")
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
			if err != nil {
				r.err = err
				return
			}
			r.worker = resp.Header.Get("X-Waxwingplank-Response-Seal")
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			r.err = err
			for event := range strings.SplitAfterSeq(string(body), "\n\n") {
				if event == "" {
					continue
				}
				if event != fmt.Sprintf("id: %d\ndata: token %d\n\n", r.events, r.events) {
					r.inTurn = false
				}
				r.events++
			}
			if resp.StatusCode != http.StatusOK && r.err == nil {
				r.err = errors.New(resp.Status)
			}
		}()
	}
	b.note("%d streams of %d events sent", streams, streamEvents)
	time.Sleep(streamEvents * eventGap / 3)
	if b.trouble {
		w := workers[0]
		check(w.cmd.Process.Signal(syscall.SIGKILL))
		b.note("worker %s crashes (SIGKILL)", w.id)
		time.AfterFunc(heartbeats, func() { b.store.Delete("servers", w.id) })
	}
	for range streams {
		r := <-results
		b.note("%s, begun by %s: %d events, in turn %v, end: %v", r.id, r.worker, r.events, r.inTurn, r.err)
		if r.err == nil && (r.events != streamEvents || !r.inTurn) {
			b.note("%s ended as complete before its last event", r.id)
			broken = true
		}
	}
	return broken
}
