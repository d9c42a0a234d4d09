package claim_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/core/table"
)

// start is the simulated time at which each test starts.
var start = time.Unix(1_800_000_000, 0)

type stored struct {
	version int64
	value   []byte
}

// store is an object store with one version counter for all objects.
type store struct {
	objects map[string]stored
	version int64
	largest int
}

func (s *store) put(name string, expected int64, value []byte) (int64, storage.Status) {
	if s.objects[name].version != expected {
		return 0, storage.Conflict
	}
	s.version++
	s.largest = max(s.largest, len(value))
	s.objects[name] = stored{version: s.version, value: value}
	return s.version, storage.OK
}

func (s *store) get(name string) claim.CallConfig {
	o, ok := s.objects[name]
	if !ok {
		return claim.CallConfig{Status: storage.NotFound}
	}
	return claim.CallConfig{Status: storage.OK, Version: o.version, Value: o.value}
}

// callEnding is how a call in flight ends.
type callEnding string

const (
	ended       callEnding = "ok"          // carried out and answered
	lostAnswer  callEnding = "lost"        // carried out, response lost
	late        callEnding = "late"        // response lost, may be carried out later
	dropped     callEnding = "dropped"     // never carried out, response lost
	unavailable callEnding = "unavailable" // not carried out, reported as unavailable
)

type host struct {
	name   string
	system *claim.System
	offset time.Duration
	paused bool
	inbox  []claim.Event
	calls  []claim.Decision
}

// sim runs several hosts against one store and checks every result.
type sim struct {
	cfg     claim.Config
	now     time.Time
	store   *store
	hosts   []*host
	late    []claim.Decision
	lastID  uint64
	keys    []claim.Key
	owners  map[uint64]owner
	results map[uint64]claim.Result
	grants  map[claim.Hash]int
	refused map[claim.Hash]bool
	granted []owner
	failure string
}

type owner struct {
	host *host
	key  claim.Key
}

func newSim(cfg claim.Config) *sim {
	return &sim{
		cfg:     cfg,
		now:     start,
		store:   &store{objects: map[string]stored{}},
		owners:  map[uint64]owner{},
		results: map[uint64]claim.Result{},
		grants:  map[claim.Hash]int{},
		refused: map[claim.Hash]bool{},
	}
}

func (s *sim) addHost(name string, offset time.Duration) *host {
	h := &host{name: name, offset: offset}
	s.hosts = append(s.hosts, h)
	s.restart(h)
	return h
}

// restart replaces the process of a host. Its memory is lost, but its calls in flight may still be
// carried out.
func (s *sim) restart(h *host) {
	cfg := s.cfg
	s.lastID++
	cfg.Seed = [2]uint64{s.lastID, 7}
	s.late = append(s.late, h.calls...)
	h.system, h.calls, h.inbox, h.paused = claim.New(cfg), nil, nil, false
	for id, o := range s.owners {
		if _, done := s.results[id]; !done && o.host == h {
			delete(s.owners, id)
		}
	}
}

func (s *sim) newKey(unique string) claim.Key {
	k, err := claim.NewKey(claim.KeyConfig{
		Workspace: table.WorkspaceID("exporter-a"),
		Service:   table.ServiceID("lots"),
		Text:      strconv.FormatInt(s.now.Unix(), 10) + "-" + unique,
	})
	if err != nil {
		panic(err)
	}
	s.keys = append(s.keys, k)
	return k
}

func (s *sim) ask(h *host, k claim.Key, refuse bool) uint64 {
	s.lastID++
	s.owners[s.lastID] = owner{host: h, key: k}
	var e claim.Event = claim.NewRequested(s.lastID, k)
	if refuse {
		e = claim.NewRefusalRequested(s.lastID, k)
	}
	h.inbox = append(h.inbox, e)
	s.tick(h)
	return s.lastID
}

func answerOf(k claim.Key) claim.Answer {
	return claim.NewAnswer(claim.AnswerConfig{Status: 201, Body: fmt.Appendf(nil, "%x", k.Hash())})
}

func (s *sim) tick(h *host) {
	if h.paused {
		return
	}
	events := h.inbox
	h.inbox = nil
	for _, d := range h.system.Tick(s.now.Add(h.offset), events) {
		if r, ok := d.(claim.Resolve); ok {
			s.resolved(h, r)
			continue
		}
		h.calls = append(h.calls, d)
	}
}

func (s *sim) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// resolved counts grants and recorded refusals per key and fails on a second grant.
func (s *sim) resolved(h *host, r claim.Resolve) {
	o, known := s.owners[r.ID()]
	if !known {
		s.failf("host %s resolved unknown request %d", h.name, r.ID())
		return
	}
	if _, twice := s.results[r.ID()]; twice {
		s.failf("request %d resolved twice", r.ID())
	}
	s.results[r.ID()] = r.Result()
	key := o.key.Hash()
	switch r.Result().Status() {
	case claim.Granted:
		s.grants[key]++
		s.granted = append(s.granted, o)
	case claim.Refused:
		s.refused[key] = true
	case claim.Answered:
		if string(r.Result().Answer().Body()) != string(answerOf(o.key).Body()) {
			s.failf("request %d got another key's answer", r.ID())
		}
	}
	if s.grants[key] > 1 {
		s.failf("key %x: %d dispatch permissions", key, s.grants[key])
	}
	if s.grants[key] > 0 && s.refused[key] {
		s.failf("key %x: dispatch permission and recorded refusal", key)
	}
}

// applyCall applies a call to the store and returns the event that answers the call.
func (s *sim) applyCall(d claim.Decision) claim.Event {
	shard := func(n int) string { return "shard/" + strconv.Itoa(n) }
	switch d := d.(type) {
	case claim.ReadShard:
		return claim.NewShardRead(d.Shard(), s.store.get(shard(d.Shard())))
	case claim.ReadSegment:
		return claim.NewSegmentRead(d.Shard(), d.Name(), s.store.get("segment/"+d.Name()))
	case claim.WriteShard:
		v, status := s.store.put(shard(d.Shard()), d.Expected(), d.Value())
		return claim.NewShardWritten(d.Shard(), claim.CallConfig{Status: status, Version: v})
	case claim.WriteSegment:
		v, status := s.store.put("segment/"+d.Name(), 0, d.Value())
		return claim.NewSegmentWritten(d.Shard(), claim.CallConfig{Status: status, Version: v})
	case claim.DeleteSegment:
		delete(s.store.objects, "segment/"+d.Name())
	}
	return nil
}

func failed(d claim.Decision, status storage.Status) claim.Event {
	call := claim.CallConfig{Status: status}
	switch d := d.(type) {
	case claim.ReadShard:
		return claim.NewShardRead(d.Shard(), call)
	case claim.ReadSegment:
		return claim.NewSegmentRead(d.Shard(), d.Name(), call)
	case claim.WriteShard:
		return claim.NewShardWritten(d.Shard(), call)
	case claim.WriteSegment:
		return claim.NewSegmentWritten(d.Shard(), call)
	}
	return nil
}

// end ends call i of a host with the given ending.
func (s *sim) end(h *host, i int, w callEnding) {
	d := h.calls[i]
	h.calls = slices.Delete(h.calls, i, i+1)
	var e claim.Event
	switch w {
	case ended:
		e = s.applyCall(d)
	case lostAnswer:
		s.applyCall(d)
		e = failed(d, storage.Unknown)
	case late:
		s.late = append(s.late, d)
		e = failed(d, storage.Unknown)
	case dropped:
		e = failed(d, storage.Unknown)
	case unavailable:
		e = failed(d, storage.Unavailable)
	}
	if e != nil {
		h.inbox = append(h.inbox, e)
	}
	s.tick(h)
}

// applyLate carries out a late call whose response was lost.
func (s *sim) applyLate(i int) {
	d := s.late[i]
	s.late = slices.Delete(s.late, i, i+1)
	s.applyCall(d)
}

// settle ends every call of a host normally until the host is idle.
func (s *sim) settle(h *host) {
	for range 10_000 {
		if len(h.calls) > 0 {
			s.end(h, 0, ended)
			continue
		}
		if h.system.Idle() {
			return
		}
		s.now = s.now.Add(25 * time.Millisecond)
		s.tick(h)
	}
	s.failf("host %s is not idle after 10,000 steps", h.name)
}

func (s *sim) segmentNames() []string {
	var names []string
	for name := range s.store.objects {
		if rest, ok := cutSegment(name); ok {
			names = append(names, rest)
		}
	}
	slices.Sort(names)
	return names
}

func cutSegment(name string) (string, bool) {
	const prefix = "segment/"
	if len(name) > len(prefix) && name[:len(prefix)] == prefix {
		return name[len(prefix):], true
	}
	return "", false
}
