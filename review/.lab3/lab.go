// Command lab3 plays one case of the third review with entry hosts as separate processes, on loopback addresses and the real clock.
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"waxwingplank/platform/standin"
)

// The bounds of the deployment, as in the users' site files.
const (
	recoverS    = 12 * time.Second
	stability   = 3 * time.Second
	drainMs     = 2000
	applyMs     = 2000
	graceS      = 8
	stallMs     = 2 * time.Second
	entryLapse  = 3600 * time.Millisecond
	modelHost   = "lab.example"
	configName  = "main"
	readyWithin = 10 * time.Second
)

// lab holds what all cases share: the record, the store, the hosts and the workers.
type lab struct {
	trouble bool
	begun   time.Time
	dir     string
	binary  string
	store   *standin.Store
	server  *httptest.Server

	mu      sync.Mutex
	record  *os.File
	workers map[string]*worker // by address
	hosts   []*host
}

// unable ends a case that could not run.
type unable struct{ text string }

func cannot(format string, args ...any) { panic(unable{fmt.Sprintf(format, args...)}) }

func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	cases := map[string]func(*lab) bool{"recover": recoverCase, "storm": stormCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*lab) bool, recordName string) (code int) {
	record, err := os.Create(recordName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: record, workers: map[string]*worker{}}
	defer func() {
		if p := recover(); p != nil {
			u, ok := p.(unable)
			if !ok {
				l.close()
				panic(p)
			}
			l.note("the case could not run: %s", u.text)
			fmt.Fprintln(os.Stderr, u.text)
			code = 2
		}
		l.close()
	}()
	if l.dir, err = os.MkdirTemp("", "lab3-"); err != nil {
		cannot("%v", err)
	}
	if l.binary, err = filepath.Abs("target/waxwingplankd"); err != nil {
		cannot("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		// The hosts end with this process.
		_ = os.RemoveAll(l.dir)
		os.Exit(2)
	}()
	l.store = standin.NewStore()
	l.server = httptest.NewServer(l.store)
	if run(l) {
		return 1
	}
	return 0
}

func (l *lab) close() {
	for _, h := range l.hosts {
		h.kill()
	}
	if l.server != nil {
		l.server.CloseClientConnections()
	}
	l.mu.Lock()
	var all []*worker
	for _, w := range l.workers {
		all = append(all, w)
	}
	l.mu.Unlock()
	for _, w := range all {
		w.crash()
	}
	if l.dir != "" {
		_ = os.RemoveAll(l.dir)
	}
	_ = l.record.Close()
}

// host is one entry host: a process with the command of the deploy file.
type host struct {
	lab      *lab
	name     string
	zone     string
	front    string
	ready    string
	resolve  string
	control  string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	// asked is true if the case has told the process to end.
	asked bool
}

func freeAddresses(n int) []string {
	var out []string
	for range n {
		c, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannot("%v", err)
		}
		defer func() { _ = c.Close() }()
		out = append(out, c.Addr().String())
	}
	return out
}

// newHosts starts hosts in zones a, b and c in turn and waits until they are ready.
func (l *lab) newHosts(n int) {
	free := freeAddresses(5 * n)
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, free[5*i+3])
	}
	for i := range n {
		f := free[5*i : 5*i+5]
		h := &host{lab: l, name: fmt.Sprintf("front-%d", i), zone: zone(i), front: f[0], ready: f[1], resolve: f[2], control: f[3]}
		h.settings = filepath.Join(l.dir, h.name+".json")
		h.write(map[string]any{
			"host": h.name, "failure_domain": h.zone, "callers_address": h.front, "readiness_address": h.ready, "directory_address": h.resolve,
			"peers_address": h.control, "metrics_address": f[4], "seed_addresses": seeds, "store_address": strings.TrimPrefix(l.server.URL, "http://"),
			"first_start": true, "memory_mb": 284, "max_descriptors": 4100, "cpu_share": 0.4, "link_mbps": 1000.0, "grace_s": graceS,
			"drain_ms": drainMs, "config_apply_ms": applyMs, "budget": map[string]any{"ratio": 0.2, "window_s": 10, "slack": 200}, "directory_ttl_max_s": 5,
		})
		l.hosts = append(l.hosts, h)
		h.start()
	}
	for _, h := range l.hosts {
		h.awaitReady()
	}
}

func zone(i int) string { return string(rune('a' + i%3)) }

func (h *host) write(settings map[string]any) {
	data, err := json.Marshal(settings)
	if err != nil {
		cannot("%v", err)
	}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		cannot("%v", err)
	}
}

// restarted rewrites the settings as the platform does after the first start.
func (h *host) restarted() {
	data, err := os.ReadFile(h.settings)
	if err != nil {
		cannot("%v", err)
	}
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		cannot("%v", err)
	}
	settings["first_start"] = false
	h.write(settings)
}

func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.lab.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("%v", err)
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.CommandContext(context.Background(), h.lab.binary, "--entry", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		cannot("%s: %v", h.name, err)
	}
	h.exited, h.asked = make(chan struct{}), false
	cmd, exited := h.cmd, h.exited
	go func() {
		err := cmd.Wait()
		h.lab.note("%s ended: %v", h.name, err)
		close(exited)
	}()
}

func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	h.asked = true
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	_ = h.cmd.Process.Kill()
	<-h.exited
}

func (h *host) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) awaitReady() {
	for end := time.Now().Add(readyWithin); !h.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			h.lab.showLog(h)
			cannot("%s is not ready", h.name)
		}
	}
	h.lab.note("%s is ready", h.name)
}

func (l *lab) showLog(h *host) {
	data, err := os.ReadFile(filepath.Join(l.dir, h.name+".log"))
	if err == nil {
		l.note("log of %s:\n%s", h.name, data)
	}
}

// addresses asks the directory of the hosts in turn, as clients do.
func (l *lab) addresses(zone string) []string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range l.hosts {
		resp, err := client.Get("http://" + h.resolve + "/-/resolve?name=" + modelHost + "&region=r&zone=" + zone)
		if err != nil {
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var out struct {
			Addresses []string `json:"addresses"`
		}
		if err == nil && resp.StatusCode == http.StatusOK && json.Unmarshal(text, &out) == nil && len(out.Addresses) > 0 {
			return out.Addresses
		}
	}
	return nil
}
