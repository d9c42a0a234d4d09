package stream

import "time"

// Config describes a System; zero values are replaced by the defaults.
type Config struct {
	// MaxAttempts is the number of attempts of one stream on this host.
	MaxAttempts int
	// RoundTrip is the time to reach an engine and have it answer.
	RoundTrip time.Duration
	// PrefillPerToken is the time to recompute the state of one token.
	PrefillPerToken time.Duration
	// ExportBytesPerSecond is the rate at which KV cache moves between endpoints.
	ExportBytesPerSecond float64
	// PaceInterval is the time in which a survivor may take a quarter of its free slots.
	PaceInterval time.Duration
	// PaceShare is the part of a survivor's free slots that recoveries may take in one interval.
	PaceShare float64
}

const (
	// Two crashes quarantine a request, so further attempts only serve faults of links and hosts.
	defaultMaxAttempts = 8
	// Failure domains are well under 1 ms apart; an engine answers in a few ms under load.
	defaultRoundTrip = 5 * time.Millisecond
	// Assumed until the engine reports a speed: about 5,000 prompt tokens a second.
	defaultPrefillPerToken = 200 * time.Microsecond
	// Assumed until a link is measured: a tenth of a 10 Gbit/s link.
	defaultExportBytesPerSecond = 125e6
	// The design page sets a quarter of the free slots a second.
	defaultPaceInterval = time.Second
	defaultPaceShare    = 0.25
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
	if c.PaceInterval == 0 {
		c.PaceInterval = defaultPaceInterval
	}
	if c.PaceShare == 0 {
		c.PaceShare = defaultPaceShare
	}
	return c
}
