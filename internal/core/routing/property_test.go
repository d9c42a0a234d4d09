package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// TestMain fixes the seed of the property tests, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model tracks the state that the daemon can derive from events and decisions alone.
type model struct {
	t     *rapid.T
	s     *System
	now   time.Time
	plain bool
	hosts int
	slots map[string]int
	// All pipelines; an event may leave some of them out.
	pipelines []PipelineConfig
	endpoints []PlainEndpointConfig
	grants    map[string]grantModel
	requests  map[table.RequestID]*requestModel
	ids       []table.RequestID
	events    []Event
	// The request whose caller disconnects in this batch.
	leaving table.RequestID
	// Events that result from the last decisions.
	nextEvents []Event
}

type grantModel struct {
	slots int
	until time.Time
}

type requestModel struct {
	cfg        ArrivedConfig
	running    *table.Pipeline
	ended      bool
	dispatches int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: epoch, plain: rapid.Bool().Draw(t, "plain"), hosts: rapid.IntRange(1, 3).Draw(t, "hosts"),
		slots: map[string]int{}, grants: map[string]grantModel{}, requests: map[table.RequestID]*requestModel{},
	}
	m.s = New(Config{Seed: rapid.Uint64().Draw(t, "seed"), Hosts: m.hosts})
	m.events = append(m.events, NewLimits(LimitsConfig{Service: "s", Queue: 12, QueuePerWorkspace: 6}))
	var pipelines []PipelineConfig
	var plain []PlainEndpointConfig
	for i := range rapid.IntRange(1, 5).Draw(t, "pipelines") {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		if m.plain {
			name := fmt.Sprint("p", i)
			plain = append(plain, PlainEndpointConfig{Endpoint: table.EndpointID(name), Slots: slots})
			m.slots[name] = slots
			continue
		}
		// Neighbouring pipelines share a stage.
		p := pipeline(fmt.Sprint("e", i), fmt.Sprint("e", i+1))
		pipelines = append(pipelines, PipelineConfig{Pipeline: p, Slots: slots})
		m.slots[p.ID()] = slots
	}
	if m.plain {
		m.events = append(m.events, NewPlainEndpoints("s", plain))
	} else {
		m.events = append(m.events, NewPipelines("s", pipelines))
	}
	m.pipelines, m.endpoints = pipelines, plain
	return m
}

// setPipelines adds an event that removes the first pipeline, or one that restores all of them.
func (m *model) setPipelines(without bool) {
	from := 0
	if without && len(m.slots) > 1 {
		from = 1
	}
	if m.plain {
		m.events = append(m.events, NewPlainEndpoints("s", m.endpoints[from:]))
		return
	}
	m.events = append(m.events, NewPipelines("s", m.pipelines[from:]))
}

func (m *model) step(i int) {
	switch rapid.IntRange(0, 10).Draw(m.t, "step") {
	case 0, 1, 2, 3:
		m.arrive(fmt.Sprint("r", i))
	case 4, 5:
		m.endAttempt(false)
	case 6:
		m.endAttempt(true)
	case 7:
		if len(m.ids) > 0 {
			id := rapid.SampledFrom(m.ids).Draw(m.t, "departs")
			m.events = append(m.events, NewDeparted(id))
			m.requests[id].ended, m.requests[id].running = true, nil
			m.leaving = id
		}
	case 8:
		m.grant()
	case 10:
		m.setPipelines(rapid.Bool().Draw(m.t, "without"))
	case 9:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "ms")) * time.Millisecond)
	}
}

func (m *model) arrive(id string) {
	cfg := ArrivedConfig{
		Request: table.RequestID(id), Service: "s",
		Workspace: table.WorkspaceID(rapid.StringMatching("[a-c]").Draw(m.t, "workspace")),
		Priority:  rapid.IntRange(0, 2).Draw(m.t, "priority"), Weight: rapid.IntRange(1, 4).Draw(m.t, "weight"),
		Preamble: uint64(rapid.IntRange(0, 4).Draw(m.t, "preamble")), MaxTokens: 100,
		Recovery:  !m.plain && rapid.IntRange(0, 4).Draw(m.t, "recovery") == 0,
		FirstSend: rapid.Bool().Draw(m.t, "first"), Repeatable: rapid.Bool().Draw(m.t, "repeatable"),
		Key: rapid.StringMatching("|k[0-3]").Draw(m.t, "key"), Preemptible: rapid.Bool().Draw(m.t, "preemptible"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(m.t, "deadline")) * time.Millisecond),
	}
	if rapid.IntRange(0, 2).Draw(m.t, "marked") == 0 {
		cfg.CrashMarks = []string{rapid.StringMatching("crash[0-2]").Draw(m.t, "crash")}
	}
	m.requests[cfg.Request] = &requestModel{cfg: cfg}
	m.ids = append(m.ids, cfg.Request)
	m.events = append(m.events, NewArrived(cfg))
}

// endAttempt completes or fails a running request.
func (m *model) endAttempt(fails bool) {
	for _, id := range m.ids {
		r := m.requests[id]
		if r.running == nil || rapid.Bool().Draw(m.t, "other") {
			continue
		}
		stage := rapid.SampledFrom(r.running.Stages()).Draw(m.t, "stage").Endpoint()
		r.running = nil
		if !fails {
			r.ended = true
			m.events = append(m.events, NewFinished(id, 50, time.Second))
			return
		}
		reason := rapid.SampledFrom([]Reason{ReasonReset, ReasonUnresponsive, ReasonBusy}).Draw(m.t, "reason")
		m.events = append(m.events, NewAttemptFailed(id, stage, reason))
		// The stream system abandons some streams and submits the others again.
		if !m.plain && rapid.Bool().Draw(m.t, "requeue") {
			r.cfg.Recovery, r.cfg.Deadline = true, time.Time{}
			m.events = append(m.events, NewArrived(r.cfg))
		} else if !m.plain {
			r.ended = true
		}
		return
	}
}

func (m *model) grant() {
	for _, svc := range m.s.serviceList {
		for _, t := range svc.list {
			if rapid.Bool().Draw(m.t, "granted") {
				continue
			}
			g := grantModel{rapid.IntRange(0, m.slots[t.id]).Draw(m.t, "grant"), m.now.Add(2 * time.Second)}
			m.grants[t.id] = g
			m.events = append(m.events, NewGrants([]GrantConfig{{
				Pipeline: t.id, Slots: g.slots, Sequence: uint64(m.now.Sub(epoch)), Lifetime: 2 * time.Second,
			}}))
		}
	}
}

func (m *model) tick() {
	for _, d := range m.s.Tick(m.now, m.events) {
		switch d := d.(type) {
		case *Dispatch:
			m.dispatched(d)
		case Refuse:
			m.refused(d)
		case Preempt:
			m.preempted(d)
		case Drop:
			m.requests[d.request].ended = true
		}
	}
	m.leaving = ""
	m.events = append(m.events[:0], m.nextEvents...)
	m.nextEvents = m.nextEvents[:0]
}

// preempted checks that the stopped request was running, preemptible and of a lower class, and submits it again
// as the stream system does.
func (m *model) preempted(d Preempt) {
	victim, head := m.requests[d.Request()], m.requests[d.Beneficiary()]
	allowed := victim.cfg.Preemptible && victim.cfg.Repeatable && !m.plain
	if victim.running == nil || !allowed || victim.cfg.Priority <= head.cfg.Priority {
		m.t.Fatalf("%s of class %d was stopped for %s of class %d; allowed %t", d.Request(), victim.cfg.Priority,
			d.Beneficiary(), head.cfg.Priority, allowed)
	}
	victim.running = nil
	m.nextEvents = append(m.nextEvents, NewAttemptFailed(d.Request(), "", ReasonPreempted))
	victim.cfg.Recovery, victim.cfg.Deadline = true, time.Time{}
	m.nextEvents = append(m.nextEvents, NewArrived(victim.cfg))
}

func (m *model) dispatched(d *Dispatch) {
	r, p := m.requests[d.Request()], d.Pipeline()
	if r.ended || r.running != nil {
		m.t.Fatalf("%s was dispatched although it has ended or is running", d.Request())
	}
	r.dispatches++
	if m.plain && !r.cfg.Repeatable && r.dispatches > 1 {
		m.t.Fatalf("%s may not be repeated and was dispatched twice", d.Request())
	}
	if len(d.Rejected()) > maxRejected {
		m.t.Fatalf("the decision lists %d rejected pipelines", len(d.Rejected()))
	}
	running := 1
	for _, other := range m.requests {
		if other.running == nil {
			continue
		}
		if other.running.ID() == p.ID() {
			running++
		}
		m.checkIsolation(d, r, other)
	}
	r.running = &p
	limit := m.slots[p.ID()]/m.hosts + 1
	if m.slots[p.ID()]%m.hosts == 0 {
		limit--
	}
	if g, ok := m.grants[p.ID()]; ok && m.now.Before(g.until) {
		limit = g.slots
	}
	if running > limit {
		m.t.Fatalf("%d requests run on %s, the limit is %d", running, p.ID(), limit)
	}
}

func (m *model) checkIsolation(d *Dispatch, r, other *requestModel) {
	for _, a := range r.cfg.CrashMarks {
		for _, b := range other.cfg.CrashMarks {
			if a != b {
				continue
			}
			for _, stage := range d.Pipeline().Stages() {
				if other.running.Uses(stage.Endpoint()) {
					m.t.Fatalf("%s and %s are marked with %s and share %s", d.Request(), other.cfg.Request, a, stage.Endpoint())
				}
			}
		}
	}
}

func (m *model) refused(d Refuse) {
	r := m.requests[d.Request()]
	// A request may be refused although its caller disconnects in the same batch in which it was submitted again.
	if r.ended && d.Request() != m.leaving || r.running != nil {
		m.t.Fatalf("%s was refused although it has ended or is running", d.Request())
	}
	r.ended = true
	ref := d.Refusal()
	if ref.Outcome() == outcome.NotRun && (!r.cfg.FirstSend || r.dispatches > 0 || m.plain && !r.cfg.Repeatable) {
		m.t.Fatalf("%s was refused with outcome not_run: first send %t, %d dispatches", d.Request(), r.cfg.FirstSend, r.dispatches)
	}
	if ref.RetryAfter() <= 0 {
		m.t.Fatalf("%s was refused without a retry time", d.Request())
	}
}

// Guards, for any order of events, against dispatch beyond the grant, two requests marked with the same crash on
// one endpoint, a second dispatch of a call that may not be repeated, a second decision for an ended request, a
// false "not run", an unbounded queue, and a request that waits beyond its deadline.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.tick()
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step(i)
			m.tick()
			if n := m.s.Waiting(); n > 24 {
				t.Fatalf("%d requests wait", n)
			}
			for _, id := range m.ids {
				r := m.requests[id]
				if !r.ended && r.running == nil && !r.cfg.Deadline.IsZero() && !m.now.Before(r.cfg.Deadline) {
					t.Fatalf("%s waits beyond its deadline", id)
				}
			}
		}
		m.drain()
	})
}

// drain completes running requests until none is left. It guards against lost requests and slots.
func (m *model) drain() {
	m.setPipelines(false)
	// Within these 400 seconds failed pipelines are probed and grants expire.
	for range 400 {
		open := 0
		for _, id := range m.ids {
			r := m.requests[id]
			if r.running != nil {
				r.ended, r.running = true, nil
				m.events = append(m.events, NewFinished(id, 50, time.Second))
			}
			if !r.ended {
				open++
			}
		}
		m.now = m.now.Add(time.Second)
		m.tick()
		if open == 0 {
			break
		}
	}
	for _, id := range m.ids {
		if r := m.requests[id]; !r.ended && r.running == nil && m.minShare() > 0 {
			m.t.Fatalf("%s was neither dispatched nor refused", id)
		}
	}
}

// minShare returns the smallest equal share of this host over all pipelines. If it is zero, a request may
// legitimately wait.
func (m *model) minShare() int {
	least := 1 << 30
	for _, slots := range m.slots {
		least = min(least, slots/m.hosts)
	}
	return least
}

// Guards against retries that amplify an outage. When every attempt fails, the retries must not exceed a tenth
// of the requests plus the initial allowance.
func TestRetryBudget(t *testing.T) {
	s := New(Config{Seed: 1})
	var list []PlainEndpointConfig
	for i := range 20 {
		list = append(list, PlainEndpointConfig{Endpoint: table.EndpointID(fmt.Sprint("p", i)), Slots: 50})
	}
	now := epoch
	s.Tick(now, []Event{NewPlainEndpoints("s", list)})
	var events []Event
	retries, requests := 0, 1000
	for i := range requests {
		events = append(events, NewArrived(ArrivedConfig{
			Request: table.RequestID(fmt.Sprint("r", i)), Service: "s", Workspace: "w", FirstSend: true, Repeatable: true,
		}))
		for len(events) > 0 {
			now = now.Add(time.Millisecond)
			decisions := s.Tick(now, events)
			events = events[:0]
			for _, d := range decisions {
				if d, ok := d.(*Dispatch); ok {
					if d.Retry() {
						retries++
					}
					events = append(events, NewAttemptFailed(d.Request(), d.Endpoint(), ReasonReset))
				}
			}
		}
	}
	if limit := requests/10 + 1; retries > limit || retries < limit/2 {
		t.Fatalf("%d retries for %d requests, want at most %d", retries, requests, limit)
	}
}
