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
func (k *Manager) Run(ctx context.Context) {
	callCtx := context.WithoutCancel(ctx)
	stopping := ctx.Done()
	var stopAt time.Time
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	var batch []claim.Event
	for {
		select {
		case m := <-k.inbox:
			batch = k.addMessage(batch, m)
		case <-timer.C:
		case <-stopping:
			stopping, stopAt = nil, time.Now().Add(stopTimeout)
		}
		batch = k.drainInbox(batch)
		now := time.Now()
		for _, d := range k.system.Tick(now, batch) {
			k.execute(callCtx, d)
		}
		batch = batch[:0]
		if !stopAt.IsZero() && (k.system.Idle() && len(k.inbox) == 0 || now.After(stopAt)) {
			break
		}
		timer.Reset(k.nextTickDelay(now))
	}
	// Calls in flight end at their own timeouts; their events are discarded.
	close(k.done)
	k.calls.Wait()
}

func (k *Manager) nextTickDelay(now time.Time) time.Duration {
	next := k.system.Next()
	if next.IsZero() {
		return maxTickInterval
	}
	return min(max(next.Sub(now), 0), maxTickInterval)
}

func (k *Manager) addMessage(batch []claim.Event, m message) []claim.Event {
	if m.result != nil {
		k.waiters[m.id] = m.result
	}
	return append(batch, m.event)
}

func (k *Manager) drainInbox(batch []claim.Event) []claim.Event {
	for {
		select {
		case m := <-k.inbox:
			batch = k.addMessage(batch, m)
		default:
			return batch
		}
	}
}

func (k *Manager) execute(ctx context.Context, d claim.Decision) {
	switch d := d.(type) {
	case claim.Resolve:
		// The channel buffers the only result of its request, so the send does not block.
		k.waiters[d.ID()] <- d.Result()
		delete(k.waiters, d.ID())
	case claim.ReadShard:
		k.call(ctx, func(ctx context.Context) claim.Event {
			return claim.NewShardRead(d.Shard(), k.get(ctx, ShardKind, strconv.Itoa(d.Shard())))
		})
	case claim.WriteShard:
		k.call(ctx, func(ctx context.Context) claim.Event {
			name := strconv.Itoa(d.Shard())
			return claim.NewShardWritten(d.Shard(), k.put(ctx, ShardKind, name, d.Expected(), d.Value()))
		})
	case claim.ReadSegment:
		k.call(ctx, func(ctx context.Context) claim.Event {
			return claim.NewSegmentRead(d.Shard(), d.Name(), k.get(ctx, SegmentKind, d.Name()))
		})
	case claim.WriteSegment:
		k.call(ctx, func(ctx context.Context) claim.Event {
			return claim.NewSegmentWritten(d.Shard(), k.put(ctx, SegmentKind, d.Name(), 0, d.Value()))
		})
	case claim.DeleteSegment:
		k.call(ctx, func(ctx context.Context) claim.Event {
			if err := k.cfg.Store.Delete(ctx, SegmentKind, d.Name()); err != nil {
				k.cfg.Log.WithError(err).WithField("segment", d.Name()).Warn("segment not deleted; a sweep will retry")
			}
			return nil
		})
	}
}

// call makes one call to the object API in a goroutine of its own; Run waits for it.
func (k *Manager) call(ctx context.Context, f func(context.Context) claim.Event) {
	k.calls.Add(1)
	go func() {
		defer k.calls.Done()
		k.slots <- struct{}{}
		defer func() { <-k.slots }()
		callCtx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
		defer cancel()
		if e := f(callCtx); e != nil {
			k.send(message{event: e})
		}
	}()
}

func (k *Manager) get(ctx context.Context, kind, name string) claim.CallConfig {
	value, version, err := k.cfg.Store.Get(ctx, kind, name)
	return k.withStatus(err, kind, name, claim.CallConfig{Version: version, Value: value})
}

func (k *Manager) put(ctx context.Context, kind, name string, expected int64, value []byte) claim.CallConfig {
	version, err := k.cfg.Store.Put(ctx, kind, name, expected, value)
	return k.withStatus(err, kind, name, claim.CallConfig{Version: version})
}

func (k *Manager) withStatus(err error, kind, name string, call claim.CallConfig) claim.CallConfig {
	call.Status = storage.StatusOf(err)
	if call.Status == storage.Unavailable || call.Status == storage.Unknown {
		k.cfg.Log.WithError(err).WithField("object", kind+"/"+name).Warn("object API call failed")
	}
	return call
}
