package placement

import (
	"context"

	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"
)

// State is a state in the life of an endpoint.
type State string

// The states of an endpoint.
const (
	// Unknown is an endpoint that the document names and that has not been read.
	Unknown State = "unknown"
	// Described is an endpoint that answers and has no part in the plan.
	Described State = "described"
	// Loading is an endpoint of the plan that does not hold its layers yet.
	Loading State = "loading"
	// Serving is an endpoint that holds what the plan says.
	Serving State = "serving"
	// Draining is an endpoint that has left the plan and finishes its streams.
	Draining State = "draining"
	// Lost is an endpoint that does not answer.
	Lost State = "lost"
)

type trigger string

const (
	described trigger = "described"
	placed    trigger = "placed"
	loaded    trigger = "loaded"
	displaced trigger = "displaced"
	drained   trigger = "drained"
	silent    trigger = "silent"
)

// life is one machine for all endpoints: it reads and writes the state of the row set before each trigger.
type life struct {
	machine *stateless.StateMachine
	row     *endpoint
}

func newLife() *life {
	l := &life{}
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
	m.Configure(Unknown).Permit(described, Described).Permit(silent, Lost)
	m.Configure(Described).Permit(placed, Loading).Permit(silent, Lost)
	m.Configure(Loading).Permit(loaded, Serving).Permit(displaced, Draining).Permit(silent, Lost)
	m.Configure(Serving).Permit(placed, Loading).Permit(displaced, Draining).Permit(silent, Lost)
	m.Configure(Draining).Permit(drained, Described).Permit(placed, Loading).Permit(silent, Lost)
	m.Configure(Lost).Permit(described, Described)
	l.machine = m
	return l
}

// fire applies the trigger and reports whether the state of the endpoint allows it.
func (l *life) fire(e *endpoint, t trigger) bool {
	l.row = e
	return l.machine.Fire(t) == nil
}
