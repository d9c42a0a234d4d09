// Command rig starts entry hosts of the project as separate processes, with stand-ins for the store, the workers and the
// clients, and plays one case of the review. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"waxwingplank/platform/standin"
)

const (
	// limit is the longest time that a case may take.
	limit    = 100 * time.Second
	hostName = "host.example"
	apiKey   = "key-1"
)

// rig is the deployment of one case.
type rig struct {
	dir     string
	trouble bool
	store   *standin.Store
	address string
	hosts   []*host
	workers []*worker

	mu     sync.Mutex
	record *os.File
	begun  time.Time
}

// logf writes a line to record.txt.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.begun).Seconds())
	fmt.Fprintf(r.record, format+"\n", args...)
}

// unable ends a case that can't run.
type unable struct{ err error }

func must(err error) {
	if err != nil {
		panic(unable{err})
	}
}

type host struct {
	name, callers, readiness, directory, peers, settings string
	cmd                                                  *exec.Cmd
	exited                                               chan struct{}
	// expected is set before the case ends the process.
	expected bool
}

func free(n int) []string {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// startHost starts an entry host with the command of the deploy file and settings like those of a small deployment.
func (r *rig) startHost(name string, change map[string]any) *host {
	for range 5 {
		a := free(5)
		h := &host{name: name, callers: a[0], readiness: a[1], directory: a[2], peers: a[3], settings: filepath.Join(r.dir, name+".json")}
		s := map[string]any{
			"host": name, "failure_domain": "a", "callers_address": a[0], "readiness_address": a[1], "directory_address": a[2],
			"peers_address": a[3], "metrics_address": a[4], "seed_addresses": []string{a[3]}, "store_address": r.address,
			"first_start": true, "memory_mb": 284, "max_descriptors": 4100, "cpu_share": 0.4, "link_mbps": 1000,
			"grace_s": 8, "drain_ms": 2000, "config_apply_ms": 2000, "directory_ttl_max_s": 5,
			"budget": map[string]any{"ratio": 0.2, "window_s": 10, "slack": 200},
		}
		for k, v := range change {
			s[k] = v
		}
		data, err := json.Marshal(s)
		must(err)
		must(os.WriteFile(h.settings, data, 0o600))
		r.startProcess(h)
		if r.awaitReady(h) {
			r.hosts = append(r.hosts, h)
			return h
		}
		h.stop(syscall.SIGKILL)
	}
	panic(unable{fmt.Errorf("host %s does not get ready", name)})
}

func (r *rig) startProcess(h *host) {
	h.cmd = exec.Command("target/waxwingplankd", "--entry", "--settings", h.settings)
	out, err := os.OpenFile(filepath.Join(r.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(h.cmd.Start())
	h.exited, h.expected = make(chan struct{}), false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		r.logf("host %s ended: %v", h.name, err)
		close(exited)
	}(h.cmd, h.exited)
	r.logf("host %s started", h.name)
}

func (r *rig) awaitReady(h *host) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 500 {
		select {
		case <-h.exited:
			return false
		default:
		}
		if resp, err := client.Get("http://" + h.readiness + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

func (h *host) signal(s syscall.Signal) { must(h.cmd.Process.Signal(s)) }

// stop ends the process, whatever its state.
func (h *host) stop(s syscall.Signal) {
	h.expected = true
	_ = h.cmd.Process.Signal(s)
	select {
	case <-h.exited:
	case <-time.After(10 * time.Second):
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// request is a request as a worker received it.
type request struct {
	*http.Request
	id string
	// left is the time that the worker was given.
	left time.Duration
	body []byte
	conn *workerConn
	// gone is closed when the connection ends while the worker works. It is valid after readBody.
	gone chan struct{}
}

type workerConn struct {
	net.Conn
	reader *bufio.Reader
}

// worker is a stand-in for a worker of the platform. Its connections are read without net/http's server, so that a case can
// say when bytes are read and sent.
type worker struct {
	rig     *rig
	id      string
	service string
	zone    string
	kind    string
	started int64
	// place is for the use of a case.
	place    int
	listener net.Listener
	// serve handles a request whose head was read. It reports whether the connection is kept.
	serve func(w *worker, q *request) bool

	mu     sync.Mutex
	conns  map[net.Conn]bool
	layers *[2]int
	fence  int64
	// runs counts how often each request began to run.
	runs map[string]int
}

func (r *rig) startWorker(id, service, kind string, serve func(w *worker, q *request) bool) *worker {
	return r.startWorkerAt(id, service, kind, "127.0.0.1:0", serve)
}

func (r *rig) startWorkerAt(id, service, kind, address string, serve func(w *worker, q *request) bool) *worker {
	l, err := net.Listen("tcp", address)
	must(err)
	w := &worker{
		rig: r, id: id, service: service, zone: "a", kind: kind, started: time.Now().UnixMilli(), listener: l, serve: serve,
		conns: map[net.Conn]bool{}, runs: map[string]int{},
	}
	r.mu.Lock()
	r.workers = append(r.workers, w)
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.handle(&workerConn{Conn: c, reader: bufio.NewReaderSize(c, 64<<10)})
		}
	}()
	w.register("ready")
	return w
}

func (w *worker) address() string { return w.listener.Addr().String() }

// register writes the worker's entry to the store, as a worker does.
func (w *worker) register(state string) {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"sequence": 1, "cold_remaining_ms": 0, "born": w.started, "kind": w.kind, "layers": nil,
	}
	if w.layers != nil {
		entry["layers"] = map[string]any{"from": w.layers[0], "target": w.layers[1], "version": 1}
	}
	w.mu.Unlock()
	w.rig.store.Set("servers", w.id, entry)
}

func (w *worker) close() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

func (w *worker) handle(c *workerConn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
	}()
	for {
		hr, err := http.ReadRequest(c.reader)
		if err != nil {
			if err != io.EOF && !strings.Contains(err.Error(), "closed") && !strings.Contains(err.Error(), "reset") {
				w.rig.logf("worker %s: bytes that are no request: %v", w.id, err)
			}
			return
		}
		q := &request{Request: hr, id: hr.Header.Get("X-Waxwingplank-Request-Id"), conn: c}
		ms := 0
		fmt.Sscanf(hr.Header.Get("X-Waxwingplank-Deadline-Ms"), "%d", &ms)
		q.left = time.Duration(ms) * time.Millisecond
		if hr.URL.Path == "/-/order" || hr.URL.Path == "/-/report" {
			if !w.control(q) {
				return
			}
			continue
		}
		if got := hr.Header.Get("X-Waxwingplank-Expect-Instance"); got != "" && got != w.id {
			q.readBody()
			q.respond(http.StatusMisdirectedRequest, "", "")
			continue
		}
		if !w.serve(w, q) {
			return
		}
	}
}

// control answers orders and reports, as the pages say.
func (w *worker) control(q *request) bool {
	if q.readBody() != nil {
		return false
	}
	if q.URL.Path == "/-/report" {
		q.respond(http.StatusOK, "Content-Type: application/json\r\n", fmt.Sprintf(`{"phase":"both","busy":false,"running":1,"born":%d,"pace":1}`, w.started))
		return true
	}
	var o struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		Target    int    `json:"target"`
		Fence     int64  `json:"fencing_token"`
	}
	if json.Unmarshal(q.body, &o) != nil {
		q.respond(http.StatusBadRequest, "", "")
		return true
	}
	w.rig.logf("worker %s: order %s", w.id, q.body)
	if o.Operation != "place" {
		q.respond(http.StatusNotFound, "", "")
		return true
	}
	w.mu.Lock()
	fenced := o.Fence < w.fence
	if !fenced {
		w.fence, w.layers = o.Fence, &[2]int{o.From, o.Target}
	}
	w.mu.Unlock()
	if fenced {
		q.respond(http.StatusPreconditionFailed, "", "")
		return true
	}
	w.register("ready")
	q.respond(http.StatusAccepted, "", "")
	return true
}

// readBody reads the whole body and watches the connection from then on.
func (q *request) readBody() error {
	body, err := io.ReadAll(q.Body)
	q.body = body
	return err
}

// work waits as long as the request takes, and reports whether the caller was still there at the end.
func (q *request) work(d time.Duration) bool {
	end := time.Now().Add(d)
	for {
		left := time.Until(end)
		if left <= 0 {
			return true
		}
		q.conn.SetReadDeadline(time.Now().Add(min(left, 20*time.Millisecond)))
		_, err := q.conn.reader.Peek(1)
		q.conn.SetReadDeadline(time.Time{})
		if ne, ok := err.(net.Error); err != nil && (!ok || !ne.Timeout()) {
			return false
		}
		if err == nil {
			time.Sleep(min(left, 20*time.Millisecond))
		}
	}
}

// respond sends a whole answer with a length.
func (q *request) respond(status int, header, body string) error {
	_, err := fmt.Fprintf(q.conn, "HTTP/1.1 %d %s\r\nX-Waxwingplank-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), q.id, header, len(body), body)
	return err
}

// seal is the header that proves the origin of an answer.
func (w *worker) seal() string { return "X-Waxwingplank-Response-Seal: seal-" + w.id + "\r\n" }

// ran records that a request began to run and returns how often it has.
func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	return w.runs[id]
}

// client is a client with one connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(h *host) (*client, error) {
	c, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, reader: bufio.NewReader(c)}, nil
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Waxwingplank-Request-Id: %s\r\nX-Waxwingplank-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s\r\n",
		method, path, hostName, id, deadline.Milliseconds(), apiKey, more)
}

// answer is what a client got for a request.
type answer struct {
	// status is 0 if not one byte of an answer came.
	status int
	header http.Header
	body   []byte
	whole  bool
	close  bool
	err    error
	took   time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %t, seal %q, after %d ms, error %v", a.status, len(a.body), a.whole, a.header.Get("X-Waxwingplank-Response-Seal"), a.took.Milliseconds(), a.err)
}

func (c *client) read(since time.Time, patience time.Duration) answer {
	c.SetReadDeadline(since.Add(patience))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err, took: time.Since(since), header: http.Header{}}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body, whole: err == nil, close: resp.Close, err: err, took: time.Since(since)}
}

type route struct {
	name, prefix, kind, service string
	timeoutMs, targetMs         int
	attempts                    int
	resumable                   bool
}

// configure writes a version of the configuration, as the operator does.
func (r *rig) configure(version int, routes []route, layers int, keys ...string) {
	var list []map[string]any
	services := map[string]bool{}
	for _, x := range routes {
		m := map[string]any{
			"name": x.name, "host": hostName, "path_prefix": x.prefix, "kind": x.kind, "timeout_ms": x.timeoutMs,
			"target_latency_ms": x.targetMs, "priority": 1, "service": x.service, "max_attempts": x.attempts,
		}
		if x.kind == "streaming" {
			m["resumable"], m["target_gap_ms"] = x.resumable, 200
		}
		list, services[x.service] = append(list, m), true
	}
	var svcs []map[string]any
	for name := range services {
		s := map[string]any{"name": name, "health_path": "/health", "max_connections": 110}
		if name == "model" {
			s["engine"] = map[string]any{
				"slots": 8, "kv_token_bytes": 8000, "step_ms": 1, "read_per_s": 100000, "loads_at_once": 6,
				"models": []map[string]any{{"name": "m", "load_time_s": 0.1}}, "layers": layers, "layer_mb": 1000,
				"activation_bytes": 100, "cross_zone_mbps": 1000,
				"kinds": []map[string]any{{"name": "card", "size_mb": 5000, "pace": 1, "read_factor": 1}},
			}
		}
		svcs = append(svcs, s)
	}
	if len(keys) == 0 {
		keys = []string{apiKey}
	}
	r.store.Set("config", "main", map[string]any{
		"version": version, "routes": list, "services": svcs,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": keys}},
	})
	r.logf("configuration %d acknowledged", version)
}

func (r *rig) close() {
	for _, h := range r.hosts {
		if h.running() {
			h.stop(syscall.SIGKILL)
		}
	}
	for _, w := range r.workers {
		w.close()
	}
}

// ownEnds returns the hosts that ended by themselves.
func (r *rig) ownEnds() (out []string) {
	for _, h := range r.hosts {
		if !h.running() && !h.expected {
			out = append(out, h.name)
		}
	}
	return out
}

var cases = map[string]func(*rig) bool{}

func main() {
	// Hosts end with the thread that started them, which is this one.
	runtime.LockOSThread()
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return 2
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), begun: time.Now()}
	defer func() {
		if p := recover(); p != nil {
			u, ok := p.(unable)
			if !ok {
				panic(p)
			}
			fmt.Fprintln(os.Stderr, u.err)
			code = 2
		}
	}()
	var err error
	r.dir, err = os.MkdirTemp("", "review")
	must(err)
	defer func() {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(r.dir)
		} else {
			fmt.Println(r.dir)
		}
	}()
	r.record, err = os.Create(os.Args[2])
	must(err)
	defer r.record.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.address = l.Addr().String()
	server := &http.Server{Handler: r.store}
	go server.Serve(l)
	defer server.Close()
	defer r.close()
	time.AfterFunc(limit, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		r.close()
		os.Exit(2)
	})
	broken := cases[os.Args[1]](r)
	r.logf("disruption %t, rule broken %t", r.trouble, broken)
	fmt.Printf("disruption %t, rule broken %t\n", r.trouble, broken)
	if broken {
		return 1
	}
	return 0
}
