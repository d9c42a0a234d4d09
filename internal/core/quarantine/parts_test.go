package quarantine

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/standin/script"
)

// partsSimulation runs requests with parts of prompts on endpoints, as several hosts see them.
type partsSimulation struct {
	t            *testing.T
	now          time.Time
	hosts        map[string]*System
	sent         map[string][]Mark
	incarnations map[table.EndpointID]uint64
	attempts     map[string]int
}

func (s *partsSimulation) tick(host string, events ...Event) {
	for _, d := range s.hosts[host].Tick(s.now, events) {
		if send, ok := d.(SendMarks); ok {
			s.sent[host] = append(s.sent[host], send.Marks()...)
		}
	}
}

// stream names the latest run of a request.
func (s *partsSimulation) stream(request string) table.StreamID {
	return table.StreamID(fmt.Sprintf("%s/%d", request, s.attempts[request]))
}

func partFingerprints(ids []string) []Fingerprint {
	var out []Fingerprint
	for _, id := range ids {
		out = append(out, PartFingerprint("svc", id))
	}
	return out
}

func (s *partsSimulation) execute(line string) {
	words := strings.Fields(line)
	if words[0] == "wait" {
		ms, err := strconv.Atoi(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
		return
	}
	host, args := words[0], words[2:]
	if s.hosts[host] == nil {
		s.hosts[host] = New(Config{PassOn: true})
	}
	switch words[1] {
	case "run":
		s.attempts[args[0]]++
		id := table.EndpointID(args[1])
		s.tick(host, NewStarted(s.stream(args[0]), fp(args[0]), []table.EndpointID{id}).WithParts(s.incarnations[id], partFingerprints(args[2:])))
	case "ran":
		s.tick(host, NewRan(s.stream(args[0])))
	case "broken":
		s.tick(host, NewBroken(s.stream(args[0])))
	case "refused":
		id := table.EndpointID(args[0])
		s.tick(host, NewConnectionRefused(id, s.incarnations[id]))
	case "crash":
		id := table.EndpointID(args[0])
		s.tick(host, NewBroken(s.stream(args[1])), NewConnectionRefused(id, s.incarnations[id]))
		s.incarnations[id]++
	case "ends":
		s.tick(host, NewEndedWithConnection(s.stream(args[0])))
	case "stop":
		s.tick(host, NewStopped(s.stream(args[0])))
	case "gone":
		id := table.EndpointID(args[0])
		s.tick(host, NewEndpointCrashed(id, s.incarnations[id]))
	case "tell", "greet":
		marks := s.sent[host]
		if words[1] == "greet" {
			marks = s.hosts[host].Refusals(s.now)
		} else {
			s.sent[host] = nil
		}
		for _, to := range args {
			if s.hosts[to] == nil {
				s.hosts[to] = New(Config{PassOn: true})
			}
			s.tick(to, NewPeerMarks(marks))
		}
	case "verdict":
		s.check(line, s.hosts[host].Verdict(s.now, fp("new"), partFingerprints(args[1:])...), args[0])
	case "rules":
		s.check(line, s.hosts[host].Verdict(s.now, fp(args[1]), partFingerprints(args[2:])...), args[0])
	case "waits":
		if got := s.hosts[host].Verdict(s.now, fp(args[1]), partFingerprints(args[2:])...).Waits(); got != (args[0] == "yes") {
			s.t.Errorf("%s: %t", line, got)
		}
	default:
		s.t.Fatalf("unknown command: %s", line)
	}
}

func (s *partsSimulation) check(line string, v Verdict, want string) {
	s.t.Helper()
	if string(v.Ruling()) != want {
		s.t.Errorf("%s: %s, crashes %v", line, v.Ruling(), v.Crashes())
	}
}

// Guards against a part of prompts that crashes worker after worker in requests of which no two are alike, and against the
// refusal of sound requests that share their other parts or were on the same workers.
func TestParts(t *testing.T) {
	runScripts(t, "testdata/parts.txtar")
}

func runScripts(t *testing.T, file string) {
	t.Helper()
	cases, err := script.ReadCases(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			s := &partsSimulation{
				t: t, now: start, hosts: map[string]*System{}, sent: map[string][]Mark{},
				incarnations: map[table.EndpointID]uint64{}, attempts: map[string]int{},
			}
			for line := range strings.Lines(c.Part("script")) {
				s.execute(strings.TrimSpace(line))
			}
		})
	}
}

// Guards against a request that goes on to crash endpoints since none of its marks count, and against the refusal of other
// requests for it.
func TestRequestIsBlamedBeforeParts(t *testing.T) {
	runScripts(t, "testdata/blame.txtar")
}

// Guards against a table of parts without bound, and against the loss of a refusal when it is full.
func TestPartTableIsBounded(t *testing.T) {
	is := is.New(t)
	s := &partsSimulation{
		t: t, now: start, hosts: map[string]*System{}, sent: map[string][]Mark{},
		incarnations: map[table.EndpointID]uint64{}, attempts: map[string]int{},
	}
	for i := range marksToRefusePart {
		s.execute(fmt.Sprintf("a run r%d w%d X", i, i))
		s.execute(fmt.Sprintf("a crash w%d r%d", i, i))
		s.execute("wait 300")
	}
	for i := range 3 * maxParts {
		s.execute(fmt.Sprintf("a run s%d v P%d", i, i))
		s.execute(fmt.Sprintf("a ran s%d", i))
	}
	is.True(len(s.hosts["a"].parts.parts) <= maxParts)
	s.execute("a verdict refuse X")
	for i := range 2 * maxPartMarks {
		s.execute(fmt.Sprintf("a run t%d u%d X", i, i))
		s.execute(fmt.Sprintf("a crash u%d t%d", i, i))
		s.execute("wait 300")
	}
	is.True(len(s.hosts["a"].parts.parts[PartFingerprint("svc", "X")].marks) <= maxPartMarks)
}
