package benchload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"waxwingplank/internal/core/table"
)

// kind is a request kind of a service document, with its fraction of the requests and its first-token target in
// seconds.
type kind struct {
	name       string
	priority   int
	part       float64
	firstToken float64
}

// Declarations have the highest priority at shift change. They are a quarter of the requests.
var kinds = []kind{
	{name: "declaration", priority: 0, part: 0.25, firstToken: 2},
	{name: "summary", priority: 2, part: 0.75, firstToken: 5},
}

// workspaceSpec sets a workspace's weight and its fraction of the arrivals, which differ on purpose.
type workspaceSpec struct {
	id     table.WorkspaceID
	weight int
	part   float64
}

// Ten workspaces, three of them large. The large ones request more or less than their weight.
var workspaces = []workspaceSpec{
	{"large-1", 4, 0.30},
	{"large-2", 3, 0.15},
	{"large-3", 2, 0.20},
	{"small-1", 1, 0.05},
	{"small-2", 1, 0.05},
	{"small-3", 1, 0.05},
	{"small-4", 1, 0.05},
	{"small-5", 1, 0.05},
	{"small-6", 1, 0.05},
	{"small-7", 1, 0.05},
}

const (
	minTokens  = 50
	maxTokens  = 250
	meanTokens = (minTokens + maxTokens) / 2
	franchises = 60
)

// call is one request of the trace and its state. Times are in simulated seconds.
type call struct {
	id        table.RequestID
	workspace int
	kind      kind
	host      int
	preamble  uint64
	tokens    int
	arrived   float64
	leaves    float64
	resend    bool

	engine      *engine
	engineIndex int
	sent        float64
	lastSeen    float64
	prefill     float64
	part        float64
	generated   int
	first       float64
	last        float64
	marked      float64
	markedAt    int
	brokenAt    float64
	ended       bool
}

// arrivals returns the calls of the scenario in order of arrival.
func arrivals(sc scenario, hosts int, capacity float64) []*call {
	rng := rand.New(rand.NewPCG(sc.seed, 1))
	var calls []*call
	for at := 0.0; at < sc.seconds; {
		load := sc.load
		if sc.surgeAt > 0 && at >= sc.surgeAt && at < sc.surgeAt+sc.surgeFor {
			load *= sc.surge
		}
		at += rng.ExpFloat64() / (load * capacity / meanTokens)
		c := &call{
			id: table.RequestID(fmt.Sprintf("r%06d", len(calls))), arrived: at, host: rng.IntN(hosts),
			tokens: minTokens + rng.IntN(maxTokens-minTokens+1),
		}
		c.workspace = draw(rng, len(workspaces), func(i int) float64 { return workspaces[i].part })
		c.kind = kinds[draw(rng, len(kinds), func(i int) float64 { return kinds[i].part })]
		// A few franchises are common: the n-th is drawn in proportion to 1/sqrt(n).
		c.preamble = uint64(1 + draw(rng, franchises, func(i int) float64 { return 1 / math.Sqrt(float64(i+1)) }))
		// One caller in fifty disconnects early. All disconnect at twice the first-token target.
		c.leaves = at + 2*c.kind.firstToken
		if rng.Float64() < 0.02 {
			c.leaves = at + rng.Float64()*c.kind.firstToken
		}
		calls = append(calls, c)
	}
	return calls
}

// draw returns a random index below n, weighted by part.
func draw(rng *rand.Rand, n int, part func(int) float64) int {
	total := 0.0
	for i := range n {
		total += part(i)
	}
	x := rng.Float64() * total
	for i := range n {
		if x -= part(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// fairShares returns the fair share of each workspace in tokens per second: strict priority between classes,
// then weighted max-min fairness within a class. The capacity is also in tokens per second.
func fairShares(calls []*call, from, to, capacity float64) []float64 {
	got := make([]float64, len(workspaces))
	left := capacity
	for _, k := range kinds {
		offered := make([]float64, len(workspaces))
		for _, c := range calls {
			if c.arrived >= from && c.arrived < to && c.kind.name == k.name && !c.resend {
				offered[c.workspace] += float64(c.tokens) / (to - from)
			}
		}
		given := maxMin(left, offered)
		for i, g := range given {
			got[i] += g
			left -= g
		}
	}
	return got
}

// maxMin divides the capacity between workspaces by weighted max-min fairness.
func maxMin(capacity float64, offered []float64) []float64 {
	given := make([]float64, len(offered))
	open := make([]int, len(offered))
	for i := range open {
		open[i] = i
	}
	for len(open) > 0 && capacity > 1e-9 {
		weight := 0.0
		for _, i := range open {
			weight += float64(workspaces[i].weight)
		}
		per, used := capacity/weight, 0.0
		for _, i := range open {
			n := min(per*float64(workspaces[i].weight), offered[i]-given[i])
			given[i] += n
			used += n
		}
		capacity -= used
		open = slices.DeleteFunc(open, func(i int) bool { return offered[i]-given[i] < 1e-9 })
	}
	return given
}
