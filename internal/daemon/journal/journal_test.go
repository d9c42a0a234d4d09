package journal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/table"
)

func newJournal(t *testing.T) (*Journal, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	j, err := New(Config{Writer: &out, Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	return j, &out
}

// Guards against an explanation in which the retries of a request or the lines of its stream are missing.
func TestExplainFollowsRetriesAndStreams(t *testing.T) {
	is := is.New(t)
	j, out := newJournal(t)
	j.Decision("h-1", "dispatch", Fields{"pipeline": "a"})
	j.Log().WithField("stream", table.StreamID("h-1")).Warn("attempt failed")
	j.Decision("h-1/1", "dispatch", Fields{"pipeline": "b"})
	j.Decision("h-2", "dispatch", Fields{"pipeline": "a"})
	var got []string
	for _, l := range j.Explain("h-1") {
		got = append(got, l.Decision)
	}
	is.Equal(got, []string{"dispatch", "attempt failed", "dispatch"})
	for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		is.True(json.Valid(line))
	}
}

// Guards against memory that grows with the number of requests, or with the retries of one.
func TestExplainIsBounded(t *testing.T) {
	is := is.New(t)
	j, _ := newJournal(t)
	for i := range maxRequests + 10 {
		j.Decision(table.RequestID(fmt.Sprint(i)), "dispatch", nil)
	}
	for range maxLinesPerRequest + 10 {
		j.Decision("last", "dispatch", nil)
	}
	is.Equal(len(j.lines), maxRequests)
	is.Equal(len(j.Explain("0")), 0)
	is.Equal(len(j.Explain("last")), maxLinesPerRequest)
}

// Guards against a decision that Explain returns only after its line has been written, and against a line that has the
// time of the write instead of that of the decision.
func TestRecordBeforeWrite(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	j, err := New(Config{Writer: &out, Host: "host-0"})
	is.NoErr(err)
	r := j.Record("request-1", "dispatch", Fields{"service": "drafts"})
	is.Equal(out.Len(), 0)
	lines := j.Explain("request-1")
	is.Equal(len(lines), 1)
	is.Equal(lines[0].Decision, "dispatch")
	r.Write()
	var line struct {
		Decision, Request, Service, Host string
		Time                             time.Time
	}
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line.Decision, "dispatch")
	is.Equal(line.Request, "request-1")
	is.Equal(line.Service, "drafts")
	is.Equal(line.Host, "host-0")
	is.True(line.Time.Equal(lines[0].Time))
	is.Equal(len(j.Explain("request-1")), 1)
}

func dispatchFields() Fields {
	return Fields{
		"service": "label-drafts", "pipeline": "engine-0-0[0,12) engine-0-1[12,18) engine-0-2[18,24)", "cause": "preamble_home",
		"passed_over": map[string]string{"engine-1-0[0,12) engine-1-1[12,18)": "cost", "engine-2-0[0,12) engine-2-1[12,18)": "full"},
		"waited_ms":   int64(0), "recovery": false, "retry": 0,
	}
}

// BenchmarkDecision measures the cost of recording a decision, with and without writing its line to os.DevNull.
func BenchmarkDecision(b *testing.B) {
	for _, part := range []string{"record", "record and write"} {
		b.Run(part, func(b *testing.B) {
			out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = out.Close() }()
			j, err := New(Config{Writer: out, Host: "host-0"})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for range b.N {
				r := j.Record("request-1", "dispatch", dispatchFields())
				if part != "record" {
					r.Write()
				}
			}
		})
	}
}
