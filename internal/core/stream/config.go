package stream

import "time"

// Config describes a System; zero values are replaced by the defaults.
type Config struct {
	// MaxAttempts is the maximum number of attempts of one stream on this host.
	MaxAttempts int
	// RoundTrip is the time for a request to an engine and its response.
	RoundTrip time.Duration
	// PrefillPerToken is the time to recompute the state of one token.
	PrefillPerToken time.Duration
	// ExportBytesPerSecond is the rate at which KV cache is transferred between endpoints.
	ExportBytesPerSecond float64
	// RecoveryInterval is the interval to which RecoveryShare applies.
	RecoveryInterval time.Duration
	// RecoveryShare is the share of an endpoint's free slots that recoveries may take in one RecoveryInterval.
	RecoveryShare float64
}

const (
	// Two crashes quarantine a request, so further attempts only help with faults of links and hosts.
	defaultMaxAttempts = 8
	// Failure domains are well under 1 ms apart; an engine responds within a few ms under load.
	defaultRoundTrip = 5 * time.Millisecond
	// Assumed until the engine reports a speed: about 5,000 prompt tokens per second.
	defaultPrefillPerToken = 200 * time.Microsecond
	// Assumed until a link is measured: a tenth of a 10 Gbit/s link.
	defaultExportBytesPerSecond = 125e6
	// The design page specifies a quarter of the free slots per second.
	defaultRecoveryInterval = time.Second
	defaultRecoveryShare    = 0.25
)

func (c Config) withDefaults() Config {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.RoundTrip == 0 {
		c.RoundTrip = defaultRoundTrip
	}
	if c.PrefillPerToken == 0 {
		c.PrefillPerToken = defaultPrefillPerToken
	}
	if c.ExportBytesPerSecond == 0 {
		c.ExportBytesPerSecond = defaultExportBytesPerSecond
	}
	if c.RecoveryInterval == 0 {
		c.RecoveryInterval = defaultRecoveryInterval
	}
	if c.RecoveryShare == 0 {
		c.RecoveryShare = defaultRecoveryShare
	}
	return c
}
