package benchclaims

import (
	"fmt"
	"runtime"
	"strconv"
	"time"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/storage"
)

// SteadyConfig describes the load of one shard in simulated time.
type SteadyConfig struct {
	ClaimsPerS   float64
	AnswerBytes  int
	Interval     time.Duration
	InlineBytes  int
	SegmentBytes int
	// Lifetime is the duration of the load. Entries are dropped after 2 h 10 min.
	Lifetime time.Duration
}

// SteadyResult holds the figures of one shard.
type SteadyResult struct {
	ShardWrites, SegmentWrites int
	WritesPerS                 float64
	BytesPerS                  float64
	ShardBytes                 float64
	LargestShardBytes          int
	Segments                   int
	StoredBytes                int
	IndexedKeys                int
	HeapBytes                  uint64
	TakeoverReads              int
	TakeoverBytes              int
	TickMicroseconds           float64
}

// steady drives one System without concurrency.
type steady struct {
	store  *store
	system *claim.System
	result SteadyResult
	reads  int
	bytes  int
	shard  int
	now    time.Time
}

// Steady simulates one shard for its lifetime, takes it over with a new System and returns the figures.
func Steady(cfg SteadyConfig) SteadyResult {
	sys := claim.Config{
		Shards: 1, FlushInterval: cfg.Interval, InlineBytes: cfg.InlineBytes, SegmentBytes: cfg.SegmentBytes,
		AnswerDelay: time.Nanosecond,
	}
	s := &steady{store: newStore(1, 0), system: claim.New(sys), now: time.Unix(1_800_000_000, 0)}
	answer := claim.NewAnswer(claim.AnswerConfig{Status: 201, Body: make([]byte, cfg.AnswerBytes)})
	steps := int(cfg.Lifetime / cfg.Interval)
	due, id := 0.0, uint64(0)
	var last []claim.Key
	start := time.Now()
	for range steps {
		s.now = s.now.Add(cfg.Interval)
		var events []claim.Event
		for _, k := range last {
			events = append(events, claim.NewAnswerGiven(k, answer))
		}
		last = nil
		for due += cfg.ClaimsPerS * cfg.Interval.Seconds(); due >= 1; due-- {
			id++
			k := s.key(id)
			last = append(last, k)
			events = append(events, claim.NewRequested(id, k))
		}
		s.run(events)
	}
	took := time.Since(start)
	s.result.TickMicroseconds = float64(took.Microseconds()) / float64(steps)
	s.takeOver(sys, cfg)
	return s.result
}

func (s *steady) key(id uint64) claim.Key {
	text := fmt.Sprintf("%d-%d", s.now.Unix(), id)
	k, err := claim.NewKey(claim.KeyConfig{Workspace: "w", Service: "s", Text: text})
	if err != nil {
		panic(err)
	}
	return k
}

// takeOver computes the totals and measures a takeover, in which a new System reads the whole shard.
func (s *steady) takeOver(sys claim.Config, cfg SteadyConfig) {
	r := &s.result
	r.WritesPerS = float64(r.ShardWrites+r.SegmentWrites) / cfg.Lifetime.Seconds()
	r.BytesPerS = float64(s.store.written) / cfg.Lifetime.Seconds()
	r.ShardBytes = float64(s.shard) / float64(max(1, r.ShardWrites))
	for _, o := range s.store.objects {
		r.StoredBytes += len(o.value)
	}
	r.Segments = len(s.store.objects) - 1
	s.reads, s.bytes = 0, 0
	s.system = nil
	before := heap()
	sys.Seed = [2]uint64{2, 2}
	s.system = claim.New(sys)
	s.now = s.now.Add(time.Second)
	s.run([]claim.Event{claim.NewRequested(0, s.key(0))})
	r.TakeoverReads, r.TakeoverBytes = s.reads, s.bytes
	r.IndexedKeys = s.system.IndexedKeys()
	r.HeapBytes = uint64(max(0, int64(heap())-int64(before)))
	runtime.KeepAlive(s.system)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// run ticks until the decisions cause no more events.
func (s *steady) run(events []claim.Event) {
	for {
		decisions := s.system.Tick(s.now, events)
		events = nil
		for _, d := range decisions {
			if e := s.execute(d); e != nil {
				events = append(events, e)
			}
		}
		if len(events) == 0 {
			return
		}
	}
}

func (s *steady) execute(d claim.Decision) claim.Event {
	switch d := d.(type) {
	case claim.ReadShard:
		return claim.NewShardRead(d.Shard(), s.get("claim-shards/"+strconv.Itoa(d.Shard())))
	case claim.ReadSegment:
		return claim.NewSegmentRead(d.Shard(), d.Name(), s.get("claim-segments/"+d.Name()))
	case claim.WriteShard:
		s.result.ShardWrites++
		s.shard += len(d.Value())
		s.result.LargestShardBytes = max(s.result.LargestShardBytes, len(d.Value()))
		return claim.NewShardWritten(d.Shard(), s.put("claim-shards/"+strconv.Itoa(d.Shard()), d.Expected(), d.Value()))
	case claim.WriteSegment:
		s.result.SegmentWrites++
		return claim.NewSegmentWritten(d.Shard(), s.put("claim-segments/"+d.Name(), 0, d.Value()))
	case claim.DeleteSegment:
		delete(s.store.objects, "claim-segments/"+d.Name())
	}
	return nil
}

func (s *steady) get(name string) claim.CallConfig {
	s.reads++
	o, ok := s.store.objects[name]
	if !ok {
		return claim.CallConfig{Status: storage.NotFound}
	}
	s.bytes += len(o.value)
	return claim.CallConfig{Status: storage.OK, Version: o.version, Value: o.value}
}

func (s *steady) put(name string, expected int64, value []byte) claim.CallConfig {
	version, err := s.store.put(name, expected, value)
	return claim.CallConfig{Status: storage.StatusOf(err), Version: version}
}
