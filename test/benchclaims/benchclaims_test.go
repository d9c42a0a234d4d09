package benchclaims

import (
	"context"
	"os"
	"testing"
	"time"
)

// BenchmarkFigures prints the JSON lines; run it with -benchtime 1x.
func BenchmarkFigures(b *testing.B) {
	for range b.N {
		if err := Run(context.Background(), os.Stdout, 10*time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSteadyMinute measures the decisions of one shard for a minute of the load expected in two years.
func BenchmarkSteadyMinute(b *testing.B) {
	for range b.N {
		Steady(SteadyConfig{
			ClaimsPerS: 17.2, AnswerBytes: 100, Interval: futureInterval,
			InlineBytes: futureInline, SegmentBytes: 512 << 10, Lifetime: time.Minute,
		})
	}
}

// BenchmarkTwoWriters measures two hosts that write every shard, as happens while leases move.
func BenchmarkTwoWriters(b *testing.B) {
	for range b.N {
		b.Logf("%+v", Load(context.Background(), LoadConfig{
			Hosts: 2, System: grouped(), ClaimsPerS: futureClaimsPerS, Duration: 10 * time.Second,
			WritesPerS: storeWritesPerS, PerCall: storePerCall,
		}))
	}
}
