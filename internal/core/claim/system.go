package claim

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingplank/internal/core/storage"
)

// Config configures a System. A zero value of any field but Shards and Seed takes the default.
type Config struct {
	// Shards is the number of shards. It must be the same on every host, because it determines the
	// shard of a key.
	Shards int
	// FlushInterval is the minimum time between two writes of one shard.
	FlushInterval time.Duration
	// Retention is the age above which a key is refused.
	Retention time.Duration
	// RetentionMargin is the time that entries are kept beyond Retention. Host clocks may differ by
	// this much.
	RetentionMargin time.Duration
	// MaxFuture is how far an issue time may be ahead of this host's clock.
	MaxFuture time.Duration
	// ProbeInterval is the time between two reads that check whether an outage is over.
	ProbeInterval time.Duration
	// AnswerDelay is how long an answer waits to share a write with later claims.
	AnswerDelay time.Duration
	// IdleAfter is the time without requests after which the index of a shard is evicted from memory.
	IdleAfter time.Duration
	// InlineBytes is the total size above which the inline entries are sealed into a segment.
	InlineBytes int
	// SegmentBytes is the size up to which segments are merged into larger ones.
	SegmentBytes int
	// MaxBatch is the maximum number of claims and refusals that one write adds.
	MaxBatch int
	// MaxPending is the maximum number of requests, and of answers, that wait in one shard.
	MaxPending int
	// Seed seeds the generator of tokens. It must differ between hosts and between restarts, because
	// a copy recognizes its own claim by its token.
	Seed [2]uint64
}

// maxWriteTokens is the number of write tokens that a shard object lists. A host whose token has been
// displaced uses the tokens of the entries instead, so a longer list would only save segment reads.
const maxWriteTokens = 16

const (
	// 8 shards at 25 ms are 320 writes/s. The object API accepts several hundred.
	defaultFlushInterval = 25 * time.Millisecond
	// Long enough to share the write of the next claims, and shorter than a caller's retry interval.
	defaultAnswerDelay = 250 * time.Millisecond
)

func (c *Config) setDefaults() {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setCount := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	setDuration(&c.FlushInterval, defaultFlushInterval)
	setDuration(&c.Retention, 2*time.Hour)
	setDuration(&c.RetentionMargin, 10*time.Minute)
	setDuration(&c.MaxFuture, 5*time.Minute)
	setDuration(&c.ProbeInterval, time.Second)
	setDuration(&c.AnswerDelay, defaultAnswerDelay)
	setDuration(&c.IdleAfter, 5*time.Minute)
	setCount(&c.InlineBytes, 64<<10)
	// Half of the maximum object size. Two hours of claims then need few segment reads at takeover.
	setCount(&c.SegmentBytes, 512<<10)
	// 1,024 claims add 30 KB to a write; the object API accepts 1 MB.
	setCount(&c.MaxBatch, 1024)
	setCount(&c.MaxPending, 4096)
}

// System grants claims and records refusals and answers.
type System struct {
	cfg       Config
	tokens    *rand.PCG
	shards    []*shard
	now       time.Time
	decisions []Decision
	// down is true from the first call that the platform did not carry out until the next successful one.
	down        bool
	nextProbeAt time.Time
	probeShard  int
}

// New returns a System with no shard loaded.
func New(cfg Config) *System {
	cfg.setDefaults()
	s := &System{cfg: cfg, tokens: rand.NewPCG(cfg.Seed[0], cfg.Seed[1])}
	for i := range cfg.Shards {
		s.shards = append(s.shards, newShard(i))
	}
	return s
}

// IndexedKeys returns the number of sealed keys in memory.
func (s *System) IndexedKeys() int {
	n := 0
	for _, sh := range s.shards {
		for _, ix := range sh.indexes {
			n += len(ix)
		}
	}
	return n
}

// Next returns the time of the next deadline, or the zero time if there is none.
func (s *System) Next() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, sh := range s.shards {
		if sh.inFlight > 0 {
			continue
		}
		if len(sh.pending) > 0 {
			earlier(sh.nextFlushAt)
		}
		if len(sh.answers) > 0 && !s.down {
			earlier(sh.answersSince.Add(s.cfg.AnswerDelay))
		}
	}
	if s.down {
		earlier(s.nextProbeAt)
	}
	return next
}

// Tick applies the events since the last call and returns the actions for the daemon.
//
// Each decision except Resolve and DeleteSegment must be answered by exactly one event.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.now, s.decisions = now, nil
	for _, e := range events {
		s.apply(e)
	}
	// All shards are visited, because there are few of them (32 at 410 hosts).
	for _, sh := range s.shards {
		s.advance(sh)
	}
	s.probePlatform()
	return s.decisions
}

func (s *System) apply(e Event) {
	switch e := e.(type) {
	case Requested:
		s.addRequest(&request{id: e.id, key: e.key, kind: claimKind})
	case RefusalRequested:
		s.addRequest(&request{id: e.id, key: e.key, kind: refusalKind})
	case Withdrawn:
		s.withdraw(e)
	case AnswerGiven:
		s.addAnswer(e)
	case ShardRead:
		s.shardRead(s.shards[e.shard], e.call)
	case ShardWritten:
		s.shardWritten(s.shards[e.shard], e.call)
	case SegmentRead:
		s.segmentRead(s.shards[e.shard], e.name, e.call)
	case SegmentWritten:
		s.segmentWritten(s.shards[e.shard], e.call)
	case SegmentsListed:
		s.segmentsListed(e.names)
	}
}

func (s *System) emit(d Decision) { s.decisions = append(s.decisions, d) }

func (s *System) shardOf(k Key) *shard { return s.shards[k.Shard(s.cfg.Shards)] }

func (s *System) addRequest(r *request) {
	r.token = s.tokens.Uint64()
	sh := s.shardOf(r.key)
	sh.lastUsedAt = s.now
	if s.down {
		s.resolve(r, Result{status: Unavailable, retryAfter: s.nextProbeAt.Sub(s.now)})
		return
	}
	if len(sh.pending) >= s.cfg.MaxPending {
		s.resolve(r, Result{status: Unavailable, retryAfter: s.cfg.ProbeInterval})
		return
	}
	sh.pending = append(sh.pending, r)
}

func (s *System) withdraw(e Withdrawn) {
	sh := s.shardOf(e.key)
	for _, r := range sh.pending {
		if r.id == e.id {
			s.abandon(r)
		}
	}
	if sh.writing == nil {
		return
	}
	for _, r := range sh.writing.batch {
		if r.id == e.id {
			s.resolve(r, Result{status: Unsettled})
		}
	}
}

func (s *System) addAnswer(e AnswerGiven) {
	sh := s.shardOf(e.key)
	sh.lastUsedAt = s.now
	// Answers above the limit are dropped. A repeated key is then refused with may_have_run.
	if len(sh.answers) >= s.cfg.MaxPending {
		return
	}
	if len(sh.answers) == 0 {
		sh.answersSince = s.now
	}
	sh.answers[e.key.hash] = pendingAnswer{issued: e.key.issued, answer: e.answer}
}

func (s *System) resolve(r *request, result Result) {
	if r.resolved {
		return
	}
	r.resolved = true
	s.emit(Resolve{id: r.id, result: result})
}

// abandon resolves a request that is in no write in flight and will not be written again.
func (s *System) abandon(r *request) {
	status := Unavailable
	if r.inDoubt() {
		status = Unsettled
	}
	s.resolve(r, Result{status: status, retryAfter: s.cfg.ProbeInterval})
}

// markDown records an outage of the platform and abandons all pending requests. Granting claims from
// memory would be unsafe, because hosts may be replaced and both sides of a partition could grant
// the same key.
func (s *System) markDown(sh *shard) {
	s.down = true
	s.nextProbeAt = s.now.Add(s.cfg.ProbeInterval)
	s.probeShard = sh.number
	for _, other := range s.shards {
		for _, r := range other.pending {
			s.abandon(r)
		}
		other.pending = nil
	}
}

func (s *System) probePlatform() {
	if !s.down || s.now.Before(s.nextProbeAt) {
		return
	}
	s.nextProbeAt = s.now.Add(s.cfg.ProbeInterval)
	sh := s.shards[s.probeShard]
	if sh.inFlight > 0 {
		return
	}
	s.readShard(sh)
}

func (s *System) readShard(sh *shard) {
	sh.inFlight++
	s.emit(ReadShard{shard: sh.number})
}

// advance performs the next step of a shard: read the shard object, load the indexes, look keys up,
// seal or write.
func (s *System) advance(sh *shard) {
	if sh.inFlight > 0 || s.down {
		return
	}
	sh.pending = slices.DeleteFunc(sh.pending, func(r *request) bool { return r.resolved })
	if len(sh.pending) == 0 && !s.answersDue(sh) {
		if sh.loaded && len(sh.answers) == 0 && s.now.Sub(sh.lastUsedAt) > s.cfg.IdleAfter {
			sh.unload()
		}
		return
	}
	if !sh.loaded {
		s.readShard(sh)
		return
	}
	// A claim is granted only if the index of every segment is in memory, because an unread segment may
	// contain the key.
	for _, name := range sh.missingSegments(s.cfg.SegmentBytes) {
		sh.inFlight++
		s.emit(ReadSegment{shard: sh.number, name: name})
	}
	if sh.inFlight > 0 {
		return
	}
	s.lookUp(sh)
	if sh.inFlight > 0 || s.now.Before(sh.nextFlushAt) {
		return
	}
	if len(sh.pending) > 0 || s.answersDue(sh) {
		s.flush(sh)
	}
}

func (s *System) answersDue(sh *shard) bool {
	return len(sh.answers) > 0 && !s.now.Before(sh.answersSince.Add(s.cfg.AnswerDelay))
}

// lookUp resolves each pending request that needs no write.
func (s *System) lookUp(sh *shard) {
	clear(sh.lookupNames)
	for _, r := range sh.pending {
		if status, ok := s.checkAge(r.key); !ok {
			if r.inDoubt() {
				status = Unsettled
			}
			s.resolve(r, Result{status: status})
			continue
		}
		e, name, found := sh.find(r.key)
		if !found {
			continue
		}
		if name == "" {
			s.settle(sh, r, e)
			continue
		}
		if !sh.lookupNames[name] {
			sh.lookupNames[name] = true
			sh.inFlight++
			s.emit(ReadSegment{shard: sh.number, name: name})
		}
	}
	sh.pending = slices.DeleteFunc(sh.pending, func(r *request) bool { return r.resolved })
	if len(sh.lookupNames) == 0 {
		clear(sh.lookupSegments)
	}
}

func (s *System) checkAge(k Key) (Status, bool) {
	issued := time.Unix(k.Issued(), 0)
	if s.now.Sub(issued) > s.cfg.Retention {
		return Expired, false
	}
	if issued.Sub(s.now) > s.cfg.MaxFuture {
		return InFuture, false
	}
	return "", true
}

// settle resolves a request by the entry recorded for its key.
func (s *System) settle(sh *shard, r *request, e entry) {
	if e.token == r.token {
		s.resolve(r, Result{status: r.successStatus()})
		return
	}
	switch e.state {
	case refused:
		s.resolve(r, Result{status: Refused})
	case answered:
		s.resolve(r, Result{status: Answered, answer: e.answer})
	case claimed:
		if a, ok := sh.answers[r.key.hash]; ok {
			s.resolve(r, Result{status: Answered, answer: a.answer})
			return
		}
		s.resolve(r, Result{status: Claimed})
	}
}

func (r *request) successStatus() Status {
	if r.kind == refusalKind {
		return Refused
	}
	return Granted
}

// segmentsListed deletes unreferenced segments. A reference is added only by the write that replaces
// the version in the segment's name, so none can appear once the shard is past that version.
func (s *System) segmentsListed(names []string) {
	for _, name := range names {
		parts := strings.Split(name, "-")
		if len(parts) != 3 {
			continue
		}
		number, err1 := strconv.Atoi(parts[0])
		version, err2 := strconv.ParseInt(parts[1], 10, 64)
		if err1 != nil || err2 != nil || number < 0 || number >= len(s.shards) {
			continue
		}
		sh := s.shards[number]
		refers := func(ref segment) bool { return ref.name(number) == name }
		if sh.loaded && version < sh.version && !slices.ContainsFunc(sh.object.segments, refers) {
			s.emit(DeleteSegment{name: name})
		}
	}
}

// Idle reports whether no request or answer waits to be written. Answers do not count during an outage.
func (s *System) Idle() bool {
	for _, sh := range s.shards {
		if sh.inFlight > 0 || len(sh.pending) > 0 || len(sh.answers) > 0 && !s.down {
			return false
		}
	}
	return true
}

// markUp ends the outage if the status shows that the platform carried out the call.
func (s *System) markUp(status storage.Status) {
	if status == storage.OK || status == storage.NotFound || status == storage.Conflict {
		s.down = false
	}
}
