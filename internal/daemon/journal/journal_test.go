package journal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

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

// Guards against an explanation that lacks the retries of a request or the lines of its stream.
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
	for i := range recentRequests + 10 {
		j.Decision(table.RequestID(fmt.Sprint(i)), "dispatch", nil)
	}
	for range linesPerRequest + 10 {
		j.Decision("last", "dispatch", nil)
	}
	is.Equal(len(j.lines), recentRequests)
	is.Equal(len(j.Explain("0")), 0)
	is.Equal(len(j.Explain("last")), linesPerRequest)
}
