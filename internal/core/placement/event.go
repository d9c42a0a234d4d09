package placement

import (
	"time"

	"waxwingplank/internal/core/table"
)

// Event is an input to System.Tick.
type Event interface{ event() }

// Model describes the model that the endpoints must hold.
type Model struct {
	Name       string
	Version    string
	Layers     int
	LayerBytes int64
	Adapters   []string
	// MaxStreamDuration is the longest time that a stream may run.
	MaxStreamDuration time.Duration
}

// DocumentChanged carries the model that the service runs and the addresses of its endpoints.
type DocumentChanged struct {
	model     Model
	addresses []string
}

// NewDocumentChanged returns the event.
func NewDocumentChanged(model Model, addresses []string) DocumentChanged {
	return DocumentChanged{model: model, addresses: addresses}
}

// Holding is a range of layers that an endpoint has loaded.
type Holding struct {
	Model   string
	Version string
	Layers  table.Layers
}

// DescribedConfig is an endpoint's description of itself.
type DescribedConfig struct {
	Address       string
	Endpoint      table.EndpointID
	Accelerator   string
	FailureDomain string
	MemoryBytes   int64
	ChecksFencing bool
	Incarnation   uint64
	Slots         int
	Holdings      []Holding
}

// EndpointDescribed reports the properties of an endpoint and the layers that it holds.
type EndpointDescribed struct{ cfg DescribedConfig }

// NewEndpointDescribed returns the event.
func NewEndpointDescribed(cfg DescribedConfig) EndpointDescribed { return EndpointDescribed{cfg: cfg} }

// EndpointLost reports that the endpoint at an address does not respond.
type EndpointLost struct{ address string }

// NewEndpointLost returns the event.
func NewEndpointLost(address string) EndpointLost { return EndpointLost{address: address} }

// EndpointLoadConfig describes the load of an endpoint.
type EndpointLoadConfig struct {
	Endpoint table.EndpointID
	Running  int
	Queued   int
	// TimePerToken is the time for one token on the layers that the endpoint holds.
	TimePerToken time.Duration
	Measured     time.Time
}

// LoadReported reports the load and the speed of an endpoint.
type LoadReported struct{ cfg EndpointLoadConfig }

// NewLoadReported returns the event.
func NewLoadReported(cfg EndpointLoadConfig) LoadReported { return LoadReported{cfg: cfg} }

// LinkMeasured reports the time that one token takes between two failure domains.
type LinkMeasured struct {
	a, b string
	cost time.Duration
}

// NewLinkMeasured returns the event.
func NewLinkMeasured(a, b string, cost time.Duration) LinkMeasured {
	return LinkMeasured{a: a, b: b, cost: cost}
}

// LimitsRead reports the limits of the weight store, which all services share.
type LimitsRead struct {
	bytesPerSecond     int64
	maxConcurrentLoads int
}

// NewLimitsRead returns the event.
func NewLimitsRead(bytesPerSecond int64, loadsAtOnce int) LimitsRead {
	return LimitsRead{bytesPerSecond: bytesPerSecond, maxConcurrentLoads: loadsAtOnce}
}

// PlanRead carries the stored plan when this host becomes responsible for placing the service.
type PlanRead struct{ plan Plan }

// NewPlanRead returns the event; the zero plan means that none is stored.
func NewPlanRead(plan Plan) PlanRead { return PlanRead{plan: plan} }

// PlanWritten reports that the plan of a PlanChanged decision is in force, or that its write failed.
type PlanWritten struct {
	generation uint64
	ok         bool
}

// NewPlanWritten returns the event.
func NewPlanWritten(generation uint64, ok bool) PlanWritten {
	return PlanWritten{generation: generation, ok: ok}
}

// OrderAnswered reports the outcome of a SendOrder decision.
type OrderAnswered struct {
	orderID string
	ok      bool
}

// NewOrderAnswered returns the event.
func NewOrderAnswered(order string, ok bool) OrderAnswered {
	return OrderAnswered{orderID: order, ok: ok}
}

func (DocumentChanged) event()   {}
func (EndpointDescribed) event() {}
func (EndpointLost) event()      {}
func (LoadReported) event()      {}
func (LinkMeasured) event()      {}
func (LimitsRead) event()        {}
func (PlanRead) event()          {}
func (PlanWritten) event()       {}
func (OrderAnswered) event()     {}
