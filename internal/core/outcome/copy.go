package outcome

import "time"

// SoleCopyPeriod is how long the first send of a call counts as its only copy. A caller without a response by then may
// have sent the call to another host.
const SoleCopyPeriod = time.Second

// Copy is a request that its caller declared to be the first send.
type Copy struct {
	// Received is when this host read the request.
	Received time.Time
	// Resumed is when this host last continued after a pause. It is zero if there was none.
	Resumed time.Time
}

// IsSole reports whether no other copy of the request is to be expected yet.
func (c Copy) IsSole(now time.Time) bool {
	if now.Sub(c.Received) >= SoleCopyPeriod {
		return false
	}
	// A request that was read shortly after a pause may have waited in a buffer during the pause.
	return c.Resumed.IsZero() || c.Received.Sub(c.Resumed) >= SoleCopyPeriod
}
