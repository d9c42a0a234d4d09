package limit

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"waxwingplank/internal/core/deployment"
)

const (
	// MaxRate is the largest rate that is taken for a limit, in requests per second.
	MaxRate = 1e6
	// minRate is the least rate that is divided, in requests per second. Without any request, nobody would learn that an
	// endpoint has raised its limit.
	minRate = 0.05
	// ownedShare is the share of a limit that its owners may use. All other hosts together have the rest, so that each of
	// them sees a change even if no report reaches it.
	ownedShare = 0.9
	// burstTime is the time over which an owner may save up unused requests.
	burstTime = 500 * time.Millisecond
	// settleTime is how long after its start a host owns no limits: until then the other hosts may not know of it.
	settleTime = 3 * time.Second
	// reportTime is how long a statement of an endpoint is reported to other hosts.
	reportTime = 10 * time.Second
	// maxLimits bounds the endpoints whose statements are kept.
	maxLimits = 10_000
)

// Statement is what an endpoint has said of its limit in a response.
type Statement struct {
	// Rate is the limit in requests per second; it counts only if Limited is set.
	Rate    float64
	Limited bool
	// SentAt is when the request was sent, At when the response arrived.
	SentAt time.Time
	At     time.Time
}

// Report is a statement as hosts report it to each other.
type Report struct {
	Rate    float64 `json:"rate,omitempty"`
	Limited bool    `json:"limited,omitempty"`
	// StartedMs is the start of the endpoint's instance, in Unix milliseconds.
	StartedMs int64 `json:"started"`
	// AgeMs is the time since the response arrived, in ms.
	AgeMs int64 `json:"age_ms"`
}

// Config describes a System.
type Config struct {
	// Self is the name of this host.
	Self string
	// Started is when this host started.
	Started time.Time
	// Seed seeds the random phase of requests to endpoints whose limits this host does not own.
	Seed int64
}

// entry is the latest statement of one instance of an endpoint and this host's use of its limit.
type entry struct {
	startedMs int64
	statement Statement
	// own is this host's own latest statement, which it reports.
	own     Statement
	owned   bool
	limiter *rate.Limiter
}

// System holds the limits of all endpoints on one host.
type System struct {
	cfg    Config
	random *rand.Rand
	// instances holds the start of each listed endpoint in Unix milliseconds, entries what endpoints with a limit have said.
	instances map[string]int64
	entries   map[string]*entry
	// hosts are the names of all hosts that may send requests, sorted.
	hosts []string
	// ownsShares is set once this host may own limits.
	ownsShares bool
}

// New returns a system without limits.
func New(cfg Config) *System {
	return &System{
		cfg: cfg, random: rand.New(rand.NewSource(cfg.Seed)), instances: map[string]int64{}, entries: map[string]*entry{}, hosts: []string{cfg.Self},
	}
}

// SetEndpoints replaces the endpoints. The limit of an instance ends with it.
func (s *System) SetEndpoints(list []deployment.Endpoint) {
	s.instances = make(map[string]int64, len(list))
	for _, e := range list {
		s.instances[e.ID] = e.StartedMs
	}
	for id, e := range s.entries {
		if started, ok := s.instances[id]; !ok || started != e.startedMs {
			delete(s.entries, id)
		}
	}
}

// SetHosts replaces the names of all hosts that may send requests, this one included or not.
func (s *System) SetHosts(now time.Time, names []string) {
	next := append([]string{s.cfg.Self}, names...)
	slices.Sort(next)
	next = slices.Compact(next)
	settled := s.settled(now)
	if slices.Equal(next, s.hosts) && settled == s.ownsShares {
		return
	}
	s.hosts, s.ownsShares = next, settled
	for id, e := range s.entries {
		s.divide(now, id, e)
	}
}

func (s *System) settled(now time.Time) bool { return now.Sub(s.cfg.Started) >= settleTime }

// Record records what an instance of an endpoint has said in a response to this host, and reports whether its limit has changed.
func (s *System) Record(now time.Time, id string, startedMs int64, st Statement) bool {
	e := s.entry(id, startedMs, st.Limited)
	if e == nil {
		return false
	}
	if known := e.statement; !st.Limited && known.Limited && !st.SentAt.After(known.At) {
		// Responses may overtake each other, so only one to a later request shows that the limit has ended.
		return false
	}
	e.own = st
	return s.apply(now, id, e, st)
}

// Merge records what other hosts report.
func (s *System) Merge(now time.Time, reports map[string]Report) {
	for id, r := range reports {
		if r.AgeMs < 0 || r.AgeMs > reportTime.Milliseconds() || (r.Limited && !Valid(r.Rate)) {
			continue
		}
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		if e := s.entry(id, r.StartedMs, r.Limited); e != nil && at.After(e.statement.At) {
			s.apply(now, id, e, Statement{Rate: r.Rate, Limited: r.Limited, SentAt: at, At: at})
		}
	}
}

// Valid reports whether a rate can be a limit.
func Valid(perSecond float64) bool { return perSecond >= 0 && perSecond <= MaxRate }

// entry returns the entry of an instance of an endpoint, or nil if there is none and none is needed.
func (s *System) entry(id string, startedMs int64, create bool) *entry {
	if listed, ok := s.instances[id]; !ok || listed != startedMs {
		return nil
	}
	e := s.entries[id]
	if e == nil && create && len(s.entries) < maxLimits {
		e = &entry{startedMs: startedMs}
		s.entries[id] = e
	}
	return e
}

func (s *System) apply(now time.Time, id string, e *entry, st Statement) bool {
	before := e.statement
	e.statement = st
	if !st.Limited {
		e.limiter = nil
		return before.Limited
	}
	if before.Limited && before.Rate == st.Rate {
		return false
	}
	s.divide(now, id, e)
	return true
}

// divide sets the share of this host in an endpoint's limit. The bucket of a new limit starts empty.
func (s *System) divide(now time.Time, id string, e *entry) {
	if !e.statement.Limited {
		return
	}
	limit := max(e.statement.Rate, minRate)
	owners := s.owners(id, limit)
	e.owned = s.ownsShares && slices.Contains(owners, s.cfg.Self)
	share := (1 - ownedShare) * limit / float64(len(s.hosts))
	burst := 1
	if e.owned {
		share = ownedShare * limit / float64(len(owners))
		burst = max(int(share*burstTime.Seconds()), 1)
	}
	if e.limiter == nil {
		e.limiter = rate.NewLimiter(rate.Limit(share), burst)
		empty := now
		if !e.owned {
			// Hosts that learn of the limit at one time do not use their first request at one time.
			empty = now.Add(-time.Duration(s.random.Float64() / share * float64(time.Second)))
		}
		e.limiter.AllowN(empty, burst)
		return
	}
	e.limiter.SetLimitAt(now, rate.Limit(share))
	e.limiter.SetBurstAt(now, burst)
}

// owners returns the hosts that divide most of a limit. A limit has no more owners than it allows requests in a second, and one,
// because each may send a request at the same time as the others.
func (s *System) owners(id string, limit float64) []string {
	count := len(s.hosts)
	if limit+1 < float64(count) {
		count = int(math.Floor(limit)) + 1
	}
	ranked := slices.Clone(s.hosts)
	rank := func(host string) uint64 { return xxhash.Sum64String(id + "|" + host) }
	slices.SortFunc(ranked, func(a, b string) int {
		switch ra, rb := rank(a), rank(b); {
		case ra < rb:
			return -1
		case ra > rb:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return ranked[:count]
}

// Allows reports whether this host may send a request to an endpoint now.
func (s *System) Allows(now time.Time, id string) bool {
	l := s.limiter(id)
	return l == nil || l.TokensAt(now) >= 1
}

// Take counts a request to an endpoint and reports whether the limit allowed it.
func (s *System) Take(now time.Time, id string) bool {
	l := s.limiter(id)
	return l == nil || l.AllowN(now, 1)
}

// Next returns when this host may send the next request to an endpoint, which is now if there is no limit.
func (s *System) Next(now time.Time, id string) time.Time {
	l := s.limiter(id)
	if l == nil {
		return now
	}
	missing := 1 - l.TokensAt(now)
	if missing <= 0 {
		return now
	}
	return now.Add(time.Duration(missing / float64(l.Limit()) * float64(time.Second)))
}

// limiter returns the share of an endpoint's limit, or nil if it has none. A nil system has no limits.
func (s *System) limiter(id string) *rate.Limiter {
	if s == nil {
		return nil
	}
	if e := s.entries[id]; e != nil {
		return e.limiter
	}
	return nil
}

// Reports returns this host's own statements for other hosts.
func (s *System) Reports(now time.Time) map[string]Report {
	var out map[string]Report
	for id, e := range s.entries {
		age := now.Sub(e.own.At)
		if e.own.At.IsZero() || age > reportTime {
			continue
		}
		if out == nil {
			out = map[string]Report{}
		}
		out[id] = Report{Rate: e.own.Rate, Limited: e.own.Limited, StartedMs: e.startedMs, AgeMs: max(age.Milliseconds(), 0)}
	}
	return out
}

// Len returns the number of endpoints with a limit.
func (s *System) Len() int {
	n := 0
	for _, e := range s.entries {
		if e.limiter != nil {
			n++
		}
	}
	return n
}
