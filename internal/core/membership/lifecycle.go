package membership

import (
	"context"

	"github.com/qmuntal/stateless"
)

// The triggers of the life cycle of a host.
const (
	heard     = "heard"
	silent    = "silent"
	cutOff    = "cut_off"
	left      = "left"
	confirmed = "confirmed_dead"
	unlisted  = "unlisted"
	restarted = "restarted"
)

// newLifecycle returns one machine for all hosts; its state lives in the row at hand, because a
// machine a host would cost several KB each at 410 hosts.
func newLifecycle(current func() *row) *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return current().life, nil },
		func(_ context.Context, s stateless.State) error {
			current().life = s.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(Unknown).
		Permit(heard, Live).Permit(cutOff, Unreachable).Permit(left, Leaving).
		Permit(confirmed, Dead).Permit(unlisted, Gone).Permit(restarted, Live).Ignore(silent)
	m.Configure(Live).
		Permit(silent, Suspect).Permit(cutOff, Unreachable).Permit(left, Leaving).
		Permit(confirmed, Dead).Permit(unlisted, Gone).Ignore(heard).Ignore(restarted)
	m.Configure(Suspect).
		Permit(heard, Live).Permit(cutOff, Unreachable).Permit(left, Leaving).
		Permit(confirmed, Dead).Permit(unlisted, Gone).Permit(restarted, Live).Ignore(silent)
	m.Configure(Unreachable).
		Permit(heard, Live).Permit(left, Leaving).Permit(confirmed, Dead).
		Permit(unlisted, Gone).Permit(restarted, Live).Ignore(silent).Ignore(cutOff)
	m.Configure(Leaving).
		Permit(confirmed, Dead).Permit(unlisted, Gone).Permit(restarted, Live).
		Ignore(heard).Ignore(silent).Ignore(cutOff).Ignore(left)
	m.Configure(Dead).
		Permit(unlisted, Gone).Permit(restarted, Live).
		Ignore(heard).Ignore(silent).Ignore(cutOff).Ignore(left).Ignore(confirmed)
	m.Configure(Gone).
		Permit(restarted, Live).
		Ignore(heard).Ignore(silent).Ignore(cutOff).Ignore(left).Ignore(confirmed).Ignore(unlisted)
	return m
}

// fire moves a host along its life cycle and reports whether its state changed.
func (s *System) fire(r *row, trigger string) bool {
	before := r.life
	s.current = r
	if err := s.machine.Fire(trigger); err != nil || r.life == before {
		// Every state names every trigger, so an error would be a trigger that changes nothing.
		return false
	}
	s.forceDirty = true
	s.decide(HostChanged{host: r.rec.ID, from: before, to: r.life, cause: trigger})
	return true
}
