package run

import (
	"context"
	"time"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/internal/ingress/caller"
)

// bytesPerToken is used to estimate the number of tokens of a prompt, for the estimated prefill time only.
const bytesPerToken = 4

// Stream implements caller.Backend.
func (d *Daemon) Stream(ctx context.Context, req caller.StreamRequest, sink caller.Sink) error {
	d.inflight.streams.Add(1)
	defer d.inflight.streams.Add(-1)
	r, err := d.rulesFor(ctx, req.Request, document.Pipeline)
	if err != nil {
		return err
	}
	d.fleet.AwaitPipelines(ctx, req.Service)
	model, _ := r.doc.Model()
	maxTokens := int(r.doc.Limits().MaxTokens)
	if req.MaxTokens > 0 {
		maxTokens = min(maxTokens, req.MaxTokens)
	}
	now := time.Now()
	firstTokenDeadline := now.Add(r.firstToken)
	deadline, _ := ctx.Deadline()
	if limit := now.Add(time.Duration(r.doc.Limits().TimeoutMs) * time.Millisecond); limit.Before(deadline) {
		deadline = limit
	}
	out := &callerSink{sink: sink, otherAddress: d.otherAddress}
	err = d.runner.Run(ctx, streams.NewRequest(streams.RequestConfig{
		Stream: table.StreamID(req.ID), Service: req.Service, Workspace: req.Workspace, Kind: req.Kind,
		Model: model.Name, Version: d.modelVersion(req.Service, model.Version), Layers: int(model.Layers), Priority: r.priority,
		Preamble: req.Preamble, Prompt: req.Prompt, Body: req.Body, MaxTokens: maxTokens,
		PromptTokens:    (len(req.Preamble) + len(req.Prompt)) / bytesPerToken,
		KVBytesPerToken: model.KVBytesPerToken, ProgressDue: firstTokenDeadline, Deadline: deadline,
		Resume: req.LastEventID, FirstSend: req.FirstSend,
		Handle: &requestTracker{admissionParams: admissionParams{
			request: req.ID, weight: r.weight, firstSend: req.FirstSend, maxTokens: maxTokens,
			key: admissionKey(req), deadline: firstTokenDeadline,
		}},
	}), out)
	if err != nil {
		// The runner returns no refusal if the context ended first. An engine may have started by then.
		return refusalFrom(err, outcome.Facts{BytesSent: true})
	}
	return nil
}

// admissionKey returns the key that is the same for all copies of a request on this host. It is empty for a resumed
// stream, which is not a copy.
func admissionKey(req caller.StreamRequest) string {
	if req.Key == "" || req.LastEventID != "" {
		return ""
	}
	return string(req.Workspace) + "/" + req.Key
}

// otherAddress returns the address of a host for callers to use in place of this one, or an empty string.
func (d *Daemon) otherAddress() string {
	addresses, _, err := d.Addresses(context.Background(), "")
	if err != nil || len(addresses) == 0 {
		return ""
	}
	return addresses[0].Address
}

// callerSink implements streams.Sink on the connection of a caller.
type callerSink struct {
	sink         caller.Sink
	otherAddress func() string
}

// Token implements streams.Sink.
func (s *callerSink) Token(position int, text, id string) error {
	return s.sink.Token(id, position, text)
}

// End implements streams.Sink.
func (s *callerSink) End(end streams.End) error {
	if end.Kind() == streams.EndMoved {
		return s.sink.Moved(s.otherAddress())
	}
	return s.sink.Done(end.Tokens(), end.FinishReason())
}
