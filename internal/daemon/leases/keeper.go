package leases

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/lease"
	"waxwingplank/internal/core/storage"
)

// Config configures a Keeper.
type Config struct {
	Store  Store
	System lease.Config
	Log    logrus.FieldLogger
	// CallTimeout bounds one call to the object API, which answers in milliseconds; zero means 500 ms.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = 500 * time.Millisecond
	// maxWait is the longest time between two ticks, as for every loop of the daemon.
	maxWait = 50 * time.Millisecond
	// queuedEvents is more than the leases a host asks for, so callers do not wait for the loop.
	queuedEvents = 128
)

// grant is what the loop last said about a lease.
type grant struct {
	fence int64
	until time.Time
}

// Keeper acquires and renews the leases that this host asks for.
type Keeper struct {
	cfg    Config
	system *lease.System
	inbox  chan message
	done   chan struct{}
	calls  sync.WaitGroup
	names  map[string]bool
	idle   []chan struct{}

	mu     sync.Mutex
	grants map[string]grant
}

// message is an event for the loop, or a request to release everything and close idle afterwards.
type message struct {
	event lease.Event
	hold  string
	idle  chan struct{}
}

// New returns a Keeper; it acquires leases while Run runs.
func New(cfg Config) *Keeper {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Keeper{
		cfg:    cfg,
		system: lease.New(cfg.System),
		inbox:  make(chan message, queuedEvents),
		done:   make(chan struct{}),
		names:  map[string]bool{},
		grants: map[string]grant{},
	}
}

// Hold asks to acquire the lease and to keep it.
func (k *Keeper) Hold(name string) {
	k.send(message{event: lease.NewHoldRequested(name), hold: name})
}

// Release gives one lease back; the orders under it must have ended before. Hold asks for it again.
func (k *Keeper) Release(name string) {
	k.send(message{event: lease.NewReleaseRequested(name)})
}

// Held returns the fencing number if this host may act under the lease now. The clock is read here,
// so the answer is right even where the loop did not run for a while.
func (k *Keeper) Held(name string) (fence int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, ok := k.grants[name]
	if !ok || !time.Now().Before(g.until) {
		return 0, false
	}
	return g.fence, true
}

// ReleaseAll gives every lease back and returns once the objects say so. The orders of this host
// must have ended before, since the next holder does not wait for a lease that was given back.
func (k *Keeper) ReleaseAll(ctx context.Context) error {
	idle := make(chan struct{})
	if !k.send(message{idle: idle}) {
		return eris.New("leases.ReleaseAll: keeper has stopped")
	}
	select {
	case <-idle:
		return nil
	case <-k.done:
		return eris.New("leases.ReleaseAll: keeper has stopped")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "leases.ReleaseAll: wait for the writes")
	}
}

// Run owns the lease system until ctx ends; it returns after its last call has ended. Leases that
// were not given back run out.
func (k *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for ctx.Err() == nil {
		var events []lease.Event
		select {
		case m := <-k.inbox:
			events = k.take(m)
		case <-timer.C:
		case <-ctx.Done():
		}
		now := time.Now()
		for _, d := range k.system.Tick(now, events) {
			k.carryOut(context.WithoutCancel(ctx), d)
		}
		if len(k.idle) > 0 && k.system.Idle() {
			for _, c := range k.idle {
				close(c)
			}
			k.idle = nil
		}
		timer.Reset(k.wait(now))
	}
	close(k.done)
	k.mu.Lock()
	clear(k.grants)
	k.mu.Unlock()
	k.calls.Wait()
}

func (k *Keeper) wait(now time.Time) time.Duration {
	next := k.system.Next()
	if next.IsZero() {
		return maxWait
	}
	return min(max(next.Sub(now), 0), maxWait)
}

func (k *Keeper) take(m message) []lease.Event {
	if m.idle == nil {
		if m.hold != "" {
			k.names[m.hold] = true
		}
		return []lease.Event{m.event}
	}
	k.idle = append(k.idle, m.idle)
	var events []lease.Event
	for name := range k.names {
		events = append(events, lease.NewReleaseRequested(name))
	}
	return events
}

func (k *Keeper) send(m message) bool {
	select {
	case <-k.done:
		return false
	default:
	}
	select {
	case k.inbox <- m:
		return true
	case <-k.done:
		return false
	}
}

func (k *Keeper) carryOut(ctx context.Context, d lease.Decision) {
	switch d := d.(type) {
	case lease.Changed:
		k.changed(d)
	case lease.ReadLease:
		k.call(ctx, func(ctx context.Context) lease.Event {
			value, version, err := k.cfg.Store.Get(ctx, Kind, d.Name())
			status := k.ended(err, d.Name())
			return lease.NewObjectRead(d.Name(), lease.CallResult{Status: status, Version: version, Value: value})
		})
	case lease.WriteLease:
		k.call(ctx, func(ctx context.Context) lease.Event {
			version, err := k.cfg.Store.Put(ctx, Kind, d.Name(), d.Expected(), d.Value())
			return lease.NewObjectWritten(d.Name(), lease.CallResult{Status: k.ended(err, d.Name()), Version: version})
		})
	}
}

func (k *Keeper) changed(d lease.Changed) {
	k.mu.Lock()
	_, before := k.grants[d.Name()]
	held := d.State() == lease.Held
	if held {
		k.grants[d.Name()] = grant{fence: d.Fence(), until: d.Until()}
	} else {
		delete(k.grants, d.Name())
	}
	k.mu.Unlock()
	if before != held {
		k.cfg.Log.WithFields(logrus.Fields{"lease": d.Name(), "state": d.State(), "fence": d.Fence()}).Info("lease changed")
	}
}

// call runs one call to the object API in its own goroutine, which Run waits for.
func (k *Keeper) call(ctx context.Context, f func(context.Context) lease.Event) {
	k.calls.Add(1)
	go func() {
		defer k.calls.Done()
		callCtx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
		defer cancel()
		k.send(message{event: f(callCtx)})
	}()
}

func (k *Keeper) ended(err error, name string) storage.Status {
	status := storage.StatusOf(err)
	if status == storage.Unavailable || status == storage.Unknown {
		k.cfg.Log.WithError(err).WithField("object", Kind+"/"+name).Warn("object API call failed")
	}
	return status
}
