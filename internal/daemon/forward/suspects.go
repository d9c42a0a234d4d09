package forward

import (
	"context"
	"errors"
	"math/rand"
	"time"
)

const (
	// suspectTimeout is how long a request waits for its turn among those that share its crashes. An answer that comes late is still
	// worth something to its caller, and a turn takes about ranInterval.
	suspectTimeout = 4 * time.Second
	// suspectPollInterval is the interval at which a waiting request looks whether its turn has come.
	suspectPollInterval = 10 * time.Millisecond
	// retryAfterSuspect is the minimum delay for the caller of a request whose turn did not come. A random delay of up to the same
	// length is added.
	retryAfterSuspect = 1 * time.Second
)

// awaitTurn waits until it is known whether the endpoint of the last attempt has ended, and until no other suspect of the request's
// crashes runs on this host, so that the next crash tells which of them causes it. It reports whether the call goes on. Otherwise it
// ends the call, of which nothing runs.
func (r *run) awaitTurn(ctx context.Context) bool {
	// Callers wait for up to a third of their time before they come back, so that a caller who is sent away needs as much.
	const timeoutDivisor = 3
	now := time.Now()
	end := now.Add(min(suspectTimeout, r.deadline.Sub(now)/timeoutDivisor))
	logged := false
	for {
		r.f.mu.Lock()
		verifying := r.f.verifying[r.brokenAt]
		waits := r.f.crashes.system.Verdict(time.Now(), r.fingerprint, r.parts...).Waits()
		r.f.mu.Unlock()
		if !waits && !verifying {
			return true
		}
		if waits && !logged {
			logged = true
			r.log("suspect waits", map[string]any{fieldContent: shortFingerprint(r.fingerprint), fieldParts: shortFingerprints(r.parts)})
		}
		if !time.Now().Before(end) {
			r.fail(causeSuspect, retryAfterSuspect+time.Duration(rand.Float64()*float64(retryAfterSuspect)))
			return false
		}
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				r.fail(causeDeadline, retryAfterSuspect)
			} else {
				r.disconnect(nil)
			}
			return false
		case <-time.After(suspectPollInterval):
		}
	}
}
