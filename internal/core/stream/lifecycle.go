package stream

import (
	"context"

	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"
)

// State is a state in the lifecycle of a stream.
type State string

// The states of a stream.
const (
	Waiting    State = "waiting"
	Running    State = "running"
	Recovering State = "recovering"
	Done       State = "done"
	Failed     State = "failed"
	Gone       State = "gone"
)

type trigger string

const (
	started   trigger = "started"
	broken    trigger = "broken"
	completed trigger = "completed"
	failed    trigger = "failed"
	left      trigger = "left"
)

// lifecycle is the state machine of the streams. All streams share one machine, which reads and writes the state
// of the row that fire sets before each trigger; a machine per stream would take kilobytes each.
type lifecycle struct {
	machine *stateless.StateMachine
	row     *row
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	read := func(context.Context) (stateless.State, error) { return l.row.state, nil }
	write := func(_ context.Context, s stateless.State) error {
		state, ok := s.(State)
		if !ok {
			return eris.Errorf("stream: %v is not a state", s)
		}
		l.row.state = state
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	m.Configure(Waiting).
		Permit(started, Running).
		Permit(failed, Failed).
		Permit(left, Gone)
	m.Configure(Running).
		Permit(broken, Recovering).
		Permit(completed, Done).
		Permit(failed, Failed).
		Permit(left, Gone)
	m.Configure(Recovering).
		Permit(started, Running).
		Permit(failed, Failed).
		Permit(left, Gone)
	l.machine = m
	return l
}

// fire applies the trigger and reports whether the stream's state permits it.
func (l *lifecycle) fire(r *row, t trigger) bool {
	l.row = r
	return l.machine.Fire(t) == nil
}
