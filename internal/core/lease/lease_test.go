package lease_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/lease"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/core/table"
)

const (
	duty         = "placement"
	maxOrderTime = 5 * time.Second
)

// TestMain fixes the seed, so that every run checks the same histories unless flags are set.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type host struct {
	name   string
	system *lease.System
	// Each host's monotonic clock has its own zero and its own rate.
	zero   time.Time
	rate   float64
	paused bool
	inbox  []lease.Event
	calls  []lease.Decision
	// lastActed is the simulated time at which the host was last allowed to act.
	lastActed time.Time
	released  bool
	// answers are responses still in flight to calls that were carried out.
	answers []lease.Event
}

func (h *host) clock(now time.Time) time.Time {
	return h.zero.Add(time.Duration(float64(now.Sub(time.Unix(0, 0))) * h.rate))
}

type sim struct {
	now         time.Time
	version     int64
	value       []byte
	hosts       []*host
	late        []lease.Decision
	incarnation uint64
	lastFence   int64
	lastHolder  *host
	holds       int
	// replaced are the times of the last actions of processes that ended without releasing the lease.
	replaced []time.Time
	fault    string
}

func newSim() *sim { return &sim{now: time.Unix(0, 0)} }

func (s *sim) failf(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

func (s *sim) addHost(name string, zero time.Duration, rate float64) *host {
	h := &host{name: name, zero: time.Unix(0, 0).Add(zero), rate: rate}
	s.hosts = append(s.hosts, h)
	s.restart(h)
	return h
}

// restart replaces the process of a host. Calls and orders of the old process may still be in flight.
func (s *sim) restart(h *host) {
	s.incarnation++
	s.late = append(s.late, h.calls...)
	if !h.released && !h.lastActed.IsZero() {
		s.replaced = append(s.replaced, h.lastActed)
	}
	h.calls, h.inbox, h.answers, h.paused, h.lastActed = nil, nil, nil, false, time.Time{}
	h.system = lease.New(lease.Config{Self: table.HostID(h.name), Incarnation: s.incarnation, MaxOrderTime: maxOrderTime})
}

func (s *sim) send(h *host, e lease.Event) {
	h.inbox = append(h.inbox, e)
	s.tick(h)
}

func (s *sim) tick(h *host) {
	if h.paused {
		return
	}
	events := h.inbox
	h.inbox = nil
	for _, d := range h.system.Tick(h.clock(s.now), events) {
		if _, ok := d.(lease.Changed); !ok {
			h.calls = append(h.calls, d)
		}
	}
}

func (s *sim) carryOut(d lease.Decision) lease.Event {
	switch d := d.(type) {
	case lease.ReadLease:
		if s.version == 0 {
			return lease.NewObjectRead(duty, lease.CallResult{Status: storage.NotFound})
		}
		return lease.NewObjectRead(duty, lease.CallResult{Status: storage.OK, Version: s.version, Value: s.value})
	case lease.WriteLease:
		if d.Expected() != s.version {
			return lease.NewObjectWritten(duty, lease.CallResult{Status: storage.Conflict})
		}
		s.version++
		s.value = d.Value()
		return lease.NewObjectWritten(duty, lease.CallResult{Status: storage.OK, Version: s.version})
	}
	return nil
}

func failureEvent(d lease.Decision, status storage.Status) lease.Event {
	if _, ok := d.(lease.ReadLease); ok {
		return lease.NewObjectRead(duty, lease.CallResult{Status: status})
	}
	return lease.NewObjectWritten(duty, lease.CallResult{Status: status})
}

// endCall ends the oldest call of a host in one of these ways: ok, slow (carried out, answered later),
// lost (carried out, never answered), late (may be carried out later), dropped (never carried out,
// result unknown) or unavailable.
func (s *sim) endCall(h *host, how string) {
	d := h.calls[0]
	h.calls = h.calls[1:]
	switch how {
	case "ok":
		h.inbox = append(h.inbox, s.carryOut(d))
	case "slow":
		h.answers = append(h.answers, s.carryOut(d))
	case "lost":
		s.carryOut(d)
		h.inbox = append(h.inbox, failureEvent(d, storage.Unknown))
	case "late":
		s.late = append(s.late, d)
		h.inbox = append(h.inbox, failureEvent(d, storage.Unknown))
	case "dropped":
		h.inbox = append(h.inbox, failureEvent(d, storage.Unknown))
	case "unavailable":
		h.inbox = append(h.inbox, failureEvent(d, storage.Unavailable))
	}
	s.tick(h)
}

// deliver delivers the delayed responses to the host.
func (s *sim) deliver(h *host) {
	h.inbox = append(h.inbox, h.answers...)
	h.answers = nil
	s.tick(h)
}

func (s *sim) carryOutLate(i int) {
	d := s.late[i]
	s.late = slices.Delete(s.late, i, i+1)
	s.carryOut(d)
}

// check verifies the invariants as if every host, even a paused one, checked its lease now.
func (s *sim) check() {
	var holder *host
	var fence int64
	for _, h := range s.hosts {
		f, ok := h.system.Held(duty, h.clock(s.now))
		if !ok {
			continue
		}
		if holder != nil {
			s.failf("two holders: %s and %s", holder.name, h.name)
		}
		holder, fence = h, f
	}
	if holder == nil {
		return
	}
	if fence < s.lastFence || fence == s.lastFence && holder != s.lastHolder {
		s.failf("fencing number %d of %s after %d", fence, holder.name, s.lastFence)
	}
	for _, h := range s.hosts {
		if h != holder && !h.released && !h.lastActed.IsZero() && s.now.Sub(h.lastActed) < maxOrderTime {
			s.failf("%s holds while an order of %s may be in flight", holder.name, h.name)
		}
	}
	for _, at := range s.replaced {
		if s.now.Sub(at) < maxOrderTime {
			s.failf("%s holds while an order of a replaced process may be in flight", holder.name)
		}
	}
	if fence != s.lastFence {
		s.holds++
	}
	s.lastFence, s.lastHolder = fence, holder
	holder.lastActed, holder.released = s.now, false
}

// advance advances the time in small steps, like the loop of a daemon.
func (s *sim) advance(d time.Duration) {
	const period = 100 * time.Millisecond
	for d > 0 {
		s.now = s.now.Add(min(d, period))
		d -= period
		for _, h := range s.hosts {
			s.tick(h)
		}
		s.check()
	}
}

// Guards against two hosts that act under one lease, orders of the previous holder still in flight
// when the next one starts, and decreasing fencing numbers. Faults are lost and late writes, paused
// and restarted hosts, clocks with different rates and an unavailable platform.
func TestOneHolder(t *testing.T) {
	holds := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim()
		for i, name := range []string{"a", "b", "c"} {
			rate := rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "rate")
			s.send(s.addHost(name, time.Duration(i)*time.Hour, rate), lease.NewHoldRequested(duty))
		}
		for i := range rapid.IntRange(50, 300).Draw(t, "steps") {
			step(t, s)
			s.check()
			if s.fault != "" {
				t.Fatalf("step %d: %s", i, s.fault)
			}
		}
		endFaults(t, s)
		holds += s.holds
	})
	if holds == 0 {
		t.Fatal("no history in which a lease was held")
	}
}

func step(t *rapid.T, s *sim) {
	h := s.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
	action := rapid.IntRange(0, 99).Draw(t, "action")
	switch {
	case action < 60:
		if len(h.calls) > 0 {
			s.endCall(h, rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "slow", "lost", "late", "dropped", "unavailable"}).Draw(t, "end"))
		}
	case action < 65:
		if len(s.late) > 0 {
			s.carryOutLate(rapid.IntRange(0, len(s.late)-1).Draw(t, "late"))
		}
	case action < 69:
		h.paused = !h.paused
		s.tick(h)
	case action < 70:
		// The orders of the old process may be in flight, so it is not marked as released.
		s.restart(h)
		s.send(h, lease.NewHoldRequested(duty))
	case action < 72 && !h.paused:
		// A holder releases a lease only after its orders have ended.
		s.send(h, lease.NewReleaseRequested(duty))
		h.released = true
	case action < 74:
		s.send(h, lease.NewHoldRequested(duty))
	case action < 80:
		s.deliver(h)
	default:
		s.advance(time.Duration(rapid.SampledFrom([]int{100, 500, 2000, 4000}).Draw(t, "ms")) * time.Millisecond)
	}
}

// endFaults ends all faults. Some host must then hold the lease within the time of two takeovers.
func endFaults(t *rapid.T, s *sim) {
	for len(s.late) > 0 {
		s.carryOutLate(0)
	}
	held := false
	for _, h := range s.hosts {
		h.paused = false
		s.deliver(h)
		s.send(h, lease.NewHoldRequested(duty))
	}
	for range 400 {
		for _, h := range s.hosts {
			for len(h.calls) > 0 {
				s.endCall(h, "ok")
			}
			_, ok := h.system.Held(duty, h.clock(s.now))
			held = held || ok
		}
		s.advance(100 * time.Millisecond)
	}
	if s.fault != "" {
		t.Fatal(s.fault)
	}
	if !held {
		t.Fatal("no host holds the lease 40 s after all failures ended")
	}
}

// TestScripts guards against the failures described at the head of each script in testdata.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := newSim()
			for i, line := range strings.Split(string(archive.Files[0].Data), "\n") {
				if fields := strings.Fields(line); len(fields) > 0 {
					s.run(t, fmt.Sprintf("line %d: %s", i+1, line), fields)
				}
			}
		})
	}
}

func (s *sim) run(t *testing.T, line string, f []string) {
	is := is.New(t)
	var h *host
	if len(f) > 1 {
		if i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == f[1] }); i >= 0 {
			h = s.hosts[i]
		}
	}
	switch f[0] {
	case "host":
		s.addHost(f[1], 0, 1)
	case "hold":
		s.send(h, lease.NewHoldRequested(duty))
	case "release":
		s.send(h, lease.NewReleaseRequested(duty))
		h.released = true
	case "end":
		if len(h.calls) == 0 {
			t.Fatalf("%s: no call in flight", line)
		}
		s.endCall(h, f[2])
	case "land":
		s.carryOutLate(0)
	case "deliver":
		s.deliver(h)
	case "pause", "resume":
		h.paused = f[0] == "pause"
		s.tick(h)
	case "restart":
		s.restart(h)
	case "pass":
		d, err := time.ParseDuration(f[1])
		is.NoErr(err)
		s.advance(d)
	case "want":
		fence, ok := h.system.Held(duty, h.clock(s.now))
		got := string(h.system.State(duty))
		if ok {
			got += " fence " + strconv.FormatInt(fence, 10)
		}
		if want := strings.Join(f[2:], " "); got != want {
			t.Fatalf("%s: got %s", line, got)
		}
	default:
		t.Fatalf("%s: unknown command", line)
	}
	s.check()
	if s.fault != "" {
		t.Fatalf("%s: %s", line, s.fault)
	}
}
