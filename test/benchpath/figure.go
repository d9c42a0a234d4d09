package benchpath

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// Config describes a run.
type Config struct {
	// Bin is the folder with the built programs.
	Bin  string
	Seed uint64
	// Out receives one JSON line per figure. Log receives progress messages as plain text.
	Out io.Writer
	Log io.Writer
}

// figure is one line of output. Bound, baseline and pass are null if the figure has no target or baseline.
type figure struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound"`
	Baseline *float64 `json:"baseline"`
	Pass     *bool    `json:"pass"`
}

// atMost sets an upper bound and whether the value keeps it.
func (f figure) atMost(bound float64) figure {
	pass := f.Value <= bound
	f.Bound, f.Pass = &bound, &pass
	return f
}

func (f figure) withBaseline(baseline float64) figure {
	f.Baseline = &baseline
	return f
}

func (c Config) write(all ...figure) error {
	enc := json.NewEncoder(c.Out)
	for _, f := range all {
		if err := enc.Encode(f); err != nil {
			return eris.Wrapf(err, "benchpath: write %s", f.Name)
		}
	}
	return nil
}
