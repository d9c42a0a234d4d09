package lease

import "github.com/qmuntal/stateless"

// State is a step in the life cycle of a lease on one host.
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
	hold        trigger = "hold"
	acquire     trigger = "acquire"
	lapse       trigger = "lapse"
	findHolder  trigger = "find_holder"
	endWait     trigger = "end_wait"
	giveBack    trigger = "give_back"
	acquireAnew trigger = "acquire_anew"
)

// newMachine returns the life cycle; a transition that is not listed is a programming error.
func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithMode(Free, stateless.FiringImmediate)
	m.Configure(Free).Permit(hold, Acquiring)
	m.Configure(Acquiring).
		Permit(acquire, Held).
		Permit(findHolder, WaitingOut).
		Permit(giveBack, Released)
	m.Configure(Held).
		Permit(lapse, Expired).
		Permit(findHolder, WaitingOut).
		Permit(giveBack, Released)
	m.Configure(Expired).
		Permit(acquireAnew, Acquiring).
		Permit(giveBack, Released)
	m.Configure(WaitingOut).
		Permit(endWait, Acquiring).
		Permit(giveBack, Released)
	m.Configure(Released).Permit(hold, Acquiring)
	return m
}
