package connection

import (
	"container/list"
	"time"
)

const (
	// firstByteTime is how long a new connection counts as one that sends a request. Callers send at once after they have connected,
	// and a host that is at its limit of connections would otherwise close each new one.
	firstByteTime = 500 * time.Millisecond
	// refusalTime is how long a refused connection stays open, so that the caller reads the refusal before a reset. net/http
	// waits as long.
	refusalTime = 500 * time.Millisecond
	// maxExpireGap is the longest regular time between two calls of Expire. After a longer one the process stood still, and what callers
	// sent meanwhile is read before their connections are closed for a timeout, for settleTime.
	maxExpireGap = 250 * time.Millisecond
	settleTime   = 250 * time.Millisecond
	// settleInterval bounds how often that happens: a process that is always short of processor time must close connections, too.
	settleInterval = 2 * time.Second
	// reservedConnections is how many connections for checks and operators callers do not displace, and how many may be open beyond
	// the limit. Such requests end at once, and hardly more than this many are sent at the same time.
	reservedConnections = 64
	// surplusBytes is how much of a head may have been received before the response to the request before it: the size of the
	// buffer in net/http. It is not counted, and counted bytes may be of the earlier request.
	surplusBytes = 4096
)

// State is what a connection is used for.
type State string

// A connection is idle until the first byte of a request, then it reads a head, and then it is active until the response has
// been sent. A refused one is kept for a moment, so that the refusal reaches the caller.
const (
	Idle    State = "idle"
	Reading State = "reading"
	Active  State = "active"
	Refused State = "refused"
)

// Cause is why a connection is closed.
type Cause string

// The causes of closed connections.
const (
	// HeadTooLarge is a head with more bytes than a request may have.
	HeadTooLarge Cause = "head_too_large"
	// HeadTimeout is a head that was not received in time.
	HeadTimeout Cause = "head_timeout"
	// IdleTimeout is a connection without a request for too long.
	IdleTimeout Cause = "idle_timeout"
	// HeadMemory is the largest of the unfinished heads when they need too much memory together.
	HeadMemory Cause = "head_memory"
	// Connections is a connection that had to make room for another one.
	Connections Cause = "connections"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{HeadTooLarge, HeadTimeout, IdleTimeout, HeadMemory, Connections}
}

// Limits bound what callers may send. A limit of 0 is none.
type Limits struct {
	// HeadBytes bounds one head, HeadTimeout the time from its first byte to its end.
	HeadBytes   int64
	HeadTimeout time.Duration
	IdleTimeout time.Duration
	// HeadMemoryBytes bounds the memory of all unfinished heads.
	HeadMemoryBytes int64
	// Connections bounds the number of open connections.
	Connections int
}

// ID identifies a connection in a process.
type ID uint64

// Closure is a connection to close, and why. Cause is empty for one that was refused before.
type Closure struct {
	ID    ID
	Cause Cause
}

// conn is an open connection.
type conn struct {
	id    ID
	state State
	// since is when the connection became idle, received the first byte of its head, or was refused.
	since   time.Time
	options Options
	// used is true once a request was served on the connection.
	used bool
	// served is true once the reader of an active connection has confirmed that the head is complete.
	served bool
	// surplus is true if bytes were received after the end of the head, and slack if they were after that of the head before.
	surplus bool
	slack   bool
	head    head
	// place is the connection's place in the queue of its state.
	place *list.Element
}

// Limiter accounts for the connections of all listeners of a process. It is not safe for concurrent use.
type Limiter struct {
	limits Limits
	conns  map[ID]*conn
	last   ID
	// reserved is the number of reserved connections.
	reserved int
	// queues hold the connections of a state in the order in which they entered it.
	queues map[State]*list.List
	// headMemory is the memory of all unfinished heads in bytes.
	headMemory int64
	// expired is when Expire was called last, and settled when timeouts apply again after the process stood still.
	expired time.Time
	settled time.Time
}

// NewLimiter returns a limiter without connections.
func NewLimiter(limits Limits) *Limiter {
	l := &Limiter{limits: limits, conns: map[ID]*conn{}, queues: map[State]*list.List{}}
	for _, state := range []State{Idle, Reading, Active, Refused} {
		l.queues[state] = list.New()
	}
	return l
}

// SetLimits sets the limits that are in force from now on, also for connections that are open.
func (l *Limiter) SetLimits(limits Limits) { l.limits = limits }

// Options describe a new connection.
type Options struct {
	// Opaque is true if what is received is encrypted. The lines and the end of a head are not seen then, so that only bytes count,
	// and HeadBytes does not apply.
	Opaque bool
	// Reserved is true for connections of checks and operators, which are accepted even if the callers' requests use all others.
	Reserved bool
}

// Open adds a connection. It returns the connections to close, which may include the new one.
func (l *Limiter) Open(now time.Time, options Options) (ID, []Closure) {
	l.last++
	c := &conn{id: l.last, options: options}
	l.conns[c.id] = c
	if options.Reserved {
		l.reserved++
	}
	l.enter(c, Idle, now)
	var closures []Closure
	for l.limits.Connections > 0 && len(l.conns) > l.limits.Connections {
		victim := l.leastUseful(now, c)
		if victim == c && options.Reserved && len(l.conns) <= l.limits.Connections+reservedConnections {
			break
		}
		closures = append(closures, l.remove(victim, Connections))
		if victim == c {
			break // the others are active or reserved
		}
	}
	return c.id, closures
}

// leastUseful returns the connection that makes room for a new one. Those that are active are never chosen.
func (l *Limiter) leastUseful(now time.Time, added *conn) *conn {
	if c := l.first(Refused); c != nil {
		return c
	}
	idle, reading := l.displaceable(Idle, added), l.displaceable(Reading, added)
	switch {
	case idle == nil && reading == nil, idle == added && reading == nil:
		return added
	case idle == nil, idle == added:
		return reading
	case idle.used, reading == nil, now.Sub(idle.since) >= firstByteTime, idle.since.Before(reading.since):
		return idle
	default:
		return reading
	}
}

// Received counts what was received on a connection. It returns the connections to close. One with the cause HeadTooLarge is in the
// state Refused from then on, and Expire returns it again when it must be closed.
func (l *Limiter) Received(id ID, p []byte, now time.Time) []Closure {
	c := l.conns[id]
	if c == nil || len(p) == 0 {
		return nil
	}
	switch {
	case c.state == Idle:
		l.enter(c, Reading, now)
	case c.state == Active && c.served:
		c.surplus = true
		return nil
	case c.state == Active:
		// The reader does not take the head for complete, or it would serve the request before it reads on.
		c.head.complete = false
		l.headMemory += c.head.memory()
		l.enter(c, Reading, now)
	case c.state == Refused:
		return nil
	}
	before := c.head.memory()
	c.add(p)
	l.headMemory += c.head.memory() - before
	limit := l.limits.HeadBytes
	if c.slack {
		limit += surplusBytes
	}
	if l.limits.HeadBytes > 0 && !c.options.Opaque && c.head.bytes > limit {
		l.headMemory -= c.head.memory()
		c.head = head{}
		l.enter(c, Refused, now)
		return []Closure{{ID: id, Cause: HeadTooLarge}}
	}
	if c.head.complete {
		l.headMemory -= c.head.memory()
		l.enter(c, Active, now)
		return nil
	}
	var closures []Closure
	// A single head within the limit of one is always read.
	for l.limits.HeadMemoryBytes > 0 && l.headMemory > l.limits.HeadMemoryBytes && l.queues[Reading].Len() > 1 {
		closures = append(closures, l.remove(l.largest(), HeadMemory))
	}
	return closures
}

func (c *conn) add(p []byte) {
	if c.options.Opaque {
		c.head.bytes += int64(len(p)) * opaqueFactor
		return
	}
	c.surplus = c.head.add(p) < len(p)
}

// largest returns the connection with the largest unfinished head, of those the one that has been read for the longest time.
func (l *Limiter) largest() *conn {
	var out *conn
	for e := l.queues[Reading].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); out == nil || c.head.memory() > out.head.memory() {
			out = c
		}
	}
	return out
}

// Served notes that the reader has read a head, and that the request is being served or refused.
func (l *Limiter) Served(id ID, now time.Time) {
	c := l.conns[id]
	if c == nil || c.state == Refused {
		return
	}
	if c.state == Reading {
		l.headMemory -= c.head.memory()
	}
	c.head, c.used, c.served = head{}, true, true
	l.enter(c, Active, now)
}

// Finished notes that the response to a request has been sent.
func (l *Limiter) Finished(id ID, now time.Time) {
	if c := l.conns[id]; c != nil && c.state == Active {
		c.head, c.served, c.slack, c.surplus = head{}, false, c.surplus, false
		l.enter(c, Idle, now)
	}
}

// Close removes a connection. It returns false for a refused one, which stays open until Expire or Open returns it.
func (l *Limiter) Close(id ID) bool {
	c := l.conns[id]
	if c == nil {
		return true
	}
	if c.state == Refused {
		return false
	}
	l.remove(c, "")
	return true
}

// Expire returns the connections whose time is over.
func (l *Limiter) Expire(now time.Time) []Closure {
	if !l.expired.IsZero() && now.Sub(l.expired) > maxExpireGap && now.Sub(l.settled) > settleInterval {
		l.settled = now.Add(settleTime)
	}
	l.expired = now
	var closures []Closure
	for _, x := range []struct {
		state State
		limit time.Duration
		cause Cause
	}{{Idle, l.limits.IdleTimeout, IdleTimeout}, {Reading, l.limits.HeadTimeout, HeadTimeout}, {Refused, refusalTime, ""}} {
		if x.limit <= 0 || now.Before(l.settled) && x.state != Refused {
			continue
		}
		for c := l.first(x.state); c != nil && now.Sub(c.since) >= x.limit; c = l.first(x.state) {
			closures = append(closures, l.remove(c, x.cause))
		}
	}
	return closures
}

// Count returns the number of open connections.
func (l *Limiter) Count() int { return len(l.conns) }

// HeadMemory returns the memory of all unfinished heads in bytes.
func (l *Limiter) HeadMemory() int64 { return l.headMemory }

func (l *Limiter) first(state State) *conn {
	if e := l.queues[state].Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// displaceable returns the first connection of a state that may make room for a new one.
func (l *Limiter) displaceable(state State, added *conn) *conn {
	for e := l.queues[state].Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if added.options.Reserved || !c.options.Reserved || l.reserved > reservedConnections {
			return c
		}
	}
	return nil
}

func (l *Limiter) enter(c *conn, state State, now time.Time) {
	if c.place != nil {
		l.queues[c.state].Remove(c.place)
	}
	c.state, c.since = state, now
	c.place = l.queues[state].PushBack(c)
}

// remove removes a connection that is closed for a cause.
func (l *Limiter) remove(c *conn, cause Cause) Closure {
	if c.state == Refused {
		cause = ""
	}
	if c.state == Reading {
		l.headMemory -= c.head.memory()
	}
	if c.options.Reserved {
		l.reserved--
	}
	l.queues[c.state].Remove(c.place)
	delete(l.conns, c.id)
	return Closure{ID: c.id, Cause: cause}
}
