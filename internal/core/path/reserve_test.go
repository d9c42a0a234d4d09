package path

import (
	"bufio"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/standin/script"
)

// loadClass is the load of one class, and how many of its requests counted and were served; the large ones apart.
type loadClass struct {
	rate, burst   float64
	from, to      float64
	demand        Demand
	holdMs        int
	asked, served [2]float64
	requests      int
}

// share returns the served share of the requests of the sizes in a range; 0 is small and 1 is large.
func (c *loadClass) share(from, to int) float64 {
	asked, served := 0.0, 0.0
	for size := from; size < to; size++ {
		asked, served = asked+c.asked[size], served+c.served[size]
	}
	return served / asked
}

type loadRequest struct {
	id       string
	host     *System
	class    *loadClass
	demand   Demand
	path     Path
	notUntil time.Time
	deadline time.Time
	retried  bool
	large    int
	counted  bool
}

// loadRun plays the load of a script. Without classes, hosts know nothing of them.
type loadRun struct {
	seconds, hosts        int
	ordered, least, large float64
	calm, same            bool
	lost                  [2]float64
	classes               []*loadClass
	random                *rand.Rand
	list                  []deployment.Endpoint
	systems               []*System
	waiting               []*loadRequest
	running               []*loadRequest
	choices               strings.Builder
}

const (
	loadStep        = 10 * time.Millisecond
	loadWait        = 60 * time.Millisecond
	loadResumeWait  = 1500 * time.Millisecond
	loadReportSteps = 10
)

func (l *loadRun) play(classless bool) {
	l.random = rand.New(rand.NewSource(7))
	for i := range l.hosts {
		s := New(Config{Seed: int64(i)})
		engine := testEngine()
		// Memory is short before the links are.
		engine.CrossDomainMbps *= 20
		s.SetEngine(engine)
		l.systems = append(l.systems, s)
	}
	for step := range l.seconds * int(time.Second/loadStep) {
		second := float64(step) * loadStep.Seconds()
		now := start.Add(time.Duration(step) * loadStep)
		l.setWorkers(step == 0, second)
		for _, c := range l.classes {
			n := c.rate * loadStep.Seconds()
			if second >= c.from && second < c.to {
				n *= c.burst
			}
			for ; n > l.random.Float64(); n-- {
				l.arrive(now, c, second >= 5 && second < float64(l.seconds-4), classless)
			}
		}
		if step%loadReportSteps == 0 {
			l.report(now)
		}
		l.endStreams(now)
		l.placeWaiting(now, classless)
	}
}

func (l *loadRun) setWorkers(first bool, second float64) {
	list := rows(3, 4)
	if second >= l.lost[0] && second < l.lost[1] {
		list = nil
		for i, e := range rows(3, 4) {
			if (i/8+i%8)%3 != 0 {
				list = append(list, e)
			}
		}
	}
	if !first && len(list) == len(l.list) {
		return
	}
	l.list = list
	held := map[string]bool{}
	for _, e := range list {
		held[e.ID] = true
	}
	for _, s := range l.systems {
		s.SetEndpoints(list)
	}
	running := l.running[:0]
	for _, r := range l.running {
		broken := false
		for _, part := range r.path {
			broken = broken || !held[part.Worker]
		}
		if broken {
			r.host.End(r.id)
			r.demand.Begun, r.deadline = true, start.Add(time.Duration(second*float64(time.Second))).Add(loadResumeWait)
			l.waiting = append(l.waiting, r)
		} else {
			running = append(running, r)
		}
	}
	l.running = running
}

func (l *loadRun) arrive(now time.Time, c *loadClass, counted, classless bool) {
	c.requests++
	r := &loadRequest{
		id: fmt.Sprint(c.demand.Class, "-", c.requests), class: c, demand: c.demand, counted: counted,
		deadline: now.Add(loadWait),
	}
	host := l.random.Intn(len(l.systems))
	r.host, r.demand.Domain = l.systems[host], fmt.Sprint("d", host%3)
	if l.random.Intn(10) == 0 {
		r.large = 1
		r.demand.PromptTokens *= 4
		r.demand.AnswerTokens *= 4
	}
	if counted {
		c.asked[r.large]++
	}
	if classless {
		r.demand.Class = 0
	} else {
		r.host.RecordRequest(now, r.demand)
	}
	l.waiting = append(l.waiting, r)
}

func (l *loadRun) report(now time.Time) {
	for _, s := range l.systems {
		sum := NewUsage()
		for _, other := range l.systems {
			if other != s {
				u := NewUsage()
				other.Usage(now, u)
				sum.Add(u)
			}
		}
		s.SetPeerUsage(now, sum, len(l.systems)-1)
	}
}

func (l *loadRun) endStreams(now time.Time) {
	running := l.running[:0]
	for _, r := range l.running {
		if now.Before(r.deadline) {
			running = append(running, r)
			continue
		}
		r.host.End(r.id)
		if r.counted {
			r.class.served[r.large]++
		}
	}
	l.running = running
}

// placeWaiting lets the waiting requests look for a path in random order, as streams that poll do.
func (l *loadRun) placeWaiting(now time.Time, classless bool) {
	waiting := l.waiting
	l.waiting = nil
	l.random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, r := range waiting {
		if now.Before(r.notUntil) {
			l.waiting = append(l.waiting, r)
			continue
		}
		p, refusal := r.host.Choose(now, r.demand)
		fmt.Fprintln(&l.choices, r.id, p)
		switch {
		case refusal == Accepted:
			r.host.Begin(now, r.id, p, r.demand)
			r.path, r.deadline = p, now.Add(time.Duration(r.class.holdMs)*time.Millisecond)
			l.running = append(l.running, r)
		case now.Before(r.deadline):
			l.waiting = append(l.waiting, r)
		case !r.retried && !r.demand.Begun:
			r.notUntil = now.Add(time.Duration((0.7 + 0.7*l.random.Float64()) * float64(time.Second)))
			r.retried, r.deadline = true, r.notUntil.Add(loadWait)
			l.waiting = append(l.waiting, r)
		}
	}
}

// Guards against classes or large requests that are starved, urgent classes that are served less than others, and choices that differ
// from those without classes on calm days and where all requests have the same one.
func TestReserveScripts(t *testing.T) {
	cases, err := script.ReadCases("testdata/reserve.txtar")
	is.New(t).NoErr(err)
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			l := parseLoad(t, c.Part("script"))
			l.play(false)
			l.check(t)
			if l.same {
				classless := parseLoad(t, c.Part("script"))
				classless.play(true)
				is.New(t).True(l.choices.String() == classless.choices.String())
			}
		})
	}
}

func (l *loadRun) check(t *testing.T) {
	t.Helper()
	asked, served, before := 0.0, 0.0, 1.0
	for _, c := range l.classes {
		share, small, large := c.share(0, 2), c.share(0, 1), c.share(1, 2)
		t.Logf("class %d: share %.3f, small %.3f, large %.3f", c.demand.Class, share, small, large)
		if share > before+l.ordered/100 {
			t.Errorf("class %d is served more than a more urgent one", c.demand.Class)
		}
		if large*100 < share*l.large {
			t.Errorf("large requests of class %d are starved", c.demand.Class)
		}
		before = min(before, share)
		asked, served = asked+c.asked[0]+c.asked[1], served+c.served[0]+c.served[1]
	}
	t.Logf("overall share %.3f", served/asked)
	for _, c := range l.classes {
		if c.share(0, 2)*100 < served/asked*l.least {
			t.Errorf("class %d is starved", c.demand.Class)
		}
	}
	if l.calm && served < asked {
		t.Errorf("%v of %v requests were served", served, asked)
	}
}

// Guards against a reserve that is kept after the urgent class, or callers of it that were not served, have gone, and against numbers
// that outweigh all other requests.
func TestReserveEnds(t *testing.T) {
	is := is.New(t)
	s := newSystem(domains("a"))
	u := NewUsage()
	for _, e := range domains("a") {
		u.Workers[e.ID] = Load{MemoryUsed: 0.85 * s.workers[e.ID].capacity, Streams: 1}
	}
	s.SetPeerUsage(start, u, 1)
	urgent, batch := typicalDemand, typicalDemand
	urgent.Class, batch.Class = -3, 99
	s.RecordRequest(start, batch)
	absurd := urgent
	absurd.PromptTokens = math.MaxInt
	s.RecordRequest(start, absurd)
	s.RecordRequest(start, Demand{Class: 0, PromptTokens: math.MinInt})
	is.Equal(s.ReservedShare(start, 9), 0.0)
	is.Equal(s.ReservedShare(start, 0), 0.0)
	s.RecordRequest(start, urgent)
	is.True(s.ReservedShare(start, 9) > 0.15)
	is.True(s.ReservedShare(start, 9) <= maxReservedShare)
	_, refusal := s.Choose(start, batch)
	is.Equal(refusal, Full)
	p, refusal := s.Choose(start, urgent)
	is.Equal(refusal, Accepted)
	batch.Begun = true
	_, refusal = s.Choose(start, batch)
	is.Equal(refusal, Accepted)
	s.Begin(start, "urgent", p, urgent)
	s.End("urgent")
	batch.Begun = false
	_, refusal = s.Choose(start.Add(demandRetention), batch)
	is.Equal(refusal, Accepted)
}

func parseLoad(t *testing.T, text string) *loadRun {
	t.Helper()
	is := is.New(t)
	l := &loadRun{}
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		command, rest, _ := strings.Cut(lines.Text(), " ")
		var err error
		switch command {
		case "hosts":
			_, err = fmt.Sscan(rest, &l.hosts)
		case "seconds":
			_, err = fmt.Sscan(rest, &l.seconds)
		case "class":
			c := &loadClass{demand: Demand{}}
			_, err = fmt.Sscan(rest, &c.demand.Class, &c.rate, &c.demand.PromptTokens, &c.demand.AnswerTokens, &c.holdMs)
			l.classes = append(l.classes, c)
		case "burst":
			c := l.classes[len(l.classes)-1]
			_, err = fmt.Sscan(rest, &c.burst, &c.from, &c.to)
		case "ordered":
			_, err = fmt.Sscan(rest, &l.ordered)
		case "least":
			_, err = fmt.Sscan(rest, &l.least)
		case "large":
			_, err = fmt.Sscan(rest, &l.large)
		case "calm":
			l.calm, l.same, l.ordered = true, true, 100
		case "same":
			l.same, l.ordered = true, 100
		case "lose":
			_, err = fmt.Sscan(rest, &l.lost[0], &l.lost[1])
		default:
			t.Fatalf("unknown command %q", command)
		}
		is.NoErr(err)
	}
	return l
}
