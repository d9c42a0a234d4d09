package routing

import "time"

// ewma is an exponentially weighted mean; the zero value has no sample.
type ewma struct {
	v  float64
	ok bool
}

func (e *ewma) set(v float64) { e.v, e.ok = v, true }

func (e *ewma) add(v, weight float64) {
	if !e.ok {
		e.set(v)
		return
	}
	e.v += weight * (v - e.v)
}

// ratio returns the mean in relation to another mean, or 1 where either is unknown.
func (e *ewma) ratio(other ewma) float64 {
	if !e.ok || !other.ok || other.v <= 0 {
		return 1
	}
	return e.v / other.v
}

func (e *ewma) or(other float64) float64 {
	if e.ok {
		return e.v
	}
	return other
}

// health is the part of its work that an endpoint or pipeline keeps, between 0 and 1.
type health struct{ v float64 }

const (
	// healthLoss halves the work at each failed attempt: three failures leave an eighth.
	healthLoss = 0.5
	// healthGain doubles the work at each success, so that a probe that succeeds brings back a little.
	healthGain = 2
	// healthFloor is the least value, from which six successes in a row restore the whole.
	healthFloor = 1.0 / 64
	// probeInterval spaces the single requests that go to an endpoint with no work left.
	probeInterval = time.Second
	// maxProbeInterval bounds how long a restored pipeline may stay unused by a host.
	maxProbeInterval = 8 * time.Second
	// degradedBelow is the health under which an endpoint counts as bad for the pool guard.
	degradedBelow = 0.5
	// slowRatio is the excess of the token interval over the pipeline's own baseline that is still
	// explained by load.
	slowRatio = 2.0
	// intervalWeight makes an average of about the last ten samples.
	intervalWeight = 0.1
	// baselineWeight makes an average over about 500 samples, so a fault does not become the norm at once.
	baselineWeight = 0.002
)

func newHealth() health { return health{v: 1} }

func (h *health) value() float64 { return h.v }

func (h *health) fail() { h.v = max(healthFloor, h.v*healthLoss) }

func (h *health) succeed() { h.v = min(1, h.v*healthGain) }
