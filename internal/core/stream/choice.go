package stream

import "time"

// Option is a recovery method with its estimated time.
type Option struct {
	method   Method
	estimate time.Duration
}

// Method returns the recovery method.
func (o Option) Method() Method { return o.method }

// Estimate returns the expected time to the next token.
func (o Option) Estimate() time.Duration { return o.estimate }

// recoveryOptions returns the possible recovery methods after a failed attempt, the fastest first.
//
// Continue and Import are not tried twice in a row without a new token in between. For Continue, the engines
// responded and still failed.
func (s *System) recoveryOptions(r *row, f FailedConfig) []Option {
	var all []Option
	if f.StagesRespond && (r.method != Continue || f.ProducedToken) {
		all = append(all, Option{Continue, s.cfg.RoundTrip})
	}
	context := r.open.PromptTokens + f.Position
	if f.CanExport && f.HasText && f.Position > 0 && (r.method != Import || f.ProducedToken) {
		bytes := float64(context) * float64(r.open.KVBytesPerToken)
		move := time.Duration(bytes / s.cfg.ExportBytesPerSecond * float64(time.Second))
		all = insertByEstimate(all, Option{Import, 2*s.cfg.RoundTrip + move})
	}
	compute := time.Duration(context) * s.cfg.PrefillPerToken
	method := Prefill
	if !f.HasText {
		method = Regenerate
	}
	return insertByEstimate(all, Option{method, s.cfg.RoundTrip + compute})
}

func insertByEstimate(all []Option, o Option) []Option {
	at := len(all)
	for at > 0 && o.estimate < all[at-1].estimate {
		at--
	}
	all = append(all, Option{})
	copy(all[at+1:], all[at:])
	all[at] = o
	return all
}
