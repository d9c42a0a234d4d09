package path

import (
	"fmt"
	"testing"
	"time"

	"waxwingplank/internal/core/deployment"
)

// rows returns the given number of copies of the model in each of some domains, with ten layers per worker.
func rows(domainCount, copies int) []deployment.Endpoint {
	var out []deployment.Endpoint
	for d := range domainCount {
		for c := range copies {
			for i := range 8 {
				e := row(fmt.Sprintf("d%d", d), i)
				e.ID = fmt.Sprintf("%s-%d", e.ID, c)
				e.Address = fmt.Sprintf("10.%d.%d.%d:1", d, c, i)
				out = append(out, e)
			}
		}
	}
	return out
}

// benchSizes holds the current size and the one expected in two years: workers of one model, streams of one host.
var benchSizes = []struct{ domains, copies, streams int }{{3, 2, 35}, {12, 2, 630}}

// BenchmarkChoose measures the cost of choosing one path.
func BenchmarkChoose(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", size.domains*size.copies*8), func(b *testing.B) {
			s := newSystem(rows(size.domains, size.copies))
			d := typicalDemand
			d.Domain = "d0"
			for b.Loop() {
				if _, refusal := s.Choose(start, d); refusal != Accepted {
					b.Fatal(refusal)
				}
			}
		})
	}
}

// BenchmarkChooseByClass measures the cost of choosing one path for a request that leaves a reserve for another class.
func BenchmarkChooseByClass(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", size.domains*size.copies*8), func(b *testing.B) {
			s := newSystem(rows(size.domains, size.copies))
			d := typicalDemand
			d.Domain = "d0"
			s.RecordRequest(start, d)
			d.Class = 1
			for b.Loop() {
				if _, refusal := s.Choose(start, d); refusal != Accepted {
					b.Fatal(refusal)
				}
			}
		})
	}
}

// BenchmarkTick measures the cost of one check for stalled streams; there are a hundred checks per second.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("streams=%d", size.streams), func(b *testing.B) {
			s := newSystem(rows(size.domains, size.copies))
			for i := range size.streams {
				p, _ := s.Choose(start, Demand{Domain: fmt.Sprint("d", i%size.domains)})
				s.Begin(start, fmt.Sprint(i), p, typicalDemand)
				s.Progress(start, fmt.Sprint(i))
			}
			now := start.Add(40 * time.Millisecond)
			for b.Loop() {
				if found := s.Tick(now); len(found) > 0 {
					b.Fatal("streams have not stalled yet")
				}
			}
		})
	}
}
