package fakeengine

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
)

// heartbeat is the interval of engine heartbeats while no token is due.
const heartbeat = 500 * time.Millisecond

var errReset = eris.New("connection reset")

type attempt struct {
	fleet       *Fleet
	ctx         context.Context
	req         streams.OpenRequest
	position    int
	crashed     []chan struct{}
	mute        bool
	prefillLeft time.Duration
	failure     *streams.FailureConfig
	ended       error
	// layers is built once and shared by all tokens, as by a decoder that reuses its buffer.
	layers []table.Layers
}

func (a *attempt) setFailure(code string, stage table.EndpointID) {
	a.failure = &streams.FailureConfig{Code: code, Message: code, Stage: stage}
}

// Close implements streams.Stream.
func (a *attempt) Close() error { return nil }

// Next implements streams.Stream.
func (a *attempt) Next() (streams.Event, error) {
	if a.ended != nil {
		return nil, a.ended
	}
	if a.mute {
		return a.hang()
	}
	if a.failure != nil {
		return streams.NewFailure(*a.failure), nil
	}
	if a.prefillLeft > 0 {
		interval := min(a.prefillLeft, heartbeat)
		a.prefillLeft -= interval
		if ev, err := a.pause(interval); ev != nil || err != nil {
			return ev, err
		}
		return streams.NewHeartbeat(), nil
	}
	if ev, err := a.pause(a.fleet.cfg.Step); ev != nil || err != nil {
		return ev, err
	}
	return a.step()
}

// pause waits for the duration. It returns an event or an error if the attempt ends earlier.
func (a *attempt) pause(d time.Duration) (streams.Event, error) {
	var due <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		due = t.C
	} else {
		ready := make(chan time.Time)
		close(ready)
		due = ready
	}
	var second chan struct{}
	if len(a.crashed) > 1 {
		second = a.crashed[1]
	}
	select {
	case <-a.crashed[0]:
		return nil, errReset
	case <-second:
		return a.stageFailed(1), nil
	case <-a.ctx.Done():
		return nil, a.ctx.Err()
	case <-due:
	}
	return nil, nil
}

func (a *attempt) stageFailed(i int) streams.Event {
	return streams.NewFailure(streams.FailureConfig{
		Code: "stage_failed", Message: "a stage is gone", Stage: a.req.Pipeline.Stages()[i].Endpoint(),
	})
}

func (a *attempt) hang() (streams.Event, error) {
	<-a.ctx.Done()
	return nil, a.ctx.Err()
}

func (a *attempt) step() (streams.Event, error) {
	p := a.position
	fault := None
	if a.fleet.cfg.Fault != nil {
		fault = a.fleet.cfg.Fault(a.req, p)
	}
	if a.fleet.anyMuted(a.req.Pipeline) {
		return a.hang()
	}
	if ev, err, ok := a.injectConnectionFault(fault); ok {
		return ev, err
	}
	end := min(a.fleet.cfg.Tokens, a.req.MaxTokens)
	if p >= end && fault != Endless {
		return streams.NewDone(p, "stop"), nil
	}
	a.position++
	cfg := receipt.Config{Stream: a.req.Stream, Attempt: a.req.Attempt, Position: p, Layers: a.layerRanges()}
	a.injectReceiptFault(fault, &cfg)
	if fault == Stale || fault == StaleForever {
		return streams.NewToken(cfg, "late text"), nil
	}
	return streams.NewToken(cfg, a.text(p)), nil
}

func (a *attempt) text(p int) string {
	if a.fleet.cfg.Text != nil {
		return a.fleet.cfg.Text(a.req, p)
	}
	return Text(a.req.Prompt, p)
}

func (a *attempt) injectConnectionFault(fault Fault) (streams.Event, error, bool) {
	stages := a.req.Pipeline.Stages()
	switch fault {
	case Stall:
		ev, err := a.hang()
		return ev, err, true
	case MuteAll:
		for _, st := range stages {
			a.fleet.Mute(st.Endpoint(), true)
		}
		ev, err := a.hang()
		return ev, err, true
	case Reset:
		return nil, errReset, true
	case CrashFirstStage:
		a.fleet.Crash(stages[0].Endpoint())
		return nil, errReset, true
	case CrashLastStage:
		a.fleet.Crash(stages[len(stages)-1].Endpoint())
		return a.stageFailed(len(stages) - 1), nil, true
	case Short:
		return streams.NewDone(a.fleet.cfg.Tokens, "stop"), nil, true
	case Reject:
		return streams.NewFailure(streams.FailureConfig{Code: "bad_request", Message: "no", Permanent: true}), nil, true
	case Overload:
		return streams.NewFailure(streams.FailureConfig{Code: "overloaded", Message: "later"}), nil, true
	case DropAndReset:
		a.fleet.Forget(a.req.Stream)
		return nil, errReset, true
	default:
		return nil, nil, false
	}
}

func (a *attempt) injectReceiptFault(fault Fault, cfg *receipt.Config) {
	n := a.fleet.cfg.Layers
	switch fault {
	case Gap:
		cfg.Layers = []table.Layers{{From: 0, To: n / 2}, {From: n/2 + 1, To: n}}
	case Overlap:
		cfg.Layers = []table.Layers{{From: 0, To: n / 2}, {From: n/2 - 1, To: n}}
	case Incomplete:
		cfg.Layers = []table.Layers{{From: 0, To: n - 1}}
	case Skip:
		cfg.Position++
		a.position++
	case Duplicate:
		cfg.Position--
		a.position--
	case Stale:
		cfg.Attempt--
		a.position--
	case StaleForever:
		cfg.Attempt--
		a.position--
	case Foreign:
		cfg.Stream += "-other"
	default:
	}
}

func (a *attempt) layerRanges() []table.Layers {
	if a.layers == nil {
		for _, st := range a.req.Pipeline.Stages() {
			a.layers = append(a.layers, st.Layers())
		}
	}
	return a.layers
}

func (f *Fleet) anyMuted(p table.Pipeline) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, st := range p.Stages() {
		if f.endpoint(st.Endpoint()).mute {
			return true
		}
	}
	return false
}
