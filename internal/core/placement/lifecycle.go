package placement

import (
	"context"

	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"
)

// State is a state in the lifecycle of an endpoint.
type State string

// The states of an endpoint.
const (
	// Unknown means that the endpoint is in the document but has not been read.
	Unknown State = "unknown"
	// Described means that the endpoint responds and is not in the plan.
	Described State = "described"
	// Loading means that the endpoint is in the plan but does not hold its layers yet.
	Loading State = "loading"
	// Serving means that the endpoint holds the layers of the plan.
	Serving State = "serving"
	// Draining means that the endpoint was removed from the plan and is finishing its streams.
	Draining State = "draining"
	// Lost means that the endpoint does not respond.
	Lost State = "lost"
)

type trigger string

const (
	described    trigger = "described"
	placed       trigger = "placed"
	loaded       trigger = "loaded"
	displaced    trigger = "displaced"
	drained      trigger = "drained"
	unresponsive trigger = "silent"
)

// lifecycle is the state machine of the endpoints. All endpoints share one machine, which reads and writes the
// state of the row that fire sets before each trigger.
type lifecycle struct {
	machine *stateless.StateMachine
	row     *endpoint
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	read := func(context.Context) (stateless.State, error) { return l.row.state, nil }
	write := func(_ context.Context, s stateless.State) error {
		state, ok := s.(State)
		if !ok {
			return eris.Errorf("placement: %v is not a state", s)
		}
		l.row.state = state
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	m.Configure(Unknown).Permit(described, Described).Permit(unresponsive, Lost)
	m.Configure(Described).Permit(placed, Loading).Permit(unresponsive, Lost)
	m.Configure(Loading).Permit(loaded, Serving).Permit(displaced, Draining).Permit(unresponsive, Lost)
	m.Configure(Serving).Permit(placed, Loading).Permit(displaced, Draining).Permit(unresponsive, Lost)
	m.Configure(Draining).Permit(drained, Described).Permit(placed, Loading).Permit(unresponsive, Lost)
	m.Configure(Lost).Permit(described, Described)
	l.machine = m
	return l
}

// fire applies the trigger and reports whether the endpoint's state permits it.
func (l *lifecycle) fire(e *endpoint, t trigger) bool {
	l.row = e
	return l.machine.Fire(t) == nil
}
