package outcome

// Outcome tells a caller what is known about the execution of its request.
type Outcome string

// The outcomes of a request.
const (
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Ran        Outcome = "ran"
)

// Facts is what a host knows about one copy of a request when it ends without a whole answer.
type Facts struct {
	// BytesSent is true as soon as a byte of the request may have reached an endpoint.
	BytesSent bool
	// Completed is true where the endpoint reported that it had completed the work.
	Completed bool
	// FirstSend is true where the caller declared this copy to be the first.
	FirstSend bool
	// RefusalRecorded is true where a refusal stands under the key in its claim shard.
	RefusalRecorded bool
	// Claimed is true where a claim for the key exists or may exist in its claim shard.
	Claimed bool
}

// Classify returns the strongest statement that the facts allow.
//
// Another copy of the request may live on another host, so "not run" needs the caller's word that
// this copy is the first, or a recorded refusal that stops any other copy.
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
