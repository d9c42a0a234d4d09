package retry

import "time"

const (
	// slots is the number of parts of the window, which slides in steps of a tenth.
	slots = 10
	// budgetMargin is the share of the budget that may be used. The reserve is needed since the window of the rule
	// slides continuously, while this one slides in steps.
	budgetMargin = 0.8
)

// Config describes a Budget.
type Config struct {
	// Window is the sliding window over which sends are counted.
	Window time.Duration
	// Ratio is the number of repeats that a service may get per request.
	Ratio float64
	// Slack is the number of repeats that all hosts together may send beyond the ratio.
	Slack float64
	// Began is when the process started. The repeats of the host's earlier process are not recorded, so the host
	// gets no share of the slack for one window. By then it also has an up-to-date count
	// of the hosts that share the slack.
	// Began is zero if there was no earlier process.
	Began time.Time
}

// Budget bounds the repeats that one host sends to one service in a window.
type Budget struct {
	cfg      Config
	requests [slots]float64
	repeats  [slots]float64
	slot     int64
	// origin is the time of the first use, from which slots are numbered.
	origin time.Time
}

// NewBudget returns an unused budget.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg} }

// SetConfig changes the configuration and keeps the counts. Counts of a window of another length cannot be kept, so
// the budget then starts like that of a new process.
func (b *Budget) SetConfig(now time.Time, cfg Config) {
	if cfg.Window != b.cfg.Window {
		cfg.Began = now
		*b = *NewBudget(cfg)
	}
	b.cfg = cfg
}

// Request counts a first send.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%slots]++
}

// TryConsume reports whether a repeat may be sent now, and counts it if so. The slack is shared by the given number of
// hosts.
func (b *Budget) TryConsume(now time.Time, hosts int) bool {
	if b.Remaining(now, hosts) < 1 {
		return false
	}
	b.repeats[b.slot%slots]++
	return true
}

// Remaining returns the number of repeats that may still be sent now.
func (b *Budget) Remaining(now time.Time, hosts int) float64 {
	b.advance(now)
	requests, repeats := 0.0, 0.0
	for i := range slots {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return budgetMargin*(requests*b.cfg.Ratio+b.slack(now, hosts)) - repeats
}

// slack returns this host's share of the slack.
func (b *Budget) slack(now time.Time, hosts int) float64 {
	if now.Sub(b.cfg.Began) < b.cfg.Window {
		return 0
	}
	return b.cfg.Slack / float64(max(hosts, 1))
}

func (b *Budget) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	// Sub uses the monotonic clock, so a change of the wall clock does not discard counts.
	slot := int64(now.Sub(b.origin) / (b.cfg.Window / slots))
	if slot-b.slot >= slots || slot < b.slot {
		b.requests, b.repeats = [slots]float64{}, [slots]float64{}
	} else {
		for s := b.slot + 1; s <= slot; s++ {
			b.requests[s%slots], b.repeats[s%slots] = 0, 0
		}
	}
	b.slot = slot
}
