package quarantine

import "time"

// Outcome is what was found of suspects that were in the same crashes.
type Outcome string

// The outcomes.
const (
	// Refused means that one or more of the suspects are refused and explain the crashes.
	Refused Outcome = "refused"
	// Undecided means that the next crash has to tell which of the suspects causes them.
	Undecided Outcome = "undecided"
)

// Finding is what was found of the suspects of some crashes.
type Finding struct {
	outcome  Outcome
	crashes  []CrashID
	requests []Fingerprint
	parts    []Fingerprint
}

// Outcome returns whether the crashes are explained.
func (f Finding) Outcome() Outcome { return f.outcome }

// Crashes returns the crashes, sorted.
func (f Finding) Crashes() []CrashID { return f.crashes }

// Requests returns the requests that were in all of the crashes.
func (f Finding) Requests() []Fingerprint { return f.requests }

// Parts returns the parts of prompts that were in all of the crashes, without those of the requests.
func (f Finding) Parts() []Fingerprint { return f.parts }

// Findings returns what explains the crashes of late, and a number that changes when it may have changed.
func (s *System) Findings(now time.Time) ([]Finding, int) {
	s.updateBlame(now)
	return s.blame.findings, s.blameRevision
}
