package fakeengine

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
)

// Fault is what an engine does instead of sending the token at a position.
type Fault string

// The kinds of faults.
const (
	None            Fault = ""
	Gap             Fault = "gap"
	Overlap         Fault = "overlap"
	Incomplete      Fault = "incomplete"
	Skip            Fault = "skip"
	Duplicate       Fault = "duplicate"
	Stale           Fault = "stale"
	Foreign         Fault = "foreign"
	Stall           Fault = "silence"
	MuteAll         Fault = "silence_all"
	StaleForever    Fault = "stale_forever"
	Reset           Fault = "reset"
	CrashFirstStage Fault = "crash_head"
	CrashLastStage  Fault = "crash_tail"
	Short           Fault = "short"
	Endless         Fault = "endless"
	Reject          Fault = "reject"
	Overload        Fault = "overload"
	DropAndReset    Fault = "forget"
)

// Config holds the settings of a Fleet.
type Config struct {
	// Step is the time between two tokens. Prefill is the time to compute the KV cache of one token.
	Step, Prefill time.Duration
	// RestartAfter is the downtime of a crashed endpoint. Zero means that it does not restart by itself.
	RestartAfter time.Duration
	// Tokens is the number of tokens of a complete stream.
	Tokens int
	// Layers is the number of layers of the model.
	Layers int
	// Fault selects the fault for a position. Nil injects no faults.
	Fault func(req streams.OpenRequest, position int) Fault
	// Text returns the token at a position. If nil, the token depends on prompt and position only.
	Text func(req streams.OpenRequest, position int) string
}

type endpoint struct {
	incarnation uint64
	down        bool
	mute        bool
	crashed     chan struct{}
	attempts    map[table.StreamID]int
}

// Fleet is a set of engines in this process.
type Fleet struct {
	cfg Config

	mu        sync.Mutex
	endpoints map[table.EndpointID]*endpoint
	opens     []streams.OpenRequest
	cancels   map[table.EndpointID]int
	crashes   []table.EndpointID
	exports   int
	onCrash   func()
	restarts  sync.WaitGroup
}

// New returns a fleet that adds an endpoint when its name is first used.
func New(cfg Config) *Fleet {
	return &Fleet{cfg: cfg, endpoints: map[table.EndpointID]*endpoint{}, cancels: map[table.EndpointID]int{}}
}

// Pipeline returns a pipeline that divides the layers over the endpoints.
func (f *Fleet) Pipeline(names ...string) table.Pipeline {
	stages := make([]table.Stage, len(names))
	for i, n := range names {
		stages[i] = table.NewStage(table.StageConfig{
			Endpoint: table.EndpointID(n),
			Layers:   table.Layers{From: i * f.cfg.Layers / len(names), To: (i + 1) * f.cfg.Layers / len(names)},
		})
	}
	return table.NewPipeline(stages)
}

func (f *Fleet) endpoint(id table.EndpointID) *endpoint {
	e := f.endpoints[id]
	if e == nil {
		e = &endpoint{incarnation: 1, crashed: make(chan struct{}), attempts: map[table.StreamID]int{}}
		f.endpoints[id] = e
	}
	return e
}

// Crash ends the current incarnation of an endpoint and drops its streams.
func (f *Fleet) Crash(id table.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoint(id)
	if e.down {
		return
	}
	e.down = true
	close(e.crashed)
	e.attempts = map[table.StreamID]int{}
	f.crashes = append(f.crashes, id)
	if f.onCrash != nil {
		f.onCrash()
	}
	if f.cfg.RestartAfter > 0 {
		f.restarts.Go(func() {
			<-time.After(f.cfg.RestartAfter)
			f.Restart(id)
		})
	}
}

// OnCrash sets a function that is called at each crash. It must not call the fleet, which is locked.
func (f *Fleet) OnCrash(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCrash = do
}

// Restart starts a crashed endpoint with a new incarnation.
func (f *Fleet) Restart(id table.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoint(id)
	if !e.down {
		return
	}
	e.down = false
	e.incarnation++
	e.crashed = make(chan struct{})
}

// Mute makes an endpoint unresponsive, or responsive again. Its connections stay open.
func (f *Fleet) Mute(id table.EndpointID, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoint(id).mute = on
}

// Forget drops the state of a stream on every endpoint.
func (f *Fleet) Forget(id table.StreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		delete(e.attempts, id)
	}
}

// OpenRequests returns the open requests received so far.
func (f *Fleet) OpenRequests() []streams.OpenRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]streams.OpenRequest(nil), f.opens...)
}

// Cancels returns the number of cancellations that an endpoint received.
func (f *Fleet) Cancels(id table.EndpointID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancels[id]
}

// Crashes returns the endpoints that crashed, in order of time.
func (f *Fleet) Crashes() []table.EndpointID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]table.EndpointID(nil), f.crashes...)
}

// Exports returns the number of exports so far.
func (f *Fleet) Exports() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exports
}

// Wait blocks until all pending restarts are done.
func (f *Fleet) Wait() { f.restarts.Wait() }

// Incarnation implements streams.Engines.
func (f *Fleet) Incarnation(ctx context.Context, st table.Stage) (uint64, error) {
	f.mu.Lock()
	e := f.endpoint(st.Endpoint())
	down, mute, n := e.down, e.mute, e.incarnation
	f.mu.Unlock()
	if mute {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if down {
		return 0, eris.New("connection refused")
	}
	return n, nil
}

// Cancel implements streams.Engines.
func (f *Fleet) Cancel(_ context.Context, st table.Stage, id table.StreamID, attempt int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoint(st.Endpoint())
	f.cancels[st.Endpoint()]++
	if e.attempts[id] <= attempt {
		delete(e.attempts, id)
	}
	return nil
}

// Export implements streams.Engines.
func (f *Fleet) Export(_ context.Context, head table.Stage, id table.StreamID, attempt int) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoint(head.Endpoint())
	if e.down || e.attempts[id] != attempt {
		return "", eris.New("no such stream")
	}
	f.exports++
	return fmt.Sprintf("%s/%s/%d", head.Endpoint(), id, attempt), nil
}

// Open implements streams.Engines.
func (f *Fleet) Open(ctx context.Context, req streams.OpenRequest) (streams.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stages := req.Pipeline.Stages()
	head := f.endpoint(stages[0].Endpoint())
	if head.down {
		return nil, eris.Wrap(streams.ErrNotSent, "connection refused")
	}
	f.opens = append(f.opens, req)
	s := &attempt{fleet: f, ctx: ctx, req: req, position: req.Position, crashed: make([]chan struct{}, len(stages))}
	for i, st := range stages {
		e := f.endpoint(st.Endpoint())
		s.crashed[i] = e.crashed
		s.mute = s.mute || e.mute
		if e.down {
			s.setFailure("stage_failed", st.Endpoint())
		}
	}
	recoverable := req.Position == 0 || len(req.Generated) == req.Position || req.KVHandle != ""
	if old, held := head.attempts[req.Stream]; held && old >= req.Attempt {
		s.setFailure("stale_attempt", "")
	} else if !held && !recoverable {
		s.setFailure("stream_unknown", "")
	} else if !held && req.KVHandle == "" {
		tokens := len(strings.Fields(req.Prompt)) + req.Position
		s.prefillLeft = time.Duration(tokens) * f.cfg.Prefill
	}
	for _, st := range stages {
		f.endpoint(st.Endpoint()).attempts[req.Stream] = req.Attempt
	}
	return s, nil
}

// Text returns the default token for a prompt at a position.
func Text(prompt string, position int) string {
	return prompt + " " + strconv.Itoa(position) + ";"
}
