package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/table"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func fp(name string) Fingerprint { return FingerprintOf("svc", "ws", []byte(name)) }

// simulation runs requests on endpoints and collects the marks that are sent to peers.
type simulation struct {
	s            *System
	now          time.Time
	incarnations map[table.EndpointID]uint64
	sent         []Mark
	faulty       []table.EndpointID
	running      map[table.EndpointID][]table.StreamID
}

func newSimulation(cfg Config) *simulation {
	return &simulation{s: New(cfg), now: start, incarnations: map[table.EndpointID]uint64{}, running: map[table.EndpointID][]table.StreamID{}}
}

func (sim *simulation) tick(events ...Event) {
	for _, d := range sim.s.Tick(sim.now, events) {
		switch d := d.(type) {
		case SendMarks:
			sim.sent = append(sim.sent, d.Marks()...)
		case FaultyEndpoint:
			sim.faulty = append(sim.faulty, d.Endpoint())
		}
	}
}

// run starts a request on endpoints; the stream is named after the request.
func (sim *simulation) run(name string, ids ...table.EndpointID) {
	sim.tick(NewStarted(table.StreamID(name), fp(name), ids))
	for _, id := range ids {
		sim.running[id] = append(sim.running[id], table.StreamID(name))
	}
}

func (sim *simulation) crash(id table.EndpointID) {
	sim.incarnations[id]++
	sim.tick(NewEndpointCrashed(id, sim.incarnations[id]))
	sim.now = sim.now.Add(time.Second)
	// As the runner does, report that the streams no longer run on the endpoint.
	for _, name := range sim.running[id] {
		sim.tick(NewStopped(name))
	}
	sim.running[id] = nil
}

func (sim *simulation) ruling(name string) Ruling { return sim.s.Verdict(sim.now, fp(name)).Ruling() }

// Guards against a crashing request that is admitted again and crashes a third endpoint.
func TestTwoMarksRefuse(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	sim.run("poison", "a")
	sim.crash("a")
	is.Equal(sim.ruling("poison"), Isolate)
	sim.run("poison", "b")
	sim.crash("b")
	is.Equal(sim.ruling("poison"), Refuse)
	is.Equal(len(sim.sent), 2)
	is.Equal(sim.ruling("other"), Clear)
}

// Guards against sending callers away for long whose request other hosts are about to clear.
func TestRefusalIsRecent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	sim.run("r", "a")
	sim.crash("a")
	sim.run("r", "b")
	sim.crash("b")
	is.True(sim.s.Verdict(sim.now, fp("r")).Recent())
	sim.now = sim.now.Add(evidenceTime)
	is.Equal(sim.ruling("r"), Refuse)
	is.True(!sim.s.Verdict(sim.now, fp("r")).Recent())
}

// Guards against a request that stays refused after unrelated crashes. Marks and the refusal expire
// after 10 min.
func TestRefusalEnds(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	sim.run("unlucky", "a")
	sim.crash("a")
	sim.now = sim.now.Add(9 * time.Minute)
	sim.run("unlucky", "b")
	sim.crash("b")
	sim.now = sim.now.Add(10*time.Minute - 2*time.Second)
	is.Equal(sim.ruling("unlucky"), Refuse) // the 10 min start at the second mark
	sim.now = sim.now.Add(2 * time.Second)
	is.Equal(sim.ruling("unlucky"), Clear)
}

// Guards against refusing a request for two crashes that are more than a mark's lifetime apart.
func TestMarksExpire(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	sim.run("r", "a")
	sim.crash("a")
	sim.now = sim.now.Add(10 * time.Minute)
	is.Equal(sim.ruling("r"), Clear)
	sim.run("r", "b")
	sim.crash("b")
	is.Equal(sim.ruling("r"), Isolate)
	sim.now = sim.now.Add(12 * time.Minute)
	sim.tick()
	is.Equal(sim.s.Len(), 0) // the entry is removed
}

// Guards against refusing a request for marks from before it completed.
func TestCompletionClears(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	sim.run("r", "a")
	sim.crash("a")
	sim.tick(NewCompleted(fp("r")))
	is.Equal(sim.ruling("r"), Clear)
	is.True(sim.sent[1].Cleared())
	sim.now = sim.now.Add(time.Second)
	sim.tick(NewPeerMarks(sim.sent[:1])) // a peer sends a mark from before the completion late
	is.Equal(sim.ruling("r"), Clear)
	sim.run("r", "b")
	sim.crash("b")
	is.Equal(sim.ruling("r"), Isolate)
}

// Guards against counting one crash twice when this host gets two reports of it, or another host
// detects it too and sends its mark.
func TestOneCrashIsOneMark(t *testing.T) {
	is := is.New(t)
	sim, other := newSimulation(Config{}), newSimulation(Config{})
	sim.run("r", "a")
	other.run("r", "a")
	sim.crash("a")
	other.crash("a")
	sim.tick(NewEndpointCrashed("a", 1))
	sim.tick(NewPeerMarks(other.sent))
	is.Equal(sim.ruling("r"), Isolate)
}

// Guards against a late report of a crash that marks a stream started after the restart.
func TestLateReportMarksNoLaterStream(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	sim.run("r", "a")
	sim.crash("a")
	sim.run("later", "a")
	sim.tick(NewEndpointCrashed("a", 1))
	is.Equal(sim.ruling("later"), Clear)
}

// Guards against a rack failure that gives every stream of a pipeline two marks, because it crashes
// two endpoints of the pipeline at once.
func TestOneRunOneMark(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	sim.run("r", "a", "b")
	sim.tick(NewEndpointCrashed("a", 1), NewEndpointCrashed("b", 1))
	is.Equal(sim.ruling("r"), Isolate)
	sim.run("r", "c")
	sim.crash("c")
	is.Equal(sim.ruling("r"), Refuse)
}

// Guards against a host that admits a request which crashed endpoints used by other hosts.
func TestMarksFromPeers(t *testing.T) {
	is := is.New(t)
	a, b, c := newSimulation(Config{}), newSimulation(Config{}), newSimulation(Config{})
	a.run("poison", "e1")
	a.crash("e1")
	b.run("poison", "e2")
	b.crash("e2")
	c.now = b.now
	c.tick(NewPeerMarks(b.sent), NewPeerMarks(a.sent), NewPeerMarks(a.sent))
	is.Equal(c.ruling("poison"), Refuse)
}

// Guards against hosts that merge the same marks in a different order and disagree on the end of a refusal.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	is := is.New(t)
	marks := make([]Mark, 0, 3)
	for i, c := range []CrashID{"a@1", "b@1", "c@1"} {
		at := start.Add(time.Duration(i) * 4 * time.Minute)
		marks = append(marks, NewMark(MarkConfig{Fingerprint: fp("r"), Crash: c, At: at}))
	}
	now := start.Add(9 * time.Minute)
	var want time.Time
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {0, 2, 1}} {
		s := New(Config{})
		for _, i := range order {
			s.Tick(now, []Event{NewPeerMarks(marks[i : i+1])})
		}
		until := s.Verdict(now, fp("r")).Until()
		if want.IsZero() {
			want = until
		}
		is.Equal(until, want)
	}
}

// Guards against isolation that runs two suspects of the first crash on one endpoint, where a second
// crash would mark both.
func TestIsolationNamesSharedEndpoints(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	sim.run("x", "a")
	sim.run("y", "a")
	sim.crash("a")
	sim.run("x", "b", "c")
	v := sim.s.Verdict(sim.now, fp("y"))
	is.Equal(v.Ruling(), Isolate)
	is.Equal(v.Crashes(), []CrashID{"a@1"})
	is.Equal(v.Avoid(), []table.EndpointID{"b", "c"})
	is.Equal(len(sim.s.Verdict(sim.now, fp("x")).Avoid()), 0) // endpoints that run only the request itself do not count
	sim.tick(NewStopped("x"))
	is.Equal(len(sim.s.Verdict(sim.now, fp("y")).Avoid()), 0)
}

// Guards against a faulty endpoint whose crashes refuse unrelated requests, and against one that takes the blame for a request
// that crashes other endpoints, too.
func TestSickEndpoint(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	for i := range 6 {
		sim.run(fmt.Sprint("r", i), "sick")
		sim.crash("sick")
	}
	is.Equal(sim.faulty, []table.EndpointID{"sick"})
	for i, m := range sim.sent {
		is.Equal(m.Late(), i >= 2) // the crashes since it was detected as faulty are weaker evidence
	}
	is.Equal(sim.ruling("r5"), Clear)
	sim.run("r5", "sick")
	sim.crash("sick")
	is.Equal(sim.ruling("r5"), Clear) // two crashes of a faulty endpoint refuse no request
	sim.now = sim.now.Add(11 * time.Minute)
	sim.run("poison", "sick")
	sim.crash("sick")
	is.Equal(sim.ruling("poison"), Isolate) // crashes of a repaired endpoint give marks again
}

// Guards against a request that is never refused since all endpoints that it crashes have crashed before.
func TestCrashingRequestAtFaultyEndpoints(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	endpoints := []table.EndpointID{"a", "b", "c"}
	for range 4 {
		for _, id := range endpoints {
			sim.crash(id)
		}
	}
	is.Equal(len(sim.faulty), len(endpoints))
	for _, id := range endpoints {
		is.Equal(sim.ruling("poison"), Clear)
		sim.run("poison", id)
		sim.crash(id)
	}
	is.Equal(sim.ruling("poison"), Refuse)
	is.Equal(sim.ruling("other"), Clear)
}

// Guards against marking an endpoint as faulty because crashing requests ran on it, after which its
// crashes would give no marks.
func TestCrashingRequestIsNoSickness(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{})
	for i := range 4 {
		sim.run(fmt.Sprint("poison", i), table.EndpointID(fmt.Sprint("e", i)))
		sim.crash(table.EndpointID(fmt.Sprint("e", i)))
		sim.run(fmt.Sprint("poison", i), "victim")
		sim.crash("victim")
		is.Equal(sim.ruling(fmt.Sprint("poison", i)), Refuse)
	}
	is.Equal(len(sim.faulty), 0) // each crash is explained by a request with a mark from another endpoint
}

// Guards against a large number of marks that exhausts the memory of a host or evicts a refusal.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{MaxRequests: 100})
	sim.run("poison", "a")
	sim.crash("a")
	sim.run("poison", "b")
	sim.crash("b")
	for i := range 1000 {
		m := NewMark(MarkConfig{Fingerprint: fp(fmt.Sprint(i)), Crash: "x@1", At: sim.now})
		sim.tick(NewPeerMarks([]Mark{m}))
		is.True(sim.s.Len() <= 100)
	}
	is.Equal(sim.ruling("poison"), Refuse)
}

// Guards against equal fingerprints for requests of two workspaces or with shifted field boundaries.
func TestFingerprintSeparatesFields(t *testing.T) {
	is := is.New(t)
	is.True(FingerprintOf("a", "bc", nil) != FingerprintOf("ab", "c", nil))
	is.True(FingerprintOf("a", "b", []byte("c")) != FingerprintOf("a", "bc", nil))
}
