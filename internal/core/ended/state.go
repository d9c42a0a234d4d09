package ended

import "time"

const (
	// EntryLapse is the time from the end of an endpoint until its entry leaves the list: three heartbeats of 1.2 s.
	EntryLapse = 3600 * time.Millisecond
	// exclusionPeriod is how long an endpoint that is known to have ended gets no requests. An endpoint that is
	// still listed after its entry should have lapsed may be alive.
	exclusionPeriod = 4 * time.Second
	// trialInterval is the time from the evidence, or from the last trial, to the next trial of an endpoint that is needed. A trial
	// costs its request one refused connection, some ms.
	trialInterval = time.Second
	// refusalSpacing is how far apart two refused connections must be to show an end. Several requests that find the same full
	// backlog of connections are refused within some ms.
	refusalSpacing = 25 * time.Millisecond
	// refusalWindow is how far apart they may be. It is the time within which the quarantine relates broken and refused
	// connections.
	refusalWindow = 2 * time.Second
	// inFlightPeriod is the time for which events that an endpoint sent before its end may still arrive. It is many times the delay
	// between domains.
	inFlightPeriod = 200 * time.Millisecond
)

// State is what is known of the end of one instance. The zero value is that of an instance of which nothing is known.
type State struct {
	// knownAt is when the end became known, and evidenceAt the time of the last evidence. Both are zero if it is not known.
	knownAt    time.Time
	evidenceAt time.Time
	// reported is set once a peer has reported the end. The reports are repeated, so that later ones are no new evidence.
	reported bool
	// refusedAt is when the instance first refused a connection after it had last shown that it lives.
	refusedAt time.Time
	// trial is the request that tries the endpoint, or empty. triedAt is when the last trial began.
	trial   string
	triedAt time.Time
}

// RecordEnd records that a connection to the instance broke and a new one was refused. It reports whether the instance was not
// excluded before, as the other methods that record evidence do.
func (s *State) RecordEnd(now time.Time) bool {
	excluded := s.Excluded(now)
	if s.knownAt.IsZero() {
		s.knownAt = now
	}
	s.evidenceAt = now
	return !excluded
}

// RecordReport records a peer's report of the end at a time, unless it is a repetition or too old to count.
func (s *State) RecordReport(now, at time.Time) bool {
	if age := now.Sub(at); s.reported || age >= exclusionPeriod || age <= -exclusionPeriod {
		return false
	}
	s.reported = true
	return s.knownAt.IsZero() && s.RecordEnd(now)
}

// RecordRefusedConnection records that the instance refused a connection. One refused connection shows no end, since a full backlog of
// connections can have the same effect; a second one in a row does, and so does one of an instance that is known to have ended.
func (s *State) RecordRefusedConnection(now time.Time) bool {
	since := now.Sub(s.refusedAt)
	switch {
	case !s.knownAt.IsZero(), !s.refusedAt.IsZero() && since >= refusalSpacing && since <= refusalWindow:
		return s.RecordEnd(now)
	case s.refusedAt.IsZero() || since > refusalWindow:
		s.refusedAt = now
	}
	return false
}

// RecordResponse records a response of the instance to a request that was sent at a time. It shows that the instance lives if the
// request was sent after the evidence of its end.
func (s *State) RecordResponse(sentAt time.Time) {
	if sentAt.After(s.evidenceAt) {
		s.recordAlive()
	}
}

// RecordEvent records an event that the instance sent on a running stream. It shows that the instance lives if it can't have been sent
// before the evidence of its end.
func (s *State) RecordEvent(now time.Time) {
	if now.Sub(s.evidenceAt) > inFlightPeriod {
		s.recordAlive()
	}
}

func (s *State) recordAlive() { *s = State{reported: s.reported} }

// Excluded reports whether the instance gets no requests.
func (s *State) Excluded(now time.Time) bool {
	return !s.knownAt.IsZero() && now.Sub(s.evidenceAt) < exclusionPeriod
}

// MayTry reports whether one request may try an excluded instance if it can't be served otherwise.
func (s *State) MayTry(now time.Time) bool {
	return s.trial == "" && !now.Before(s.NextTrial())
}

// NextTrial returns when an excluded instance may be tried next, if the trial in progress, if any, fails.
func (s *State) NextTrial() time.Time {
	last := s.evidenceAt
	if s.triedAt.After(last) {
		last = s.triedAt
	}
	return last.Add(trialInterval)
}

// BeginTrial records that a request is sent to the instance. It is a trial if the instance is excluded.
func (s *State) BeginTrial(now time.Time, request string) {
	if s.Excluded(now) {
		s.trial, s.triedAt = request, now
	}
}

// EndTrial records that a request has ended.
func (s *State) EndTrial(request string) {
	if s.trial == request {
		s.trial = ""
	}
}

// Known reports whether the instance is known to have ended and has not shown since that it lives, even if it may be tried again.
func (s *State) Known() bool { return !s.knownAt.IsZero() }

// Since returns when the end became known, or the zero time.
func (s *State) Since() time.Time { return s.knownAt }
