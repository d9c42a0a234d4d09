package share

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/table"
)

// DefaultLifetime is how long a grant holds. It is three times the interval of one second between
// divisions, so a host keeps its slots when two messages in a row are lost.
const DefaultLifetime = 3 * time.Second

// LedgerConfig describes a Ledger.
type LedgerConfig struct {
	// Pipeline is the name of the pipeline; it decides which hosts rounding favours.
	Pipeline string
	// Lifetime of a grant; zero means DefaultLifetime.
	Lifetime time.Duration
	// Slack is the change in slots that is not worth moving a grant for; zero moves every change.
	Slack int
}

// Ledger keeps the grants that the owner of one pipeline has given out, so that the sum of the grants
// that any host may still rely on never exceeds the slots.
type Ledger struct {
	lifetime time.Duration
	slack    int
	phase    float64
	held     map[table.HostID]*entry
}

type entry struct {
	slots int
	// The larger numbers of slots given earlier, until they expire.
	earlier []promise
	until   time.Time
}

type promise struct {
	slots int
	until time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = DefaultLifetime
	}
	return &Ledger{lifetime: cfg.Lifetime, slack: max(cfg.Slack, 0), phase: phase(cfg.Pipeline), held: map[table.HostID]*entry{}}
}

// Lifetime returns how long a grant holds after it was received.
func (l *Ledger) Lifetime() time.Duration { return l.lifetime }

// Update divides the slots anew and returns the grants to send.
//
// A host that has not heard of a smaller grant may rely on the larger one until its lifetime ends,
// so slots move to another host only after the earlier promise has expired or was confirmed by
// Confirm.
func (l *Ledger) Update(now time.Time, slots int, demands []Demand) []Grant {
	grants := divide(slots, l.phase, demands)
	l.expire(now)
	for i := range grants {
		if e, ok := l.held[grants[i].host]; ok && abs(grants[i].slots-e.slots) <= l.slack && e.slots > 0 {
			grants[i].slots = e.slots
		}
	}
	used := 0
	for _, e := range l.held {
		used += e.reserved()
	}
	for i := range grants {
		g := &grants[i]
		e, ok := l.held[g.host]
		if !ok {
			e = &entry{}
			l.held[g.host] = e
		}
		room := max(slots-used+e.reserved(), 0)
		g.slots = min(g.slots, room)
		used -= e.reserved()
		e.set(g.slots, now.Add(l.lifetime))
		used += e.reserved()
	}
	return grants
}

// Hold records a grant that a host had from an earlier owner and may rely on until the given time, so
// that a new owner does not give the same slots to another host.
func (l *Ledger) Hold(host table.HostID, slots int, until time.Time) {
	e, ok := l.held[host]
	if !ok {
		e = &entry{}
		l.held[host] = e
	}
	e.earlier = append(e.earlier, promise{slots: slots, until: until})
}

// Confirm records that the host has applied its latest grant, which frees what it held before.
func (l *Ledger) Confirm(host table.HostID) {
	if e, ok := l.held[host]; ok {
		e.earlier = nil
	}
}

func (l *Ledger) expire(now time.Time) {
	for id, e := range l.held {
		e.earlier = slices.DeleteFunc(e.earlier, func(p promise) bool { return !p.until.After(now) })
		if !e.until.After(now) && len(e.earlier) == 0 {
			delete(l.held, id)
		}
	}
}

// reserved returns the most slots that the host may still rely on.
func (e *entry) reserved() int {
	n := e.slots
	for _, p := range e.earlier {
		n = max(n, p.slots)
	}
	return n
}

func (e *entry) set(slots int, until time.Time) {
	if slots < e.slots {
		e.earlier = append(e.earlier, promise{slots: e.slots, until: e.until})
	}
	e.slots, e.until = slots, until
}

func phase(pipeline string) float64 {
	return float64(xxhash.Sum64String(pipeline)>>11) / (1 << 53)
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
