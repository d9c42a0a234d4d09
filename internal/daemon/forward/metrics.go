package forward

import (
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/deployment"
)

const (
	// Histograms run from 1 ms to one minute, the longest wait of a route, with two digits.
	lowestMs  = 1
	highestMs = 60_000
	digits    = 2
)

// Metrics counts how calls end and how long they take.
type Metrics struct {
	refused  *expvar.Map
	aborted  *expvar.Map
	answered *expvar.Map
	mu       sync.Mutex
	first    *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
}

// NewMetrics returns counters at zero.
func NewMetrics() *Metrics {
	return &Metrics{
		refused: new(expvar.Map), aborted: new(expvar.Map), answered: new(expvar.Map),
		first: hdrhistogram.New(lowestMs, highestMs, digits),
		whole: hdrhistogram.New(lowestMs, highestMs, digits),
	}
}

// Refused counts an answer of this host's own.
func (m *Metrics) Refused(cause string) { m.refused.Add(cause, 1) }

// Aborted counts an answer that was cut short.
func (m *Metrics) Aborted(cause string) { m.aborted.Add(cause, 1) }

// Answered counts an endpoint's answer that was passed on whole.
func (m *Metrics) Answered(kind deployment.RouteKind, took time.Duration) {
	m.answered.Add(string(kind), 1)
	m.record(m.whole, took)
}

// First records the time to the first event of a stream.
func (m *Metrics) First(took time.Duration) { m.record(m.first, took) }

func (m *Metrics) record(h *hdrhistogram.Histogram, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The value is within the bounds, so that recording can't fail.
	_ = h.RecordValue(min(max(took.Milliseconds(), lowestMs), highestMs)) //nolint:errcheck // within bounds
}

// Write writes all metrics as text, one name and value a line.
func (m *Metrics) Write(w io.Writer) error {
	for _, c := range []struct {
		name, label string
		counts      *expvar.Map
	}{
		{"waxwingplank_answers_by_host_total", fieldCause, m.refused},
		{"waxwingplank_answers_cut_short_total", fieldCause, m.aborted},
		{"waxwingplank_answers_total", "kind", m.answered},
	} {
		var err error
		c.counts.Do(func(kv expvar.KeyValue) {
			if err == nil {
				err = line(w, c.name, c.label, kv.Key, kv.Value.String())
			}
		})
		if err != nil {
			return eris.Wrap(err, "forward.Metrics write")
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range []struct {
		name string
		hist *hdrhistogram.Histogram
	}{{"waxwingplank_first_event_ms", m.first}, {"waxwingplank_answer_ms", m.whole}} {
		if err := quantiles(w, h.name, h.hist); err != nil {
			return eris.Wrap(err, "forward.Metrics write")
		}
	}
	return nil
}
