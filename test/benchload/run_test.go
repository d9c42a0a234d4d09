package benchload

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against figures that are not reproducible: the same seed must give the same table and lines, and
// another seed must give a different trace.
func TestSameSeedSameTable(t *testing.T) {
	is := is.New(t)
	run := func(seed uint64) string {
		sc := scenarios(seed)[2]
		sc.seconds, sc.from, sc.to = 8, 4, 8
		sc.faults[0].at, sc.faults[0].until = 3, 6
		var out bytes.Buffer
		list := contenders(Options{})
		var worlds []*world
		for _, c := range list {
			w := newWorld(sc, c.build)
			w.run()
			worlds = append(worlds, w)
		}
		is.NoErr(printTable(&out, sc, list, worlds))
		is.NoErr(printLines(&out, sc, worlds))
		return out.String()
	}
	first := run(1)
	is.True(len(first) > 0)
	is.Equal(first, run(1))
	is.True(first != run(2))
}

// Guards against a bound that the hardware cannot reach or that includes engines that are down: with one
// failure domain down, a third of the pipelines generate nothing.
func TestBound(t *testing.T) {
	is := is.New(t)
	engines := newEngines(1, 15)
	whole := bound(engines)
	// 15 pipelines of 1,600 work/s, of which 150 in 153 are tokens.
	is.True(whole > 23_500 && whole < 23_530)
	down(func(_ int, e *engine) bool { return e.domain == 1 })(engines, true)
	is.True(bound(engines) > whole*0.66 && bound(engines) < whole*0.67)
}

// Guards against fair shares that do not follow the weights. The share error is measured against them.
func TestFairShares(t *testing.T) {
	is := is.New(t)
	offered := make([]float64, len(workspaces))
	offered[0], offered[1], offered[3] = 100, 10, 100
	given := maxMin(60, offered)
	is.Equal(given[0], 40.0)
	is.Equal(given[1], 10.0)
	is.Equal(given[3], 10.0)
}

// Checks that an unknown scenario prints no figures and is not an error.
func TestUnknownScenario(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	is.NoErr(Run(Config{Seed: 1, Only: "no such scenario", Table: io.Discard, Lines: &lines}))
	is.Equal(lines.Len(), 0)
}
