package membership

import (
	"context"

	"github.com/qmuntal/stateless"
)

// The triggers of the lifecycle of a host. Their values are logged as causes.
const (
	triggerSeen          = "heard"
	triggerUnresponsive  = "silent"
	triggerUnreachable   = "cut_off"
	triggerLeaving       = "left"
	triggerConfirmedDead = "confirmed_dead"
	triggerUnlisted      = "unlisted"
	triggerRestarted     = "restarted"
)

// newLifecycle returns one state machine that is shared by all hosts. The state is stored in the
// current row, because a machine for each of 410 hosts would cost several KB each.
func newLifecycle(current func() *row) *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return current().lifecycle, nil },
		func(_ context.Context, s stateless.State) error {
			current().lifecycle = s.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(Unknown).
		Permit(triggerSeen, Live).Permit(triggerUnreachable, Unreachable).Permit(triggerLeaving, Leaving).
		Permit(triggerConfirmedDead, Dead).Permit(triggerUnlisted, Removed).Permit(triggerRestarted, Live).Ignore(triggerUnresponsive)
	m.Configure(Live).
		Permit(triggerUnresponsive, Suspect).Permit(triggerUnreachable, Unreachable).Permit(triggerLeaving, Leaving).
		Permit(triggerConfirmedDead, Dead).Permit(triggerUnlisted, Removed).Ignore(triggerSeen).Ignore(triggerRestarted)
	m.Configure(Suspect).
		Permit(triggerSeen, Live).Permit(triggerUnreachable, Unreachable).Permit(triggerLeaving, Leaving).
		Permit(triggerConfirmedDead, Dead).Permit(triggerUnlisted, Removed).Permit(triggerRestarted, Live).Ignore(triggerUnresponsive)
	m.Configure(Unreachable).
		Permit(triggerSeen, Live).Permit(triggerLeaving, Leaving).Permit(triggerConfirmedDead, Dead).
		Permit(triggerUnlisted, Removed).Permit(triggerRestarted, Live).Ignore(triggerUnresponsive).Ignore(triggerUnreachable)
	m.Configure(Leaving).
		Permit(triggerConfirmedDead, Dead).Permit(triggerUnlisted, Removed).Permit(triggerRestarted, Live).
		Ignore(triggerSeen).Ignore(triggerUnresponsive).Ignore(triggerUnreachable).Ignore(triggerLeaving)
	m.Configure(Dead).
		Permit(triggerUnlisted, Removed).Permit(triggerRestarted, Live).
		Ignore(triggerSeen).Ignore(triggerUnresponsive).Ignore(triggerUnreachable).Ignore(triggerLeaving).Ignore(triggerConfirmedDead)
	m.Configure(Removed).
		Permit(triggerRestarted, Live).
		Ignore(triggerSeen).Ignore(triggerUnresponsive).Ignore(triggerUnreachable).Ignore(triggerLeaving).Ignore(triggerConfirmedDead).Ignore(triggerUnlisted)
	return m
}

// fire applies a trigger to a host and reports whether its state changed.
func (s *System) fire(r *row, trigger string) bool {
	before := r.lifecycle
	s.current = r
	if err := s.machine.Fire(trigger); err != nil || r.lifecycle == before {
		// Every state configures every trigger, so an error means that the trigger changes nothing.
		return false
	}
	s.recountAll = true
	s.decide(HostChanged{host: r.rec.ID, from: before, to: r.lifecycle, cause: trigger})
	return true
}
