package run

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/receipt"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/dispatch"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/internal/endpoint/engine"
)

// progressReportTokens is the number of tokens between two reports of a stream's speed to routing. At 20 tokens/s,
// this is one report every 1.6 s, which is a low cost compared with that of the tokens.
const progressReportTokens = 32

// engines adapts the engine client to the streams package and reports progress and failures to routing.
type engines struct {
	client     *engine.Client
	dispatcher *dispatch.Dispatcher
	clock      func() time.Time
}

func (e engines) Open(ctx context.Context, req streams.OpenRequest) (streams.Stream, error) {
	s, err := e.client.Open(ctx, engine.OpenRequest{
		Stream: req.Stream, Attempt: req.Attempt, Model: req.Model, Version: req.Version,
		Workspace: req.Workspace, Priority: req.Priority, Route: req.Pipeline.Stages(),
		Prompt: req.Preamble + req.Prompt, Generated: req.Generated, Position: req.Position,
		MaxTokens: req.MaxTokens, KVHandle: req.KVHandle,
	})
	tracker, _ := req.Handle.(*requestTracker)
	if err != nil {
		tracker.recordFailure(failureReason(err))
		if !engine.MayHaveSent(err) {
			return nil, eris.Wrap(streams.ErrNotSent, err.Error())
		}
		if code := engine.Code(err); code != "" {
			// The engine responded, so it has neither crashed nor become unresponsive.
			return refusedStream{code: code, message: err.Error(), stage: req.Pipeline.Stages()[0].Endpoint()}, nil
		}
		return nil, err
	}
	return &attemptStream{Stream: s, tracker: tracker, engines: e}, nil
}

func (e engines) Cancel(ctx context.Context, stage table.Stage, id table.StreamID, attempt int) error {
	return e.client.Cancel(ctx, stage.Address(), id, attempt)
}

func (e engines) Export(ctx context.Context, head table.Stage, id table.StreamID, attempt int) (string, error) {
	out, err := e.client.Export(ctx, head.Address(), id, attempt)
	if err != nil {
		return "", eris.Wrap(err, "run.Export")
	}
	return out.Handle(), nil
}

func (e engines) Incarnation(ctx context.Context, stage table.Stage) (uint64, error) {
	load, err := e.client.Load(ctx, stage.Address())
	if err != nil {
		return 0, eris.Wrap(err, "run.Incarnation")
	}
	return load.Incarnation(), nil
}

func failureReason(err error) routing.Reason {
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		return routing.ReasonConnect
	case errors.Is(err, engine.ErrUnresponsive):
		return routing.ReasonUnresponsive
	case errors.Is(err, engine.ErrRefused):
		return routing.ReasonBusy
	default:
		return routing.ReasonReset
	}
}

// refusedStream is the stream of an attempt that the engine refused. Its only event is the failure.
type refusedStream struct {
	code, message string
	stage         table.EndpointID
}

func (r refusedStream) Next() (streams.Event, error) {
	return streams.NewFailure(streams.FailureConfig{Code: r.code, Message: r.message, Stage: r.stage}), nil
}

func (refusedStream) Close() error { return nil }

// attemptStream converts engine events to stream events and records them in the tracker.
type attemptStream struct {
	*engine.Stream
	tracker *requestTracker
	engines engines
}

func (s *attemptStream) Next() (streams.Event, error) {
	event, err := s.Stream.Next()
	if err != nil {
		s.tracker.recordFailure(failureReason(err))
		return nil, err
	}
	switch x := event.(type) {
	case engine.Token:
		s.tracker.recordToken(s.engines)
		return streams.NewToken(receipt.Config{
			Stream: x.Stream(), Attempt: x.Attempt(), Position: x.Position(), Layers: x.Layers(),
		}, x.Text()), nil
	case engine.Heartbeat:
		return streams.NewHeartbeat(), nil
	case engine.Done:
		s.tracker.recordDone()
		return streams.NewDone(x.Tokens(), x.FinishReason()), nil
	case engine.Failure:
		s.tracker.recordStageFailure(table.EndpointID(x.Stage()), routing.ReasonReset)
		return streams.NewFailure(streams.FailureConfig{
			Code: x.Code(), Message: x.Message(), Stage: table.EndpointID(x.Stage()),
		}), nil
	default:
		return nil, eris.Errorf("run.Next: unexpected engine event %T", event)
	}
}
