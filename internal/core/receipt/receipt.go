package receipt

import "waxwingplank/internal/core/table"

// Verdict says what to do with a token.
type Verdict string

// The verdicts on a token.
const (
	// Deliver accepts the token; its position is used up.
	Deliver Verdict = "deliver"
	// Drop discards the token and counts it; the attempt goes on.
	Drop Verdict = "drop"
	// Fail discards the token and ends the attempt.
	Fail Verdict = "fail"
)

// Fault names the reason for a verdict other than deliver.
type Fault string

// The faults of a receipt.
const (
	NoFault          Fault = ""
	ForeignStream    Fault = "foreign_stream"
	StaleAttempt     Fault = "stale_attempt"
	FutureAttempt    Fault = "future_attempt"
	Delivered        Fault = "position_delivered"
	PositionSkipped  Fault = "position_skipped"
	LayerGap         Fault = "layer_gap"
	LayerOverlap     Fault = "layer_overlap"
	LayersIncomplete Fault = "layers_incomplete"
)

// Config describes a receipt as it came from an engine.
type Config struct {
	Stream   table.StreamID
	Attempt  int
	Position int
	Layers   []table.Layers
}

// Receipt states which attempt made a token and which layers ran for it.
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

// Checker accepts the tokens of one stream; the goroutine of the stream owns it.
type Checker struct {
	stream  table.StreamID
	attempt int
	next    int
	layers  int
	dropped int
	fault   Fault
}

// NewChecker returns a checker that waits for the first position of the attempt.
func NewChecker(cfg CheckerConfig) *Checker {
	return &Checker{stream: cfg.Stream, attempt: cfg.Attempt, next: cfg.Position, layers: cfg.Layers}
}

// Accept decides about one token.
//
// The identity is checked before the position, since a position of another stream means nothing here.
// A foreign stream fails the attempt: an engine that mixes up streams may have mixed up their state.
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
		return c.drop(Delivered)
	}
	if r.position > c.next {
		return c.fail(PositionSkipped)
	}
	if f := tile(r.layers, c.layers); f != NoFault {
		return c.fail(f)
	}
	c.next++
	c.fault = NoFault
	return Deliver
}

// Restart begins a higher attempt at the next position and reports false for an attempt that is not higher.
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

// Fault returns the reason for the last verdict.
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

// tile checks that the ranges cover layers 0 to n in order with no gap or overlap.
func tile(ranges []table.Layers, n int) Fault {
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
