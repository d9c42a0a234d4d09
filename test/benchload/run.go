package benchload

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes a run of the benchmark.
type Config struct {
	Seed uint64
	// Only selects the scenarios whose name contains it.
	Only string
	// Options are settings of the policy that may differ in an experiment.
	Options Options
	// Table receives a human-readable table, Lines one JSON object per figure.
	Table io.Writer
	Lines io.Writer
}

// figure is one line of the result. Bounds are stated targets, not results of an earlier measurement.
type figure struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound"`
	Baseline *float64 `json:"baseline"`
	Pass     *bool    `json:"pass"`
}

// contender is a router to compare.
type contender struct {
	name  string
	build func(*world) router
}

func contenders(options Options) []contender {
	open := options
	open.NoAdmission = true
	return []contender{
		{"policy", func(w *world) router { return newPolicy(w, options) }},
		{"round_robin", func(w *world) router { return newBaseline(w, roundRobin) }},
		{"least_reported", func(w *world) router { return newBaseline(w, leastReported) }},
		{"two_choices", func(w *world) router { return newBaseline(w, twoChoices) }},
		{"no_admission", func(w *world) router { return newPolicy(w, open) }},
	}
}

// down returns a fault that stops the selected engines and empties their caches.
func down(which func(i int, e *engine) bool) func([]*engine, bool) {
	return func(engines []*engine, on bool) {
		for i, e := range engines {
			if which(i, e) {
				e.down = on
				e.cache = nil
			}
		}
	}
}

// slowLink slows down the first engine.
func slowLink(engines []*engine, on bool) {
	// The latency rises from 0.2 ms to 60 ms, more than the 100-fold difference between links of the deployment.
	engines[0].slow = 0
	if on {
		engines[0].slow = 0.060
	}
}

// slowPool slows down two thirds of the pipelines, like a fault of a shared network. The bound ignores the
// slowdown, so the figure only compares routers with each other.
func slowPool(engines []*engine, on bool) {
	for i, e := range engines {
		e.slow = 0
		if on && i%3 != 0 {
			e.slow = 0.400
		}
	}
}

func scenarios(seed uint64) []scenario {
	stage := fault{at: 20, until: 30, apply: down(func(i int, _ *engine) bool { return i == 0 })}
	domain := fault{at: 20, until: 45, apply: down(func(_ int, e *engine) bool { return e.domain == 1 })}
	link := fault{at: 20, until: 40, apply: slowLink}
	pool := fault{at: 20, until: 40, apply: slowPool}
	var out []scenario
	for _, k := range []int{2, 5} {
		for _, sc := range []scenario{
			{name: "saturated", load: 1.3, seconds: 160, from: warmUp, to: 160},
			{name: "shift_change", load: 0.7, surge: 2, surgeAt: 20, surgeFor: 20, seconds: 60, from: 20, to: 40},
			{name: "stage_down", load: 0.8, faults: []fault{stage}, seconds: 60, from: 20, to: 30},
			{name: "domain_out", load: 1.3, faults: []fault{domain}, seconds: 60, from: 25, to: 45},
			{name: "slow_link", load: 0.7, faults: []fault{link}, seconds: 60, from: 25, to: 40},
			{name: "slow_pool", load: 0.5, faults: []fault{pool}, seconds: 60, from: 25, to: 40},
			{name: "double_peak", load: 2, seconds: 60, from: warmUp, to: 60},
		} {
			sc.name = fmt.Sprintf("%s_%dkinds", sc.name, k)
			sc.seed, sc.kinds = seed, k
			out = append(out, sc)
		}
	}
	return out
}

// Run simulates every selected scenario under the policy and the baselines. The same seed gives the same table.
func Run(cfg Config) error {
	for _, sc := range scenarios(cfg.Seed) {
		if !strings.Contains(sc.name, cfg.Only) {
			continue
		}
		var worlds []*world
		list := contenders(cfg.Options)
		for _, c := range list {
			w := newWorld(sc, c.build)
			w.run()
			worlds = append(worlds, w)
		}
		if err := printTable(cfg.Table, sc, list, worlds); err != nil {
			return fmt.Errorf("print table of %s: %w", sc.name, err)
		}
		if err := printLines(cfg.Lines, sc, worlds); err != nil {
			return fmt.Errorf("print figures of %s: %w", sc.name, err)
		}
	}
	if strings.Contains("decision", cfg.Only) {
		return Decide(cfg)
	}
	return nil
}

// offered returns the offered load during the measured period as a fraction of the bound.
func (w *world) offered() float64 {
	sum := 0.0
	for _, c := range w.calls {
		if c.arrived >= w.sc.from && c.arrived < w.sc.to {
			sum += float64(c.tokens)
		}
	}
	return sum / (w.sc.to - w.sc.from) / w.bound
}

// fraction returns a number of tokens of the measured period as a fraction of the bound.
func (w *world) fraction(tokens float64) float64 {
	return tokens / (w.sc.to - w.sc.from) / w.bound
}

// shareError returns the largest relative deviation of a workspace's share of the useful tokens from its
// fair share.
func (w *world) shareError() float64 {
	capacity := w.useful / (w.sc.to - w.sc.from)
	fair := fairShares(w.calls, w.sc.from, w.sc.to, capacity)
	worst := 0.0
	for i, f := range fair {
		if f > 0 {
			got := w.byShare[i] / (w.sc.to - w.sc.from)
			worst = max(worst, math.Abs(got/f-1))
		}
	}
	return worst
}

// hitRate returns the fraction of attempts whose preamble was in the cache.
func (w *world) hitRate() float64 {
	hits, opened := 0, 0
	for _, e := range w.engines {
		hits += e.hits
		opened += e.opened
	}
	return float64(hits) / float64(max(opened, 1))
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

func printTable(out io.Writer, sc scenario, list []contender, worlds []*world) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	first := worlds[0]
	_, _ = fmt.Fprintf(t, "\n%s seed=%d bound=%.0f tokens/s offered=%.2f\n", sc.name, sc.seed, first.bound, first.offered())
	_, _ = fmt.Fprintln(t, "router\tuseful\traw\thits\tshare err\tdecl p50/p95/p99 ms\tsumm p50/p95/p99 ms\t"+
		"token p50/p95/p99 ms\trecovery p50/p95/max ms\tlate\trefused\ttold ms\tresent ok\tlost")
	for i, w := range worlds {
		d, s := w.firsts[kinds[0].name], w.firsts[kinds[1].name]
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.2f\t%.3f\t%s\t%s\t%s\t%s\t%d\t%s\t%.0f\t%d/%d\t%d\n", list[i].name,
			w.fraction(w.useful), w.fraction(w.raw), w.hitRate(), w.shareError(), quantiles(d, 99), quantiles(s, 99),
			quantiles(w.intervals, 99), quantiles(w.recovery, 100), w.late, w.refusals(), ms(w.retryAfter, 50),
			w.resentOK, w.resent, w.lost)
	}
	return t.Flush()
}

// quantiles formats the 50th, 95th and last percentile in milliseconds.
func quantiles(h *hdrhistogram.Histogram, last float64) string {
	return fmt.Sprintf("%.0f/%.0f/%.0f", ms(h, 50), ms(h, 95), ms(h, last))
}

// refusals formats the number of refusals by code.
func (w *world) refusals() string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(w.refused)) {
		parts = append(parts, fmt.Sprintf("%s:%d", code, w.refused[code]))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ",")
}

// printLines writes the figures of the policy. The baseline of each figure is the best value of round robin, least
// reported load and two choices.
func printLines(out io.Writer, sc scenario, worlds []*world) error {
	w := worlds[0]
	best := func(value func(*world) float64, better func(a, b float64) bool) *float64 {
		v := value(worlds[1])
		for _, other := range worlds[2:4] {
			if x := value(other); better(x, v) {
				v = x
			}
		}
		return &v
	}
	more := func(a, b float64) bool { return a > b }
	less := func(a, b float64) bool { return a < b }
	useful := func(w *world) float64 { return w.fraction(w.useful) }
	var figures []figure
	add := func(name, unit string, value func(*world) float64, better func(a, b float64) bool, target float64) {
		f := figure{Name: sc.name + "/" + name, Value: value(w), Unit: unit, Baseline: best(value, better)}
		if target > 0 {
			pass := f.Value == target || better(f.Value, target)
			f.Bound, f.Pass = &target, &pass
		}
		figures = append(figures, f)
	}
	switch {
	case strings.HasPrefix(sc.name, "saturated"):
		add("useful", "fraction of bound", useful, more, 0.95)
	case strings.HasPrefix(sc.name, "domain_out"):
		add("useful", "fraction of bound", useful, more, 0.90)
	default:
		add("useful", "fraction of bound", useful, more, 0)
	}
	shareTarget := 0.0
	if strings.HasPrefix(sc.name, "saturated") {
		shareTarget = 0.05
	}
	add("share_error", "relative", (*world).shareError, less, shareTarget)
	for _, k := range kinds {
		for _, q := range []float64{50, 95, 99} {
			target := 0.0
			if q == 95 {
				target = k.firstToken * 1000
			}
			add(fmt.Sprintf("first_token_%s_p%.0f", k.name, q), "ms",
				func(w *world) float64 { return ms(w.firsts[k.name], q) }, less, target)
		}
	}
	for _, q := range []float64{50, 95, 99} {
		target := 0.0
		if q == 95 {
			target = 49
		}
		add(fmt.Sprintf("token_interval_p%.0f", q), "ms", func(w *world) float64 { return ms(w.intervals, q) }, less, target)
	}
	if w.recovery.TotalCount() > 0 {
		for _, q := range []float64{50, 95, 100} {
			add(fmt.Sprintf("recovery_p%.0f", q), "ms", func(w *world) float64 { return ms(w.recovery, q) }, less, 0)
		}
	}
	add("refused", "requests", func(w *world) float64 { return float64(w.retryAfter.TotalCount()) }, less, 0)
	encoder := json.NewEncoder(out)
	for _, f := range figures {
		if err := encoder.Encode(f); err != nil {
			return fmt.Errorf("encode figure %s: %w", f.Name, err)
		}
	}
	return nil
}
