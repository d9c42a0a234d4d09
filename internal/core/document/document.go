package document

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/table"
)

// Kind is the kind of a service.
type Kind string

// The kinds of services.
const (
	Pipeline Kind = "pipeline" // runs a model in a pipeline of endpoints
	Plain    Kind = "plain"    // serves HTTP calls
)

// Model describes the model that a pipeline service runs.
type Model struct {
	Name            string `json:"name"`
	Version         string `json:"version"`
	Layers          int64  `json:"layers"`
	LayerBytes      int64  `json:"layer_bytes"`
	KVBytesPerToken int64  `json:"kv_bytes_per_token"`
}

// Workspace assigns a workspace its share of the service by weight.
type Workspace struct {
	Name   string `json:"name"`
	Weight int64  `json:"weight"`
}

// RequestKind assigns a kind of request its priority, where 0 is the highest.
type RequestKind struct {
	Name         string `json:"name"`
	Priority     int64  `json:"priority"`
	FirstTokenMs int64  `json:"first_token_ms"`
}

// Call describes one call of a plain service.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Repeatable bool   `json:"repeatable"`
}

// Limits bounds the requests to the service.
type Limits struct {
	Queue     int64 `json:"queue"`
	MaxTokens int64 `json:"max_tokens"`
	TimeoutMs int64 `json:"timeout_ms"`
}

// Config describes a Document.
type Config struct {
	Service    string        `json:"service"`
	Generation uint64        `json:"generation"`
	Kind       Kind          `json:"kind"`
	Owner      string        `json:"owner"`
	Model      *Model        `json:"model,omitempty"`
	Endpoints  []string      `json:"endpoints"`
	Workspaces []Workspace   `json:"workspaces,omitempty"`
	Kinds      []RequestKind `json:"kinds,omitempty"`
	Calls      []Call        `json:"calls,omitempty"`
	Limits     Limits        `json:"limits"`
}

// Document is one validated generation of a service document.
type Document struct {
	cfg Config
}

// New returns the document, or the error of Check.
func New(cfg Config) (Document, error) {
	d := Document{cfg: cfg}
	if err := Check(d); err != nil {
		return Document{}, err
	}
	return d, nil
}

// Service returns the name of the service.
func (d Document) Service() table.ServiceID { return table.ServiceID(d.cfg.Service) }

// Generation returns the generation number of the document.
func (d Document) Generation() uint64 { return d.cfg.Generation }

// WithGeneration returns a copy of the document with the given generation number.
func (d Document) WithGeneration(n uint64) Document {
	d.cfg.Generation = n
	return d
}

// Kind returns the kind of the service.
func (d Document) Kind() Kind { return d.cfg.Kind }

// Owner returns the team that owns the document.
func (d Document) Owner() string { return d.cfg.Owner }

// Model returns the model of a pipeline service; ok is false for a plain service.
func (d Document) Model() (m Model, ok bool) {
	if d.cfg.Model == nil {
		return Model{}, false
	}
	return *d.cfg.Model, true
}

// Endpoints returns the addresses of the service's endpoints.
func (d Document) Endpoints() []string { return slices.Clone(d.cfg.Endpoints) }

// Workspaces returns the shares of the workspaces.
func (d Document) Workspaces() []Workspace { return slices.Clone(d.cfg.Workspaces) }

// AllowsAllWorkspaces reports whether the document lists no workspaces, which lets every workspace use the service.
func (d Document) AllowsAllWorkspaces() bool { return len(d.cfg.Workspaces) == 0 }

// Workspace returns the share of one workspace; ok is false if the document does not list it.
//
// It is called for every request, and a document may list thousands of workspaces, so it does not
// copy the list.
func (d Document) Workspace(name string) (share Workspace, ok bool) {
	for i := range d.cfg.Workspaces {
		if d.cfg.Workspaces[i].Name == name {
			return d.cfg.Workspaces[i], true
		}
	}
	return Workspace{}, false
}

// Kinds returns the kinds of requests with their priorities.
func (d Document) Kinds() []RequestKind { return slices.Clone(d.cfg.Kinds) }

// Calls returns the calls of a plain service.
func (d Document) Calls() []Call { return slices.Clone(d.cfg.Calls) }

// Limits returns the limits on requests.
func (d Document) Limits() Limits { return d.cfg.Limits }

// Canonical returns the document as JSON with a fixed field order and without comments.
func (d Document) Canonical() ([]byte, error) {
	b := new(bytes.Buffer)
	e := json.NewEncoder(b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(d.cfg); err != nil {
		return nil, eris.Wrapf(err, "document.Canonical %s", d.cfg.Service)
	}
	return b.Bytes(), nil
}
