package deployment

// EndpointState says whether an endpoint accepts new requests.
type EndpointState string

// The states of endpoints.
const (
	Ready    EndpointState = "ready"
	Draining EndpointState = "draining"
)

// Range is a half-open range of model layers.
type Range struct {
	From int
	To   int
}

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

// Contains reports whether a layer lies in the range.
func (r Range) Contains(layer int) bool { return r.From <= layer && layer < r.To }

// Endpoint is the last reported state of an endpoint.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	State   EndpointState
	// StartedMs is the start time in Unix milliseconds. A change means that the endpoint has lost all earlier state.
	StartedMs   int64
	Accelerator string
	// Layers is empty if the endpoint holds none.
	Layers Range
}

// SameInstance reports whether two entries are of the same endpoint since the same start.
func (e Endpoint) SameInstance(o Endpoint) bool {
	return e.ID == o.ID && e.StartedMs == o.StartedMs && e.Address == o.Address
}
