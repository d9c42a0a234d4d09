package placement

import "waxwingplank/internal/core/table"

// Decision is something that the daemon must carry out.
type Decision interface{ decision() }

// Cause says why something was chosen or passed over.
type Cause string

// The causes of choices.
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
	CauseOther      Cause = "holds_another_model"
	CauseLeftOver   Cause = "free_endpoints_do_not_cover_the_model"
	CauseVersion    Cause = "next_version_is_loaded"
	CauseLoading    Cause = "next_version_loads_beside"
	CauseDocument   Cause = "not_in_the_document"
	CauseModel      Cause = "model_changed_its_layers"
	CauseSlowerPeer Cause = "slower_than_the_chosen_one"
)

// Passed is something that was looked at and not chosen.
type Passed struct {
	What  string
	Cause Cause
}

// Reason says what was chosen in a plan and what was passed over.
type Reason struct {
	Chosen string
	Cause  Cause
	Passed []Passed
}

// PlanChanged asks for the write of a plan, which is in force once PlanWritten says so.
type PlanChanged struct {
	plan    Plan
	reasons []Reason
}

// Plan returns the plan.
func (d PlanChanged) Plan() Plan { return d.plan }

// Reasons returns what was chosen and passed over.
func (d PlanChanged) Reasons() []Reason { return d.reasons }

// OrderKind is what an order changes.
type OrderKind string

// The kinds of orders.
const (
	Load   OrderKind = "load"
	Unload OrderKind = "unload"
)

// SendOrder states what an endpoint must hold, or no longer hold, of one version.
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

// ID returns the name of the order, for OrderAnswered.
func (d SendOrder) ID() string { return d.id }

// Endpoint returns the endpoint.
func (d SendOrder) Endpoint() table.EndpointID { return d.endpoint }

// Address returns the address of the endpoint.
func (d SendOrder) Address() string { return d.address }

// Kind returns what the order changes.
func (d SendOrder) Kind() OrderKind { return d.kind }

// Model returns the model.
func (d SendOrder) Model() string { return d.model }

// Version returns the version of the model.
func (d SendOrder) Version() string { return d.version }

// Adapter returns the adapter; empty for the layers themselves.
func (d SendOrder) Adapter() string { return d.adapter }

// Layers returns the layers.
func (d SendOrder) Layers() table.Layers { return d.layers }

// Bytes returns what the weight store must send for the order.
func (d SendOrder) Bytes() int64 { return d.bytes }

func (PlanChanged) decision() {}
func (SendOrder) decision()   {}
