package journal

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a decision that cannot be explained until its line is written, and against a line that shows
// the time of the writing.
func TestRecordBeforeWrite(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	j, err := New(Config{Writer: &out, Host: "host-0"})
	is.NoErr(err)
	r := j.Record("request-1", "dispatch", Fields{"service": "drafts"})
	is.Equal(out.Len(), 0)
	known := j.Explain("request-1")
	is.Equal(len(known), 1)
	is.Equal(known[0].Decision, "dispatch")
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
	is.True(line.Time.Equal(known[0].Time))
	is.Equal(len(j.Explain("request-1")), 1)
}

func dispatchFields() Fields {
	return Fields{
		"service": "label-drafts", "pipeline": "engine-0-0[0,12) engine-0-1[12,18) engine-0-2[18,24)", "cause": "preamble_home",
		"passed_over": map[string]string{"engine-1-0[0,12) engine-1-1[12,18)": "cost", "engine-2-0[0,12) engine-2-1[12,18)": "full"},
		"waited_ms":   int64(0), "recovery": false, "retry": 0,
	}
}

// BenchmarkDecision measures one decision with its line, written to a file without content.
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
