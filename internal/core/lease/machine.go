package lease

import "github.com/qmuntal/stateless"

// State is a state in the lifecycle of a lease on one host.
type State string

// The states of a lease.
const (
	Free       State = "free"
	Acquiring  State = "acquiring"
	Held       State = "held"
	Expired    State = "expired"
	WaitingOut State = "waiting_out"
	Released   State = "released"
)

type trigger string

const (
	triggerHold       trigger = "hold"
	triggerAcquire    trigger = "acquire"
	triggerExpire     trigger = "lapse"
	triggerFindHolder trigger = "find_holder"
	triggerEndWait    trigger = "end_wait"
	triggerRelease    trigger = "give_back"
	triggerReacquire  trigger = "acquire_anew"
)

// newMachine returns the state machine of a lease. A transition that is not configured is a
// programming error.
func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithMode(Free, stateless.FiringImmediate)
	m.Configure(Free).Permit(triggerHold, Acquiring)
	m.Configure(Acquiring).
		Permit(triggerAcquire, Held).
		Permit(triggerFindHolder, WaitingOut).
		Permit(triggerRelease, Released)
	m.Configure(Held).
		Permit(triggerExpire, Expired).
		Permit(triggerFindHolder, WaitingOut).
		Permit(triggerRelease, Released)
	m.Configure(Expired).
		Permit(triggerReacquire, Acquiring).
		Permit(triggerRelease, Released)
	m.Configure(WaitingOut).
		Permit(triggerEndWait, Acquiring).
		Permit(triggerRelease, Released)
	m.Configure(Released).Permit(triggerHold, Acquiring)
	return m
}
