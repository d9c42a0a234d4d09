package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// responseRecorder records each write and its time.
type responseRecorder struct {
	header http.Header
	parts  []string
	at     []time.Time
}

func (r *responseRecorder) Header() http.Header              { return r.header }
func (r *responseRecorder) WriteHeader(int)                  {}
func (r *responseRecorder) Flush()                           {}
func (r *responseRecorder) SetWriteDeadline(time.Time) error { return nil }

func (r *responseRecorder) Write(b []byte) (int, error) {
	r.parts, r.at = append(r.parts, string(b)), append(r.at, time.Now())
	return len(b), nil
}

func (r *responseRecorder) heartbeats() int {
	n := 0
	for _, p := range r.parts {
		n += strings.Count(p, ": heartbeat\n\n")
	}
	return n
}

// Guards against a stream that sends nothing for longer than one interval, which a caller takes for dead, and
// against needless comments between tokens that already show that the stream is alive.
func TestHeartbeatsFillPauses(t *testing.T) {
	const every = 500 * time.Millisecond
	cases := []struct {
		name       string
		between    time.Duration
		tokens     int
		heartbeats int
	}{
		{"steady tokens", 49 * time.Millisecond, 100, 0},
		{"a token just before the period ends", 499 * time.Millisecond, 10, 0},
		{"one pause in three periods", 1200 * time.Millisecond, 4, 6},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &responseRecorder{header: http.Header{}}
				e := newEventWriter(r, every, func() {})
				for i := range tc.tokens {
					if i > 0 {
						time.Sleep(tc.between)
					}
					is.NoErr(e.Token("id", i, "hake"))
				}
				is.True(e.close())
				synctest.Wait()
				is.Equal(r.heartbeats(), tc.heartbeats)
				for i := 1; i < len(r.at); i++ {
					is.True(r.at[i].Sub(r.at[i-1]) <= every)
				}
			})
		})
	}
}

// Guards against a token text that reaches the caller altered or as invalid JSON.
func TestAppendQuoted(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", " hake", `say "no"`, `back\slash`, "tab\t", "a<b>&c", "merluza ñ", "\u2028", "\x7f", "bad \xff byte"} {
		want, err := json.Marshal(text)
		is.NoErr(err)
		is.Equal(string(appendQuoted([]byte("x"), text)), "x"+string(want))
	}
}

// BenchmarkToken measures the cost of writing one token event, without a connection.
func BenchmarkToken(b *testing.B) {
	e := newEventWriter(discardWriter{}, time.Hour, func() {})
	defer e.close()
	id := strings.Repeat("i", 300)
	b.ReportAllocs()
	for i := range b.N {
		if err := e.Token(id, i, " merluza"); err != nil {
			b.Fatal(err)
		}
	}
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header              { return http.Header{} }
func (discardWriter) WriteHeader(int)                  {}
func (discardWriter) Flush()                           {}
func (discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (discardWriter) Write(b []byte) (int, error)      { return len(b), nil }
