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

// Config configures a Keeper.
type Config struct {
	Store  Store
	System claim.Config
	Log    logrus.FieldLogger
	// CallTimeout bounds one call to the object API, which answers in milliseconds; zero means 500 ms.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = 500 * time.Millisecond
	// maxWait is the longest time between two ticks, as for every loop of the daemon.
	maxWait = 50 * time.Millisecond
	// stopTimeout bounds how long a stopping keeper writes what waits: four call timeouts.
	stopTimeout = 2 * time.Second
	// maxCalls bounds concurrent calls; a takeover reads up to about a hundred segments a shard, and
	// the object API takes about 2,000 reads/s from all hosts together.
	maxCalls = 16
	// queuedEvents lets callers go on while the loop runs a tick.
	queuedEvents = 256
)

// Keeper grants claims to the copies of calls that this host received.
type Keeper struct {
	cfg     Config
	system  *claim.System
	inbox   chan message
	done    chan struct{}
	lastID  atomic.Uint64
	waiters map[uint64]chan claim.Result
	slots   chan struct{}
	calls   sync.WaitGroup
}

// message is an event for the loop, with the channel of the caller that waits for its decision.
type message struct {
	event  claim.Event
	id     uint64
	result chan claim.Result
}

// New returns a Keeper; its methods answer once Run was called.
func New(cfg Config) *Keeper {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.System.Seed == [2]uint64{} {
		cfg.System.Seed = newSeed()
	}
	return &Keeper{
		cfg:     cfg,
		system:  claim.New(cfg.System),
		inbox:   make(chan message, queuedEvents),
		done:    make(chan struct{}),
		waiters: map[uint64]chan claim.Result{},
		slots:   make(chan struct{}, maxCalls),
	}
}

// newSeed returns random bits, since two processes with the same tokens would take each other's
// claims for their own.
func newSeed() [2]uint64 {
	var b [16]byte
	// crypto/rand never returns an error; it ends the process if the system has no random bits.
	_, _ = rand.Read(b[:])
	return [2]uint64{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

// Claim asks for the permission to dispatch the key once. An error means that ctx ended first; the
// result then still says what is known.
func (k *Keeper) Claim(ctx context.Context, key claim.Key) (claim.Result, error) {
	id := k.lastID.Add(1)
	return k.ask(ctx, id, key, claim.NewRequested(id, key))
}

// Refuse records that no copy of the key shall run. It reports true only once the record stands.
func (k *Keeper) Refuse(ctx context.Context, key claim.Key, reason outcome.Code) (bool, error) {
	id := k.lastID.Add(1)
	result, err := k.ask(ctx, id, key, claim.NewRefusalRequested(id, key))
	recorded := result.Status() == claim.Refused
	k.cfg.Log.WithFields(logrus.Fields{
		"reason":   reason,
		"recorded": recorded,
		"status":   result.Status(),
	}).Debug("refusal of a call that may not be repeated")
	if recorded {
		return true, nil
	}
	return false, err
}

// Answer hands over the answer of a key whose claim was granted here.
func (k *Keeper) Answer(key claim.Key, answer claim.Answer) {
	k.send(message{event: claim.NewAnswerGiven(key, answer)})
}

// Sweep deletes segments that no shard refers to. One host should call it every few minutes.
func (k *Keeper) Sweep(ctx context.Context) error {
	names, err := k.cfg.Store.List(ctx, SegmentKind)
	if err != nil {
		return eris.Wrapf(err, "claims.Sweep: list %s", SegmentKind)
	}
	k.send(message{event: claim.NewSegmentsListed(names)})
	return nil
}

func (k *Keeper) ask(ctx context.Context, id uint64, key claim.Key, e claim.Event) (claim.Result, error) {
	result := make(chan claim.Result, 1)
	if !k.send(message{event: e, id: id, result: result}) {
		return claim.Result{}, eris.New("claims.Claim: keeper has stopped")
	}
	select {
	case r := <-result:
		return r, nil
	case <-k.done:
		return lastResult(result)
	case <-ctx.Done():
	}
	// The loop resolves a withdrawn request at once, so this wait is short.
	k.send(message{event: claim.NewWithdrawn(id, key)})
	select {
	case r := <-result:
		return r, eris.Wrap(ctx.Err(), "claims.Claim: wait for the decision")
	case <-k.done:
		return lastResult(result)
	}
}

// lastResult returns the decision that the loop made before it stopped, if there is one.
func lastResult(result chan claim.Result) (claim.Result, error) {
	select {
	case r := <-result:
		return r, nil
	default:
		return claim.NewUnsettled(), eris.New("claims.Claim: keeper has stopped")
	}
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
