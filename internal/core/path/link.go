package path

import (
	"math"
	"slices"
	"time"
)

const (
	// linkWindow is the time over which the use of a link between domains is averaged.
	linkWindow = time.Second
	// maxLinkUse is the use from which no further path crosses a link; transfers on it queue behind each other.
	maxLinkUse = 0.8
	// crossDomainWeight makes passing to another domain cost more than its time. All streams share the links, and
	// streams without any other path need them most.
	crossDomainWeight = 6.0
	bitsPerByte       = 8
	bitsPerMbit       = 1e6
)

// domainLink is the link between two domains.
type domainLink struct {
	bytes float64
	at    time.Time
	// addedBytes are the bytes that this host has sent since the last report of its peers.
	addedBytes float64
	// backlog is the time in ms that the link needed at backlogAt for the prompts that this host sends over it.
	backlog   float64
	backlogAt time.Time
}

type domainPair struct{ a, b string }

func domainPairOf(a, b string) domainPair {
	if b < a {
		a, b = b, a
	}
	return domainPair{a, b}
}

func (l *domainLink) decayedBytes(now time.Time) float64 {
	return l.bytes * decay(now.Sub(l.at))
}

// decay returns the weight that a rate keeps in the average after the elapsed time.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(linkWindow))
}

// linkUse returns the share of a link that the streams of all hosts use. The rates that peers reported decay like
// this host's own rate, and each peer is assumed to have added as much as this host since its report.
func (s *System) linkUse(now time.Time, key domainPair) float64 {
	if s.engine.CrossDomainMbps <= 0 {
		return 0
	}
	rate := s.peerLinkRates[key.name()] * decay(now.Sub(s.peersReportedAt))
	if l := s.domainLinks[key]; l != nil {
		rate += (l.decayedBytes(now) + l.addedBytes*float64(s.peers)) / linkWindow.Seconds()
	}
	return rate * bitsPerByte / (s.engine.CrossDomainMbps * bitsPerMbit)
}

// linkMs returns the time in ms that a link needs for the activations of some tokens.
func (s *System) linkMs(tokens float64) float64 {
	if s.engine.CrossDomainMbps <= 0 {
		return 0
	}
	const msPerSecond = 1000
	return tokens * s.engine.ActivationBytes * bitsPerByte / (s.engine.CrossDomainMbps * bitsPerMbit) * msPerSecond
}

// linkWaitMs returns the time in ms that a transfer over a link waits for the prompts of all hosts. Each peer is
// assumed to send as much as this host.
func (s *System) linkWaitMs(now time.Time, key domainPair) float64 {
	l := s.domainLinks[key]
	if l == nil {
		return 0
	}
	return l.remainingBacklog(now) * float64(s.peers+1)
}

func (l *domainLink) remainingBacklog(now time.Time) float64 {
	return max(l.backlog-float64(now.Sub(l.backlogAt))/float64(time.Millisecond), 0)
}

// crossing returns the link between two consecutive parts of a path, if they are in different domains.
func (s *System) crossing(from, to Part) (domainPair, bool) {
	a, b := s.workers[from.Worker], s.workers[to.Worker]
	if a == nil || b == nil || a.endpoint.Domain == b.endpoint.Domain {
		return domainPair{}, false
	}
	return domainPairOf(a.endpoint.Domain, b.endpoint.Domain), true
}

// linkUses returns the use of each link between domains that have workers.
func (s *System) linkUses(now time.Time) map[domainPair]float64 {
	out := map[domainPair]float64{}
	for _, a := range s.workers {
		for _, b := range s.workers {
			if a.endpoint.Domain < b.endpoint.Domain {
				key := domainPair{a.endpoint.Domain, b.endpoint.Domain}
				if _, ok := out[key]; !ok {
					out[key] = s.linkUse(now, key)
				}
			}
		}
	}
	return out
}

// recordTransfers records the bytes that a path sends over links between domains. Workers that were on the stream's
// old path have read its prompt and receive only the tokens after it.
func (s *System) recordTransfers(now time.Time, old, p Path, d Demand) {
	for i := 1; i < len(p); i++ {
		key, crossing := s.crossing(p[i-1], p[i])
		if !crossing {
			continue
		}
		if s.domainLinks[key] == nil {
			s.domainLinks[key] = &domainLink{}
		}
		link := s.domainLinks[key]
		sent := float64(d.AnswerTokens)
		if !slices.Contains(old, p[i]) {
			sent = d.tokens()
			link.backlog, link.backlogAt = link.remainingBacklog(now)+s.linkMs(float64(d.PromptTokens)), now
		}
		sent *= s.engine.ActivationBytes
		link.bytes, link.at = link.decayedBytes(now)+sent, now
		link.addedBytes += sent
	}
}

// crossDomainMs returns the cost of passing from one domain to another for a request, per token and with the prompt
// included. It is infinite if the link is saturated.
func (s *System) crossDomainMs(now time.Time, a, b string, d Demand) float64 {
	u := s.linkUse(now, domainPairOf(a, b))
	if u >= maxLinkUse {
		return math.Inf(1)
	}
	cost := float64(s.engine.DomainDelay) / float64(time.Millisecond)
	cost += s.linkMs(1) * (1 + float64(d.PromptTokens)/float64(max(d.AnswerTokens, 1)))
	wait := waitWeight * s.linkWaitMs(now, domainPairOf(a, b)) / float64(max(d.AnswerTokens, 1))
	return crossDomainWeight*cost/(1-u) + wait
}
