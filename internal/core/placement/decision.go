package placement

import "waxwingplank/internal/core/table"

// Decision is an action that the daemon must carry out.
type Decision interface{ decision() }

// Cause is the reason why a pipeline, version or endpoint was chosen or rejected.
type Cause string

// The causes of decisions.
const (
	CauseAdopted    Cause = "engines_hold_it"
	CauseFree       Cause = "free_endpoints_cover_the_model"
	CauseReplaced   Cause = "stage_lost_and_replaced"
	CauseReformed   Cause = "stage_lost_without_replacement"
	CauseGain       Cause = "move_gains_enough"
	CauseSmallGain  Cause = "gain_below_a_tenth"
	CauseTraffic    Cause = "traffic_too_high_for_a_move"
	CauseMoving     Cause = "another_move_is_under_way"
	CauseMemory     Cause = "memory_too_small"
	CauseLink       Cause = "link_too_slow"
	CauseOtherModel Cause = "holds_another_model"
	CauseLeftOver   Cause = "free_endpoints_do_not_cover_the_model"
	CauseVersion    Cause = "next_version_is_loaded"
	CauseLoading    Cause = "next_version_loads_beside"
	CauseDocument   Cause = "not_in_the_document"
	CauseModel      Cause = "model_changed_its_layers"
	CauseSlowerPeer Cause = "slower_than_the_chosen_one"
)

// Rejected is a candidate that was considered and rejected.
type Rejected struct {
	Candidate string
	Cause     Cause
}

// Reason explains one choice in a plan, with the candidates that were rejected.
type Reason struct {
	Chosen   string
	Cause    Cause
	Rejected []Rejected
}

// PlanChanged requests the write of a plan. The plan is in force once PlanWritten confirms it.
type PlanChanged struct {
	plan    Plan
	reasons []Reason
}

// Plan returns the plan.
func (d PlanChanged) Plan() Plan { return d.plan }

// Reasons returns the choices in the plan and the candidates that were rejected.
func (d PlanChanged) Reasons() []Reason { return d.reasons }

// OrderKind is the kind of change that an order makes.
type OrderKind string

// The kinds of orders.
const (
	Load   OrderKind = "load"
	Unload OrderKind = "unload"
)

// SendOrder orders an endpoint to load or unload the layers or an adapter of one version.
type SendOrder struct {
	id       string
	endpoint table.EndpointID
	address  string
	kind     OrderKind
	model    string
	version  string
	adapter  string
	layers   table.Layers
	bytes    int64
}

// ID returns the ID of the order, to be passed to NewOrderAnswered.
func (d SendOrder) ID() string { return d.id }

// Endpoint returns the endpoint.
func (d SendOrder) Endpoint() table.EndpointID { return d.endpoint }

// Address returns the address of the endpoint.
func (d SendOrder) Address() string { return d.address }

// Kind returns whether the order loads or unloads.
func (d SendOrder) Kind() OrderKind { return d.kind }

// Model returns the model.
func (d SendOrder) Model() string { return d.model }

// Version returns the version of the model.
func (d SendOrder) Version() string { return d.version }

// Adapter returns the adapter; empty for the layers themselves.
func (d SendOrder) Adapter() string { return d.adapter }

// Layers returns the layers.
func (d SendOrder) Layers() table.Layers { return d.layers }

// Bytes returns the number of bytes that the weight store must send for the order.
func (d SendOrder) Bytes() int64 { return d.bytes }

func (PlanChanged) decision() {}
func (SendOrder) decision()   {}
