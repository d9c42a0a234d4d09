package share

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/table"
)

// DefaultLifetime is how long a grant is valid. It is three times the interval of one second between
// divisions, so a host keeps its slots if two consecutive messages are lost.
const DefaultLifetime = 3 * time.Second

// LedgerConfig holds the settings of a Ledger.
type LedgerConfig struct {
	// Pipeline is the name of the pipeline. It determines which hosts the rounding of shares favours.
	Pipeline string
	// Lifetime of a grant; zero means DefaultLifetime.
	Lifetime time.Duration
	// Slack is the difference in slots up to which a grant stays unchanged; zero applies every change.
	Slack int
}

// Ledger records the grants that the owner of one pipeline has issued. It guarantees that the sum of all
// grants on which some host may still rely never exceeds the slots.
type Ledger struct {
	lifetime time.Duration
	slack    int
	phase    float64
	hosts    map[table.HostID]*hostGrant
}

type hostGrant struct {
	slots int
	// Larger grants issued earlier that have not expired.
	earlier []earlierGrant
	until   time.Time
}

type earlierGrant struct {
	slots int
	until time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = DefaultLifetime
	}
	return &Ledger{lifetime: cfg.Lifetime, slack: max(cfg.Slack, 0), phase: phase(cfg.Pipeline), hosts: map[table.HostID]*hostGrant{}}
}

// Lifetime returns how long a grant is valid after it was received.
func (l *Ledger) Lifetime() time.Duration { return l.lifetime }

// Update divides the slots again and returns the grants to send.
//
// A host that has not received a reduced grant may rely on the larger one until it expires. Slots are
// therefore granted to another host only after the larger grant has expired or Confirm was called for the
// reduced one.
func (l *Ledger) Update(now time.Time, slots int, demands []Demand) []Grant {
	grants := divide(slots, l.phase, demands)
	l.expire(now)
	for i := range grants {
		if e, ok := l.hosts[grants[i].host]; ok && abs(grants[i].slots-e.slots) <= l.slack && e.slots > 0 {
			grants[i].slots = e.slots
		}
	}
	used := 0
	for _, e := range l.hosts {
		used += e.reserved()
	}
	for i := range grants {
		g := &grants[i]
		e, ok := l.hosts[g.host]
		if !ok {
			e = &hostGrant{}
			l.hosts[g.host] = e
		}
		available := max(slots-used+e.reserved(), 0)
		g.slots = min(g.slots, available)
		used -= e.reserved()
		e.set(g.slots, now.Add(l.lifetime))
		used += e.reserved()
	}
	return grants
}

// RecordGrant records a grant that a host received from a previous owner and may rely on until the given time, so
// that a new owner does not grant the same slots to another host.
func (l *Ledger) RecordGrant(host table.HostID, slots int, until time.Time) {
	e, ok := l.hosts[host]
	if !ok {
		e = &hostGrant{}
		l.hosts[host] = e
	}
	e.earlier = append(e.earlier, earlierGrant{slots: slots, until: until})
}

// Confirm records that the host has applied its latest grant, which releases the slots of earlier grants.
func (l *Ledger) Confirm(host table.HostID) {
	if e, ok := l.hosts[host]; ok {
		e.earlier = nil
	}
}

func (l *Ledger) expire(now time.Time) {
	for id, e := range l.hosts {
		e.earlier = slices.DeleteFunc(e.earlier, func(p earlierGrant) bool { return !p.until.After(now) })
		if !e.until.After(now) && len(e.earlier) == 0 {
			delete(l.hosts, id)
		}
	}
}

// reserved returns the maximum number of slots on which the host may still rely.
func (e *hostGrant) reserved() int {
	n := e.slots
	for _, p := range e.earlier {
		n = max(n, p.slots)
	}
	return n
}

func (e *hostGrant) set(slots int, until time.Time) {
	if slots < e.slots {
		e.earlier = append(e.earlier, earlierGrant{slots: e.slots, until: e.until})
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
