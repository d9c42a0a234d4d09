package lease

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/core/table"
)

// Config configures a System. A zero duration means the default.
type Config struct {
	Self table.HostID
	// Incarnation must differ between restarts of a host. Otherwise a new process would treat the
	// lease of its predecessor as its own while orders of the predecessor may still be in flight.
	Incarnation uint64
	// Duration is how long a lease lasts. It is counted from before the write was sent.
	Duration time.Duration
	// Renewal is the interval between renewals, and between reads while another host holds the lease.
	Renewal time.Duration
	// StopMargin is how long before the end of the lease the holder stops acting.
	StopMargin time.Duration
	// MaxOrderTime is the maximum time that an order may be in flight after the holder checked its
	// lease.
	MaxOrderTime time.Duration
	// Retry is the interval between calls while the platform is unavailable.
	Retry time.Duration
}

const (
	// Another host takes over a duty within about ten seconds of its holder's failure.
	defaultDuration = 10 * time.Second
	// Two renewals may be lost before the holder stops acting after 8 s.
	defaultRenewal = 3 * time.Second
	// Tolerates clock rates that differ by far more than the 0.05% that NTP corrects.
	defaultStopBefore = 2 * time.Second
	// Orders are answered or abandoned well within the duration of a lease.
	defaultLongestOrder = 5 * time.Second
	// The platform responds within milliseconds. During an outage this limits the load to two calls
	// a second.
	defaultRetry = 500 * time.Millisecond
)

func (c *Config) setDefaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.Duration, defaultDuration)
	set(&c.Renewal, defaultRenewal)
	set(&c.StopMargin, defaultStopBefore)
	set(&c.MaxOrderTime, defaultLongestOrder)
	set(&c.Retry, defaultRetry)
}

// record is the content of a lease object. An empty holder means that the lease was released.
type record struct {
	Holder      table.HostID `json:"holder"`
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	DurationMs  int64        `json:"duration_ms"`
}

// attempt is one write of the lease object by this host.
type attempt struct {
	sequence uint64
	sentAt   time.Time
	release  bool
}

type lease struct {
	name         string
	machine      *stateless.StateMachine
	wanted       bool
	callInFlight bool
	// stale is true if the object must be read before the next write.
	stale   bool
	version int64
	record  record
	// waitUntil is the time by which a holder that does not renew has stopped acting and its orders
	// have ended.
	waitUntil time.Time
	nextAt    time.Time
	fence     int64
	until     time.Time
	sequence  uint64
	writing   attempt
	// unknownWrites are writes with an unknown result. The sequence number in the object shows
	// which of them took effect.
	unknownWrites []attempt
	// releasing is true until the object shows that the lease was released.
	releasing bool
}

// System acquires, renews and releases leases.
type System struct {
	cfg       Config
	leases    map[string]*lease
	ordered   []*lease
	now       time.Time
	decisions []Decision
}

// New returns a System without leases.
func New(cfg Config) *System {
	cfg.setDefaults()
	return &System{cfg: cfg, leases: map[string]*lease{}}
}

// Held returns the fencing number and whether this host may act under the lease at the time now.
func (s *System) Held(name string, now time.Time) (int64, bool) {
	l, ok := s.leases[name]
	if !ok || l.machine.MustState() != Held || !now.Before(l.until) {
		return 0, false
	}
	return l.fence, true
}

// State returns the state of a lease, or Free if it was never requested.
func (s *System) State(name string) State {
	if l, ok := s.leases[name]; ok {
		return l.machine.MustState().(State)
	}
	return Free
}

// Idle reports whether no call is in flight and no lease remains to be released.
func (s *System) Idle() bool {
	return !slices.ContainsFunc(s.ordered, func(l *lease) bool { return l.callInFlight || l.releasing })
}

// Next returns the time of the next deadline, or the zero time if there is none.
func (s *System) Next() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, l := range s.ordered {
		if l.state() == Held {
			earlier(l.until)
		}
		if !l.callInFlight && (l.wanted || l.releasing) {
			earlier(l.nextAt)
		}
	}
	return next
}

// Tick handles the events since the last call and returns the decisions for the daemon to carry out.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.now, s.decisions = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case HoldRequested:
			s.holdRequested(e.name)
		case ReleaseRequested:
			s.releaseRequested(e.name)
		case ObjectRead:
			s.objectRead(s.leases[e.name], e.call)
		case ObjectWritten:
			s.objectWritten(s.leases[e.name], e.call)
		}
	}
	// A host requests few leases (64 at 410 hosts), so visiting all of them costs little.
	for _, l := range s.ordered {
		s.advance(l)
	}
	return s.decisions
}

func (l *lease) state() State { return l.machine.MustState().(State) }

func (s *System) decide(d Decision) { s.decisions = append(s.decisions, d) }

// fire applies a trigger. Callers use only triggers that the current state permits.
func (s *System) fire(l *lease, t trigger) {
	if err := l.machine.Fire(t); err != nil {
		panic(err)
	}
	s.reportChange(l)
}

func (s *System) reportChange(l *lease) {
	d := Changed{name: l.name, state: l.state()}
	if d.state == Held {
		d.fence, d.until = l.fence, l.until
	}
	s.decide(d)
}

func (s *System) holdRequested(name string) {
	l, ok := s.leases[name]
	if !ok {
		l = &lease{name: name, machine: newMachine(), stale: true}
		s.leases[name] = l
		s.ordered = append(s.ordered, l)
	}
	l.wanted = true
	if st := l.state(); st == Free || st == Released {
		l.stale, l.releasing, l.nextAt = true, false, s.now
		s.fire(l, triggerHold)
	}
}

func (s *System) releaseRequested(name string) {
	l, ok := s.leases[name]
	if !ok || l.state() == Free || l.state() == Released {
		return
	}
	// A write that is in flight or has an unknown result may have acquired the lease, so the object
	// is checked in any case.
	l.wanted, l.releasing, l.nextAt = false, true, s.now
	l.until = time.Time{}
	s.fire(l, triggerRelease)
}

// advance starts the next step of a lease if it is due.
func (s *System) advance(l *lease) {
	if l.state() == Held && !s.now.Before(l.until) {
		l.nextAt = s.now
		s.fire(l, triggerExpire)
	}
	if l.callInFlight || s.now.Before(l.nextAt) {
		return
	}
	switch l.state() {
	case Free:
	case Released:
		if l.releasing {
			s.advanceRelease(l)
		}
	case Expired:
		l.stale = true
		s.fire(l, triggerReacquire)
		s.readObject(l)
	case WaitingOut:
		s.readObject(l)
	case Acquiring, Held:
		if l.stale {
			s.readObject(l)
			return
		}
		s.write(l, record{Holder: s.cfg.Self, Incarnation: s.cfg.Incarnation, DurationMs: s.cfg.Duration.Milliseconds()})
	}
}

func (s *System) advanceRelease(l *lease) {
	if l.stale {
		s.readObject(l)
		return
	}
	if !s.isOwn(l.record) {
		l.releasing = false
		return
	}
	s.write(l, record{Incarnation: s.cfg.Incarnation})
}

func (s *System) isOwn(r record) bool {
	return r.Holder == s.cfg.Self && r.Incarnation == s.cfg.Incarnation
}

func (s *System) readObject(l *lease) {
	l.callInFlight = true
	s.decide(ReadLease{name: l.name})
}

// write replaces the version that was read last. The duration of the lease is counted from now,
// before the write is sent.
func (s *System) write(l *lease, r record) {
	l.sequence++
	r.Sequence = l.sequence
	l.writing = attempt{sequence: l.sequence, sentAt: s.now, release: r.Holder == ""}
	l.record = r
	l.callInFlight = true
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	s.decide(WriteLease{name: l.name, expected: l.version, value: value})
}

func (s *System) objectWritten(l *lease, call CallResult) {
	l.callInFlight = false
	w := l.writing
	if call.Status == storage.OK {
		l.version, l.unknownWrites = call.Version, nil
		if w.release {
			l.releasing = false
			return
		}
		s.extend(l, w)
		return
	}
	// The write failed or its result is unknown. Reading the object shows which, and why.
	l.stale = true
	l.nextAt = s.now
	if call.Status == storage.Unknown {
		l.unknownWrites = append(l.unknownWrites, w)
	}
	if call.Status == storage.Unavailable {
		l.nextAt = s.now.Add(s.cfg.Retry)
	}
}

// extend updates the end of the lease after a write of this host took effect.
func (s *System) extend(l *lease, w attempt) {
	until := w.sentAt.Add(s.cfg.Duration - s.cfg.StopMargin)
	switch l.state() {
	case Acquiring:
		l.nextAt = w.sentAt.Add(s.cfg.Renewal)
		if !s.now.Before(until) {
			// The result arrived after the lease had ended. The object still names this host, so it
			// can be written again.
			l.nextAt = s.now
			return
		}
		l.until, l.fence = until, l.version
		s.fire(l, triggerAcquire)
	case Held:
		l.nextAt = w.sentAt.Add(s.cfg.Renewal)
		if until.After(l.until) {
			l.until = until
		}
		s.reportChange(l)
	case Released:
		// The release was requested while the write was in flight.
		l.nextAt = s.now
	case Free, Expired, WaitingOut:
		l.nextAt = s.now
	}
}

func (s *System) objectRead(l *lease, call CallResult) {
	l.callInFlight = false
	var r record
	switch call.Status {
	case storage.OK:
		if err := json.Unmarshal(call.Value, &r); err != nil {
			l.nextAt = s.now.Add(s.cfg.Retry)
			return
		}
	case storage.NotFound:
		call.Version = 0
	case storage.Unavailable, storage.Unknown, storage.Conflict:
		l.nextAt = s.now.Add(s.cfg.Retry)
		return
	}
	versionChanged := call.Version != l.version
	l.version, l.record, l.stale = call.Version, r, false
	l.nextAt = s.now
	switch {
	case r.Holder == "":
		s.foundFree(l)
	case s.isOwn(r):
		s.foundOwn(l)
	default:
		s.foundOther(l, versionChanged)
	}
}

func (s *System) foundFree(l *lease) {
	switch l.state() {
	case WaitingOut:
		s.fire(l, triggerEndWait)
	case Held:
		// A holder finds the object free only if it was restored or deleted, so it stops at once.
		s.fire(l, triggerExpire)
	case Free, Acquiring, Expired, Released:
	}
}

// foundOwn resolves writes with an unknown result. The sequence number shows which of them took
// effect, and the duration of the lease is counted from before that write was sent.
func (s *System) foundOwn(l *lease) {
	if l.state() == WaitingOut {
		// A write with an unknown result took effect after the wait began.
		s.fire(l, triggerEndWait)
	}
	i := slices.IndexFunc(l.unknownWrites, func(a attempt) bool { return a.sequence == l.record.Sequence })
	if i < 0 {
		return
	}
	w := l.unknownWrites[i]
	l.unknownWrites = nil
	s.extend(l, w)
}

func (s *System) foundOther(l *lease, versionChanged bool) {
	if versionChanged {
		// The holder sent its last write before this read, so its lease ends at most the full
		// duration from now.
		maxRemaining := time.Duration(l.record.DurationMs) * time.Millisecond
		l.waitUntil = s.now.Add(maxRemaining + s.cfg.MaxOrderTime)
		l.unknownWrites = nil
	}
	waitOver := !s.now.Before(l.waitUntil)
	switch l.state() {
	case Acquiring, Held:
		if waitOver {
			// A write with an unknown result may still be in flight. The next write of the same
			// version resolves it, because only one of them can succeed.
			return
		}
		s.fire(l, triggerFindHolder)
	case WaitingOut:
		if waitOver {
			s.fire(l, triggerEndWait)
			return
		}
	case Free, Expired, Released:
		return
	}
	l.nextAt = s.now.Add(min(s.cfg.Renewal, l.waitUntil.Sub(s.now)))
}
