package deployment

// EndpointState says whether an endpoint takes new requests.
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

// Endpoint is what an endpoint last said of itself.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	State   EndpointState
	// Born is the Unix millisecond of the start; a change means that the endpoint holds nothing of before.
	Born        int64
	Accelerator string
	// Layers is empty where the endpoint holds none.
	Layers Range
}

// Same reports whether two entries name the same start of the same endpoint.
func (e Endpoint) Same(o Endpoint) bool {
	return e.ID == o.ID && e.Born == o.Born && e.Address == o.Address
}
