package forward

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The results of calls whose callers had been refused before.
const (
	returnServed  = "served"
	returnRefused = "refused"
	returnFailed  = "failed"
)

// returnMetrics counts refusals, the returns of refused callers and endpoints that are left out.
type returnMetrics struct {
	// retryAfter holds the times that refused callers were told, by cause.
	retryAfter map[string]*hdrhistogram.Histogram
	returned   *expvar.Map
	ended      *expvar.Int
}

func newReturnMetrics() returnMetrics {
	return returnMetrics{retryAfter: map[string]*hdrhistogram.Histogram{}, returned: new(expvar.Map), ended: new(expvar.Int)}
}

// RetryAfter records the time that a refused caller was told.
func (m *Metrics) RetryAfter(cause string, after time.Duration) {
	m.mu.Lock()
	h := m.returns.retryAfter[cause]
	if h == nil {
		h = hdrhistogram.New(minMs, maxMs, significantDigits)
		m.returns.retryAfter[cause] = h
	}
	m.mu.Unlock()
	m.record(h, after)
}

// Returned counts the result of a call whose caller had been refused before.
func (m *Metrics) Returned(result string) { m.returns.returned.Add(result, 1) }

// Ended counts an endpoint that is left out because it seems to have ended.
func (m *Metrics) Ended() { m.returns.ended.Add(1) }

// write writes the metrics. The caller holds the lock of the histograms.
func (m returnMetrics) write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "waxwingplank_endpoints_ended_total %s\n", m.ended.String()); err != nil {
		return err
	}
	var err error
	m.returned.Do(func(kv expvar.KeyValue) {
		if err == nil {
			err = writeCounter(w, "waxwingplank_callers_returned_total", "result", kv.Key, kv.Value.String())
		}
	})
	if err != nil {
		return err
	}
	for _, cause := range slices.Sorted(maps.Keys(m.retryAfter)) {
		h := m.retryAfter[cause]
		for _, q := range []float64{50, 90, 99, 100} {
			if _, err := fmt.Fprintf(w, "waxwingplank_retry_after_ms{cause=%q,quantile=\"%g\"} %d\n", cause, q/100, h.ValueAtQuantile(q)); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "waxwingplank_retry_after_ms_count{cause=%q} %d\n", cause, h.TotalCount()); err != nil {
			return err
		}
	}
	return nil
}
