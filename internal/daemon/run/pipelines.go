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

// unlimitedSlots is the number of free slots in a grant. Routing has already limited the rate of recoveries, so the
// streams package must not limit it again.
const unlimitedSlots = 1 << 20

// pipelines adapts the dispatcher to the streams package.
type pipelines struct {
	dispatcher *dispatch.Dispatcher
	clock      func() time.Time
}

// admissionParams are the parameters of one copy of a request that routing uses for admission.
type admissionParams struct {
	request   table.RequestID
	weight    int
	firstSend bool
	maxTokens int
	key       string
	deadline  time.Time
}

// requestTracker records the progress of one copy of a stream request across its attempts.
type requestTracker struct {
	admissionParams

	mu          sync.Mutex
	dispatches  int
	request     table.RequestID
	started     time.Time
	tokens      int
	lastReport  time.Time
	completed   bool
	failure     routing.Reason
	failedStage table.EndpointID
}

// preferenceTimeout limits the wait for a preferred pipeline, which contains none of the endpoints to avoid and runs no
// other request marked by the same crash. Afterwards any pipeline is acceptable: most crashes are caused by machines,
// not by requests, and the wait must leave most of the 2 s recovery limit for the recovery.
const preferenceTimeout = 250 * time.Millisecond

func (p pipelines) Acquire(ctx context.Context, req streams.PipelineRequest) (streams.Grant, error) {
	avoid := append(req.Avoid[:len(req.Avoid):len(req.Avoid)], req.AvoidMarked...)
	if len(avoid) > 0 || len(req.CrashMarks) > 0 {
		preferCtx, cancel := context.WithTimeout(ctx, preferenceTimeout)
		defer cancel()
		grant, err := p.acquire(preferCtx, req, avoid)
		if err == nil || preferCtx.Err() == nil || ctx.Err() != nil {
			return grant, err
		}
		req.CrashMarks = nil
	}
	return p.acquire(ctx, req, nil)
}

func (p pipelines) acquire(ctx context.Context, req streams.PipelineRequest, avoid []table.EndpointID) (streams.Grant, error) {
	t, _ := req.Handle.(*requestTracker)
	cfg := routing.ArrivedConfig{
		Request: t.beginDispatch(), Service: req.Service, Workspace: req.Workspace, Kind: req.Kind,
		Priority: req.Priority, Weight: t.weight, Preamble: preambleHash(req.Preamble),
		MaxTokens: t.maxTokens, PreferredPipeline: req.PreferredPipeline, AvoidEndpoints: avoid, Recovery: req.Recovery, WaitingSince: req.WaitingSince,
		FirstSend: t.firstSend, Repeatable: true, Key: t.key, Deadline: t.deadline,
	}
	if req.PreferredPipeline != "" {
		// The stream ran under another host, so it gets the same precedence as a recovery.
		cfg.Recovery = true
	}
	if cfg.Recovery {
		// A stream that has already run waits for capacity until its own time limit, not until the first-token deadline.
		cfg.Deadline, cfg.Key = time.Time{}, ""
	}
	for _, c := range req.CrashMarks {
		cfg.CrashMarks = append(cfg.CrashMarks, string(c))
	}
	assignment, err := p.dispatcher.Acquire(ctx, cfg)
	if err != nil {
		return streams.Grant{}, err
	}
	t.recordPlacement(p.clock())
	return streams.Grant{Pipeline: assignment.Pipeline(), FreeSlots: unlimitedSlots, Handle: t}, nil
}

func (p pipelines) Release(g streams.Grant) {
	t, _ := g.Handle.(*requestTracker)
	p.dispatcher.Post(t.endDispatch(p.clock()))
}

// beginDispatch resets the tracker and returns a new request ID for the next dispatch of the copy. Routing drops the
// state of a request when its dispatch ends.
func (t *requestTracker) beginDispatch() table.RequestID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.request = t.admissionParams.request
	if t.dispatches > 0 {
		t.request += table.RequestID("/" + strconv.Itoa(t.dispatches))
	}
	t.dispatches++
	t.tokens, t.completed, t.failure, t.failedStage = 0, false, "", ""
	return t.request
}

func (t *requestTracker) recordPlacement(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started, t.lastReport = now, now
}

func (t *requestTracker) recordToken(e engines) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens++
	if t.tokens != 1 && t.tokens%progressReportTokens != 0 {
		return
	}
	now := e.clock()
	if t.tokens == 1 {
		e.dispatcher.Post(routing.NewFirstToken(t.request, now.Sub(t.started)))
	} else {
		steps := time.Duration(progressReportTokens)
		if t.tokens == progressReportTokens {
			steps--
		}
		e.dispatcher.Post(routing.NewProgress(t.request, now.Sub(t.lastReport)/steps))
	}
	t.lastReport = now
}

func (t *requestTracker) recordDone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed = true
}

func (t *requestTracker) recordFailure(reason routing.Reason) { t.recordStageFailure("", reason) }

func (t *requestTracker) recordStageFailure(stage table.EndpointID, reason routing.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failure, t.failedStage = reason, stage
}

// endDispatch returns the routing event for the release of the slot.
func (t *requestTracker) endDispatch(now time.Time) routing.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.completed:
		return routing.NewFinished(t.request, t.tokens, now.Sub(t.started))
	case t.failure != "":
		return routing.NewAttemptFailed(t.request, t.failedStage, t.failure)
	default:
		return routing.NewDeparted(t.request)
	}
}

// preambleHash returns the hash that engines report for the longest prefix of the preamble made of complete blocks.
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
