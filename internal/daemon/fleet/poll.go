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
	// loadInterval is the interval between reads of an engine. The load then lags by about a second, and four
	// failed reads detect a lost engine within 2 s.
	loadInterval = 500 * time.Millisecond
	// maxKeptEvents bounds the cache events stored for hosts that report once a second.
	maxKeptEvents = 512
	// maxLoadAge bounds the age of a load when it is read. A higher age means that the clocks differ.
	maxLoadAge = 5 * time.Second
)

// reader reads one engine for all units of this host that contain it.
type reader struct {
	id          table.EndpointID
	address     string
	readsEvents bool
	services    []*service
	needed      bool
	busy        bool
	next        time.Time

	load     engine.Load
	measured time.Time
	hasLoad  bool
	failures int
	sequence uint64
	events   []routing.CacheEventConfig
}

func (r *reader) lost() bool { return r.failures >= lostAfterFailures }

// dueReads returns the reads that are due, and drops the readers of engines that this host no longer polls.
func (f *Fleet) dueReads(ctx context.Context, now time.Time) []func() {
	for _, r := range f.readers {
		r.needed, r.readsEvents, r.services = false, false, r.services[:0]
	}
	for _, svc := range f.services {
		for _, u := range svc.units {
			if u.polls(now) {
				f.addReaders(u)
			}
		}
	}
	var work []func()
	for id, r := range f.readers {
		if !r.needed {
			delete(f.readers, id)
			continue
		}
		if r.busy || now.Before(r.next) {
			continue
		}
		r.busy = true
		r.next = now.Add(jitter(loadInterval))
		after, readsEvents := r.sequence, r.readsEvents
		work = append(work, func() { f.read(ctx, r, readsEvents, after) })
	}
	return work
}

func (f *Fleet) addReaders(u *unit) {
	for i, st := range u.pipeline.Stages() {
		r := f.readers[st.Endpoint()]
		if r == nil || r.address != st.Address() {
			r = &reader{id: st.Endpoint(), address: st.Address()}
			f.readers[r.id] = r
		}
		r.needed = true
		// The first stage reports the prefixes for all stages.
		r.readsEvents = r.readsEvents || i == 0
		r.services = append(r.services, u.service)
	}
}

func (f *Fleet) read(ctx context.Context, r *reader, readsEvents bool, after uint64) {
	load, err := f.cfg.Engines.Load(ctx, r.address)
	var events []engine.CacheEvent
	if err == nil && readsEvents {
		events, _ = f.cfg.Engines.Events(ctx, r.address, after)
	}
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	f.handleRead(r, load, events, err)
	f.mu.Unlock()
	f.flush()
}

func (f *Fleet) handleRead(r *reader, load engine.Load, events []engine.CacheEvent, err error) {
	r.busy = false
	wasLost := r.lost()
	if err != nil {
		f.journalMalformed(r.address, err)
		r.failures++
		if r.lost() && !wasLost {
			f.reportDoubtful(r)
			f.updateLostUnits()
		}
		return
	}
	r.failures = 0
	if r.hasLoad && load.Incarnation() != r.load.Incarnation() {
		r.sequence, r.events, events = 0, nil, nil
	}
	if wasLost || !r.hasLoad || load.Incarnation() != r.load.Incarnation() {
		f.reportDoubtful(r)
	}
	now := f.cfg.Clock()
	r.load, r.hasLoad, r.measured = load, true, load.MeasuredAt()
	if lag := now.Sub(r.measured); lag < 0 || lag > maxLoadAge {
		r.measured = now.Add(-min(max(lag, 0), maxLoadAge))
	}
	f.observeIncarnation(r.id, load.Incarnation())
	fresh := r.addEvents(events)
	f.events = append(f.events, routing.NewLoad(r.loadConfig()))
	if len(fresh) > 0 {
		f.events = append(f.events, routing.NewCacheEvents(r.id, fresh))
	}
	if wasLost {
		f.updateLostUnits()
	}
}

func (r *reader) loadConfig() routing.LoadConfig {
	return routing.LoadConfig{
		Endpoint: r.id, Running: r.load.Running(), Queued: r.load.Queued(), Slots: r.load.Slots(),
		Step: r.load.Step(), MeasuredAt: r.measured,
	}
}

// addEvents stores cache events for the hosts that report, and returns the new ones.
func (r *reader) addEvents(events []engine.CacheEvent) []routing.CacheEventConfig {
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
	if extra := len(r.events) - maxKeptEvents; extra > 0 {
		r.events = append(r.events[:0:0], r.events[extra:]...)
	}
	return fresh
}

// reportDoubtful notifies the owners of the services that an engine restarted, stopped responding or was read
// for the first time or again. The owners then read its description.
func (f *Fleet) reportDoubtful(r *reader) {
	for _, svc := range r.services {
		if svc.owned() {
			svc.scheduleDescribe([]string{string(r.id)})
			continue
		}
		rep := f.reporter(svc.owner)
		rep.doubtful[svc.id] = append(rep.doubtful[svc.id], string(r.id))
	}
}

// updateLostUnits recomputes which of the units that this host polls have a lost stage.
func (f *Fleet) updateLostUnits() {
	now := f.cfg.Clock()
	for _, svc := range f.services {
		for _, u := range svc.units {
			if u.polls(now) {
				u.setLost(f.hasLostStage(u))
			}
		}
	}
}

func (f *Fleet) hasLostStage(u *unit) bool {
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
	u.service.fleet.assignmentsStale = true
}

// jitter returns 3/4 to 5/4 of the period at random, which spreads the reads of many hosts over it.
func jitter(period time.Duration) time.Duration {
	return period*3/4 + rand.N(period/2)
}
