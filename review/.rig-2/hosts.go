package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is one entry host, a process that is started with the command of the deploy file.
type host struct {
	name      string
	callers   string
	readiness string
	directory string
	peers     string
	settings  map[string]any
	file      string
	binary    string
	log       *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// began is when the process was started last.
	began time.Time
}

// freePorts are the ports of freeAddresses: a block for each process, so that cases that run beside each other don't meet. They are
// below those that the system gives to connections, so that none is taken before the hosts listen there.
var freePorts = struct {
	sync.Mutex
	next int
}{next: 12000 + os.Getpid()%200*100}

// freeAddresses returns loopback addresses on which nothing listens now, and never the same one twice.
func freeAddresses(n int) []string {
	freePorts.Lock()
	defer freePorts.Unlock()
	var out []string
	for len(out) < n {
		freePorts.next++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePorts.next))
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// newHosts returns n hosts in three domains. The settings are those of the small deployments on our pages.
func newHosts(n int, dir, binary, store string) []*host {
	addresses := freeAddresses(5 * n)
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, addresses[5*i+3])
	}
	var out []*host
	for i := range n {
		a := addresses[5*i : 5*i+5]
		h := &host{
			name: fmt.Sprintf("front-%d", i), callers: a[0], readiness: a[1], directory: a[2], peers: a[3], binary: binary,
			file: filepath.Join(dir, fmt.Sprintf("front-%d.json", i)),
		}
		h.settings = map[string]any{
			"host": h.name, "failure_domain": fmt.Sprintf("zone-%d", i%3), "callers_address": a[0], "readiness_address": a[1],
			"directory_address": a[2], "peers_address": a[3], "metrics_address": a[4], "seed_addresses": seeds, "store_address": store,
			"first_start": true, "memory_mb": 284, "max_descriptors": 4100, "cpu_share": 0.4, "link_mbps": 1000, "grace_s": 8,
			"drain_ms": 2000, "config_apply_ms": 2000, "directory_ttl_max_s": 5,
			"budget": map[string]any{"ratio": 0.2, "window_s": 10, "slack": 200},
		}
		var err error
		h.log, err = os.Create(filepath.Join(dir, h.name+".log"))
		check(err)
		out = append(out, h)
	}
	return out
}

func (h *host) start(first bool) {
	h.settings["first_start"] = first
	data, err := json.Marshal(h.settings)
	check(err)
	check(os.WriteFile(h.file, data, 0o600))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.exited, h.began = exec.Command(h.binary, "--entry", "--settings", h.file), make(chan struct{}), time.Now()
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	check(h.cmd.Start())
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // how it ended is seen in the log
		close(exited)
	}(h.cmd, h.exited)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-exited
}

func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(ctx context.Context, hosts []*host) bool {
	for _, h := range hosts {
		for !h.ready() {
			if ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// resolve asks the hosts' directory for the addresses of callers, as a client does.
func resolve(hosts []*host) []string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range hosts {
		resp, err := client.Get("http://" + h.directory + "/-/resolve?name=" + callerHost + "&region=r&zone=zone-0")
		if err != nil {
			continue
		}
		var out struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&out)
		_ = resp.Body.Close()
		if err == nil && len(out.Addresses) > 0 {
			return out.Addresses
		}
	}
	return nil
}
