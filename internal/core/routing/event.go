package routing

import (
	"time"

	"waxwingplank/internal/core/table"
)

// Event is an input of System.Tick: a change of a request, an endpoint, a limit or the set of pipelines.
type Event interface{ event() }

// ArrivedConfig holds the fields of an Arrived event.
type ArrivedConfig struct {
	Request   table.RequestID
	Service   table.ServiceID
	Workspace table.WorkspaceID
	Kind      string
	// Priority 0 is the highest class.
	Priority int
	// Weight is the workspace's share within its class; values below 1 count as 1.
	Weight int
	// Deadline is the time by which the request must be dispatched; zero means none.
	Deadline time.Time
	// Preamble is the hash of the shared preamble; zero means none.
	Preamble uint64
	// MaxTokens bounds the length of the response; zero for plain calls.
	MaxTokens int
	// PreferredPipeline is the ID of the pipeline that may still hold the stream of the request; empty
	// means none.
	PreferredPipeline string
	// AvoidEndpoints lists endpoints to which the request must not be sent.
	AvoidEndpoints []table.EndpointID
	// CrashMarks lists the crashes that the request is marked with.
	CrashMarks []string
	// Recovery is true for a request that was running before; it is served before new requests of its class.
	Recovery bool
	// WaitingSince is the time from which the request has waited; recovery requests with the earliest time go
	// first.
	WaitingSince time.Time
	// FirstSend is true if the caller declared this copy to be the first.
	FirstSend bool
	// Repeatable is true if running the request twice does no harm.
	Repeatable bool
	// Key is the caller's idempotency key; without one, duplicates are not recognised.
	Key string
	// Preemptible is true if the engine can resume the request after it was stopped. It has no effect on
	// plain calls and on requests that may not be repeated.
	Preemptible bool
}

// Arrived reports a request that needs a pipeline or endpoint.
type Arrived struct{ cfg ArrivedConfig }

// NewArrived returns an Arrived event.
func NewArrived(cfg ArrivedConfig) Arrived {
	cfg.Weight = max(cfg.Weight, 1)
	cfg.MaxTokens = max(cfg.MaxTokens, 1)
	return Arrived{cfg: cfg}
}

// Departed reports that the caller of a request has disconnected.
type Departed struct{ request table.RequestID }

// NewDeparted returns a Departed event.
func NewDeparted(request table.RequestID) Departed { return Departed{request: request} }

// Finished reports that a request has ended with a complete response.
type Finished struct {
	request table.RequestID
	tokens  int
	elapsed time.Duration
}

// NewFinished returns a Finished event; elapsed is measured from the dispatch.
func NewFinished(request table.RequestID, tokens int, elapsed time.Duration) Finished {
	return Finished{request: request, tokens: tokens, elapsed: elapsed}
}

// Reason is the reason why an attempt failed.
type Reason string

// The reasons for a failed attempt.
const (
	// ReasonConnect means that no connection was established, so no byte was sent.
	ReasonConnect      Reason = "connect"
	ReasonReset        Reason = "reset"
	ReasonUnresponsive Reason = "silent"
	ReasonTimeout      Reason = "timeout"
	// ReasonBusy means that the endpoint had no free slot; it does not affect the endpoint's health.
	ReasonBusy Reason = "busy"
	// ReasonPreempted means that the attempt was stopped in favour of a request of a higher class.
	ReasonPreempted Reason = "preempted"
)

// AttemptFailed reports that an attempt ended without a complete response.
type AttemptFailed struct {
	request  table.RequestID
	endpoint table.EndpointID
	reason   Reason
}

// NewAttemptFailed returns an AttemptFailed event; the endpoint is empty if the failing stage could not be
// determined.
func NewAttemptFailed(request table.RequestID, endpoint table.EndpointID, reason Reason) AttemptFailed {
	return AttemptFailed{request: request, endpoint: endpoint, reason: reason}
}

// PipelineConfig describes one pipeline of a service.
type PipelineConfig struct {
	Pipeline table.Pipeline
	// Slots is the number of streams that the pipeline runs concurrently, over all hosts.
	Slots int
	// Interval is the token interval that the placement expects; zero means unknown.
	Interval time.Duration
}

// Pipelines replaces the pipelines of a service.
type Pipelines struct {
	service table.ServiceID
	list    []PipelineConfig
	plain   bool
}

// NewPipelines returns a Pipelines event.
func NewPipelines(service table.ServiceID, list []PipelineConfig) Pipelines {
	return Pipelines{service: service, list: list}
}

// PlainEndpointConfig describes one instance of a plain service.
type PlainEndpointConfig struct {
	Endpoint table.EndpointID
	Address  string
	// Slots is the number of calls that the instance runs concurrently, over all hosts.
	Slots int
}

// NewPlainEndpoints returns a Pipelines event that replaces the instances of a plain service.
func NewPlainEndpoints(service table.ServiceID, list []PlainEndpointConfig) Pipelines {
	out := make([]PipelineConfig, len(list))
	for i, e := range list {
		stage := table.NewStage(table.StageConfig{Endpoint: e.Endpoint, Address: e.Address})
		out[i] = PipelineConfig{Pipeline: table.NewPipeline([]table.Stage{stage}), Slots: e.Slots}
	}
	return Pipelines{service: service, list: out, plain: true}
}

// LimitsConfig holds the queue limits from a service's document.
type LimitsConfig struct {
	Service table.ServiceID
	// Queue bounds the requests that wait on this host; zero means 512.
	Queue int
	// QueuePerWorkspace bounds the waiting requests of one workspace; zero means a quarter of Queue.
	QueuePerWorkspace int
}

// Limits sets the limits of a service. Requests that already wait stay, even beyond a lowered limit.
type Limits struct{ cfg LimitsConfig }

// NewLimits returns a Limits event.
func NewLimits(cfg LimitsConfig) Limits { return Limits{cfg: cfg} }

// Hosts gives the number of live hosts and the rank of this host among them.
type Hosts struct{ live, rank int }

// NewHosts returns a Hosts event; rank counts from zero in an order that all hosts agree on.
func NewHosts(live, rank int) Hosts { return Hosts{live: max(live, 1), rank: max(rank, 0)} }

// GrantConfig describes the slots of one pipeline that this host may use.
type GrantConfig struct {
	Pipeline string
	Slots    int
	// Sequence increases with each division by the same owner; a grant with a lower one is ignored.
	Sequence uint64
	Lifetime time.Duration
}

// Grants delivers new slot grants.
type Grants struct{ list []GrantConfig }

// NewGrants returns a Grants event.
func NewGrants(list []GrantConfig) Grants { return Grants{list: list} }

// LoadConfig describes a load report of an endpoint.
type LoadConfig struct {
	Endpoint table.EndpointID
	Running  int
	Queued   int
	Slots    int
	Step     time.Duration
	// MeasuredAt is the time at which the endpoint took the measurement, by this host's clock.
	MeasuredAt time.Time
}

// Load delivers load reports.
type Load struct{ list []LoadConfig }

// NewLoad returns a Load event.
func NewLoad(list ...LoadConfig) Load { return Load{list: list} }

// CacheKind is the kind of a change to a prefix cache.
type CacheKind string

// The kinds of cache events.
const (
	CacheStored  CacheKind = "stored"
	CacheEvicted CacheKind = "evicted"
)

// CacheEventConfig describes one change of an endpoint's prefix cache.
type CacheEventConfig struct {
	Sequence uint64
	Kind     CacheKind
	Prefix   uint64
}

// CacheEvents delivers changes of an endpoint's prefix cache.
type CacheEvents struct {
	endpoint table.EndpointID
	list     []CacheEventConfig
}

// NewCacheEvents returns a CacheEvents event.
func NewCacheEvents(endpoint table.EndpointID, list []CacheEventConfig) CacheEvents {
	return CacheEvents{endpoint: endpoint, list: list}
}

// Progress reports the speed of a running stream.
type Progress struct {
	request    table.RequestID
	firstToken time.Duration
	interval   time.Duration
}

// NewProgress returns a Progress event with the mean token interval since the previous event.
func NewProgress(request table.RequestID, interval time.Duration) Progress {
	return Progress{request: request, interval: interval}
}

// NewFirstToken returns a Progress event for the first token; elapsed is measured from the dispatch.
func NewFirstToken(request table.RequestID, elapsed time.Duration) Progress {
	return Progress{request: request, firstToken: elapsed}
}

func (Arrived) event()       {}
func (Departed) event()      {}
func (Finished) event()      {}
func (AttemptFailed) event() {}
func (Pipelines) event()     {}
func (Limits) event()        {}
func (Hosts) event()         {}
func (Grants) event()        {}
func (Load) event()          {}
func (CacheEvents) event()   {}
func (Progress) event()      {}
