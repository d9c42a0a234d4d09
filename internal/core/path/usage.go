package path

import (
	"math"
	"strings"
	"time"

	"waxwingplank/internal/core/limit"
)

// Load is the load of streams on one worker.
type Load struct {
	// MemoryUsed is the memory in use, in tokens x layers.
	MemoryUsed float64 `json:"c"`
	Streams    int     `json:"n"`
}

// Usage is the load of streams on the workers and on the links between domains.
type Usage struct {
	Workers map[string]Load `json:"workers,omitempty"`
	// LinkRates holds the bytes per second over the link between two domains.
	LinkRates map[string]float64 `json:"pipes,omitempty"`
	// Refusing holds the time in ms for which workers that refused requests of these hosts remain excluded. It
	// leaves out the refusals that peers reported, since hosts would otherwise report them to each other
	// endlessly.
	Refusing map[string]int64 `json:"refusing,omitempty"`
	// Slowdowns holds the slowdowns that workers reported to these hosts.
	Slowdowns map[string]float64 `json:"paces,omitempty"`
	// Limits holds the latest statements of endpoints of all services to these hosts on their limits.
	Limits map[string]limit.Report `json:"limits,omitempty"`
}

// NewUsage returns an empty usage.
func NewUsage() Usage {
	return Usage{Workers: map[string]Load{}, LinkRates: map[string]float64{}, Refusing: map[string]int64{}, Slowdowns: map[string]float64{}, Limits: map[string]limit.Report{}}
}

// Add adds another usage to u. Times and slowdowns are combined by their maximum; of two statements on a limit, the later one
// counts.
func (u Usage) Add(other Usage) { u.AddAged(other, 0) }

// AddAged adds a usage that was measured age ago. The times for which refusing workers remain excluded are shorter by
// the age.
func (u Usage) AddAged(other Usage, age time.Duration) {
	for id, l := range other.Workers {
		t := u.Workers[id]
		u.Workers[id] = Load{MemoryUsed: t.MemoryUsed + l.MemoryUsed, Streams: t.Streams + l.Streams}
	}
	for name, rate := range other.LinkRates {
		u.LinkRates[name] += rate
	}
	for id, left := range other.Refusing {
		if left -= age.Milliseconds(); left > 0 {
			u.Refusing[id] = max(u.Refusing[id], left)
		}
	}
	for id, slowdown := range other.Slowdowns {
		u.Slowdowns[id] = max(u.Slowdowns[id], slowdown)
	}
	for id, r := range other.Limits {
		r.AgeMs += age.Milliseconds()
		if known, ok := u.Limits[id]; !ok || r.AgeMs < known.AgeMs {
			u.Limits[id] = r
		}
	}
}

func (p domainPair) name() string { return strings.Join([]string{p.a, p.b}, "|") }

// Usage adds the load of this host's streams to u.
func (s *System) Usage(now time.Time, u Usage) {
	for id, w := range s.workers {
		if w.streams > 0 {
			u.Workers[id] = Load{MemoryUsed: math.Round(w.used), Streams: w.streams}
		}
		if left := w.refusedUntil.Sub(now).Milliseconds(); left > 0 {
			u.Refusing[id] = left
		}
		if w.ownSlowdown > 1 {
			u.Slowdowns[id] = w.ownSlowdown
		}
	}
	for key, l := range s.domainLinks {
		if rate := math.Round(l.decayedBytes(now) / linkWindow.Seconds()); rate > 0 {
			u.LinkRates[key.name()] += rate
		}
	}
}

// SetPeerUsage replaces the usage of all other hosts; peers is their number.
func (s *System) SetPeerUsage(now time.Time, u Usage, peers int) {
	s.peers, s.peerCount = min(peers, maxExtrapolated), peers
	s.peerLinkRates, s.peersReportedAt = u.LinkRates, now
	for _, l := range s.domainLinks {
		l.addedBytes = 0
	}
	for id, w := range s.workers {
		w.peerUsed, w.peerStreams = u.Workers[id].MemoryUsed, u.Workers[id].Streams
		w.addedUsed, w.addedStreams = 0, 0
		if reported, ok := u.Slowdowns[id]; ok {
			w.peerSlowdown, w.peerSlowdownAt = reported, now
		} else {
			w.peerSlowdown = 1
		}
		w.peerRefusedUntil = now.Add(time.Duration(u.Refusing[id]) * time.Millisecond)
	}
}
