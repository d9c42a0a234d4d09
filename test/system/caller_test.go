package system

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reading a partial event, left by a broken connection, as a token.
func TestReadDropsATornEvent(t *testing.T) {
	const whole = "event: token\nid: a\ndata: {\"position\":0,\"text\":\"x\"}\n\n"
	cases := []struct {
		name   string
		body   string
		tokens int
		done   bool
		err    string
	}{
		{"whole", whole + "event: done\ndata: {}\n\n", 1, true, ""},
		{"cut between events", whole, 1, false, "ended before the answer"},
		{"cut in the data", whole + "event: token\nid: b\ndata: {\"posit", 1, false, "ended before the answer"},
		{"cut before the end of the line", whole + "event: token\nid: b\ndata: {\"position\":1,\"text\":\"y\"}", 1, false, "ended before the answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var r DraftResult
			r.read(io.NopCloser(strings.NewReader(c.body)), DraftConfig{}, time.Now(), func() {})
			is.Equal(len(r.Tokens), c.tokens)
			is.Equal(r.Done, c.done)
			if c.err == "" {
				is.NoErr(r.Err)
			} else {
				is.True(r.Err != nil && strings.Contains(r.Err.Error(), c.err))
			}
		})
	}
}
