package claims

import (
	"context"
	"strconv"
	"time"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/storage"
)

// Run runs the claim system until ctx ends. It then writes pending records for up to 2 s and returns after its last
// call to the object API has ended.
func (m *Manager) Run(ctx context.Context) {
	callCtx := context.WithoutCancel(ctx)
	stopping := ctx.Done()
	var stopAt time.Time
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	var batch []claim.Event
	for {
		select {
		case msg := <-m.inbox:
			batch = m.addMessage(batch, msg)
		case <-timer.C:
		case <-stopping:
			stopping, stopAt = nil, time.Now().Add(stopTimeout)
		}
		batch = m.drainInbox(batch)
		now := time.Now()
		for _, d := range m.system.Tick(now, batch) {
			m.execute(callCtx, d)
		}
		batch = batch[:0]
		if !stopAt.IsZero() && (m.system.Idle() && len(m.inbox) == 0 || now.After(stopAt)) {
			break
		}
		timer.Reset(m.nextTickDelay(now))
	}
	// Calls in flight end at their own timeouts; their events are discarded.
	close(m.done)
	m.calls.Wait()
}

func (m *Manager) nextTickDelay(now time.Time) time.Duration {
	next := m.system.Next()
	if next.IsZero() {
		return maxTickInterval
	}
	return min(max(next.Sub(now), 0), maxTickInterval)
}

func (m *Manager) addMessage(batch []claim.Event, msg message) []claim.Event {
	if msg.result != nil {
		m.waiters[msg.id] = msg.result
	}
	return append(batch, msg.event)
}

func (m *Manager) drainInbox(batch []claim.Event) []claim.Event {
	for {
		select {
		case msg := <-m.inbox:
			batch = m.addMessage(batch, msg)
		default:
			return batch
		}
	}
}

func (m *Manager) execute(ctx context.Context, d claim.Decision) {
	switch d := d.(type) {
	case claim.Resolve:
		// The channel buffers the only result of its request, so the send does not block.
		m.waiters[d.ID()] <- d.Result()
		delete(m.waiters, d.ID())
	case claim.ReadShard:
		m.call(ctx, func(ctx context.Context) claim.Event {
			return claim.NewShardRead(d.Shard(), m.get(ctx, ShardKind, strconv.Itoa(d.Shard())))
		})
	case claim.WriteShard:
		m.call(ctx, func(ctx context.Context) claim.Event {
			name := strconv.Itoa(d.Shard())
			return claim.NewShardWritten(d.Shard(), m.put(ctx, ShardKind, name, d.Expected(), d.Value()))
		})
	case claim.ReadSegment:
		m.call(ctx, func(ctx context.Context) claim.Event {
			return claim.NewSegmentRead(d.Shard(), d.Name(), m.get(ctx, SegmentKind, d.Name()))
		})
	case claim.WriteSegment:
		m.call(ctx, func(ctx context.Context) claim.Event {
			return claim.NewSegmentWritten(d.Shard(), m.put(ctx, SegmentKind, d.Name(), 0, d.Value()))
		})
	case claim.DeleteSegment:
		m.call(ctx, func(ctx context.Context) claim.Event {
			if err := m.cfg.Store.Delete(ctx, SegmentKind, d.Name()); err != nil {
				m.cfg.Log.WithError(err).WithField("segment", d.Name()).Warn("segment not deleted; a sweep will retry")
			}
			return nil
		})
	}
}

// call makes one call to the object API in a goroutine of its own; Run waits for it.
func (m *Manager) call(ctx context.Context, f func(context.Context) claim.Event) {
	m.calls.Add(1)
	go func() {
		defer m.calls.Done()
		m.slots <- struct{}{}
		defer func() { <-m.slots }()
		callCtx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
		defer cancel()
		if e := f(callCtx); e != nil {
			m.send(message{event: e})
		}
	}()
}

func (m *Manager) get(ctx context.Context, kind, name string) claim.CallConfig {
	value, version, err := m.cfg.Store.Get(ctx, kind, name)
	return m.withStatus(err, kind, name, claim.CallConfig{Version: version, Value: value})
}

func (m *Manager) put(ctx context.Context, kind, name string, expected int64, value []byte) claim.CallConfig {
	version, err := m.cfg.Store.Put(ctx, kind, name, expected, value)
	return m.withStatus(err, kind, name, claim.CallConfig{Version: version})
}

func (m *Manager) withStatus(err error, kind, name string, call claim.CallConfig) claim.CallConfig {
	call.Status = storage.StatusOf(err)
	if call.Status == storage.Unavailable || call.Status == storage.Unknown {
		m.cfg.Log.WithError(err).WithField("object", kind+"/"+name).Warn("object API call failed")
	}
	return call
}
