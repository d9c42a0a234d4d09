package balance

import (
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/ended"
	"waxwingplank/internal/core/returns"
)

// Reopen estimates when a request that found no endpoint finds one: when the entry of the first endpoint that has ended lapses and a
// new instance can be listed. If some endpoint is not known to have ended, nothing is known of when it takes requests.
func (s *System) Reopen(now time.Time) returns.Opening {
	opening := returns.Opening{At: now, Source: returns.Unknown}
	for _, e := range s.endpoints {
		switch at := e.end.Since().Add(ended.EntryLapse); {
		case e.entry.State != deployment.Ready:
		case !e.end.Known():
			return returns.Opening{At: now, Source: returns.Unknown}
		case at.Before(now):
			opening.Source = returns.Overdue
		case opening.Source == returns.Unknown || at.Before(opening.At):
			opening.At, opening.Source = at, returns.Ended
		}
	}
	return opening
}
