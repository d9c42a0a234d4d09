package benchfleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/fleet"
	"waxwingplank/internal/endpoint/engine"
	"waxwingplank/internal/peer/hostpb"
)

// Step is the interval at which the hosts of a net check for due work.
const Step = 100 * time.Millisecond

// Layers is the number of layers of each model.
const Layers = 24

// Slots is the number of concurrent streams of each engine.
const Slots = 9

// firstIncarnation is as large as the incarnations of real engines, which start at the time in milliseconds.
const firstIncarnation = 1_700_000_000_000

var errDown = errors.New("benchfleet: not reachable")

// NetConfig describes a Net.
type NetConfig struct {
	Hosts     int
	Pipelines int
	// Services is the number of services, each with its own model and Pipelines pipelines. Zero means one.
	Services int
	// EventsPerRead is the number of cache events that each read of a first stage returns.
	EventsPerRead int
}

// Net is a set of hosts and engines in one process with a common simulated clock. Every call completes immediately.
type Net struct {
	Now     time.Time
	Nodes   map[table.HostID]*Node
	Engines map[string]*Engine
	Order   []table.HostID
	Count   Count
	cfg     NetConfig
	live    []table.HostID
}

// Count holds the numbers of calls and bytes of all hosts of a net.
type Count struct {
	Reports, Reads          int
	ReportBytes, ReplyBytes int
	ReadBytes               int
}

// Node is one host of a net.
type Node struct {
	ID     table.HostID
	Fleet  *fleet.Fleet
	Down   bool
	Paused bool
	// View overrides the list of live hosts if it is not nil.
	View []table.HostID
	// Cut names the hosts that this one cannot call.
	Cut map[table.HostID]bool
	// Pipelines holds the pipelines of each service that were last posted to routing.
	Pipelines map[table.ServiceID][]string
	// Loads holds the last load of each endpoint that was posted to routing.
	Loads map[table.EndpointID]routing.LoadConfig
	// CacheEvents counts the cache events that were posted to routing.
	CacheEvents int
	Grants      map[string]Grant
	Crashes     []table.EndpointID
	// Reads counts the load reads of this host by address.
	Reads map[string]int
	// OnPost is called with every event that is posted to routing.
	OnPost func(routing.Event)
	net    *Net
	// bytes counts the bytes that the host sent and received.
	bytes int
}

// Grant is the number of slots of a pipeline that a host may use until a time.
type Grant struct {
	Slots int
	Until time.Time
}

// Engine is a simulated engine that hosts read from.
type Engine struct {
	ID          table.EndpointID
	Address     string
	Domain      string
	Model       string
	Layers      table.Layers
	Incarnation uint64
	Running     int
	Down        bool
	sequence    uint64
}

// Service returns the name of a service of the net.
func Service(i int) table.ServiceID { return table.ServiceID(fmt.Sprint("drafts-", i)) }

// NewNet returns a net whose hosts have adopted the documents of all services.
func NewNet(cfg NetConfig) (*Net, error) {
	cfg.Services = max(cfg.Services, 1)
	n := &Net{
		Now: time.Unix(1_700_000_000, 0), cfg: cfg, Nodes: map[table.HostID]*Node{}, Engines: map[string]*Engine{},
	}
	for s := range cfg.Services {
		for p := range cfg.Pipelines {
			for i, l := range []table.Layers{{From: 0, To: 12}, {From: 12, To: 18}, {From: 18, To: Layers}} {
				n.AddEngine(s, fmt.Sprintf("e%d-%03d-%d", s, p, i), fmt.Sprint("domain-", p%3), l)
			}
		}
	}
	for i := range cfg.Hosts {
		n.AddHost(table.HostID(fmt.Sprintf("host-%03d", i)))
	}
	return n, n.Adopt()
}

// AddEngine adds an engine. Hosts use it after the next call of Adopt.
func (n *Net) AddEngine(service int, id, domain string, layers table.Layers) *Engine {
	e := &Engine{ID: table.EndpointID(id), Domain: domain, Model: fmt.Sprint("model-", service), Layers: layers, Incarnation: firstIncarnation}
	at := len(n.Engines)
	e.Address = fmt.Sprintf("10.1.%d.%d:7100", at/256, at%256)
	n.Engines[e.Address] = e
	return e
}

// Engine returns the engine with the ID, or nil.
func (n *Net) Engine(id string) *Engine {
	for _, e := range n.Engines {
		if string(e.ID) == id {
			return e
		}
	}
	return nil
}

// AddHost adds a host.
func (n *Net) AddHost(id table.HostID) *Node {
	h := &Node{
		ID: id, net: n, Cut: map[table.HostID]bool{}, Pipelines: map[table.ServiceID][]string{},
		Loads: map[table.EndpointID]routing.LoadConfig{}, Grants: map[string]Grant{}, Reads: map[string]int{},
	}
	h.start()
	n.Nodes[id] = h
	n.Order = append(n.Order, id)
	slices.Sort(n.Order)
	return h
}

func (h *Node) start() {
	h.Fleet = fleet.New(fleet.Config{
		Self: h.ID, Engines: h, Peers: h, Live: h.live, Post: h.post, Clock: func() time.Time { return h.net.Now },
		Address: func(id table.HostID) (string, bool) { return string(id), true },
		OnCrash: func(id table.EndpointID, _ uint64) { h.Crashes = append(h.Crashes, id) },
		Go:      func(work func()) { work() },
	})
}

// Restart replaces a host's process with one that has no state, and adopts the documents again.
func (n *Net) Restart(h *Node) error {
	h.start()
	h.Down, h.Paused = false, false
	return n.adopt(h)
}

// Adopt makes all hosts adopt the documents of all services.
func (n *Net) Adopt() error {
	for _, id := range n.Order {
		if err := n.adopt(n.Nodes[id]); err != nil {
			return err
		}
	}
	return nil
}

func (n *Net) adopt(h *Node) error {
	for s := range n.cfg.Services {
		doc, err := n.document(s)
		if err != nil {
			return err
		}
		h.Fleet.ApplyDocument(doc)
	}
	return nil
}

func (n *Net) document(s int) (document.Document, error) {
	model := fmt.Sprint("model-", s)
	var addresses []string
	for a, e := range n.Engines {
		if e.Model == model {
			addresses = append(addresses, a)
		}
	}
	slices.Sort(addresses)
	doc, err := document.New(document.Config{
		Service: string(Service(s)), Generation: 1, Kind: document.Pipeline, Owner: "team",
		Model:     &document.Model{Name: model, Version: "7", Layers: Layers, LayerBytes: 1 << 20, KVBytesPerToken: 1},
		Endpoints: addresses, Workspaces: []document.Workspace{{Name: "a", Weight: 2}, {Name: "b", Weight: 1}},
		Kinds:  []document.RequestKind{{Name: "k", FirstTokenMs: 100}},
		Limits: document.Limits{Queue: 10, MaxTokens: 10, TimeoutMs: 1000},
	})
	if err != nil {
		return document.Document{}, eris.Wrap(err, "benchfleet.document")
	}
	return doc, nil
}

// Run advances the clock by d in steps and calls check, if it is not nil, after each step.
func (n *Net) Run(d time.Duration, check func()) {
	for end := n.Now.Add(d); n.Now.Before(end); {
		n.Now = n.Now.Add(Step)
		n.live = n.live[:0:0]
		for _, id := range n.Order {
			if !n.Nodes[id].Down {
				n.live = append(n.live, id)
			}
		}
		for _, id := range n.Order {
			if h := n.Nodes[id]; !h.Down && !h.Paused {
				h.Fleet.Step(context.Background())
			}
		}
		if check != nil {
			check()
		}
	}
}

// Granted returns the sum of the unexpired grants of a pipeline over all running hosts.
func (n *Net) Granted(pipeline string) int {
	sum := 0
	for _, h := range n.Nodes {
		if g := h.Grants[pipeline]; !h.Down && g.Until.After(n.Now) {
			sum += g.Slots
		}
	}
	return sum
}

func (h *Node) live() []table.HostID {
	if h.View != nil {
		return h.View
	}
	return h.net.live
}

func (h *Node) post(events ...routing.Event) {
	for _, e := range events {
		if h.OnPost != nil {
			h.OnPost(e)
		}
		switch e := e.(type) {
		case routing.Grants:
			for _, g := range e.List() {
				h.Grants[g.Pipeline] = Grant{Slots: g.Slots, Until: h.net.Now.Add(g.Lifetime)}
			}
		case routing.Load:
			for _, l := range e.List() {
				h.Loads[l.Endpoint] = l
			}
		case routing.CacheEvents:
			h.CacheEvents += len(e.List())
		case routing.Pipelines:
			var ids []string
			for _, p := range e.List() {
				ids = append(ids, p.Pipeline.ID())
			}
			slices.Sort(ids)
			h.Pipelines[e.Service()] = ids
		}
	}
}

// ReportDemand implements fleet.Peers.
func (h *Node) ReportDemand(ctx context.Context, address string, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	to := h.net.Nodes[table.HostID(address)]
	if to == nil || to.Down || to.Paused || h.Cut[to.ID] {
		return nil, errDown
	}
	out, err := to.Fleet.ReportDemand(ctx, in)
	c := &h.net.Count
	c.Reports++
	c.ReportBytes += proto.Size(in)
	c.ReplyBytes += proto.Size(out)
	both := proto.Size(in) + proto.Size(out)
	h.bytes += both
	to.bytes += both
	return out, err
}

func (h *Node) engine(address string) (*Engine, error) {
	e := h.net.Engines[address]
	if e == nil || e.Down {
		return nil, errDown
	}
	return e, nil
}

// Describe implements fleet.Engines.
func (h *Node) Describe(_ context.Context, address string) (engine.Description, error) {
	e, err := h.engine(address)
	if err != nil {
		return engine.Description{}, err
	}
	h.countRead(describeBytes)
	return engine.NewDescription(engine.DescriptionConfig{
		Endpoint: e.ID, FailureDomain: e.Domain, Incarnation: e.Incarnation, Slots: Slots,
		Holdings: []engine.Holding{engine.NewHolding(e.Model, "7", e.Layers)},
	}), nil
}

// Load implements fleet.Engines.
func (h *Node) Load(_ context.Context, address string) (engine.Load, error) {
	e, err := h.engine(address)
	if err != nil {
		return engine.Load{}, err
	}
	h.Reads[address]++
	h.countRead(loadBytes)
	return engine.NewLoad(engine.LoadConfig{
		Incarnation: e.Incarnation, Running: e.Running, Slots: Slots, MeasuredAt: h.net.Now.Add(-time.Second),
		Step: 20 * time.Millisecond,
	}), nil
}

// Events implements fleet.Engines.
func (h *Node) Events(_ context.Context, address string, after uint64) ([]engine.CacheEvent, error) {
	e, err := h.engine(address)
	if err != nil {
		return nil, err
	}
	e.sequence = max(e.sequence, after)
	var out []engine.CacheEvent
	for range h.net.cfg.EventsPerRead {
		e.sequence++
		out = append(out, engine.NewCacheEvent(e.sequence, engine.Stored, fmt.Sprintf("%016x", e.sequence*0x9e3779b97f4a7c15)))
	}
	h.countRead(eventsBytes + len(out)*eventBytes)
	return out, nil
}

// Sizes in bytes of the bodies that engines send, from the protocol examples on the design page, and of the
// HTTP/1.1 headers, which are added to each.
const (
	headerBytes   = 120 + 110
	describeBytes = 260
	loadBytes     = 130
	eventsBytes   = 13
	eventBytes    = 68
)

// countRead counts one response of an engine.
func (h *Node) countRead(bytes int) {
	h.net.Count.Reads++
	h.net.Count.ReadBytes += headerBytes + bytes
	h.bytes += headerBytes + bytes
}
