package benchprocess

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// figure is one line of output; bound and baseline are null where there is none.
type figure struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound"`
	Baseline *float64 `json:"baseline"`
	Pass     *bool    `json:"pass"`
}

// report writes p50, p95 and the largest of the times; the bound is for the one that the page names.
func report(out io.Writer, name string, times, baseline []time.Duration, bound float64, bounded string) error {
	enc := json.NewEncoder(out)
	for _, q := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p95", 0.95}, {"max", 1}} {
		f := figure{Name: "process_" + name + "_" + q.name, Value: quantile(times, q.part), Unit: "ms"}
		if len(baseline) > 0 {
			v := quantile(baseline, q.part)
			f.Baseline = &v
		}
		if q.name == bounded {
			pass := f.Value <= bound
			f.Bound, f.Pass = &bound, &pass
		}
		if err := enc.Encode(f); err != nil {
			return eris.Wrapf(err, "benchprocess: write %s", f.Name)
		}
	}
	return eris.Wrap(enc.Encode(figure{Name: "process_" + name + "_samples", Value: float64(len(times)), Unit: "count"}), "benchprocess")
}

// quantile returns the smallest value that the part q of all values does not exceed.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	at := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[at].Microseconds()) / 1000
}
