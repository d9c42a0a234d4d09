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

// bytesPerToken estimates the tokens of a prompt, for the estimated time of a prefill only.
const bytesPerToken = 4

// Stream implements caller.Backend.
func (d *Daemon) Stream(ctx context.Context, req caller.StreamRequest, sink caller.Sink) error {
	d.inflight.streams.Add(1)
	defer d.inflight.streams.Add(-1)
	r, err := d.rulesFor(ctx, req.Request, document.Pipeline)
	if err != nil {
		return err
	}
	d.fleet.Await(ctx, req.Service)
	model, _ := r.doc.Model()
	maxTokens := int(r.doc.Limits().MaxTokens)
	if req.MaxTokens > 0 {
		maxTokens = min(maxTokens, req.MaxTokens)
	}
	now := time.Now()
	promised := now.Add(r.firstToken)
	deadline, _ := ctx.Deadline()
	if limit := now.Add(time.Duration(r.doc.Limits().TimeoutMs) * time.Millisecond); limit.Before(deadline) {
		deadline = limit
	}
	out := &callerSink{sink: sink, draining: d.otherAddress}
	err = d.runner.Run(ctx, streams.NewRequest(streams.RequestConfig{
		Stream: table.StreamID(req.ID), Service: req.Service, Workspace: req.Workspace, Kind: req.Kind,
		Model: model.Name, Version: d.modelVersion(req.Service, model.Version), Layers: int(model.Layers), Priority: r.priority,
		Preamble: req.Preamble, Prompt: req.Prompt, Body: req.Body, MaxTokens: maxTokens,
		PromptTokens:    (len(req.Preamble) + len(req.Prompt)) / bytesPerToken,
		KVBytesPerToken: model.KVBytesPerToken, Promised: promised, Deadline: deadline,
		Resume: req.LastEventID, FirstSend: req.FirstSend,
		Handle: &ticket{admission: admission{
			request: req.ID, weight: r.weight, first: req.FirstSend, maxTokens: maxTokens,
			key: admissionKey(req), deadline: promised,
		}},
	}), out)
	if err != nil {
		// The runner gives no refusal where the context ended first; an engine may have begun by then.
		return ended(err, outcome.Facts{BytesSent: true})
	}
	return nil
}

// admissionKey names the request among its copies on this host. A resumed stream is no copy.
func admissionKey(req caller.StreamRequest) string {
	if req.Key == "" || req.LastEventID != "" {
		return ""
	}
	return string(req.Workspace) + "/" + req.Key
}

func (d *Daemon) otherAddress() string {
	addresses, _, err := d.Addresses(context.Background(), "")
	if err != nil || len(addresses) == 0 {
		return ""
	}
	return addresses[0].Address
}

// callerSink hands the answer of a stream to its caller.
type callerSink struct {
	sink     caller.Sink
	draining func() string
}

// Token implements streams.Sink.
func (s *callerSink) Token(position int, text, id string) error {
	return s.sink.Token(id, position, text)
}

// End implements streams.Sink.
func (s *callerSink) End(end streams.End) error {
	if end.Kind() == streams.EndMoved {
		return s.sink.Moved(s.draining())
	}
	return s.sink.Done(end.Tokens(), end.FinishReason())
}
