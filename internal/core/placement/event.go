package placement

import (
	"time"

	"waxwingplank/internal/core/table"
)

// Event is something that the placement reacts to.
type Event interface{ event() }

// Model describes what the endpoints must hold.
type Model struct {
	Name       string
	Version    string
	Layers     int
	LayerBytes int64
	Adapters   []string
	// Lifetime is the longest time that a stream may run.
	Lifetime time.Duration
}

// DocumentChanged says which model the service runs, and the addresses of its endpoints.
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

// DescribedConfig describes an endpoint as it answered.
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

// EndpointDescribed says what an endpoint is and holds.
type EndpointDescribed struct{ cfg DescribedConfig }

// NewEndpointDescribed returns the event.
func NewEndpointDescribed(cfg DescribedConfig) EndpointDescribed { return EndpointDescribed{cfg: cfg} }

// EndpointLost says that the endpoint at an address does not answer.
type EndpointLost struct{ address string }

// NewEndpointLost returns the event.
func NewEndpointLost(address string) EndpointLost { return EndpointLost{address: address} }

// LoadConfig describes the load of an endpoint.
type LoadConfig struct {
	Endpoint table.EndpointID
	Running  int
	Queued   int
	// Step is the time for one token on the layers that the endpoint holds.
	Step     time.Duration
	Measured time.Time
}

// LoadReported brings the load and the speed of an endpoint.
type LoadReported struct{ cfg LoadConfig }

// NewLoadReported returns the event.
func NewLoadReported(cfg LoadConfig) LoadReported { return LoadReported{cfg: cfg} }

// LinkMeasured says what it costs one token to go from a failure domain to another.
type LinkMeasured struct {
	a, b string
	cost time.Duration
}

// NewLinkMeasured returns the event.
func NewLinkMeasured(a, b string, cost time.Duration) LinkMeasured {
	return LinkMeasured{a: a, b: b, cost: cost}
}

// LimitsRead says what the weight store allows to all services together.
type LimitsRead struct {
	bytesPerSecond int64
	loadsAtOnce    int
}

// NewLimitsRead returns the event.
func NewLimitsRead(bytesPerSecond int64, loadsAtOnce int) LimitsRead {
	return LimitsRead{bytesPerSecond: bytesPerSecond, loadsAtOnce: loadsAtOnce}
}

// PlanRead brings the stored plan, when this host begins to place the service.
type PlanRead struct{ plan Plan }

// NewPlanRead returns the event; the zero plan means that none is stored.
func NewPlanRead(plan Plan) PlanRead { return PlanRead{plan: plan} }

// PlanWritten says that the plan of a PlanChanged decision is in force, or that it could not be written.
type PlanWritten struct {
	generation uint64
	ok         bool
}

// NewPlanWritten returns the event.
func NewPlanWritten(generation uint64, ok bool) PlanWritten {
	return PlanWritten{generation: generation, ok: ok}
}

// OrderAnswered says how a SendOrder decision ended.
type OrderAnswered struct {
	order string
	ok    bool
}

// NewOrderAnswered returns the event.
func NewOrderAnswered(order string, ok bool) OrderAnswered {
	return OrderAnswered{order: order, ok: ok}
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
