package deployment

import (
	"strings"
	"time"
)

// RouteKind says whether requests of a route may be sent again.
type RouteKind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests may run at most once.
	Unsafe RouteKind = "unsafe"
	// Streaming requests get a series of events as response.
	Streaming RouteKind = "streaming"
)

// Share is the share of a route's traffic that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Route describes one route.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	Shares []Share
	// Timeout is the longest time that a request of the route may wait.
	Timeout time.Duration
	// TargetLatency is the target time for a response or its first event.
	TargetLatency time.Duration
	// TargetGap is the longest gap between two events of a response that meets its target.
	TargetGap time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority    int
	MaxAttempts int
	Public      bool
	Resumable   bool
}

// Idempotent reports whether a request of the route may run again.
func (r Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Service picks the service of a request; point is uniform in [0, 1) and fixed for the request.
func (r Route) Service(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Accelerator describes one kind of accelerator of a model service.
type Accelerator struct {
	SizeMB float64
	// StepFactor and ReadFactor multiply the engine's times for token steps and for reading prompts.
	StepFactor float64
	ReadFactor float64
}

// Engine holds the speeds and sizes of the workers of a model service.
type Engine struct {
	Model string
	Slots int
	// Layers is the number of layers of the model, or zero if each worker holds the whole model.
	Layers                int
	LayerMB               float64
	ContextTokenBytes     float64
	ActivationBytes       float64
	CrossDomainMbps       float64
	StepMs                float64
	StepMsPerSequence     float64
	StepMsPerKContext     float64
	ReadTokensPerMs       float64
	LoadTime              time.Duration
	MaxConcurrentLoads    int
	TypicalPromptTokens   int
	TypicalResponseTokens int
	DomainDelay           time.Duration
	Accelerators          map[string]Accelerator
	DefaultAccelerator    Accelerator
}

// Accelerator returns the description of a kind, or the default if the kind is not described.
func (e *Engine) Accelerator(kind string) Accelerator {
	if a, ok := e.Accelerators[kind]; ok {
		return a
	}
	return e.DefaultAccelerator
}

// Service describes one service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound the size of a caller's requests and the time that its connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a tenant of the deployment with its callers' keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority is nil if the route's priority applies.
	Priority *int
}

// Config is one version of the operator's configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}

// Table is an index for lookups in one version of the configuration.
type Table struct {
	version     int64
	limits      Limits
	hosts       map[string][]*Route
	services    map[string]*Service
	workspaces  map[string]*Workspace
	requiresKey bool
	classified  map[string]bool
}

// NewTable indexes a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		version:     cfg.Version,
		limits:      cfg.Limits,
		hosts:       map[string][]*Route{},
		services:    map[string]*Service{},
		workspaces:  map[string]*Workspace{},
		requiresKey: len(cfg.Workspaces) > 0,
		classified:  classified(cfg),
	}
	for i := range cfg.Routes {
		host := strings.ToLower(cfg.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &cfg.Routes[i])
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Workspaces {
		for _, key := range cfg.Workspaces[i].Keys {
			t.workspaces[key] = &cfg.Workspaces[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services.
func (t *Table) Services() map[string]*Service { return t.services }

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Workspace returns the workspace of a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// Route returns the route with the longest prefix of the path on the host, or nil.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil
		}
		routes = t.hosts[name]
	}
	var best *Route
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
