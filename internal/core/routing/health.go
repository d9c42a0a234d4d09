package routing

import "time"

// ewma is an exponentially weighted moving average; the zero value has no sample.
type ewma struct {
	value float64
	valid bool
}

func (e *ewma) set(v float64) { e.value, e.valid = v, true }

func (e *ewma) add(v, weight float64) {
	if !e.valid {
		e.set(v)
		return
	}
	e.value += weight * (v - e.value)
}

// ratio returns the average divided by the other average, or 1 where either has no sample.
func (e *ewma) ratio(other ewma) float64 {
	if !e.valid || !other.valid || other.value <= 0 {
		return 1
	}
	return e.value / other.value
}

func (e *ewma) valueOr(other float64) float64 {
	if e.valid {
		return e.value
	}
	return other
}

// health is the fraction of its normal load that an endpoint or pipeline receives, between 0 and 1.
type health struct{ v float64 }

const (
	// failureFactor halves the health at each failed attempt: after three failures an eighth is left.
	failureFactor = 0.5
	// successFactor doubles the health at each success, so that a successful probe restores a part of the
	// load.
	successFactor = 2
	// minHealth is the lower bound of the health. From it six successes in a row restore full health.
	minHealth = 1.0 / 64
	// minProbeInterval is the minimum time between the single requests that probe an endpoint whose health
	// leaves it no slot.
	minProbeInterval = time.Second
	// maxProbeInterval bounds how long a host may leave a recovered pipeline unused.
	maxProbeInterval = 8 * time.Second
	// degradedThreshold is the health below which the pool guard counts a target as degraded.
	degradedThreshold = 0.5
	// slowThreshold is the ratio of the token interval to the pipeline's own baseline up to which load alone
	// explains the slowdown.
	slowThreshold = 2.0
	// intervalWeight averages over about the last ten samples.
	intervalWeight = 0.1
	// baselineWeight averages over about 500 samples, so that a fault does not quickly become the baseline.
	baselineWeight = 0.002
)

func newHealth() health { return health{v: 1} }

func (h *health) value() float64 { return h.v }

func (h *health) recordFailure() { h.v = max(minHealth, h.v*failureFactor) }

func (h *health) recordSuccess() { h.v = min(1, h.v*successFactor) }
