package forward

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func writeCounter(w io.Writer, name, label, key, value string) error {
	_, err := fmt.Fprintf(w, "%s{%s=%q} %s\n", name, label, key, value)
	return err
}

func writeQuantiles(w io.Writer, name string, h *hdrhistogram.Histogram) error {
	for _, q := range []float64{50, 90, 99, 100} {
		if _, err := fmt.Fprintf(w, "%s{quantile=\"%g\"} %d\n", name, q/100, h.ValueAtQuantile(q)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_count %d\n", name, h.TotalCount())
	return err
}
