package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"waxwingplank/internal/core/table"
)

// OpenRequest describes one attempt of a stream.
type OpenRequest struct {
	Stream    table.StreamID
	Attempt   int
	Model     string
	Version   string
	Workspace table.WorkspaceID
	// Priority 0 is the highest.
	Priority int
	Route    []table.Stage
	Prompt   string
	// Generated holds the texts of the tokens before Position, if the host has them.
	Generated []string
	// Position is the position of the next token.
	Position  int
	MaxTokens int
	// KVHandle is the handle of the KV cache to import, as returned by Export.
	KVHandle string
}

type wireStage struct {
	Endpoint table.EndpointID `json:"endpoint"`
	Address  string           `json:"address"`
	Layers   pair             `json:"layers"`
}

type wireOpen struct {
	Stream    table.StreamID    `json:"stream"`
	Attempt   int               `json:"attempt"`
	Model     string            `json:"model"`
	Version   string            `json:"version"`
	Workspace table.WorkspaceID `json:"workspace"`
	Priority  int               `json:"priority"`
	Route     []wireStage       `json:"route"`
	Prompt    string            `json:"prompt"`
	Generated []string          `json:"generated,omitempty"`
	Position  int               `json:"position"`
	MaxTokens int               `json:"max_tokens"`
	KVHandle  string            `json:"kv_handle,omitempty"`
}

func (r OpenRequest) wire() wireOpen {
	route := make([]wireStage, len(r.Route))
	for i, s := range r.Route {
		route[i] = wireStage{Endpoint: s.Endpoint(), Address: s.Address(), Layers: pair{s.Layers().From, s.Layers().To}}
	}
	return wireOpen{
		Stream: r.Stream, Attempt: r.Attempt, Model: r.Model, Version: r.Version, Workspace: r.Workspace,
		Priority: r.Priority, Route: route, Prompt: r.Prompt, Generated: r.Generated,
		Position: r.Position, MaxTokens: r.MaxTokens, KVHandle: r.KVHandle,
	}
}

// Holding is a range of layers of a model that an engine has loaded.
type Holding struct {
	model   string
	version string
	layers  table.Layers
}

// Model returns the name of the model.
func (h Holding) Model() string { return h.model }

// Version returns the version of the model.
func (h Holding) Version() string { return h.version }

// Layers returns the range of layers.
func (h Holding) Layers() table.Layers { return h.layers }

// Description is an engine's report of its identity, resources and loaded models.
type Description struct {
	endpoint      table.EndpointID
	accelerator   string
	failureDomain string
	memoryBytes   int64
	checksFencing bool
	incarnation   uint64
	slots         int
	holdings      []Holding
}

// Endpoint returns the endpoint ID of the engine.
func (d Description) Endpoint() table.EndpointID { return d.endpoint }

// Accelerator returns the kind of accelerator.
func (d Description) Accelerator() string { return d.accelerator }

// FailureDomain returns the failure domain.
func (d Description) FailureDomain() string { return d.failureDomain }

// MemoryBytes returns the memory for weights and KV cache, in bytes.
func (d Description) MemoryBytes() int64 { return d.memoryBytes }

// ChecksFencing reports whether the engine refuses orders with an old fencing token.
func (d Description) ChecksFencing() bool { return d.checksFencing }

// Incarnation returns a number that increases with each restart of the engine.
func (d Description) Incarnation() uint64 { return d.incarnation }

// Slots returns the number of streams that can run concurrently.
func (d Description) Slots() int { return d.slots }

// Holdings returns the layer ranges that the engine has loaded.
func (d Description) Holdings() []Holding { return d.holdings }

// Describe reads the engine's description.
func (c *Client) Describe(ctx context.Context, address string) (Description, error) {
	var w struct {
		Endpoint      table.EndpointID `json:"endpoint"`
		Accelerator   string           `json:"accelerator"`
		FailureDomain string           `json:"failure_domain"`
		MemoryBytes   int64            `json:"memory_bytes"`
		ChecksFencing bool             `json:"checks_fencing"`
		Incarnation   uint64           `json:"incarnation"`
		Slots         int              `json:"slots"`
		Holdings      []struct {
			Model   string `json:"model"`
			Version string `json:"version"`
			Layers  pair   `json:"layers"`
		} `json:"holdings"`
	}
	x := exchange{operation: "describe", method: http.MethodGet, address: address, path: "/v1/describe", out: &w}
	if err := c.call(ctx, x); err != nil {
		return Description{}, err
	}
	if w.Endpoint == "" || w.Slots < 0 || w.MemoryBytes < 0 {
		return Description{}, malformed(x, errors.New("description without a name or with negative sizes"))
	}
	d := Description{
		endpoint: w.Endpoint, accelerator: w.Accelerator, failureDomain: w.FailureDomain, memoryBytes: w.MemoryBytes,
		checksFencing: w.ChecksFencing, incarnation: w.Incarnation, slots: w.Slots,
	}
	for _, h := range w.Holdings {
		if h.Layers[0] < 0 || h.Layers[1] <= h.Layers[0] {
			return Description{}, malformed(x, fmt.Errorf("holding with the layers %v", h.Layers))
		}
		layers := table.Layers{From: h.Layers[0], To: h.Layers[1]}
		d.holdings = append(d.holdings, Holding{model: h.Model, version: h.Version, layers: layers})
	}
	return d, nil
}

// Load is an engine's reported load. It is older than the actual load.
type Load struct {
	incarnation uint64
	running     int
	queued      int
	slots       int
	freeKVBytes int64
	measuredAt  time.Time
	step        time.Duration
}

// Incarnation returns the incarnation of the engine that measured the load.
func (l Load) Incarnation() uint64 { return l.incarnation }

// Running returns the number of running streams.
func (l Load) Running() int { return l.running }

// Queued returns the number of streams that wait for a slot.
func (l Load) Queued() int { return l.queued }

// Slots returns the number of streams that can run concurrently.
func (l Load) Slots() int { return l.slots }

// FreeKVBytes returns the free KV cache memory, in bytes.
func (l Load) FreeKVBytes() int64 { return l.freeKVBytes }

// MeasuredAt returns when the engine measured the load, by the engine's clock.
func (l Load) MeasuredAt() time.Time { return l.measuredAt }

// Step returns the time that the engine needs for one token of a stream.
func (l Load) Step() time.Duration { return l.step }

// Load reads the engine's reported load.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var w struct {
		Incarnation  uint64 `json:"incarnation"`
		Running      int    `json:"running"`
		Queued       int    `json:"queued"`
		Slots        int    `json:"slots"`
		FreeKVBytes  int64  `json:"free_kv_bytes"`
		MeasuredAtMS int64  `json:"measured_at_ms"`
		StepUS       int64  `json:"step_us"`
	}
	x := exchange{operation: "load", method: http.MethodGet, address: address, path: "/v1/load", out: &w}
	if err := c.call(ctx, x); err != nil {
		return Load{}, err
	}
	if w.Running < 0 || w.Queued < 0 || w.Slots < 0 || w.StepUS < 0 || w.MeasuredAtMS <= 0 {
		return Load{}, malformed(x, errors.New("load with negative numbers or without a time"))
	}
	return Load{
		incarnation: w.Incarnation, running: w.Running, queued: w.Queued, slots: w.Slots, freeKVBytes: w.FreeKVBytes,
		measuredAt: time.UnixMilli(w.MeasuredAtMS), step: time.Duration(w.StepUS) * time.Microsecond,
	}, nil
}

// CacheChange states whether a prefix was added to or removed from an engine's cache.
type CacheChange string

// The kinds of cache changes.
const (
	Stored  CacheChange = "stored"
	Evicted CacheChange = "evicted"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	sequence   uint64
	change     CacheChange
	prefixHash string
}

// Sequence returns the number of the event. Events are missing if numbers are skipped.
func (e CacheEvent) Sequence() uint64 { return e.sequence }

// Change returns whether the prefix was stored or evicted.
func (e CacheEvent) Change() CacheChange { return e.change }

// PrefixHash returns the hash of the prefix, as PrefixHashes computes it.
func (e CacheEvent) PrefixHash() string { return e.prefixHash }

// Events reads the cache events after a sequence number. Events may be delayed or missing.
func (c *Client) Events(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var w struct {
		Events []struct {
			Sequence   uint64      `json:"sequence"`
			Kind       CacheChange `json:"kind"`
			PrefixHash string      `json:"prefix_hash"`
		} `json:"events"`
	}
	path := "/v1/events?after=" + strconv.FormatUint(after, 10)
	x := exchange{operation: "events", method: http.MethodGet, address: address, path: path, out: &w}
	if err := c.call(ctx, x); err != nil {
		return nil, err
	}
	events := make([]CacheEvent, len(w.Events))
	last := after
	for i, e := range w.Events {
		if e.Sequence <= last || (e.Kind != Stored && e.Kind != Evicted) {
			return nil, malformed(x, fmt.Errorf("event %d of kind %q after event %d", e.Sequence, e.Kind, last))
		}
		last = e.Sequence
		events[i] = CacheEvent{sequence: e.Sequence, change: e.Kind, prefixHash: e.PrefixHash}
	}
	return events, nil
}

// KVExport identifies a KV cache that another engine can import.
type KVExport struct {
	handle string
	bytes  int64
}

// Handle returns the handle to pass as KVHandle.
func (e KVExport) Handle() string { return e.handle }

// Bytes returns the size of the cache in bytes.
func (e KVExport) Bytes() int64 { return e.bytes }

// Export asks the engine to make the KV cache of a stream available for import.
func (c *Client) Export(ctx context.Context, address string, stream table.StreamID, attempt int) (KVExport, error) {
	in := struct {
		Attempt int `json:"attempt"`
	}{attempt}
	var w struct {
		KVHandle string `json:"kv_handle"`
		Bytes    int64  `json:"bytes"`
	}
	path := "/v1/streams/" + url.PathEscape(string(stream)) + "/export"
	x := exchange{operation: "export", method: http.MethodPost, address: address, path: path, in: in, out: &w}
	if err := c.call(ctx, x); err != nil {
		return KVExport{}, err
	}
	if w.KVHandle == "" || w.Bytes < 0 {
		return KVExport{}, malformed(x, errors.New("export without a handle"))
	}
	return KVExport{handle: w.KVHandle, bytes: w.Bytes}, nil
}

func malformed(x exchange, cause error) *Error {
	return &Error{kind: ErrMalformed, operation: x.operation, address: x.address, sent: true, cause: cause}
}
