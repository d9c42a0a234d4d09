package path

import (
	"fmt"
	"strings"
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/ended"
)

// Part is the range of layers that one worker runs.
type Part struct {
	Worker  string
	Address string
	Range   deployment.Range
}

// Path lists the workers of one request in the order of their layers.
type Path []Part

// Covers reports whether the path runs every one of the layers once and in order.
func (p Path) Covers(layers int) bool {
	next := 0
	seen := map[string]bool{}
	for _, part := range p {
		if part.Range.From != next || part.Range.Len() <= 0 || seen[part.Worker] {
			return false
		}
		seen[part.Worker] = true
		next = part.Range.To
	}
	return next == layers
}

// String returns the parts in the form that is logged.
func (p Path) String() string {
	parts := make([]string, len(p))
	for i, part := range p {
		parts[i] = fmt.Sprintf("%s:%d-%d", part.Worker, part.Range.From, part.Range.To)
	}
	return strings.Join(parts, " ")
}

// Demand describes the path that a request needs.
type Demand struct {
	// Domain is the failure domain of the host.
	Domain string
	// PromptTokens and AnswerTokens are the numbers of prompt tokens and of tokens to be generated.
	PromptTokens int
	AnswerTokens int
	// Class is the class of the request, and Begun is set if its response has begun.
	Class deployment.Class
	Begun bool
	// Avoid holds the ids of workers that must not be on the path.
	Avoid map[string]bool
	// allowSuspected allows suspected workers on the path.
	allowSuspected bool
	// allowPaused allows workers on the path that want no requests now.
	allowPaused bool
	// allowEnded allows a trial of workers on the path that seem to have ended.
	allowEnded bool
}

// WithUsualTokens returns a demand in which missing token counts are replaced by the means of the service.
func (s *System) WithUsualTokens(d Demand) Demand {
	if s.engine == nil {
		return d
	}
	if d.PromptTokens <= 0 {
		d.PromptTokens = max(s.engine.TypicalPromptTokens, 0)
	}
	if d.AnswerTokens <= 0 {
		d.AnswerTokens = max(s.engine.TypicalResponseTokens, 0)
	}
	return d
}

func (d Demand) tokens() float64 { return float64(d.PromptTokens + d.AnswerTokens) }

// Refusal is the reason why no path was found.
type Refusal string

// The reasons for having no path.
const (
	// Accepted means that there is a path.
	Accepted Refusal = ""
	// Uncovered means that no usable worker holds some of the layers.
	Uncovered Refusal = "layers_not_held"
	// Full means that the workers of some layers have no free memory.
	Full Refusal = "workers_full"
	// Congested means that the layers are held, but the links between domains that lead to them are saturated.
	Congested Refusal = "links_full"
	// Paused means that the layers are held by workers that want no requests for some time.
	Paused Refusal = "workers_paused"
	// Limited means that this host has used up its share of the limits of all workers that may begin a path.
	Limited Refusal = "workers_limited"
)

// maxExtrapolated is the largest number of peers that are assumed to have added the same load as this host. With
// more peers, only some have chosen the same workers since their last report.
const maxExtrapolated = 8

// worker is one worker of the service.
type worker struct {
	endpoint deployment.Endpoint
	holds    deployment.Range
	factors  deployment.Accelerator
	// capacity is the memory for requests, in tokens x layers.
	capacity    float64
	used        float64
	streams     int
	peerUsed    float64
	peerStreams int
	// addedUsed and addedStreams are the load that this host has added since the last report of its peers.
	addedUsed    float64
	addedStreams int
	suspectUntil time.Time
	suspectedAt  time.Time
	// refusedUntil is the end of the time in which a worker that refused requests gets no new ones. It may still
	// serve earlier streams, so their events do not end this time.
	refusedUntil time.Time
	refusals     int
	// pausedUntil is the end of the time for which the worker wants no requests from this host.
	pausedUntil time.Time
	// peerRefusedUntil is the same for refusals that peers reported.
	peerRefusedUntil time.Time
	// suspicions counts the suspicions without progress in between; each makes the next one longer.
	suspicions   int
	progressedAt time.Time
	// failures is the smoothed share of sends to the worker that failed.
	failures float64
	// backlog is the time in ms that the worker needed at backlogAt for the prompts that this host sent to it.
	backlog   float64
	backlogAt time.Time
	// ownSlowdown is the slowdown that the worker reported to this host at ownSlowdownAt, peerSlowdown the one
	// that peers reported. 1 is normal speed.
	ownSlowdown    float64
	ownSlowdownAt  time.Time
	peerSlowdown   float64
	peerSlowdownAt time.Time
	// checkedAt is when a check of the worker was last requested. normalChecks counts the checks in a row that
	// found normal speed.
	checkedAt    time.Time
	normalChecks int
	// end is what is known of the end of the worker's instance.
	end ended.State
	// trial is the stream that uses the worker first after a suspicion or refusal. Other streams avoid the worker
	// until the outcome is clear.
	trial string
}

func (w *worker) usable(now time.Time) bool {
	return w.serving() && !w.paused(now) && !now.Before(w.suspectUntil) && !now.Before(w.refusedUntil) && !now.Before(w.peerRefusedUntil) &&
		w.trial == ""
}

// paused reports whether the worker wants no requests now.
func (w *worker) paused(now time.Time) bool { return now.Before(w.pausedUntil) }

// serving reports whether the worker is ready for requests and holds layers.
func (w *worker) serving() bool {
	return w.endpoint.State == deployment.Ready && w.holds.Len() > 0
}

// exceedsMemory reports whether a demand needs more memory than the worker has free beside what is reserved.
func (w *worker) exceedsMemory(d Demand, peers int, r reserve) bool {
	used, _ := w.load(peers)
	return used+d.tokens()*float64(w.holds.Len()) > w.capacity*(maxMemoryShare-r.of(w))
}

// remainingBacklog returns the worker's backlog at a time, in ms.
func (w *worker) remainingBacklog(now time.Time) float64 {
	return max(w.backlog-float64(now.Sub(w.backlogAt))/float64(time.Millisecond), 0)
}

// load returns the memory in use on the worker, in tokens x layers, and the streams that pass through it, over all
// hosts. Peers have the same figures and choose alike. Each is therefore assumed to have added as much as this host
// since its last report.
func (w *worker) load(peers int) (memoryUsed, streams float64) {
	n := float64(peers)
	return w.used + w.peerUsed + n*w.addedUsed, float64(w.streams+w.peerStreams) + n*float64(w.addedStreams)
}
