package run

import (
	"context"
	"strconv"
	"sync"
	"time"

	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/dispatch"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/internal/endpoint/engine"
)

// unpaced is given as the free slots of a pipeline, because routing has paced the recovery already.
const unpaced = 1 << 20

// pipelines adapts the dispatcher to streams.
type pipelines struct {
	dispatcher *dispatch.Dispatcher
	clock      func() time.Time
}

// admission is what routing needs to know of one copy of a request.
type admission struct {
	request   table.RequestID
	weight    int
	first     bool
	maxTokens int
	key       string
	deadline  time.Time
}

// ticket follows one copy of a stream request through its attempts.
type ticket struct {
	admission

	mu         sync.Mutex
	dispatches int
	request    table.RequestID
	started    time.Time
	tokens     int
	mark       time.Time
	ended      bool
	failure    routing.Reason
	stage      table.EndpointID
}

// preferFor bounds the wait for a pipeline that suits the request: without the endpoints to avoid, and
// without another request marked by the same crash. Afterwards any pipeline is better than none: most crashes
// come from machines, not from requests, and the wait must leave most of the 2 s for the recovery.
const preferFor = 250 * time.Millisecond

func (p pipelines) Acquire(ctx context.Context, req streams.PipelineRequest) (streams.Grant, error) {
	avoid := append(req.Avoid[:len(req.Avoid):len(req.Avoid)], req.Shared...)
	if len(avoid) > 0 || len(req.Isolate) > 0 {
		bounded, cancel := context.WithTimeout(ctx, preferFor)
		defer cancel()
		grant, err := p.acquire(bounded, req, avoid)
		if err == nil || bounded.Err() == nil || ctx.Err() != nil {
			return grant, err
		}
		req.Isolate = nil
	}
	return p.acquire(ctx, req, nil)
}

func (p pipelines) acquire(ctx context.Context, req streams.PipelineRequest, avoid []table.EndpointID) (streams.Grant, error) {
	t, _ := req.Handle.(*ticket)
	cfg := routing.ArrivedConfig{
		Request: t.begin(), Service: req.Service, Workspace: req.Workspace, Kind: req.Kind,
		Priority: req.Priority, Weight: t.weight, Preamble: preambleHash(req.Preamble),
		MaxTokens: t.maxTokens, PreferredPipeline: req.Prefer, AvoidEndpoints: avoid, Recovery: req.Recovery, WaitingSince: req.Since,
		FirstSend: t.first, Repeatable: true, Key: t.key, Deadline: t.deadline,
	}
	if req.Prefer != "" {
		// The stream ran under another host, which is as good a claim to go first.
		cfg.Recovery = true
	}
	if cfg.Recovery {
		// A stream that already ran is owed the rest of its answer for as long as it may live.
		cfg.Deadline, cfg.Key = time.Time{}, ""
	}
	for _, c := range req.Isolate {
		cfg.CrashMarks = append(cfg.CrashMarks, string(c))
	}
	place, err := p.dispatcher.Acquire(ctx, cfg)
	if err != nil {
		return streams.Grant{}, err
	}
	t.placed(p.clock())
	return streams.Grant{Pipeline: place.Pipeline(), FreeSlots: unpaced, Handle: t}, nil
}

func (p pipelines) Release(g streams.Grant) {
	t, _ := g.Handle.(*ticket)
	p.dispatcher.Post(t.end(p.clock()))
}

// begin names the next dispatch of the copy: routing forgets a request when it ends.
func (t *ticket) begin() table.RequestID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.request = t.admission.request
	if t.dispatches > 0 {
		t.request += table.RequestID("/" + strconv.Itoa(t.dispatches))
	}
	t.dispatches++
	t.tokens, t.ended, t.failure, t.stage = 0, false, "", ""
	return t.request
}

func (t *ticket) placed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started, t.mark = now, now
}

func (t *ticket) token(e engines) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens++
	if t.tokens != 1 && t.tokens%progressTokens != 0 {
		return
	}
	now := e.clock()
	if t.tokens == 1 {
		e.dispatcher.Post(routing.NewFirstToken(t.request, now.Sub(t.started)))
	} else {
		steps := time.Duration(progressTokens)
		if t.tokens == progressTokens {
			steps--
		}
		e.dispatcher.Post(routing.NewProgress(t.request, now.Sub(t.mark)/steps))
	}
	t.mark = now
}

func (t *ticket) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

func (t *ticket) fail(reason routing.Reason) { t.failStage("", reason) }

func (t *ticket) failStage(stage table.EndpointID, reason routing.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failure, t.stage = reason, stage
}

// end returns what routing is told when the slot is given back.
func (t *ticket) end(now time.Time) routing.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.ended:
		return routing.NewFinished(t.request, t.tokens, now.Sub(t.started))
	case t.failure != "":
		return routing.NewAttemptFailed(t.request, t.stage, t.failure)
	default:
		return routing.NewDeparted(t.request)
	}
}

// preambleHash returns the hash under which engines report the longest whole block of the preamble.
func preambleHash(preamble string) uint64 {
	hashes := engine.PrefixHashes(preamble)
	if len(hashes) == 0 {
		return 0
	}
	hash, err := strconv.ParseUint(hashes[len(hashes)-1], 16, 64)
	if err != nil {
		return 0
	}
	return hash
}
