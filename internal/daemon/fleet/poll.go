package fleet

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/endpoint/engine"
)

const (
	// loadEvery is the period of reading an engine: its load lags by about a second, and four reads that
	// fail show within 2 s that it is lost.
	loadEvery = 500 * time.Millisecond
	// keptEvents bounds the cache events kept for hosts that ask once a second.
	keptEvents = 512
	// maxLag bounds the age that a load report may have when it is read; more is a clock that differs.
	maxLag = 5 * time.Second
)

// reader reads one engine for all units of this host that contain it.
type reader struct {
	id       table.EndpointID
	address  string
	cache    bool
	services []*service
	wanted   bool
	busy     bool
	next     time.Time

	load     engine.Load
	measured time.Time
	has      bool
	failures int
	sequence uint64
	events   []routing.CacheEventConfig
}

func (r *reader) lost() bool { return r.failures >= lostAfter }

// poll returns the reads that are due, and forgets the engines that are no longer this host's to read.
func (f *Fleet) poll(ctx context.Context, now time.Time) []func() {
	for _, r := range f.readers {
		r.wanted, r.cache, r.services = false, false, r.services[:0]
	}
	for _, svc := range f.services {
		for _, u := range svc.units {
			if u.polls(now) {
				f.want(u)
			}
		}
	}
	var work []func()
	for id, r := range f.readers {
		if !r.wanted {
			delete(f.readers, id)
			continue
		}
		if r.busy || now.Before(r.next) {
			continue
		}
		r.busy = true
		r.next = now.Add(jitter(loadEvery))
		after, cache := r.sequence, r.cache
		work = append(work, func() { f.read(ctx, r, cache, after) })
	}
	return work
}

func (f *Fleet) want(u *unit) {
	for i, st := range u.pipeline.Stages() {
		r := f.readers[st.Endpoint()]
		if r == nil || r.address != st.Address() {
			r = &reader{id: st.Endpoint(), address: st.Address()}
			f.readers[r.id] = r
		}
		r.wanted = true
		// The first stage reports the prefixes for all stages.
		r.cache = r.cache || i == 0
		r.services = append(r.services, u.service)
	}
}

func (f *Fleet) read(ctx context.Context, r *reader, cache bool, after uint64) {
	load, err := f.cfg.Engines.Load(ctx, r.address)
	var events []engine.CacheEvent
	if err == nil && cache {
		events, _ = f.cfg.Engines.Events(ctx, r.address, after)
	}
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	f.wasRead(r, load, events, err)
	f.mu.Unlock()
	f.flush()
}

func (f *Fleet) wasRead(r *reader, load engine.Load, events []engine.CacheEvent, err error) {
	r.busy = false
	wasLost := r.lost()
	if err != nil {
		r.failures++
		if r.lost() && !wasLost {
			f.doubt(r)
			f.markLost()
		}
		return
	}
	r.failures = 0
	if r.has && load.Incarnation() != r.load.Incarnation() {
		r.sequence, r.events, events = 0, nil, nil
	}
	if wasLost || !r.has || load.Incarnation() != r.load.Incarnation() {
		f.doubt(r)
	}
	now := f.cfg.Clock()
	r.load, r.has, r.measured = load, true, load.MeasuredAt()
	if lag := now.Sub(r.measured); lag < 0 || lag > maxLag {
		r.measured = now.Add(-min(max(lag, 0), maxLag))
	}
	f.seen(r.id, load.Incarnation())
	fresh := r.keep(events)
	f.events = append(f.events, routing.NewLoad(r.config()))
	if len(fresh) > 0 {
		f.events = append(f.events, routing.NewCacheEvents(r.id, fresh))
	}
	if wasLost {
		f.markLost()
	}
}

func (r *reader) config() routing.LoadConfig {
	return routing.LoadConfig{
		Endpoint: r.id, Running: r.load.Running(), Queued: r.load.Queued(), Slots: r.load.Slots(),
		Step: r.load.Step(), MeasuredAt: r.measured,
	}
}

// keep remembers cache events for the hosts that ask, and returns the new ones.
func (r *reader) keep(events []engine.CacheEvent) []routing.CacheEventConfig {
	var fresh []routing.CacheEventConfig
	for _, e := range events {
		if e.Sequence() <= r.sequence {
			continue
		}
		r.sequence = e.Sequence()
		prefix, err := strconv.ParseUint(e.PrefixHash(), 16, 64)
		if err != nil {
			continue
		}
		kind := routing.CacheStored
		if e.Change() == engine.Evicted {
			kind = routing.CacheEvicted
		}
		fresh = append(fresh, routing.CacheEventConfig{Sequence: e.Sequence(), Kind: kind, Prefix: prefix})
	}
	r.events = append(r.events, fresh...)
	if extra := len(r.events) - keptEvents; extra > 0 {
		r.events = append(r.events[:0:0], r.events[extra:]...)
	}
	return fresh
}

// doubt tells the owners of the services that an engine restarted or stopped answering.
func (f *Fleet) doubt(r *reader) {
	for _, svc := range r.services {
		if svc.owned() {
			svc.doubt([]string{string(r.id)})
			continue
		}
		a := f.asker(svc.owner)
		a.doubtful[svc.id] = append(a.doubtful[svc.id], string(r.id))
	}
}

// markLost recomputes which units that this host polls have a lost stage.
func (f *Fleet) markLost() {
	now := f.cfg.Clock()
	for _, svc := range f.services {
		for _, u := range svc.units {
			if u.polls(now) {
				u.setLost(f.stageLost(u))
			}
		}
	}
}

func (f *Fleet) stageLost(u *unit) bool {
	for _, st := range u.pipeline.Stages() {
		if r := f.readers[st.Endpoint()]; r != nil && r.lost() {
			return true
		}
	}
	return false
}

func (u *unit) setLost(lost bool) {
	if u.lost == lost {
		return
	}
	u.lost = lost
	u.service.fleet.stale = true
}

// jitter spreads the reads of many hosts over the period.
func jitter(period time.Duration) time.Duration {
	return period*3/4 + rand.N(period/2)
}
