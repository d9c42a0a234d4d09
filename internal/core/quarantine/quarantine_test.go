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

// world runs requests on endpoints and keeps the marks that go to peers.
type world struct {
	s    *System
	now  time.Time
	inc  map[table.EndpointID]uint64
	sent []Mark
	sick []table.EndpointID
	on   map[table.EndpointID][]table.StreamID
}

func newWorld(cfg Config) *world {
	return &world{s: New(cfg), now: start, inc: map[table.EndpointID]uint64{}, on: map[table.EndpointID][]table.StreamID{}}
}

func (w *world) tick(events ...Event) {
	for _, d := range w.s.Tick(w.now, events) {
		switch d := d.(type) {
		case SpreadMarks:
			w.sent = append(w.sent, d.Marks()...)
		case Sick:
			w.sick = append(w.sick, d.Endpoint())
		}
	}
}

// run starts a request on endpoints; the stream is named after the request.
func (w *world) run(name string, ids ...table.EndpointID) {
	w.tick(NewStarted(table.StreamID(name), fp(name), ids))
	for _, id := range ids {
		w.on[id] = append(w.on[id], table.StreamID(name))
	}
}

func (w *world) crash(id table.EndpointID) {
	w.inc[id]++
	w.tick(NewEndpointCrashed(id, w.inc[id]))
	w.now = w.now.Add(time.Second)
	// The streams have lost the endpoint, as the runner reports.
	for _, name := range w.on[id] {
		w.tick(NewStopped(name))
	}
	w.on[id] = nil
}

func (w *world) ruling(name string) Ruling { return w.s.Verdict(w.now, fp(name)).Ruling() }

// Guards against a crashing request that takes down a third endpoint.
func TestTwoMarksRefuse(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	w.run("poison", "a")
	w.crash("a")
	is.Equal(w.ruling("poison"), Isolate)
	w.run("poison", "b")
	w.crash("b")
	is.Equal(w.ruling("poison"), Refuse)
	is.Equal(len(w.sent), 2)
	is.Equal(w.ruling("other"), Clear)
}

// Guards against an innocent request that stays shut out: marks and the refusal end after 10 min.
func TestRefusalEnds(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	w.run("unlucky", "a")
	w.crash("a")
	w.now = w.now.Add(9 * time.Minute)
	w.run("unlucky", "b")
	w.crash("b")
	w.now = w.now.Add(10*time.Minute - 2*time.Second)
	is.Equal(w.ruling("unlucky"), Refuse) // 10 min count from the second mark
	w.now = w.now.Add(2 * time.Second)
	is.Equal(w.ruling("unlucky"), Clear)
}

// Guards against two crashes far apart being taken for the work of one request.
func TestMarksExpire(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	w.run("r", "a")
	w.crash("a")
	w.now = w.now.Add(10 * time.Minute)
	is.Equal(w.ruling("r"), Clear)
	w.run("r", "b")
	w.crash("b")
	is.Equal(w.ruling("r"), Isolate)
	w.now = w.now.Add(12 * time.Minute)
	w.tick()
	is.Equal(w.s.Len(), 0) // nothing is kept
}

// Guards against a request that completed being refused for bad luck before.
func TestCompletionClears(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	w.run("r", "a")
	w.crash("a")
	w.tick(NewCompleted(fp("r")))
	is.Equal(w.ruling("r"), Clear)
	is.True(w.sent[1].Cleared())
	w.now = w.now.Add(time.Second)
	w.tick(NewPeerMarks(w.sent[:1])) // a mark from before the completion comes back late from a peer
	is.Equal(w.ruling("r"), Clear)
	w.run("r", "b")
	w.crash("b")
	is.Equal(w.ruling("r"), Isolate)
}

// Guards against one crash counting twice, whether seen twice here, by two hosts, or through a peer.
func TestOneCrashIsOneMark(t *testing.T) {
	is := is.New(t)
	w, other := newWorld(Config{}), newWorld(Config{})
	w.run("r", "a")
	other.run("r", "a")
	w.crash("a")
	other.crash("a")
	w.tick(NewEndpointCrashed("a", 1))
	w.tick(NewPeerMarks(other.sent))
	is.Equal(w.ruling("r"), Isolate)
}

// Guards against a late report of a crash marking a stream that began after the restart.
func TestLateReportMarksNoLaterStream(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	w.run("r", "a")
	w.crash("a")
	w.run("later", "a")
	w.tick(NewEndpointCrashed("a", 1))
	is.Equal(w.ruling("later"), Clear)
}

// Guards against a rack fault that takes both endpoints of a pipeline giving every stream two marks.
func TestOneRunOneMark(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	w.run("r", "a", "b")
	w.tick(NewEndpointCrashed("a", 1), NewEndpointCrashed("b", 1))
	is.Equal(w.ruling("r"), Isolate)
	w.run("r", "c")
	w.crash("c")
	is.Equal(w.ruling("r"), Refuse)
}

// Guards against a peer that admits a request that crashed endpoints elsewhere.
func TestMarksFromPeers(t *testing.T) {
	is := is.New(t)
	a, b, c := newWorld(Config{}), newWorld(Config{}), newWorld(Config{})
	a.run("poison", "e1")
	a.crash("e1")
	b.run("poison", "e2")
	b.crash("e2")
	c.now = b.now
	c.tick(NewPeerMarks(b.sent), NewPeerMarks(a.sent), NewPeerMarks(a.sent))
	is.Equal(c.ruling("poison"), Refuse)
}

// Guards against hosts that merge the same marks in another order and disagree on the end of a refusal.
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

// Guards against a second crash under isolation marking both suspects of the first one.
func TestIsolationNamesSharedEndpoints(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	w.run("x", "a")
	w.run("y", "a")
	w.crash("a")
	w.run("x", "b", "c")
	v := w.s.Verdict(w.now, fp("y"))
	is.Equal(v.Ruling(), Isolate)
	is.Equal(v.Crashes(), []CrashID{"a@1"})
	is.Equal(v.Avoid(), []table.EndpointID{"b", "c"})
	is.Equal(len(w.s.Verdict(w.now, fp("x")).Avoid()), 0) // its own endpoints are not shared
	w.tick(NewStopped("x"))
	is.Equal(len(w.s.Verdict(w.now, fp("y")).Avoid()), 0)
}

// Guards against a sick endpoint whose crashes get ever more innocent requests refused.
func TestSickEndpoint(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	for i := range 6 {
		w.run(fmt.Sprint("r", i), "sick")
		w.crash("sick")
	}
	is.Equal(w.sick, []table.EndpointID{"sick"})
	is.Equal(len(w.sent), 2) // the crashes before it was known to be sick
	is.Equal(w.ruling("r5"), Clear)
	w.now = w.now.Add(11 * time.Minute)
	w.run("poison", "sick")
	w.crash("sick")
	is.Equal(w.ruling("poison"), Isolate) // a repaired endpoint counts again
}

// Guards against a crashing request that hides behind an endpoint it has crashed itself.
func TestCrashingRequestIsNoSickness(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{})
	for i := range 4 {
		w.run(fmt.Sprint("poison", i), table.EndpointID(fmt.Sprint("e", i)))
		w.crash(table.EndpointID(fmt.Sprint("e", i)))
		w.run(fmt.Sprint("poison", i), "victim")
		w.crash("victim")
		is.Equal(w.ruling(fmt.Sprint("poison", i)), Refuse)
	}
	is.Equal(len(w.sick), 0) // each crash is explained by a request marked elsewhere
}

// Guards against a flood of marks that takes up the memory of a host or pushes out a refusal.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{MaxRequests: 100})
	w.run("poison", "a")
	w.crash("a")
	w.run("poison", "b")
	w.crash("b")
	for i := range 1000 {
		m := NewMark(MarkConfig{Fingerprint: fp(fmt.Sprint(i)), Crash: "x@1", At: w.now})
		w.tick(NewPeerMarks([]Mark{m}))
		is.True(w.s.Len() <= 100)
	}
	is.Equal(w.ruling("poison"), Refuse)
}

// Guards against requests of two workspaces, or with shifted field borders, sharing marks.
func TestFingerprintSeparatesFields(t *testing.T) {
	is := is.New(t)
	is.True(FingerprintOf("a", "bc", nil) != FingerprintOf("ab", "c", nil))
	is.True(FingerprintOf("a", "b", []byte("c")) != FingerprintOf("a", "bc", nil))
}
