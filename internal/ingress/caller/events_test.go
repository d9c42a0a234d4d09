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

// recording keeps what was written and when.
type recording struct {
	header http.Header
	parts  []string
	at     []time.Time
}

func (r *recording) Header() http.Header              { return r.header }
func (r *recording) WriteHeader(int)                  {}
func (r *recording) Flush()                           {}
func (r *recording) SetWriteDeadline(time.Time) error { return nil }

func (r *recording) Write(b []byte) (int, error) {
	r.parts, r.at = append(r.parts, string(b)), append(r.at, time.Now())
	return len(b), nil
}

func (r *recording) heartbeats() int {
	n := 0
	for _, p := range r.parts {
		n += strings.Count(p, ": heartbeat\n\n")
	}
	return n
}

// Guards against a caller that takes a live stream for dead, or that is sent comments between tokens that
// already show that the stream lives.
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
				r := &recording{header: http.Header{}}
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

// Guards against a token text that reaches the caller changed, or as JSON that it cannot read.
func TestAppendQuoted(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", " hake", `say "no"`, `back\slash`, "tab\t", "a<b>&c", "merluza ñ", "\u2028", "\x7f", "bad \xff byte"} {
		want, err := json.Marshal(text)
		is.NoErr(err)
		is.Equal(string(appendQuoted([]byte("x"), text)), "x"+string(want))
	}
}

// BenchmarkToken measures the encoding of one token event, without a connection.
func BenchmarkToken(b *testing.B) {
	e := newEventWriter(discarding{}, time.Hour, func() {})
	defer e.close()
	id := strings.Repeat("i", 300)
	b.ReportAllocs()
	for i := range b.N {
		if err := e.Token(id, i, " merluza"); err != nil {
			b.Fatal(err)
		}
	}
}

// discarding is an answer that nobody reads.
type discarding struct{}

func (discarding) Header() http.Header              { return http.Header{} }
func (discarding) WriteHeader(int)                  {}
func (discarding) Flush()                           {}
func (discarding) SetWriteDeadline(time.Time) error { return nil }
func (discarding) Write(b []byte) (int, error)      { return len(b), nil }
