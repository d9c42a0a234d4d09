package returns

import "time"

// Source says what an estimate was derived from.
type Source string

// The sources of estimates.
const (
	// Unknown means that nothing is known of when there is capacity.
	Unknown Source = "unknown"
	// Ended means the end of workers, the lapse of their entries and the time to load their layers.
	Ended Source = "ended"
	// Absences means the times that the service was without cover before.
	Absences Source = "absences"
	// Overdue means that an earlier estimate has passed without capacity.
	Overdue Source = "overdue"
	// Running means the streams in progress and how long streams have taken of late.
	Running Source = "running"
)

// Opening is an estimate of when there is capacity again.
type Opening struct {
	// At is when the first request finds capacity.
	At time.Time
	// Rate is the number of requests of this host that find capacity in a second from then on, or 0 if that is not known.
	Rate   float64
	Source Source
}
