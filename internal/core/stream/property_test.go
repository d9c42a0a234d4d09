package stream

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingplank/internal/core/table"
)

// The seed is fixed so that a failure can be repeated; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// follower checks every decision against what a stream may do.
type follower struct {
	asking  bool
	attempt int
	active  bool
	starts  int
	ended   int
	ran     table.Pipeline
	given   table.Pipeline
}

// model follows a System through random events and checks the rules that callers and engines rely on.
type model struct {
	s       *System
	now     time.Time
	streams map[table.StreamID]*follower
	// taken holds the recoveries that each survivor took: times of starts.
	taken map[table.EndpointID][]time.Time
}

// modelFree is the number of free slots that each assignment reports.
const modelFree = 12

func (m *model) tick(t *rapid.T, events ...Event) {
	for _, d := range m.s.Tick(m.now, events) {
		m.follow(t, d)
	}
	for id, f := range m.streams {
		state, ok := m.s.State(id)
		if ok == (f.ended > 0) {
			t.Fatalf("%s: known %v after %d ends", id, ok, f.ended)
		}
		if ok && (state == Running) != f.active {
			t.Fatalf("%s: %s, active %v", id, state, f.active)
		}
		if ok && !f.active && !f.asking && state == Waiting {
			t.Fatalf("%s waits and nobody was asked", id)
		}
	}
}

func (m *model) follow(t *rapid.T, d Decision) {
	f := m.streams[d.Stream()]
	if f.ended > 0 {
		t.Fatalf("%s after the end of %s", line(d), d.Stream())
	}
	switch d := d.(type) {
	case AskPipeline:
		if f.asking {
			t.Fatalf("asked twice for %s", d.Stream())
		}
		f.asking, f.active = true, false
	case StartAttempt:
		m.started(t, f, d)
	case CancelAttempt:
		if d.Attempt() != f.attempt || d.Pipeline().ID() != f.ran.ID() {
			t.Fatalf("%s, but attempt %d ran on %s", line(d), f.attempt, f.ran.ID())
		}
		f.active = false
	case Finish, Move, Leave, Fail:
		f.ended++
		f.active = false
	}
}

func (m *model) started(t *rapid.T, f *follower, d StartAttempt) {
	f.starts++
	if d.Attempt() <= f.attempt || f.starts > defaultMaxAttempts {
		t.Fatalf("%s after attempt %d, start %d", line(d), f.attempt, f.starts)
	}
	if f.asking {
		t.Fatalf("%s without a pipeline", line(d))
	}
	if d.Method() == Continue && f.starts > 1 && d.Pipeline().ID() != f.ran.ID() {
		t.Fatalf("%s does not continue where it ran, %s", line(d), f.ran.ID())
	}
	if d.Method() != Continue && d.Pipeline().ID() != f.given.ID() {
		t.Fatalf("%s was given %s", line(d), f.given.ID())
	}
	if f.starts > 1 && d.Method() != Continue {
		for _, st := range d.Pipeline().Stages() {
			m.take(t, st.Endpoint())
		}
	}
	f.attempt, f.ran, f.active = d.Attempt(), d.Pipeline(), true
}

// take checks that no survivor takes more than a quarter of its free slots in any second.
func (m *model) take(t *rapid.T, id table.EndpointID) {
	all := append(m.taken[id], m.now)
	m.taken[id] = all
	recent := 0
	for _, at := range all {
		if m.now.Sub(at) < time.Second {
			recent++
		}
	}
	if limit := modelFree / 4; recent > limit {
		t.Fatalf("%s took %d recoveries in a second, limit %d", id, recent, limit)
	}
}

// event draws one event that fits a stream, or an old or foreign one that must change nothing.
func (m *model) event(t *rapid.T, id table.StreamID, f *follower) Event {
	switch rapid.SampledFrom([]string{
		"assign", "assign", "assign", "failed", "failed", "failed", "stale", "done", "gone", "none", "crash", "progress",
	}).Draw(t, "event") {
	case "assign":
		p := pipeline(rapid.SampledFrom([]string{"a+b", "c+d", "e+f", "b+c"}).Draw(t, "pipeline"))
		if f.asking {
			f.asking, f.given = false, p
		}
		return NewAssigned(AssignedConfig{Stream: id, Pipeline: p, FreeSlots: modelFree})
	case "failed", "stale":
		return NewAttemptFailed(FailedConfig{
			Stream:        id,
			Attempt:       f.attempt - rapid.IntRange(0, 1).Draw(t, "age"),
			Position:      rapid.IntRange(0, 50).Draw(t, "position"),
			Progressed:    rapid.Bool().Draw(t, "progressed"),
			TextKnown:     rapid.Bool().Draw(t, "known"),
			HeadAnswers:   rapid.Bool().Draw(t, "head"),
			ExportAnswers: rapid.Bool().Draw(t, "export"),
			Final:         rapid.IntRange(0, 20).Draw(t, "final") == 0,
		})
	case "done":
		return NewCompleted(id)
	case "gone":
		return NewCallerGone(id)
	case "none":
		if !f.asking || rapid.IntRange(0, 9).Draw(t, "refused") > 0 {
			return NewProgress(id, 1)
		}
		f.asking = false
		return NewUnassigned(id)
	case "crash":
		return NewEndpointCrashed(rapid.SampledFrom([]table.EndpointID{"a", "b", "c", "d", "z"}).Draw(t, "endpoint"))
	default:
		return NewProgress(id, rapid.IntRange(0, 50).Draw(t, "position"))
	}
}

// Guards against any order of events that starts an attempt with a used number, runs two attempts at
// once, cancels the wrong one, ends a stream twice or never, passes the attempt limit or the pace.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			s: New(Config{}), now: start,
			streams: map[table.StreamID]*follower{}, taken: map[table.EndpointID][]time.Time{},
		}
		n := rapid.IntRange(1, 12).Draw(t, "streams")
		for i := range n {
			id := table.StreamID(fmt.Sprint("s", i))
			m.streams[id] = &follower{}
			cfg := OpenedConfig{
				Stream: id, FirstAttempt: 1, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Promised: start.Add(time.Duration(i) * time.Second), PromptTokens: 100, KVBytesPerToken: 1000,
				Deadline: start.Add(time.Minute),
			}
			if rapid.Bool().Draw(t, "resumed") {
				cfg.Route, cfg.FirstAttempt = "a+b", 10
			}
			m.tick(t, NewOpened(cfg))
		}
		for range rapid.IntRange(0, 150).Draw(t, "events") {
			id := table.StreamID(fmt.Sprint("s", rapid.IntRange(0, n-1).Draw(t, "stream")))
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			m.tick(t, m.event(t, id, m.streams[id]))
		}
		m.now = start.Add(time.Minute)
		m.tick(t)
		for id, f := range m.streams {
			if f.ended != 1 {
				t.Fatalf("%s ended %d times", id, f.ended)
			}
		}
		if m.s.Len() != 0 || len(m.s.byStage) != 0 {
			t.Fatalf("%d streams and %d endpoints are left", m.s.Len(), len(m.s.byStage))
		}
	})
}
