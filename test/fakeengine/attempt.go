package fakeengine

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
)

// heartbeat is the period of an engine's heartbeats while no token is due.
const heartbeat = 500 * time.Millisecond

var errReset = eris.New("connection reset")

type attempt struct {
	f        *Fleet
	ctx      context.Context
	req      streams.OpenRequest
	position int
	died     []chan struct{}
	mute     bool
	wait     time.Duration
	failure  *streams.FailureConfig
	ended    error
	// layers is built once, as a decoder may reuse its buffer.
	layers []table.Layers
}

func (a *attempt) fail(code string, stage table.EndpointID) {
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
		return a.silence()
	}
	if a.failure != nil {
		return streams.NewFailure(*a.failure), nil
	}
	if a.wait > 0 {
		pause := min(a.wait, heartbeat)
		a.wait -= pause
		if ev, err := a.pause(pause); ev != nil || err != nil {
			return ev, err
		}
		return streams.NewHeartbeat(), nil
	}
	if ev, err := a.pause(a.f.cfg.Step); ev != nil || err != nil {
		return ev, err
	}
	return a.step()
}

// pause waits and reports what ended the wait early.
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
	if len(a.died) > 1 {
		second = a.died[1]
	}
	select {
	case <-a.died[0]:
		return nil, errReset
	case <-second:
		return a.stageDied(1), nil
	case <-a.ctx.Done():
		return nil, a.ctx.Err()
	case <-due:
	}
	return nil, nil
}

func (a *attempt) stageDied(i int) streams.Event {
	return streams.NewFailure(streams.FailureConfig{
		Code: "stage_failed", Message: "a stage is gone", Stage: a.req.Pipeline.Stages()[i].Endpoint(),
	})
}

func (a *attempt) silence() (streams.Event, error) {
	<-a.ctx.Done()
	return nil, a.ctx.Err()
}

func (a *attempt) step() (streams.Event, error) {
	p := a.position
	fault := None
	if a.f.cfg.Fault != nil {
		fault = a.f.cfg.Fault(a.req, p)
	}
	if a.f.isMute(a.req.Pipeline) {
		return a.silence()
	}
	if ev, err, ok := a.connectionFault(fault); ok {
		return ev, err
	}
	end := min(a.f.cfg.Tokens, a.req.MaxTokens)
	if p >= end && fault != Endless {
		return streams.NewDone(p, "stop"), nil
	}
	a.position++
	cfg := receipt.Config{Stream: a.req.Stream, Attempt: a.req.Attempt, Position: p, Layers: a.ranges()}
	a.receiptFault(fault, &cfg)
	if fault == Stale || fault == StaleForever {
		return streams.NewToken(cfg, "late text"), nil
	}
	return streams.NewToken(cfg, a.text(p)), nil
}

func (a *attempt) text(p int) string {
	if a.f.cfg.Text != nil {
		return a.f.cfg.Text(a.req, p)
	}
	return Text(a.req.Prompt, p)
}

func (a *attempt) connectionFault(fault Fault) (streams.Event, error, bool) {
	stages := a.req.Pipeline.Stages()
	switch fault {
	case Silence:
		ev, err := a.silence()
		return ev, err, true
	case SilenceAll:
		for _, st := range stages {
			a.f.Mute(st.Endpoint(), true)
		}
		ev, err := a.silence()
		return ev, err, true
	case Reset:
		return nil, errReset, true
	case CrashHead:
		a.f.Crash(stages[0].Endpoint())
		return nil, errReset, true
	case CrashTail:
		a.f.Crash(stages[len(stages)-1].Endpoint())
		return a.stageDied(len(stages) - 1), nil, true
	case Short:
		return streams.NewDone(a.f.cfg.Tokens, "stop"), nil, true
	case Reject:
		return streams.NewFailure(streams.FailureConfig{Code: "bad_request", Message: "no", Permanent: true}), nil, true
	case Overload:
		return streams.NewFailure(streams.FailureConfig{Code: "overloaded", Message: "later"}), nil, true
	case ForgetAndFail:
		a.f.Forget(a.req.Stream)
		return nil, errReset, true
	default:
		return nil, nil, false
	}
}

func (a *attempt) receiptFault(fault Fault, cfg *receipt.Config) {
	n := a.f.cfg.Layers
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

func (a *attempt) ranges() []table.Layers {
	if a.layers == nil {
		for _, st := range a.req.Pipeline.Stages() {
			a.layers = append(a.layers, st.Layers())
		}
	}
	return a.layers
}

func (f *Fleet) isMute(p table.Pipeline) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, st := range p.Stages() {
		if f.endpoint(st.Endpoint()).mute {
			return true
		}
	}
	return false
}
