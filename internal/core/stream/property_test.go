package stream

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingplank/internal/core/table"
)

// The seed is fixed so that a failure can be reproduced; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// streamState is the expected state of one stream, against which every decision is checked.
type streamState struct {
	asking       bool
	attempt      int
	active       bool
	starts       int
	ended        int
	lastPipeline table.Pipeline
	assigned     table.Pipeline
}

// model drives a System with random events and checks the guarantees that callers and engines rely on.
type model struct {
	s       *System
	now     time.Time
	streams map[table.StreamID]*streamState
	// recoveries holds the start times of the recoveries on each endpoint.
	recoveries map[table.EndpointID][]time.Time
}

// modelFreeSlots is the number of free slots that each assignment reports.
const modelFreeSlots = 12

func (m *model) tick(t *rapid.T, events ...Event) {
	for _, d := range m.s.Tick(m.now, events) {
		m.checkDecision(t, d)
	}
	for id, f := range m.streams {
		state, ok := m.s.State(id)
		if ok == (f.ended > 0) {
			t.Fatalf("%s: in the system: %v, after %d ends", id, ok, f.ended)
		}
		if ok && (state == Running) != f.active {
			t.Fatalf("%s: %s, active %v", id, state, f.active)
		}
		if ok && !f.active && !f.asking && state == Waiting {
			t.Fatalf("%s waits without a request for a pipeline", id)
		}
	}
}

func (m *model) checkDecision(t *rapid.T, d Decision) {
	f := m.streams[d.Stream()]
	if f.ended > 0 {
		t.Fatalf("%s after the end of %s", formatDecision(d), d.Stream())
	}
	switch d := d.(type) {
	case RequestPipeline:
		if f.asking {
			t.Fatalf("asked twice for %s", d.Stream())
		}
		f.asking, f.active = true, false
	case StartAttempt:
		m.checkStart(t, f, d)
	case CancelAttempt:
		if d.Attempt() != f.attempt || d.Pipeline().ID() != f.lastPipeline.ID() {
			t.Fatalf("%s, but attempt %d ran on %s", formatDecision(d), f.attempt, f.lastPipeline.ID())
		}
		f.active = false
	case Finish, Move, EndForCaller, Fail:
		f.ended++
		f.active = false
	}
}

func (m *model) checkStart(t *rapid.T, f *streamState, d StartAttempt) {
	f.starts++
	if d.Attempt() <= f.attempt || f.starts > defaultMaxAttempts {
		t.Fatalf("%s after attempt %d, start %d", formatDecision(d), f.attempt, f.starts)
	}
	if f.asking {
		t.Fatalf("%s without a pipeline", formatDecision(d))
	}
	if d.Method() == Continue && f.starts > 1 && d.Pipeline().ID() != f.lastPipeline.ID() {
		t.Fatalf("%s does not continue on its pipeline %s", formatDecision(d), f.lastPipeline.ID())
	}
	if d.Method() != Continue && d.Pipeline().ID() != f.assigned.ID() {
		t.Fatalf("%s, but the assigned pipeline is %s", formatDecision(d), f.assigned.ID())
	}
	if f.starts > 1 && d.Method() != Continue {
		for _, st := range d.Pipeline().Stages() {
			m.checkRecoveryRate(t, st.Endpoint())
		}
	}
	f.attempt, f.lastPipeline, f.active = d.Attempt(), d.Pipeline(), true
}

// checkRecoveryRate checks that recoveries take at most a quarter of an endpoint's free slots in any
// second.
func (m *model) checkRecoveryRate(t *rapid.T, id table.EndpointID) {
	all := append(m.recoveries[id], m.now)
	m.recoveries[id] = all
	recent := 0
	for _, at := range all {
		if m.now.Sub(at) < time.Second {
			recent++
		}
	}
	if limit := modelFreeSlots / 4; recent > limit {
		t.Fatalf("%s received %d recoveries in a second, limit %d", id, recent, limit)
	}
}

// drawEvent draws one event for a stream: a valid one, or one of an old attempt or of an endpoint that it does
// not use, which must change nothing.
func (m *model) drawEvent(t *rapid.T, id table.StreamID, f *streamState) Event {
	switch rapid.SampledFrom([]string{
		"assign", "assign", "assign", "failed", "failed", "failed", "stale", "done", "gone", "none", "crash", "progress",
	}).Draw(t, "event") {
	case "assign":
		p := pipeline(rapid.SampledFrom([]string{"a+b", "c+d", "e+f", "b+c"}).Draw(t, "pipeline"))
		if f.asking {
			f.asking, f.assigned = false, p
		}
		return NewAssigned(AssignedConfig{Stream: id, Pipeline: p, FreeSlots: modelFreeSlots})
	case "failed", "stale":
		return NewAttemptFailed(FailedConfig{
			Stream:        id,
			Attempt:       f.attempt - rapid.IntRange(0, 1).Draw(t, "age"),
			Position:      rapid.IntRange(0, 50).Draw(t, "position"),
			ProducedToken: rapid.Bool().Draw(t, "progressed"),
			HasText:       rapid.Bool().Draw(t, "known"),
			StagesRespond: rapid.Bool().Draw(t, "head"),
			CanExport:     rapid.Bool().Draw(t, "export"),
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

// Guards against faults that depend on the order of events: an attempt number is used twice, two attempts run
// at the same time, the wrong attempt is canceled, a stream ends twice or never, or the limit of attempts or
// the rate limit of recoveries is exceeded.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			s: New(Config{}), now: start,
			streams: map[table.StreamID]*streamState{}, recoveries: map[table.EndpointID][]time.Time{},
		}
		n := rapid.IntRange(1, 12).Draw(t, "streams")
		for i := range n {
			id := table.StreamID(fmt.Sprint("s", i))
			m.streams[id] = &streamState{}
			cfg := OpenedConfig{
				Stream: id, FirstAttempt: 1, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				ProgressDue: start.Add(time.Duration(i) * time.Second), PromptTokens: 100, KVBytesPerToken: 1000,
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
			m.tick(t, m.drawEvent(t, id, m.streams[id]))
		}
		m.now = start.Add(time.Minute)
		m.tick(t)
		for id, f := range m.streams {
			if f.ended != 1 {
				t.Fatalf("%s ended %d times", id, f.ended)
			}
		}
		if m.s.Len() != 0 || len(m.s.byStage) != 0 {
			t.Fatalf("%d streams and %d endpoints remain after all streams ended", m.s.Len(), len(m.s.byStage))
		}
	})
}
