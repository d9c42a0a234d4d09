package system

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/daemon/documents"
	"waxwingplank/internal/platform/objectapi"
)

// Names of the services of the system.
const (
	Drafts   = "label-drafts"
	Registry = "lot-registry"
)

// Name, version and number of layers of the model that the engines hold.
const (
	Model   = "hake"
	Version = "7"
	Layers  = 24
)

// CrashMarker is a text that crashes an engine if it is part of the prompt.
const CrashMarker = "CRASH-THE-ENGINE"

// Config describes a System.
type Config struct {
	// Bin is the folder of the built programs.
	Bin string
	// Dir is the folder for settings, logs and recorded executions.
	Dir       string
	Hosts     int
	Pipelines int
	// Step is the time that an engine takes for one token.
	Step time.Duration
	// Slots is the number of streams that an engine runs concurrently.
	Slots int
	// LogLevel is the log level of the hosts; empty means info.
	LogLevel string
	// Work is the time that a registry worker takes for one call.
	Work time.Duration
	// DiscardExecutions turns off the recording of executions. It is for benchmarks, whose records would exceed the
	// memory.
	DiscardExecutions bool
	WritesPerSecond   int
	ReadsPerSecond    int
	// FlushMs is the claim flush interval in milliseconds; zero means the default.
	FlushMs int
	// Queue is the limit of draft requests queued at a host; zero means 512.
	Queue int
}

// Host is one entry host. Caller, Peer and Operator are its addresses for these three kinds of client.
type Host struct {
	*Process
	ID       string
	Domain   string
	Caller   string
	Peer     string
	Operator string
	settings string
}

// Settings returns the path of the settings file.
func (h *Host) Settings() string { return h.settings }

// System is a running system.
type System struct {
	cfg      Config
	network  string
	Platform *Process
	Engines  []*Process
	Plain    []*Process
	Hosts    []*Host
}

// Start starts all processes and waits until every host serves both services. If it fails, it kills the processes.
func Start(ctx context.Context, cfg Config) (*System, error) {
	s := &System{cfg: cfg}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	var err error
	if s.network, err = network(); err != nil {
		return err
	}
	args := []string{
		"platform", "--weight-bytes-per-second=1000000000", "--weight-loads-at-once=4",
		"--reads-per-second=" + strconv.Itoa(s.cfg.ReadsPerSecond), "--writes-per-second=" + strconv.Itoa(s.cfg.WritesPerSecond),
	}
	if s.Platform, err = spawnStandin(s.cfg.Dir, s.cfg.Bin, "platform", args...); err != nil {
		return err
	}
	if err := s.startEndpoints(); err != nil {
		return err
	}
	for i := range s.cfg.Hosts {
		h, err := s.prepareHost(i)
		if err != nil {
			return err
		}
		s.Hosts = append(s.Hosts, h)
	}
	if err := s.PublishHosts(ctx, nil); err != nil {
		return err
	}
	if err := s.applyDocuments(ctx); err != nil {
		return err
	}
	for _, h := range s.Hosts {
		if err := s.StartHost(h); err != nil {
			return err
		}
	}
	return s.waitReady(ctx)
}

// stages are the accelerators and layer ranges of the stages of a pipeline. The first accelerator is faster and holds
// more layers.
var stages = []struct {
	name   string
	layers [2]int
}{
	{"large", [2]int{0, 12}},
	{"small", [2]int{12, 18}},
	{"small", [2]int{18, Layers}},
}

func (s *System) startEndpoints() error {
	for p := range s.cfg.Pipelines {
		for i, a := range stages {
			if err := s.startEngine(p, i, a.name, a.layers); err != nil {
				return err
			}
		}
	}
	for i := range 2 {
		p, err := spawnStandin(s.cfg.Dir, s.cfg.Bin, fmt.Sprintf("registry-%d", i), "plain", "--work="+s.cfg.Work.String(),
			"--record="+recordPath(s.cfg.Dir, fmt.Sprintf("registry-%d", i)))
		if err != nil {
			return err
		}
		s.Plain = append(s.Plain, p)
	}
	return nil
}

func (s *System) startEngine(pipeline, stage int, accelerator string, layers [2]int) error {
	name := fmt.Sprintf("engine-%d-%d", pipeline, stage)
	args := []string{
		"engine", "--endpoint=" + name, "--accelerator=" + accelerator,
		fmt.Sprintf("--failure-domain=domain-%d", pipeline%3),
		fmt.Sprintf("--holding=%s/%s/%d/%d", Model, Version, layers[0], layers[1]),
		fmt.Sprintf("--slots=%d", s.cfg.Slots), "--queue=64", "--step=" + s.cfg.Step.String(),
		"--heartbeat=500ms", "--keep-broken=30s", "--load-lag=500ms", "--event-delay=200ms", "--event-gap=7",
		"--stage-timeout=800ms", "--memory-bytes=24000000000",
		"--crash-marker=" + CrashMarker, "--crash-downtime=300ms",
	}
	if stage == 0 {
		args = append(args, "--checks-fencing")
	}
	if s.cfg.DiscardExecutions {
		args = append(args, "--no-executions")
	} else {
		args = append(args, "--record="+recordPath(s.cfg.Dir, name))
	}
	p, err := spawnStandin(s.cfg.Dir, s.cfg.Bin, name, args...)
	if err != nil {
		return err
	}
	s.Engines = append(s.Engines, p)
	return nil
}

func (s *System) prepareHost(i int) (*Host, error) {
	h := &Host{ID: fmt.Sprintf("host-%d", i), Domain: fmt.Sprintf("domain-%d", i%3)}
	addrs, err := freeAddresses(fmt.Sprintf("%s.%d", s.network, i+1), 3)
	if err != nil {
		return nil, err
	}
	h.Caller, h.Peer, h.Operator = addrs[0], addrs[1], addrs[2]
	level := s.cfg.LogLevel
	if level == "" {
		level = "info"
	}
	claims := ""
	if s.cfg.FlushMs > 0 {
		claims = fmt.Sprintf("\n  \"claims\": {\"flush_ms\": %d},", s.cfg.FlushMs)
	}
	text := fmt.Sprintf(`// Settings of %s.
{
  "host": %q,
  "failure_domain": %q,
  "region": "region-0",
  "caller_address": %q,
  "peer_address": %q,
  "operator_address": %q,
  "platform": {
    "object_api_address": %q,
    "host_list_address": %q,
    "weight_store_address": %q,
  },%s
  "limits": {"max_request_ms": 60000, "drain_timeout_ms": 70000},
  "seal_keys": [{"id": "k1", "key_base64": %q}],
  "log_level": %q,
}
`, h.ID, h.ID, h.Domain, h.Caller, h.Peer, h.Operator,
		s.Platform.address, s.Platform.address, s.Platform.address, claims,
		base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32)), level)
	h.settings = filepath.Join(s.cfg.Dir, h.ID+".json")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, eris.Wrap(err, "system.prepareHost")
	}
	return h, nil
}

// StartHost starts the process of a host, also after an earlier process of it has ended.
func (s *System) StartHost(h *Host) error {
	p, out, err := spawn(s.cfg.Dir, h.ID+"-"+strconv.FormatInt(time.Now().UnixMilli(), 36), filepath.Join(s.cfg.Bin, "waxwingplankd"), "--settings", h.settings)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.cfg.Dir, p.name+".jsonl"))
	if err != nil {
		return eris.Wrap(err, "system.StartHost")
	}
	go func() {
		_, _ = io.Copy(log, out)
		_ = log.Close()
	}()
	p.address = h.Caller
	h.Process = p
	return nil
}

// PublishHosts writes the host list. It marks the given hosts as leaving and all others as live.
func (s *System) PublishHosts(ctx context.Context, leaving map[string]bool) error {
	type row struct {
		Host          string `json:"host"`
		Address       string `json:"address"`
		PeerAddress   string `json:"peer_address"`
		FailureDomain string `json:"failure_domain"`
		Region        string `json:"region"`
		State         string `json:"state"`
	}
	var rows []row
	for _, h := range s.Hosts {
		state := "live"
		if leaving[h.ID] {
			state = "leaving"
		}
		rows = append(rows, row{h.ID, h.Caller, h.Peer, h.Domain, "region-0", state})
	}
	return Post(ctx, s.Platform.address, "/standin/hosts", map[string]any{"hosts": rows})
}

// Post sends JSON to a control path of a stand-in.
func Post(ctx context.Context, address, path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "system.Post")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "system.Post")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "system.Post")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("POST %s%s: %s", address, path, resp.Status)
	}
	return nil
}

// Delete sends DELETE to a control path of a stand-in, which ends its faults.
func Delete(ctx context.Context, address, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "system.Delete")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "system.Delete")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("DELETE %s%s: %s", address, path, resp.Status)
	}
	return nil
}

// Get sends GET to a path and decodes the JSON response.
func Get(ctx context.Context, address, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "system.Get")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "system.Get")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("GET %s%s: %s", address, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

func addresses(list []*Process) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.address)
	}
	return out
}

// workspaces are the workspaces of the system, with different weights.
var workspaces = []document.Workspace{
	{Name: "exporter-a", Weight: 4},
	{Name: "plant-b", Weight: 2},
	{Name: "port-c", Weight: 1},
}

// Documents returns the service documents of the system at generation 0.
func (s *System) Documents() ([]document.Document, error) {
	queue := int64(s.cfg.Queue)
	if queue == 0 {
		queue = 512
	}
	drafts, err := document.New(document.Config{
		Service: Drafts, Kind: document.Pipeline, Owner: "labels-team",
		Model:     &document.Model{Name: Model, Version: Version, Layers: Layers, LayerBytes: 100_000_000, KVBytesPerToken: 65536},
		Endpoints: addresses(s.Engines), Workspaces: workspaces,
		Kinds: []document.RequestKind{
			{Name: "declaration", Priority: 0, FirstTokenMs: 2000},
			{Name: "summary", Priority: 2, FirstTokenMs: 5000},
		},
		Limits: document.Limits{Queue: queue, MaxTokens: 4096, TimeoutMs: 60000},
	})
	if err != nil {
		return nil, eris.Wrap(err, "system.Documents")
	}
	registry, err := document.New(document.Config{
		Service: Registry, Kind: document.Plain, Owner: "registry-team",
		Endpoints: addresses(s.Plain), Workspaces: workspaces,
		Calls: []document.Call{
			{Method: http.MethodPost, Path: "registrations", Repeatable: false},
			{Method: http.MethodGet, Path: "lots", Repeatable: true},
		},
		Limits: document.Limits{Queue: 512, MaxTokens: 1, TimeoutMs: 10000},
	})
	if err != nil {
		return nil, eris.Wrap(err, "system.Documents")
	}
	return []document.Document{drafts, registry}, nil
}

func (s *System) applyDocuments(ctx context.Context) error {
	docs, err := s.Documents()
	if err != nil {
		return err
	}
	client := objectapi.New(objectapi.Config{Address: s.Platform.address, Timeout: time.Second})
	defer client.Close()
	for _, d := range docs {
		value, err := d.WithGeneration(1).Canonical()
		if err != nil {
			return eris.Wrap(err, "system.applyDocuments")
		}
		w := objectapi.Write{Kind: documents.KindServices, Name: string(d.Service()), Value: value}
		if _, err := client.Put(ctx, w); err != nil {
			return eris.Wrap(err, "system.applyDocuments")
		}
	}
	return nil
}

// waitReady waits until Probe succeeds on every host.
func (s *System) waitReady(ctx context.Context) error {
	for _, h := range s.Hosts {
		if err := WaitFor(ctx, startTimeout, func() error { return s.Probe(ctx, h) }); err != nil {
			return eris.Wrapf(err, "%s is not ready", h.ID)
		}
	}
	return nil
}

// Probe returns an error unless a host serves a lookup and a short draft.
func (s *System) Probe(ctx context.Context, h *Host) error {
	answer, err := Call(ctx, h.Caller, CallConfig{Method: http.MethodGet, Service: Registry, Path: "lots/0", Workspace: "plant-b"})
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return eris.Errorf("lookup: status %d: %s", answer.Status, answer.Body)
	}
	got := Draft(ctx, h.Caller, DraftConfig{Prompt: "ready?", MaxTokens: 1, Workspace: "plant-b"})
	return got.Err
}

// WaitFor calls f every 20 ms until it succeeds. After the bound it returns the last error of f.
func WaitFor(ctx context.Context, bound time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(err, "not within %s", bound)
		case <-ticker.C:
		}
	}
}

// Close kills the processes that still run.
func (s *System) Close() {
	var all []*Process
	for _, h := range s.Hosts {
		if h.Process != nil {
			all = append(all, h.Process)
		}
	}
	all = append(append(all, s.Engines...), s.Plain...)
	if s.Platform != nil {
		all = append(all, s.Platform)
	}
	for _, p := range all {
		_ = p.Thaw()
		p.Kill()
	}
}
