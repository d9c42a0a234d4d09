package outcome

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against reporting "not run" to a caller while another copy of its request may still run.
func TestClassify(t *testing.T) {
	cases := []struct {
		name  string
		facts Facts
		want  Outcome
	}{
		{"first send, nothing sent", Facts{FirstSend: true}, NotRun},
		{"resend, nothing sent", Facts{}, MayHaveRun},
		{"resend, refusal recorded", Facts{RefusalRecorded: true}, NotRun},
		{"first send, claim may exist", Facts{FirstSend: true, Claimed: true}, MayHaveRun},
		{"bytes sent", Facts{FirstSend: true, BytesSent: true}, MayHaveRun},
		{"completed, answer lost", Facts{BytesSent: true, Completed: true}, Ran},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Classify(c.facts), c.want)
		})
	}
}
