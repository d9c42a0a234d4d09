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

// Config configures a Manager.
type Config struct {
	Store  Store
	System lease.Config
	Log    logrus.FieldLogger
	// CallTimeout limits one call to the object API, which normally responds within milliseconds. Zero means 500 ms.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = 500 * time.Millisecond
	// maxTickInterval is the longest interval between two ticks, as in every loop of the daemon.
	maxTickInterval = 50 * time.Millisecond
	// inboxSize is larger than the number of leases that a host requests, so callers do not block on the loop.
	inboxSize = 128
)

// grant is the fencing number and end time of a held lease, as last set by the loop.
type grant struct {
	fence int64
	until time.Time
}

// Manager acquires and renews the leases that this host requests.
type Manager struct {
	cfg    Config
	system *lease.System
	inbox  chan message
	done   chan struct{}
	calls  sync.WaitGroup
	// requested holds each lease that was ever requested.
	requested map[string]bool
	// idleWaiters are closed once no call or release is in progress.
	idleWaiters []chan struct{}

	mu     sync.Mutex
	grants map[string]grant
}

// message is an event for the loop. If idle is set, it is a request to release all leases and then close idle.
type message struct {
	event lease.Event
	hold  string
	idle  chan struct{}
}

// New returns a Manager, which acquires leases while Run runs.
func New(cfg Config) *Manager {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Manager{
		cfg:       cfg,
		system:    lease.New(cfg.System),
		inbox:     make(chan message, inboxSize),
		done:      make(chan struct{}),
		requested: map[string]bool{},
		grants:    map[string]grant{},
	}
}

// Hold requests that the lease is acquired and renewed until it is released.
func (m *Manager) Hold(name string) {
	m.send(message{event: lease.NewHoldRequested(name), hold: name})
}

// Release releases one lease. The orders under it must have ended before. Hold requests it again.
func (m *Manager) Release(name string) {
	m.send(message{event: lease.NewReleaseRequested(name)})
}

// Held returns the fencing number if this host holds the lease now. It reads the clock itself, so the result is
// correct even if the loop did not run for a while.
func (m *Manager) Held(name string) (fence int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.grants[name]
	if !ok || !time.Now().Before(g.until) {
		return 0, false
	}
	return g.fence, true
}

// ReleaseAll releases all leases and returns once the releases are written to the lease objects. The orders of this
// host must have ended before, since the next holder does not wait after a lease that was released.
func (m *Manager) ReleaseAll(ctx context.Context) error {
	idle := make(chan struct{})
	if !m.send(message{idle: idle}) {
		return eris.New("leases.ReleaseAll: keeper has stopped")
	}
	select {
	case <-idle:
		return nil
	case <-m.done:
		return eris.New("leases.ReleaseAll: keeper has stopped")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "leases.ReleaseAll: wait for the writes")
	}
}

// Run owns the lease system until ctx ends. It returns after its last call has ended. Leases that were not released
// expire.
func (m *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		var events []lease.Event
		select {
		case msg := <-m.inbox:
			events = m.accept(msg)
		case <-timer.C:
		case <-ctx.Done():
		}
		now := time.Now()
		for _, d := range m.system.Tick(now, events) {
			m.execute(context.WithoutCancel(ctx), d)
		}
		if len(m.idleWaiters) > 0 && m.system.Idle() {
			for _, c := range m.idleWaiters {
				close(c)
			}
			m.idleWaiters = nil
		}
		timer.Reset(m.nextTickDelay(now))
	}
	close(m.done)
	m.mu.Lock()
	clear(m.grants)
	m.mu.Unlock()
	m.calls.Wait()
}

func (m *Manager) nextTickDelay(now time.Time) time.Duration {
	next := m.system.Next()
	if next.IsZero() {
		return maxTickInterval
	}
	return min(max(next.Sub(now), 0), maxTickInterval)
}

func (m *Manager) accept(msg message) []lease.Event {
	if msg.idle == nil {
		if msg.hold != "" {
			m.requested[msg.hold] = true
		}
		return []lease.Event{msg.event}
	}
	m.idleWaiters = append(m.idleWaiters, msg.idle)
	var events []lease.Event
	for name := range m.requested {
		events = append(events, lease.NewReleaseRequested(name))
	}
	return events
}

func (m *Manager) send(msg message) bool {
	select {
	case <-m.done:
		return false
	default:
	}
	select {
	case m.inbox <- msg:
		return true
	case <-m.done:
		return false
	}
}

func (m *Manager) execute(ctx context.Context, d lease.Decision) {
	switch d := d.(type) {
	case lease.Changed:
		m.applyChange(d)
	case lease.ReadLease:
		m.call(ctx, func(ctx context.Context) lease.Event {
			value, version, err := m.cfg.Store.Get(ctx, Kind, d.Name())
			status := m.callStatus(err, d.Name())
			return lease.NewObjectRead(d.Name(), lease.CallResult{Status: status, Version: version, Value: value})
		})
	case lease.WriteLease:
		m.call(ctx, func(ctx context.Context) lease.Event {
			version, err := m.cfg.Store.Put(ctx, Kind, d.Name(), d.Expected(), d.Value())
			return lease.NewObjectWritten(d.Name(), lease.CallResult{Status: m.callStatus(err, d.Name()), Version: version})
		})
	}
}

func (m *Manager) applyChange(d lease.Changed) {
	m.mu.Lock()
	_, before := m.grants[d.Name()]
	held := d.State() == lease.Held
	if held {
		m.grants[d.Name()] = grant{fence: d.Fence(), until: d.Until()}
	} else {
		delete(m.grants, d.Name())
	}
	m.mu.Unlock()
	if before != held {
		m.cfg.Log.WithFields(logrus.Fields{"lease": d.Name(), "state": d.State(), "fence": d.Fence()}).Info("lease changed")
	}
}

// call runs one call to the object API in a goroutine of its own. Run waits for it before it returns.
func (m *Manager) call(ctx context.Context, f func(context.Context) lease.Event) {
	m.calls.Add(1)
	go func() {
		defer m.calls.Done()
		callCtx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
		defer cancel()
		m.send(message{event: f(callCtx)})
	}()
}

func (m *Manager) callStatus(err error, name string) storage.Status {
	status := storage.StatusOf(err)
	if status == storage.Unavailable || status == storage.Unknown {
		m.cfg.Log.WithError(err).WithField("object", Kind+"/"+name).Warn("object API call failed")
	}
	return status
}
