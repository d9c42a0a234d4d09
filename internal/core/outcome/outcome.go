package outcome

// Outcome tells a caller whether its request was executed.
type Outcome string

// The outcomes of a request.
const (
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Ran        Outcome = "ran"
)

// Facts is the information that a host has about one copy of a request that ended without a
// complete response.
type Facts struct {
	// BytesSent is true if a byte of the request may have reached an endpoint.
	BytesSent bool
	// Completed is true if the endpoint reported that it had completed the request.
	Completed bool
	// FirstSend is true if the caller declared that this copy is the first.
	FirstSend bool
	// RefusalRecorded is true if a refusal is recorded for the key in its claim shard.
	RefusalRecorded bool
	// Claimed is true if a claim for the key exists or may exist in its claim shard.
	Claimed bool
}

// Classify returns the most specific outcome that the facts prove.
//
// Another copy of the request may exist on another host. The result is therefore NotRun only if
// the caller declared that this copy is the first, or if a recorded refusal stops every other copy.
func Classify(f Facts) Outcome {
	if f.Completed {
		return Ran
	}
	if f.BytesSent {
		return MayHaveRun
	}
	if f.RefusalRecorded {
		return NotRun
	}
	if f.FirstSend && !f.Claimed {
		return NotRun
	}
	return MayHaveRun
}
