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
	// permitTries bounds the conditional writes for one load; a conflict means that another service took or
	// gave back a permit, of which there are few.
	permitTries = 4
	// permitSlack is added to twice the time of a load before a permit that nobody gives back is dropped.
	permitSlack = 10 * time.Second
)

// permits shares the loads that the weight store allows at once between all services: one object lists the
// loads under way, and a conditional write takes or gives back one of them.
type permits struct {
	store Store
	clock func() time.Time

	mu sync.Mutex
	// seen is when this host first saw a permit of another load; clocks of hosts are never compared.
	seen map[string]time.Time
	// mine are the permits of this host and when they may be given back.
	mine map[string]time.Time
}

type permitEntry struct {
	Load    string `json:"load"`
	LastsMs int64  `json:"lasts_ms"`
}

type permitObject struct {
	Loads []permitEntry `json:"loads"`
}

func newPermits(store Store, clock func() time.Time) *permits {
	return &permits{store: store, clock: clock, seen: map[string]time.Time{}, mine: map[string]time.Time{}}
}

// take reports whether a load may begin now. A permit lasts as long as its load takes at the permit's part of
// the store's rate; permits of this host that have ended are given back with the same write.
func (l *permits) take(ctx context.Context, load string, bytes int64, limits [2]int64) bool {
	rate, atOnce := limits[0], limits[1]
	if rate < 1 || atOnce < 1 {
		return false
	}
	lasts := time.Duration(float64(bytes) * float64(atOnce) / float64(rate) * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	for range permitTries {
		o, version, err := l.read(ctx)
		if err != nil {
			return false
		}
		now := l.clock()
		o.Loads = slices.DeleteFunc(o.Loads, func(e permitEntry) bool { return l.ended(now, e) })
		if len(o.Loads) >= int(atOnce) {
			return false
		}
		o.Loads = append(o.Loads, permitEntry{Load: load, LastsMs: lasts.Milliseconds()})
		value, err := json.Marshal(o)
		if err != nil {
			return false
		}
		put, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = l.store.Put(put, permitKind, permitName, version, value)
		cancel()
		switch storage.StatusOf(err) {
		case storage.OK:
			l.mine[load] = now.Add(lasts)
			return true
		case storage.Conflict:
		default:
			// A permit that was taken without this host knowing is dropped by all hosts in time.
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

// ended reports whether a load is over: by this host's own clock for its own loads, and for others after
// more than twice their time since this host first saw them.
func (l *permits) ended(now time.Time, e permitEntry) bool {
	if until, ok := l.mine[e.Load]; ok {
		if now.Before(until) {
			return false
		}
		delete(l.mine, e.Load)
		return true
	}
	first, ok := l.seen[e.Load]
	if !ok {
		l.seen[e.Load] = now
		return false
	}
	if now.Sub(first) > 2*time.Duration(e.LastsMs)*time.Millisecond+permitSlack {
		delete(l.seen, e.Load)
		return true
	}
	return false
}
