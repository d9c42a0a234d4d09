package path

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/returns"
	"waxwingplank/internal/standin/script"
)

const (
	playStep     = 10 * time.Millisecond
	playWait     = 60 * time.Millisecond
	playDeadline = 20 * time.Second
	playAnswer   = 2 * time.Second
)

var playDemand = Demand{PromptTokens: 80, AnswerTokens: 20}

// playedCaller is one caller of a played load.
type playedCaller struct {
	id       string
	priority int
	arrived  time.Time
	next     time.Time
	until    time.Time
	waits    []time.Duration
	served   time.Time
	ends     time.Time
	gone     bool
}

// play is a load in progress.
type play struct {
	s       *System
	returns *returns.System
	random  *rand.Rand
	now     time.Time
	callers []*playedCaller
	// dead is set while the workers a, b and c do not exist.
	dead bool
}

func (p *play) list(instance int64, places int) {
	var list []deployment.Endpoint
	for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
		e := deployment.Endpoint{ID: id, Address: id, State: deployment.Ready, Layers: deployment.Range{From: 0, To: 2}}
		if i < 3 {
			e.StartedMs = instance
		} else {
			e.Layers = deployment.Range{From: 2, To: 4}
		}
		list = append(list, e)
	}
	p.s.SetEndpoints(list)
	for _, w := range p.s.workers {
		w.capacity = float64(places) * playDemand.tokens() * 2 / maxMemoryShare
	}
}

// attempt plays one look for a path of a caller that is at the host.
func (p *play) attempt(c *playedCaller) {
	path, refusal := p.s.Choose(p.now, playDemand)
	if refusal == Accepted && p.dead && strings.Contains("a b c", path[0].Worker) {
		// The trial of a worker that has ended finds nothing.
		p.s.Begin(p.now, c.id, path, playDemand)
		p.s.RecordRefusedConnection(p.now, path[0].Worker)
		p.s.End(c.id)
		refusal = Uncovered
	}
	if refusal == Accepted {
		c.served, c.ends = p.now, p.now.Add(time.Second+time.Duration(p.random.Float64()*float64(2*time.Second)))
		p.s.Begin(p.now, c.id, path, playDemand)
		p.returns.Leave(callerOf(c.id))
		return
	}
	if refusal == Full && p.now.Before(c.until) {
		return
	}
	minimum := 700 * time.Millisecond
	if refusal == Uncovered {
		minimum = 1500 * time.Millisecond
	}
	plan := p.returns.Refuse(p.now, returns.Refusal{
		Caller: callerOf(c.id), Priority: c.priority, Opening: p.s.Reopen(p.now, playDemand, refusal), Minimum: minimum,
		Deadline: c.arrived.Add(playDeadline), AnswerTime: playAnswer,
	})
	c.waits = append(c.waits, plan.After())
	c.next = p.now.Add(plan.After())
	c.gone = plan.After() > c.arrived.Add(playDeadline).Sub(p.now)/3
}

func callerOf(id string) (c returns.Caller) {
	n, _ := strconv.ParseUint(id, 10, 64) //nolint:errcheck // ids are numbers
	binary.BigEndian.PutUint64(c[:], n)
	return c
}

func (p *play) step(rates map[int]float64) {
	p.s.Tick(p.now)
	for priority := range 3 {
		if p.random.Float64() < rates[priority]*playStep.Seconds() {
			p.callers = append(p.callers, &playedCaller{id: fmt.Sprint(len(p.callers)), priority: priority, arrived: p.now, next: p.now})
		}
	}
	for _, c := range p.callers {
		switch {
		case c.gone || c.next.After(p.now):
		case !c.served.IsZero() && p.now.Before(c.ends):
			p.s.Progress(p.now, c.id)
		case !c.served.IsZero():
			p.s.End(c.id)
			c.gone = true
		default:
			if c.until.Before(c.next) {
				c.until = p.now.Add(playWait)
				p.returns.Arrive(p.now, callerOf(c.id))
			}
			p.attempt(c)
		}
	}
}

// Guards against callers that are told to return when there is still no capacity, or all at once, so that they are refused several
// times, and against late or less urgent callers that are told to return before others.
func TestRefusedCallersReturn(t *testing.T) {
	cases, err := script.ReadCases("testdata/returns.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			var callers []*playedCaller
			numbers := map[string]float64{}
			for seed := range int64(5) {
				callers = append(callers, playScript(t, seed, c.Part("script"), numbers)...)
			}
			checkReturns(t, callers, numbers)
		})
	}
}

func playScript(t *testing.T, seed int64, text string, numbers map[string]float64) []*playedCaller {
	is := is.New(t)
	p := &play{s: New(Config{Seed: seed}), returns: returns.New(returns.Config{Seed: seed}), random: rand.New(rand.NewSource(seed)), now: start}
	rates, times, instance := map[int][]float64{}, map[string][]float64{}, int64(1)
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		var args []float64
		for _, w := range words[1:] {
			n, err := strconv.ParseFloat(w, 64)
			is.NoErr(err)
			args = append(args, n)
		}
		if words[0] == "rate" {
			rates[int(args[0])] = args[1:]
			continue
		}
		times[words[0]], numbers[words[0]] = args, append(args, 1)[0]
	}
	stop := start.Add(time.Duration(numbers["stop"]) * time.Millisecond)
	p.s.SetEngine(&deployment.Engine{Layers: 4, LoadTime: time.Duration(numbers["load"]) * time.Millisecond, StepMs: 1})
	p.list(1, int(numbers["places"]))
	for ; p.now.Before(stop); p.now = p.now.Add(playStep) {
		ms := float64(p.now.Sub(start).Milliseconds())
		if slices.Contains(times["lose"], ms) {
			p.dead = true
			for _, id := range []string{"a", "b", "c"} {
				p.s.RecordEnded(p.now, id)
			}
			for _, c := range p.callers {
				if !c.served.IsZero() {
					p.s.End(c.id)
					c.gone = true
				}
			}
		}
		if slices.Contains(times["back"], ms) {
			p.dead = false
			instance++
			p.list(instance, int(numbers["places"]))
		}
		current := map[int]float64{}
		for priority, pairs := range rates {
			for i := 0; i+1 < len(pairs); i += 2 {
				if ms >= pairs[i] {
					current[priority] = pairs[i+1]
				}
			}
		}
		p.step(current)
	}
	return p.callers
}

// checkReturns checks what the callers got.
func checkReturns(t *testing.T, callers []*playedCaller, numbers map[string]float64) {
	is, late := is.New(t), start.Add(time.Duration(numbers["late"])*time.Millisecond)
	var refused []*playedCaller
	twice, thrice, away := 0, 0, 0
	for _, c := range callers {
		if len(c.waits) == 0 || c.arrived.Before(late) {
			continue
		}
		refused = append(refused, c)
		if len(c.waits) > 1 {
			twice++
			if numbers["longer"] > 0 {
				remaining := c.arrived.Add(playDeadline-playAnswer).Sub(c.arrived.Add(c.waits[0])) / 3
				is.True(c.waits[1] > c.waits[0] || c.waits[1] >= remaining*8/10)
			}
		}
		if len(c.waits) > 2 {
			thrice++
		}
		if c.served.IsZero() {
			away++
		}
	}
	mean := func(of func(*playedCaller) bool, value func(*playedCaller) time.Duration) time.Duration {
		sum, n := time.Duration(0), 0
		for _, c := range refused {
			if of(c) {
				sum, n = sum+value(c), n+1
			}
		}
		return sum / time.Duration(max(n, 1))
	}
	wait := func(c *playedCaller) time.Duration { return c.waits[0] }
	due := func(c *playedCaller) time.Duration { return c.arrived.Add(c.waits[0]).Sub(start) }
	slices.SortFunc(refused, func(a, b *playedCaller) int { return cmp.Compare(a.arrived.UnixNano(), b.arrived.UnixNano()) })
	urgent := mean(func(c *playedCaller) bool { return c.priority == 0 }, wait)
	batch := mean(func(c *playedCaller) bool { return c.priority == 2 }, wait)
	half := refused[len(refused)/2].arrived
	early := mean(func(c *playedCaller) bool { return c.arrived.Before(half) }, due)
	second := mean(func(c *playedCaller) bool { return !c.arrived.Before(half) }, due)
	t.Logf("%d refused, %d twice, %d more often, %d lost; waits: priority 0 %v, priority 2 %v; return of the first half at %v, of the second at %v", len(refused), twice, thrice, away, urgent, batch, early, second)
	is.True(len(refused) > 10)
	is.True(float64(twice) <= numbers["twice"]*float64(len(refused)))
	is.Equal(away, 0)
	is.True(urgent < batch)
	is.True(early < second)
}
