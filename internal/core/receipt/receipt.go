package receipt

import "waxwingplank/internal/core/table"

// Verdict is the decision on a token.
type Verdict string

// The verdicts on a token.
const (
	// Deliver accepts the token and advances the position.
	Deliver Verdict = "deliver"
	// Drop discards the token and counts it; the attempt continues.
	Drop Verdict = "drop"
	// Fail discards the token and ends the attempt.
	Fail Verdict = "fail"
)

// Fault is the reason for a verdict other than Deliver.
type Fault string

// The faults of a receipt.
const (
	NoFault           Fault = ""
	ForeignStream     Fault = "foreign_stream"
	StaleAttempt      Fault = "stale_attempt"
	FutureAttempt     Fault = "future_attempt"
	PositionDelivered Fault = "position_delivered"
	PositionSkipped   Fault = "position_skipped"
	LayerGap          Fault = "layer_gap"
	LayerOverlap      Fault = "layer_overlap"
	LayersIncomplete  Fault = "layers_incomplete"
)

// Config describes a receipt as received from an engine.
type Config struct {
	Stream   table.StreamID
	Attempt  int
	Position int
	Layers   []table.Layers
}

// Receipt records which attempt produced a token and which layers ran for it.
type Receipt struct {
	stream   table.StreamID
	attempt  int
	position int
	layers   []table.Layers
}

// New returns a receipt; the layers are not copied.
func New(cfg Config) Receipt {
	return Receipt{stream: cfg.Stream, attempt: cfg.Attempt, position: cfg.Position, layers: cfg.Layers}
}

// CheckerConfig describes a Checker.
type CheckerConfig struct {
	Stream  table.StreamID
	Attempt int
	// Position is the first position to accept.
	Position int
	// Layers is the number of layers of the model.
	Layers int
}

// Checker checks the tokens of one stream. It is not safe for concurrent use: the stream's goroutine owns it.
type Checker struct {
	stream  table.StreamID
	attempt int
	next    int
	layers  int
	dropped int
	fault   Fault
}

// NewChecker returns a checker that expects the first position of the attempt.
func NewChecker(cfg CheckerConfig) *Checker {
	return &Checker{stream: cfg.Stream, attempt: cfg.Attempt, next: cfg.Position, layers: cfg.Layers}
}

// Accept checks the receipt of one token and returns the verdict.
//
// Stream and attempt are checked before the position, because a position of another stream has no meaning here.
// A receipt of another stream fails the attempt, because an engine that confuses streams may also have confused
// their state.
func (c *Checker) Accept(r Receipt) Verdict {
	if r.stream != c.stream {
		return c.fail(ForeignStream)
	}
	if r.attempt < c.attempt {
		return c.drop(StaleAttempt)
	}
	if r.attempt > c.attempt {
		return c.fail(FutureAttempt)
	}
	if r.position < c.next {
		return c.drop(PositionDelivered)
	}
	if r.position > c.next {
		return c.fail(PositionSkipped)
	}
	if f := checkCoverage(r.layers, c.layers); f != NoFault {
		return c.fail(f)
	}
	c.next++
	c.fault = NoFault
	return Deliver
}

// Restart starts a new attempt at the next position. It returns false and changes nothing unless the attempt
// number is higher than the current one.
func (c *Checker) Restart(attempt int) bool {
	if attempt <= c.attempt {
		return false
	}
	c.attempt = attempt
	c.fault = NoFault
	return true
}

// Position returns the next position to accept.
func (c *Checker) Position() int { return c.next }

// Attempt returns the current attempt.
func (c *Checker) Attempt() int { return c.attempt }

// Dropped returns the number of tokens dropped so far.
func (c *Checker) Dropped() int { return c.dropped }

// Fault returns the reason for the last verdict, or NoFault if the token was delivered.
func (c *Checker) Fault() Fault { return c.fault }

func (c *Checker) fail(f Fault) Verdict {
	c.fault = f
	return Fail
}

func (c *Checker) drop(f Fault) Verdict {
	c.fault = f
	c.dropped++
	return Drop
}

// checkCoverage checks that the ranges cover the layers 0 to n in order, without gaps or overlaps.
func checkCoverage(ranges []table.Layers, n int) Fault {
	next := 0
	for _, l := range ranges {
		if l.From > next {
			return LayerGap
		}
		if l.From < next {
			return LayerOverlap
		}
		if l.To <= l.From {
			return LayersIncomplete
		}
		next = l.To
	}
	if next != n {
		return LayersIncomplete
	}
	return NoFault
}
