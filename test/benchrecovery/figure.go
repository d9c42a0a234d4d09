package benchrecovery

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

func (f figure) atMost(bound float64) figure {
	pass := f.Value <= bound
	f.Bound, f.Pass = &bound, &pass
	return f
}

func (f figure) against(baseline float64) figure {
	f.Baseline = &baseline
	return f
}

func write(out io.Writer, all ...figure) error {
	enc := json.NewEncoder(out)
	for _, f := range all {
		if err := enc.Encode(f); err != nil {
			return eris.Wrapf(err, "benchrecovery: write %s", f.Name)
		}
	}
	return nil
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
