package claims

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/outcome"
)

// Config configures a Manager.
type Config struct {
	Store  Store
	System claim.Config
	Log    logrus.FieldLogger
	// CallTimeout bounds one call to the object API, which responds in milliseconds; zero means 500 ms.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = 500 * time.Millisecond
	// maxTickInterval is the longest time between two ticks, as for every loop of the daemon.
	maxTickInterval = 50 * time.Millisecond
	// stopTimeout bounds the time in which a stopping manager writes pending records: four call timeouts.
	stopTimeout = 2 * time.Second
	// maxCalls bounds concurrent calls. A takeover reads up to about a hundred segments per shard, and the
	// object API handles about 2,000 reads/s from all hosts together.
	maxCalls = 16
	// inboxCapacity is the capacity of the inbox, so that callers do not wait while the loop runs a tick.
	inboxCapacity = 256
)

// Manager grants claims to copies of calls that this host has received.
type Manager struct {
	cfg     Config
	system  *claim.System
	inbox   chan message
	done    chan struct{}
	lastID  atomic.Uint64
	waiters map[uint64]chan claim.Result
	slots   chan struct{}
	calls   sync.WaitGroup
}

// message is an event for the loop, with the channel of the caller that waits for the decision, if any.
type message struct {
	event  claim.Event
	id     uint64
	result chan claim.Result
}

// New returns a Manager; it handles requests while Run runs.
func New(cfg Config) *Manager {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.System.Seed == [2]uint64{} {
		cfg.System.Seed = newSeed()
	}
	return &Manager{
		cfg:     cfg,
		system:  claim.New(cfg.System),
		inbox:   make(chan message, inboxCapacity),
		done:    make(chan struct{}),
		waiters: map[uint64]chan claim.Result{},
		slots:   make(chan struct{}, maxCalls),
	}
}

// newSeed returns a random seed, since two processes with the same tokens would treat each other's claims as
// their own.
func newSeed() [2]uint64 {
	var b [16]byte
	// crypto/rand never returns an error; it aborts the process if the system has no random source.
	_, _ = rand.Read(b[:])
	return [2]uint64{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

// Claim requests the permission to dispatch the key once. An error means that ctx ended, or the manager stopped, before
// the decision; the result then still holds the known state of the claim.
func (m *Manager) Claim(ctx context.Context, key claim.Key) (claim.Result, error) {
	id := m.lastID.Add(1)
	return m.request(ctx, id, key, claim.NewRequested(id, key))
}

// Refuse records that no copy of the key may run. It reports true only if the record has been stored.
func (m *Manager) Refuse(ctx context.Context, key claim.Key, reason outcome.Code) (bool, error) {
	id := m.lastID.Add(1)
	result, err := m.request(ctx, id, key, claim.NewRefusalRequested(id, key))
	recorded := result.Status() == claim.Refused
	m.cfg.Log.WithFields(logrus.Fields{
		"reason":   reason,
		"recorded": recorded,
		"status":   result.Status(),
	}).Debug("refusal of a call that may not be repeated")
	if recorded {
		return true, nil
	}
	return false, err
}

// RecordResponse records the response for a key whose claim this manager has granted.
func (m *Manager) RecordResponse(key claim.Key, answer claim.Answer) {
	m.send(message{event: claim.NewAnswerGiven(key, answer)})
}

// Sweep deletes segments to which no shard refers. One host should call it every few minutes.
func (m *Manager) Sweep(ctx context.Context) error {
	names, err := m.cfg.Store.List(ctx, SegmentKind)
	if err != nil {
		return eris.Wrapf(err, "claims.Sweep: list %s", SegmentKind)
	}
	m.send(message{event: claim.NewSegmentsListed(names)})
	return nil
}

func (m *Manager) request(ctx context.Context, id uint64, key claim.Key, e claim.Event) (claim.Result, error) {
	result := make(chan claim.Result, 1)
	if !m.send(message{event: e, id: id, result: result}) {
		return claim.Result{}, eris.New("claims.Claim: keeper has stopped")
	}
	select {
	case r := <-result:
		return r, nil
	case <-m.done:
		return lastResult(result)
	case <-ctx.Done():
	}
	// The loop resolves a withdrawn request in its next tick, so this wait is short.
	m.send(message{event: claim.NewWithdrawn(id, key)})
	select {
	case r := <-result:
		return r, eris.Wrap(ctx.Err(), "claims.Claim: wait for the decision")
	case <-m.done:
		return lastResult(result)
	}
}

// lastResult returns the decision that the loop made before it stopped, or an error if there is none.
func lastResult(result chan claim.Result) (claim.Result, error) {
	select {
	case r := <-result:
		return r, nil
	default:
		return claim.NewUnsettled(), eris.New("claims.Claim: keeper has stopped")
	}
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
