package follow

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// MaxBackoff is the largest retry delay as a multiple of the first. It keeps the delay of a host that the store
// rejects well below the time in which the host must be up to date once the store serves it again.
const MaxBackoff = 3

// ErrCompacted means that the store no longer has the changes after a revision.
var ErrCompacted = errors.New("follow: history compacted")

// Object is one object of the store.
type Object struct {
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Change is the new state of an object, or its deletion.
type Change struct {
	Object  Object
	Deleted bool
}

// Source reads the store.
type Source interface {
	// List returns all objects of a kind and the revision of the list.
	List(ctx context.Context, kind string) (objects []Object, revision int64, err error)
	// Watch returns the changes after a revision as soon as there are any, or none after the wait.
	Watch(ctx context.Context, kind string, revision int64, wait time.Duration) (changes []Change, at int64, err error)
}

// Config describes a Follower.
type Config struct {
	Source Source
	Kind   string
	Log    logrus.FieldLogger
	// WatchTimeout is how long a watch waits for a change. Together with CallMargin it bounds how long a stalled
	// connection delays a change.
	WatchTimeout func() time.Duration
	CallMargin   time.Duration
	// Interval is the minimum delay between two watches, so that changes in quick succession are read together.
	Interval func() time.Duration
	// RetryDelay is the delay after the first failed call. It grows with each further one, up to MaxBackoff times.
	RetryDelay func() time.Duration
	// ReturnTime is how long after an outage of the store the missing objects may still come back.
	ReturnTime time.Duration
	// MinOutage is how long the store must have been unavailable for ReturnTime to apply.
	MinOutage time.Duration
	// Standby returns how long no call is needed because peers confirm the list, and when the store last confirmed it to
	// one of them; nil means that calls are always needed.
	Standby func() (wait time.Duration, confirmed time.Time)
	// OnChange is called with the complete list after each change and after each call that confirmed the list.
	OnChange func(State)
}

// State is the list of the objects of a kind.
type State struct {
	Objects  []Object
	Revision int64
	// Confirmed is a time at which the store had no other list.
	Confirmed time.Time
	// Changed is false if the list is the same as before.
	Changed bool
}

// Follower keeps a current copy of the objects of one kind.
type Follower struct {
	cfg         Config
	objects     map[string]Object
	revision    int64
	listed      bool
	lastSuccess time.Time
	// missing holds objects that were removed during an outage of the store, with the time at which they count as
	// removed.
	missing        map[string]time.Time
	returnDeadline time.Time
	failing        bool
	// waited is how long after the start of the last call the store still had no change.
	waited time.Duration
	// failures counts consecutive failed calls.
	failures int
}

// New returns a follower. It follows while Run runs.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, objects: map[string]Object{}, missing: map[string]time.Time{}}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.standBy(ctx) {
			return
		}
		sent := time.Now()
		changed, err := f.step(ctx)
		delay := f.cfg.Interval()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			f.recordFailure(err)
			// A call that got no response has waited already.
			delay = max(f.backoff()-time.Since(sent), f.cfg.Interval())
		} else {
			f.recordSuccess(sent)
			changed = f.expire(time.Now()) || changed
			f.cfg.OnChange(State{Objects: f.list(), Revision: f.revision, Confirmed: sent.Add(f.waited), Changed: changed})
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// standbyCheckInterval is the interval at which a follower that stands by checks whether peers still confirm the list.
const standbyCheckInterval = 100 * time.Millisecond

// standBy waits while peers confirm the list, and returns false when ctx ends. It resets the count of failed calls, since
// the store serves the peers.
func (f *Follower) standBy(ctx context.Context) bool {
	if f.cfg.Standby == nil {
		return true
	}
	for {
		wait, confirmed := f.cfg.Standby()
		if confirmed.After(f.lastSuccess) {
			f.lastSuccess = confirmed
		}
		if wait <= 0 {
			return true
		}
		if f.failing {
			f.cfg.Log.WithField("kind", f.cfg.Kind).Info("peers confirm the list while the store is unavailable")
		}
		f.failing, f.failures = false, 0
		select {
		case <-ctx.Done():
			return false
		case <-time.After(min(wait, standbyCheckInterval)):
		}
	}
}

// backoff returns the delay after a failed call.
func (f *Follower) backoff() time.Duration {
	return f.cfg.RetryDelay() * time.Duration(min(f.failures, MaxBackoff))
}

func (f *Follower) recordFailure(err error) {
	f.failures++
	if !f.failing {
		f.cfg.Log.WithError(err).WithField("kind", f.cfg.Kind).Warn("store unavailable")
	}
	f.failing = true
}

func (f *Follower) recordSuccess(sent time.Time) {
	now := time.Now()
	outage := f.failing && f.listed && !f.lastSuccess.IsZero() && sent.Sub(f.lastSuccess) > f.cfg.MinOutage
	f.failures = 0
	if f.failing {
		f.cfg.Log.WithFields(logrus.Fields{"kind": f.cfg.Kind, "away_ms": now.Sub(f.lastSuccess).Milliseconds()}).Info("store available again")
		f.failing = false
	}
	if outage {
		f.returnDeadline = now.Add(f.cfg.ReturnTime)
		for name := range f.missing {
			f.missing[name] = f.returnDeadline
		}
	}
	f.lastSuccess = now
}

// step lists or watches once.
func (f *Follower) step(ctx context.Context) (bool, error) {
	f.waited = 0
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.CallMargin)
		defer cancel()
		objects, revision, err := f.cfg.Source.List(ctx, f.cfg.Kind)
		if err != nil {
			return false, err
		}
		f.replace(objects)
		f.revision, f.listed = revision, true
		return true, nil
	}
	wait := f.cfg.WatchTimeout()
	if f.failing || len(f.missing) > 0 {
		// An unanswered call delays the next one, so that a short wait shows sooner that the store is back.
		wait = min(wait, f.cfg.RetryDelay())
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.CallMargin)
	defer cancel()
	sent := time.Now()
	changes, at, err := f.cfg.Source.Watch(ctx, f.cfg.Kind, f.revision, wait)
	if errors.Is(err, ErrCompacted) {
		f.cfg.Log.WithFields(logrus.Fields{"kind": f.cfg.Kind, "revision": f.revision}).Info("history compacted, listing again")
		f.listed = false
		return f.step(ctx)
	}
	if err != nil {
		return false, err
	}
	for _, c := range changes {
		f.apply(c)
	}
	f.revision = max(f.revision, at)
	if len(changes) == 0 && time.Since(sent) >= wait {
		// The store responded after its wait, so there was no change before.
		f.waited = wait
	}
	return len(changes) > 0, nil
}

func (f *Follower) replace(objects []Object) {
	next := make(map[string]Object, len(objects))
	for _, o := range objects {
		next[o.Name] = o
		delete(f.missing, o.Name)
	}
	for name, o := range f.objects {
		if _, ok := next[name]; !ok && f.mayReturn(name) {
			next[name] = o
		}
	}
	f.objects = next
}

func (f *Follower) apply(c Change) {
	if c.Deleted {
		if !f.mayReturn(c.Object.Name) {
			delete(f.objects, c.Object.Name)
		}
		return
	}
	delete(f.missing, c.Object.Name)
	f.objects[c.Object.Name] = c.Object
}

// mayReturn reports whether a removed object lapsed during an outage of the store and may come back.
func (f *Follower) mayReturn(name string) bool {
	now := time.Now()
	if until, ok := f.missing[name]; ok {
		return now.Before(until)
	}
	if f.cfg.ReturnTime == 0 {
		return false
	}
	until := f.returnDeadline
	if f.failing && !f.lastSuccess.IsZero() && now.Sub(f.lastSuccess) > f.cfg.MinOutage+f.cfg.WatchTimeout() {
		until = now.Add(f.cfg.ReturnTime)
	}
	if !now.Before(until) {
		return false
	}
	f.missing[name] = until
	return true
}

// expire removes the objects that have not come back in time and reports whether there were any.
func (f *Follower) expire(now time.Time) bool {
	changed := false
	for name, until := range f.missing {
		if !now.Before(until) {
			delete(f.missing, name)
			delete(f.objects, name)
			changed = true
		}
	}
	return changed
}

func (f *Follower) list() []Object {
	out := make([]Object, 0, len(f.objects))
	for _, o := range f.objects {
		out = append(out, o)
	}
	return out
}
