package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkVerdictAfterMark measures a verdict after a new mark, beside 10,000 marked requests whose 60 parts were in the same
// crashes.
func BenchmarkVerdictAfterMark(b *testing.B) {
	const (
		requests = 10_000
		parts    = 60
		crashes  = 4
	)
	s, now := New(Config{MaxRequests: requests}), start
	var marks []Mark
	for i := range requests {
		part := PartFingerprint("svc", fmt.Sprint(i%parts))
		for c := range crashes {
			at := start.Add(time.Duration(c) * time.Second)
			crash := CrashID(fmt.Sprintf("e%d@1", c))
			if i%crashes == c {
				marks = append(marks, NewMark(MarkConfig{Fingerprint: fp(fmt.Sprint(i)), Crash: crash, At: at, Parts: []Fingerprint{part}}))
			}
			if i < parts {
				marks = append(marks, NewMark(MarkConfig{Fingerprint: part, Crash: crash, At: at, Part: true}))
			}
		}
	}
	now = now.Add(crashes * time.Second)
	s.Tick(now, []Event{NewPeerMarks(marks)})
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		m := NewMark(MarkConfig{Fingerprint: fp("0"), Crash: CrashID(fmt.Sprintf("f%d@1", i)), At: now})
		s.Tick(now, []Event{NewPeerMarks([]Mark{m})})
		s.Verdict(now, fp("1"), PartFingerprint("svc", "1"))
	}
}
