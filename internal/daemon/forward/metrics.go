package forward

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/deployment"
)

const (
	// The histograms cover 1 ms to one minute, the longest timeout of a route.
	minMs             = 1
	maxMs             = 60_000
	significantDigits = 2
)

// Metrics counts the outcomes of calls and records their latencies.
type Metrics struct {
	refused  *expvar.Map
	aborted  *expvar.Map
	answered *expvar.Map
	leaving  *expvar.Int
	paused   *expvar.Int
	returns  returnMetrics
	// placed, waited and noRoom count streams by their class.
	placed *expvar.Map
	waited *expvar.Map
	noRoom *expvar.Map
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	total  *hdrhistogram.Histogram
}

// NewMetrics returns counters at zero.
func NewMetrics() *Metrics {
	return &Metrics{
		refused: new(expvar.Map), aborted: new(expvar.Map), answered: new(expvar.Map), leaving: new(expvar.Int), paused: new(expvar.Int),
		returns: newReturnMetrics(),
		placed:  new(expvar.Map), waited: new(expvar.Map), noRoom: new(expvar.Map),
		first: hdrhistogram.New(minMs, maxMs, significantDigits),
		total: hdrhistogram.New(minMs, maxMs, significantDigits),
	}
}

// Refused counts a response that this host gave by itself.
func (m *Metrics) Refused(cause string) { m.refused.Add(cause, 1) }

// Aborted counts a response that was cut off.
func (m *Metrics) Aborted(cause string) { m.aborted.Add(cause, 1) }

// Answered counts an endpoint's response that was relayed completely.
func (m *Metrics) Answered(kind deployment.RouteKind, elapsed time.Duration) {
	m.answered.Add(string(kind), 1)
	m.record(m.total, elapsed)
}

// Leaving counts an endpoint that says in a response that it leaves.
func (m *Metrics) Leaving() { m.leaving.Add(1) }

// Paused counts a refusal whose endpoint wants no requests for some time.
func (m *Metrics) Paused() { m.paused.Add(1) }

// FirstEvent records the time to the first event of a stream.
func (m *Metrics) FirstEvent(elapsed time.Duration) { m.record(m.first, elapsed) }

func (m *Metrics) record(h *hdrhistogram.Histogram, elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// RecordValue fails only for values out of bounds.
	_ = h.RecordValue(min(max(elapsed.Milliseconds(), minMs), maxMs)) //nolint:errcheck // within bounds
}

// Placed counts a new stream for which there was a path, and whether it had to wait for that.
func (m *Metrics) Placed(class deployment.Class, waited bool) {
	m.placed.Add(class.String(), 1)
	if waited {
		m.waited.Add(class.String(), 1)
	}
}

// NoRoom counts a stream that ends because there was no room on the workers or on the links between domains.
func (m *Metrics) NoRoom(class deployment.Class) { m.noRoom.Add(class.String(), 1) }

// Write writes all metrics as text, one name and value per line.
func (m *Metrics) Write(w io.Writer) error {
	for _, c := range []struct {
		name, label string
		counts      *expvar.Map
	}{
		{"waxwingplank_answers_by_host_total", fieldCause, m.refused},
		{"waxwingplank_answers_cut_short_total", fieldCause, m.aborted},
		{"waxwingplank_answers_total", "kind", m.answered},
		{"waxwingplank_streams_placed_total", fieldClass, m.placed},
		{"waxwingplank_streams_waited_total", fieldClass, m.waited},
		{"waxwingplank_streams_no_room_total", fieldClass, m.noRoom},
	} {
		var err error
		c.counts.Do(func(kv expvar.KeyValue) {
			if err == nil {
				err = writeCounter(w, c.name, c.label, kv.Key, kv.Value.String())
			}
		})
		if err != nil {
			return eris.Wrap(err, "forward.Metrics write")
		}
	}
	if _, err := fmt.Fprintf(w, "waxwingplank_endpoints_leaving_total %s\nwaxwingplank_pauses_total %s\n", m.leaving.String(), m.paused.String()); err != nil {
		return eris.Wrap(err, "forward.Metrics write")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.returns.write(w); err != nil {
		return eris.Wrap(err, "forward.Metrics write")
	}
	for _, h := range []struct {
		name string
		hist *hdrhistogram.Histogram
	}{{"waxwingplank_first_event_ms", m.first}, {"waxwingplank_answer_ms", m.total}} {
		if err := writeQuantiles(w, h.name, h.hist); err != nil {
			return eris.Wrap(err, "forward.Metrics write")
		}
	}
	return nil
}
