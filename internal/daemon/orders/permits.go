package orders

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"waxwingplank/internal/core/storage"
)

const (
	permitKind = "weight-loads"
	permitName = "permits"
	// permitAttempts limits the conditional writes for one load. Conflicts are rare: each means that another service
	// acquired or released one of the few permits.
	permitAttempts = 4
	// permitGrace is added to twice the duration of a load before a permit that was not released is dropped.
	permitGrace = 10 * time.Second
)

// permits limits the concurrent loads of all services to the number that the weight store allows. One object lists
// the loads in progress; each host updates it with conditional writes.
type permits struct {
	store Store
	clock func() time.Time

	mu sync.Mutex
	// firstSeen is when this host first saw each permit that is not in ownUntil. Clocks of hosts are never compared.
	firstSeen map[string]time.Time
	// ownUntil holds when each permit that this host acquired may be released.
	ownUntil map[string]time.Time
}

type permitEntry struct {
	Load       string `json:"load"`
	DurationMs int64  `json:"lasts_ms"`
}

type permitObject struct {
	Loads []permitEntry `json:"loads"`
}

func newPermits(store Store, clock func() time.Time) *permits {
	return &permits{store: store, clock: clock, firstSeen: map[string]time.Time{}, ownUntil: map[string]time.Time{}}
}

// acquire reports whether a load may start now. The duration of a permit is the time that its load takes at an equal
// share of the store's rate. The same write releases the expired permits of this host.
func (l *permits) acquire(ctx context.Context, load string, bytes int64, limits [2]int64) bool {
	rate, maxLoads := limits[0], limits[1]
	if rate < 1 || maxLoads < 1 {
		return false
	}
	duration := time.Duration(float64(bytes) * float64(maxLoads) / float64(rate) * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	for range permitAttempts {
		o, version, err := l.read(ctx)
		if err != nil {
			return false
		}
		now := l.clock()
		o.Loads = slices.DeleteFunc(o.Loads, func(e permitEntry) bool { return l.expired(now, e) })
		if len(o.Loads) >= int(maxLoads) {
			return false
		}
		o.Loads = append(o.Loads, permitEntry{Load: load, DurationMs: duration.Milliseconds()})
		value, err := json.Marshal(o)
		if err != nil {
			return false
		}
		put, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = l.store.Put(put, permitKind, permitName, version, value)
		cancel()
		switch storage.StatusOf(err) {
		case storage.OK:
			l.ownUntil[load] = now.Add(duration)
			return true
		case storage.Conflict:
		default:
			// The write may have taken effect. In that case each host drops the permit after it expires.
			return false
		}
	}
	return false
}

func (l *permits) read(ctx context.Context) (permitObject, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var o permitObject
	value, version, err := l.store.Get(ctx, permitKind, permitName)
	if storage.StatusOf(err) == storage.NotFound {
		return o, 0, nil
	}
	if err != nil {
		return o, 0, err
	}
	return o, version, json.Unmarshal(value, &o)
}

// expired reports whether a permit has expired. Permits in ownUntil expire at the end of their duration. Other
// permits expire after twice their duration plus permitGrace, counted from when this host first saw them.
func (l *permits) expired(now time.Time, e permitEntry) bool {
	if until, ok := l.ownUntil[e.Load]; ok {
		if now.Before(until) {
			return false
		}
		delete(l.ownUntil, e.Load)
		return true
	}
	first, ok := l.firstSeen[e.Load]
	if !ok {
		l.firstSeen[e.Load] = now
		return false
	}
	if now.Sub(first) > 2*time.Duration(e.DurationMs)*time.Millisecond+permitGrace {
		delete(l.firstSeen, e.Load)
		return true
	}
	return false
}
