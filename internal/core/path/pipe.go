package path

import (
	"math"
	"time"
)

const (
	// pipeWindow is the time over which the use of a link between domains is averaged.
	pipeWindow = time.Second
	// pipeLimit is the use above which nothing more is sent over a link; transfers wait for each other.
	pipeLimit = 0.8
	// crossWeight makes a change of the domain dearer than its time, so that paths do not change it for gains
	// that are within the spread of costs.
	crossWeight = 3.0
	bitsPerByte = 8
	bitsPerMbit = 1e6
)

// pipe is the link between two domains.
type pipe struct {
	bytes float64
	at    time.Time
	// added is what this host has sent since its peers last told theirs.
	added float64
}

type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

func (p *pipe) decayed(now time.Time) float64 {
	return p.bytes * math.Exp(-float64(now.Sub(p.at))/float64(pipeWindow))
}

// use returns the share of a link that the streams of all hosts use.
func (s *System) use(now time.Time, a, b string) float64 {
	if s.engine.CrossDomainMbps <= 0 {
		return 0
	}
	key := pairOf(a, b)
	rate := s.peerPipes[key.name()]
	if p := s.pipes[key]; p != nil {
		rate += (p.decayed(now) + p.added*float64(s.peers)) / pipeWindow.Seconds()
	}
	return rate * bitsPerByte / (s.engine.CrossDomainMbps * bitsPerMbit)
}

// transfer notes what a path sends over links between domains.
func (s *System) transfer(now time.Time, p Path, d Demand) {
	for i := 1; i < len(p); i++ {
		a, b := s.workers[p[i-1].Worker], s.workers[p[i].Worker]
		if a == nil || b == nil || a.endpoint.Domain == b.endpoint.Domain {
			continue
		}
		key := pairOf(a.endpoint.Domain, b.endpoint.Domain)
		if s.pipes[key] == nil {
			s.pipes[key] = &pipe{}
		}
		link := s.pipes[key]
		sent := d.tokens() * s.engine.ActivationBytes
		link.bytes, link.at = link.decayed(now)+sent, now
		link.added += sent
	}
}

// crossMs is what a change of the domain costs a request per token, its prompt included.
func (s *System) crossMs(now time.Time, a, b string, d Demand) float64 {
	u := s.use(now, a, b)
	if u >= pipeLimit {
		return math.Inf(1)
	}
	cost := float64(s.engine.DomainDelay) / float64(time.Millisecond)
	if s.engine.CrossDomainMbps > 0 {
		perToken := s.engine.ActivationBytes * bitsPerByte / (s.engine.CrossDomainMbps * bitsPerMbit) * 1000
		cost += perToken * (1 + float64(d.Prompt)/float64(max(d.Answer, 1)))
	}
	return crossWeight * cost / (1 - u)
}
