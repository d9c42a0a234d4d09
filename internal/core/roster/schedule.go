package roster

import "time"

const (
	// meshWatchTimeout is how long a watch of the store waits where it only has to show that the connection still works.
	// A stalled connection then delays a change by less than the time in which a host must be up to date again.
	meshWatchTimeout = 2300 * time.Millisecond
	// hubWatchShare is the share of the apply time for which a watch of a first hub waits. A watch that ends without a
	// change confirms the list, for the hub and for its followers.
	hubWatchShare = 0.25
	// standbyShare is the share of the apply time after which a follower no longer relies on lists that no hub confirms.
	standbyShare = 0.6
	// meetTime is how long a host that has just started waits for the lists of others before it asks the store.
	meetTime = 40 * time.Millisecond
	// After firstMeetTime a host knows whether it follows a hub. When the whole system starts for the first time, no host
	// has lists, and firstFollowTime includes the time in which the hub reads them.
	firstMeetTime   = 600 * time.Millisecond
	firstFollowTime = 1200 * time.Millisecond
	// storeLostDelay is how long a response of the store may be overdue on a host that still counts as connected to it.
	// It includes the interval between two watches and the margin of a call.
	storeLostDelay = 2100 * time.Millisecond
	// storeRetryDelay is the delay after a failed call to the store. Hosts without followers wait this much longer for
	// every retryHosts hosts, up to maxRetryFactor times the delay, because all of them call the store.
	storeRetryDelay = 250 * time.Millisecond
	retryHosts      = 20
	maxRetryFactor  = 4
)

// Schedule decides when a host calls the store itself, and when it relies on its hubs instead.
type Schedule struct{ cfg ScheduleConfig }

// ScheduleConfig describes a Schedule.
type ScheduleConfig struct {
	// ApplyTime is the time within which a change of endpoints or configuration must be in force.
	ApplyTime time.Duration
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
}

// NewSchedule returns a schedule.
func NewSchedule(cfg ScheduleConfig) Schedule { return Schedule{cfg: cfg} }

func (s Schedule) share(share float64) time.Duration {
	return time.Duration(share * float64(s.cfg.ApplyTime))
}

// StandbyLimit returns the age from which a follower no longer relies on a list.
func (s Schedule) StandbyLimit() time.Duration { return s.share(standbyShare) }

// Standby returns how long a host with a list of some age may go on without asking the store, or a time that is not
// positive if it must ask now. uptime is the time since the host started.
func (s Schedule) Standby(role Role, age, uptime time.Duration) time.Duration {
	meet, follow := meetTime, meetTime
	if s.cfg.FirstStart {
		meet, follow = firstMeetTime, firstFollowTime
	}
	if role != Follower {
		return meet - uptime
	}
	return max(s.StandbyLimit()-age, follow-uptime)
}

// Settled reports whether a host that started some time ago may know the other hosts, so that it can judge which of
// them should take a duty.
func (s Schedule) Settled(uptime time.Duration) bool {
	if s.cfg.FirstStart {
		return uptime >= firstFollowTime
	}
	return uptime >= firstMeetTime
}

// WatchTimeout returns how long a watch of the store waits. Followers watch it only while no hub confirms their lists.
func (s Schedule) WatchTimeout(role Role) time.Duration {
	switch role {
	case FirstHub, Follower:
		return min(s.share(hubWatchShare), meshWatchTimeout)
	case MeshHost, SecondHub:
	}
	return meshWatchTimeout
}

// RetryDelay returns the delay after a failed call to the store in a deployment with a number of hosts.
func (s Schedule) RetryDelay(role Role, hosts int) time.Duration {
	if role == FirstHub || role == MeshHost {
		return storeRetryDelay
	}
	return storeRetryDelay * time.Duration(min(1+hosts/retryHosts, maxRetryFactor))
}

// StoreLost reports whether the store's response is overdue. listAge is the time since the store confirmed the list to
// this host or a peer, storeAge the time since it confirmed the list to this host. Followers call the store only if
// listAge is above StandbyLimit, so only listAge counts for them.
func (s Schedule) StoreLost(role Role, listAge, storeAge time.Duration) bool {
	if role == Follower {
		return listAge > s.StandbyLimit()+storeLostDelay
	}
	return storeAge > s.WatchTimeout(role)+storeLostDelay
}
