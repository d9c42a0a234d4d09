package quarantine

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingplank/internal/core/table"
)

const (
	modelStep     = 50 * time.Millisecond
	modelDuration = 30 * time.Second
	soundRunTime  = 800 * time.Millisecond
	ranTime       = 500 * time.Millisecond
	// suspectTime is how long a host keeps an attempt that failed.
	suspectTime = 6 * time.Second
	lapseTime   = 3200 * time.Millisecond
	// knownTime is how long after the third crash all hosts must know what causes the crashes; maxLate is how often it may reach
	// endpoints after that.
	knownTime = 3 * time.Second
	maxLate   = 3
	// maxPartCrashes is how many crashes a part of prompts may cause before it has to be known.
	maxPartCrashes = 5
	maxReturns     = 3
	returnDelay    = 100 * time.Millisecond
)

// TestMain fixes the seed of the property tests, so that a failure can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261205", "rapid.checks": "40"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// modelWorld is a plain model of hosts, endpoints and requests that knows which request, or which part of prompts, crashes endpoints.
type modelWorld struct {
	now     time.Time
	hosts   []*System
	letters []modelLetter
	workers []*modelWorker
	runs    []*modelRun
	lapses  []modelLapse
	crashes []time.Time
	late    int
	// refused names the sound requests that were refused for longer than marks need to spread.
	refused []string
	sound   int

	spread         time.Duration
	away           time.Duration
	crashDelay     time.Duration
	sameIDs        bool
	closeDelimited bool
	guiltyPart     bool
	parts          int
	// returning makes callers send sound requests again whose endpoint crashed, at most maxReturns times.
	returning bool
	returns   []modelReturn
	// limit is how many crashes there may be before the cause has to be known.
	limit int
}

// modelReturn is a sound request that its caller sends again.
type modelReturn struct {
	at    time.Time
	name  string
	parts []Fingerprint
	tries int
}

// modelLetter is marks on their way to the other hosts.
type modelLetter struct {
	from  int
	at    time.Time
	marks []Mark
}

type modelWorker struct {
	name        string
	id          table.EndpointID
	incarnation uint64
	down        bool
	upAt        time.Time
	// known is true on the hosts that know that it is down.
	known map[int]bool
}

// modelLapse is an instance whose entry is removed from the list.
type modelLapse struct {
	id          table.EndpointID
	incarnation uint64
	at          time.Time
}

type modelRun struct {
	host    int
	id      table.StreamID
	content Fingerprint
	worker  *modelWorker
	// incarnation is that of the worker it runs on.
	incarnation uint64
	started     time.Time
	guilty      bool
	ran         bool
	name        string
	parts       []Fingerprint
	tries       int
	// endedAt is when it ended. It then stays a suspect until its endpoint is known to live.
	endedAt time.Time
}

func (w *modelWorld) tick(host int, events ...Event) {
	for _, d := range w.hosts[host].Tick(w.now, events) {
		if send, ok := d.(SendMarks); ok {
			w.letters = append(w.letters, modelLetter{from: host, at: w.now.Add(w.spread), marks: send.Marks()})
		}
	}
}

// send sends a request through a host, if the host admits it.
func (w *modelWorld) send(t *rapid.T, host int, name string, guilty bool, parts []Fingerprint, tries int) {
	content := fp(name)
	v := w.hosts[host].Verdict(w.now, content, parts...)
	if w.returning && v.Ruling() != Refuse && v.Waits() {
		if !guilty {
			w.returns = append(w.returns, modelReturn{at: w.now.Add(modelStep), name: name, parts: parts, tries: tries})
		}
		return
	}
	if v.Ruling() == Refuse {
		if !guilty && !v.Recent() {
			w.refused = append(w.refused, name)
		}
		return
	}
	for _, i := range rapid.Permutation(indices(len(w.workers))).Draw(t, "endpoints") {
		worker := w.workers[i]
		if worker.known[host] {
			continue
		}
		if worker.down {
			worker.known[host] = true
			w.tick(host, NewConnectionRefused(worker.id, worker.incarnation))
			continue
		}
		r := &modelRun{
			host: host, id: table.StreamID(fmt.Sprintf("%s/%d", name, len(w.runs))), content: content, worker: worker, incarnation: worker.incarnation,
			started: w.now, guilty: guilty, name: name, parts: parts, tries: tries,
		}
		w.runs = append(w.runs, r)
		w.tick(host, NewStarted(r.id, content, []table.EndpointID{worker.id}).WithParts(worker.incarnation, parts))
		if guilty && len(w.crashes) >= w.limit && w.now.Sub(w.crashes[w.limit-1]) > knownTime {
			w.late++
		}
		return
	}
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// advance lets a step pass.
func (w *modelWorld) advance() {
	w.now = w.now.Add(modelStep)
	for len(w.letters) > 0 && !w.now.Before(w.letters[0].at) {
		letter := w.letters[0]
		w.letters = w.letters[1:]
		for host := range w.hosts {
			if host != letter.from {
				w.tick(host, NewPeerMarks(letter.marks))
			}
		}
	}
	for len(w.lapses) > 0 && !w.now.Before(w.lapses[0].at) {
		for host := range w.hosts {
			w.tick(host, NewEndpointCrashed(w.lapses[0].id, w.lapses[0].incarnation))
		}
		w.lapses = w.lapses[1:]
	}
	for _, worker := range w.workers {
		w.restart(worker)
	}
	for _, r := range w.runs {
		w.advanceRun(r)
	}
}

func (w *modelWorld) advanceRun(r *modelRun) {
	age := w.now.Sub(r.started)
	switch {
	case !r.endedAt.IsZero():
		if age := w.now.Sub(r.endedAt); age > suspectTime && age <= suspectTime+modelStep {
			w.tick(r.host, NewStopped(r.id))
		}
	case r.guilty && age >= w.crashDelay:
		w.crash(r.worker)
	case !r.guilty && age >= soundRunTime:
		r.endedAt = w.now
		if w.closeDelimited {
			w.tick(r.host, NewEndedWithConnection(r.id))
			return
		}
		w.tick(r.host, NewRan(r.id), NewStopped(r.id), NewCompleted(r.content))
	case !r.guilty && age >= ranTime && !r.ran:
		r.ran = true
		w.tick(r.host, NewRan(r.id))
	}
}

// crash ends an endpoint with all its runs. It returns later, as another instance.
func (w *modelWorld) crash(worker *modelWorker) {
	w.crashes = append(w.crashes, w.now)
	worker.down, worker.upAt, worker.known = true, w.now.Add(w.away), map[int]bool{}
	lapse := modelLapse{id: worker.id, incarnation: worker.incarnation, at: w.now.Add(lapseTime)}
	if w.sameIDs && worker.upAt.Before(lapse.at) {
		lapse.at = worker.upAt
	}
	w.lapses = append(w.lapses, lapse)
	for _, r := range w.runs {
		if r.worker != worker || r.incarnation != worker.incarnation || !r.endedAt.IsZero() {
			continue
		}
		r.endedAt = w.now
		if w.closeDelimited {
			w.tick(r.host, NewEndedWithConnection(r.id))
		} else {
			w.tick(r.host, NewBroken(r.id))
		}
		if w.returning && !r.guilty && r.tries < maxReturns {
			w.returns = append(w.returns, modelReturn{at: w.now.Add(returnDelay), name: r.name, parts: r.parts, tries: r.tries + 1})
		}
	}
	if !w.returning {
		return
	}
	// The hosts connect to an endpoint whose connections broke.
	for host := range w.hosts {
		worker.known[host] = true
		w.tick(host, NewConnectionRefused(worker.id, worker.incarnation))
	}
}

// restart lets an endpoint return if it is time.
func (w *modelWorld) restart(worker *modelWorker) {
	if !worker.down || w.now.Before(worker.upAt) {
		return
	}
	worker.down, worker.known = false, map[int]bool{}
	worker.incarnation++
	if !w.sameIDs {
		worker.id = table.EndpointID(fmt.Sprintf("%s-%d", worker.name, worker.incarnation))
	}
}

func drawWorld(t *rapid.T) *modelWorld {
	ms := func(name string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, name)) * time.Millisecond
	}
	w := &modelWorld{
		now: start, spread: ms("spread", 50, 300), away: ms("away", 300, 1200, 3000), crashDelay: ms("crash delay", 50, 200, 400),
		sameIDs: rapid.Bool().Draw(t, "same IDs"), closeDelimited: rapid.Bool().Draw(t, "close-delimited"),
		parts: rapid.IntRange(1, 6).Draw(t, "parts"), limit: maxLate,
	}
	for range rapid.IntRange(1, 4).Draw(t, "hosts") {
		w.hosts = append(w.hosts, New(Config{PassOn: true}))
	}
	for i := range rapid.IntRange(3, 6).Draw(t, "endpoints") {
		name := fmt.Sprintf("e%d", i)
		w.workers = append(w.workers, &modelWorker{name: name, id: table.EndpointID(name), known: map[int]bool{}})
	}
	return w
}

// play sends sound requests, no two alike, beside the guilty ones.
func (w *modelWorld) play(t *rapid.T) {
	const guiltyGap = 250 * time.Millisecond
	end := start.Add(modelDuration)
	for n := 0; w.now.Before(end); n++ {
		w.advance()
		due := w.returns
		w.returns = nil
		for _, r := range due {
			if w.now.Before(r.at) {
				w.returns = append(w.returns, r)
				continue
			}
			w.send(t, w.drawHost(t), r.name, false, r.parts, r.tries)
		}
		most := 2
		if w.returning {
			most = 4
		}
		for range rapid.IntRange(0, most).Draw(t, "sound requests") {
			w.sound++
			part := fmt.Sprintf("p%d", rapid.IntRange(0, w.parts-1).Draw(t, "part"))
			w.send(t, w.drawHost(t), fmt.Sprintf("sound-%d", w.sound), false, partFingerprints([]string{part}), 0)
		}
		if w.now.Sub(start)%guiltyGap != 0 {
			continue
		}
		if w.guiltyPart {
			w.send(t, w.drawHost(t), fmt.Sprintf("bad-%d", n), true, partFingerprints([]string{"bad"}), 0)
		} else {
			w.send(t, w.drawHost(t), "bad", true, partFingerprints([]string{"p0"}), 0)
		}
	}
}

func (w *modelWorld) drawHost(t *rapid.T) int {
	return rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
}

// Guards against a request that goes on to crash endpoints, and against the refusal of requests that crash nothing beside it.
func TestModelOfOneCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.play(t)
		if w.late > maxLate {
			t.Fatalf("it reached endpoints %d times after the bound; %d crashes", w.late, len(w.crashes))
		}
		if len(w.refused) > 0 {
			t.Fatalf("%d of %d sound requests were refused: %v; %d crashes", len(w.refused), w.sound, w.refused, len(w.crashes))
		}
	})
}

// Guards against a part of prompts that goes on to crash endpoints in requests of which no two are alike.
func TestModelOfOneCrashingPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.guiltyPart = true
		w.play(t)
		if w.late > maxLate {
			t.Fatalf("it reached endpoints %d times after the bound; %d crashes", w.late, len(w.crashes))
		}
	})
}

// Guards against a part of prompts that goes on to crash endpoints since sound requests, which their callers send again, are in the
// same crashes, and against the refusal of these requests.
func TestModelOfOneCrashingPartAmongReturningRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.guiltyPart, w.returning, w.limit = true, true, maxPartCrashes
		w.play(t)
		if w.late > maxLate {
			t.Fatalf("it reached endpoints %d times after the bound; %d crashes", w.late, len(w.crashes))
		}
		if allowed := w.sound / 100; len(w.refused) > allowed {
			t.Fatalf("%d of %d sound requests were refused, %d are allowed: %v; %d crashes", len(w.refused), w.sound, allowed, w.refused, len(w.crashes))
		}
	})
}
