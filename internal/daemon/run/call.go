package run

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/dispatch"
	"waxwingplank/internal/daemon/journal"
	"waxwingplank/internal/endpoint/http1"
	"waxwingplank/internal/endpoint/plain"
	"waxwingplank/internal/ingress/caller"
)

// Call implements caller.Backend.
func (d *Daemon) Call(ctx context.Context, req caller.CallRequest) (caller.CallResponse, error) {
	d.inflight.calls.Add(1)
	defer d.inflight.calls.Add(-1)
	r, err := d.rulesFor(ctx, req.Request, document.Plain)
	if err != nil {
		return caller.CallResponse{}, err
	}
	rule, ok := matchCall(r.doc, req.Method, req.Path)
	if !ok {
		return caller.CallResponse{}, d.newRefusal(req.Request, outcome.NotFound,
			fmt.Sprintf("the document of service %q names no call %s %s", req.Service, req.Method, req.Path))
	}
	limit := time.Duration(r.doc.Limits().TimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if rule.Repeatable {
		return d.callRepeatable(ctx, req, r)
	}
	return d.callOnce(ctx, req, r)
}

// callRepeatable runs an idempotent call. When an endpoint fails, it retries on another one, as far as routing allows.
func (d *Daemon) callRepeatable(ctx context.Context, req caller.CallRequest, r requestRules) (caller.CallResponse, error) {
	assignment, err := d.dispatcher.Acquire(ctx, arrivedConfig(ctx, req, r, true))
	facts := outcome.Facts{FirstSend: d.isFirstSend(req.Request)}
	for err == nil {
		var response plain.Response
		if response, err = d.send(ctx, req, assignment); err == nil {
			d.dispatcher.Post(routing.NewFinished(req.ID, 0, time.Since(assignment.At())))
			return callResponse(response), nil
		}
		facts.BytesSent = facts.BytesSent || plain.MayHaveSent(err)
		facts.Completed = facts.Completed || plain.Completed(err)
		if ctx.Err() != nil || plain.Completed(err) {
			d.dispatcher.Post(routing.NewDeparted(req.ID))
			break
		}
		failed := routing.NewAttemptFailed(req.ID, endpointOf(assignment), callFailureReason(err))
		assignment, err = d.dispatcher.Retry(ctx, failed, req.ID)
	}
	return caller.CallResponse{}, refusalFrom(err, facts)
}

// callOnce runs a call that may not be repeated: it makes one claim, then at most one dispatch.
func (d *Daemon) callOnce(ctx context.Context, req caller.CallRequest, r requestRules) (caller.CallResponse, error) {
	key, err := claim.NewKey(claim.KeyConfig{Workspace: req.Workspace, Service: req.Service, Text: req.Key})
	if err != nil {
		return caller.CallResponse{}, d.newRefusal(req.Request, outcome.BadRequest, err.Error())
	}
	assignment, err := d.dispatcher.Acquire(ctx, arrivedConfig(ctx, req, r, false))
	if err != nil {
		return caller.CallResponse{}, d.refuseOnce(ctx, req, key, err)
	}
	result, err := d.claims.Claim(ctx, key)
	if err != nil || result.Status() != claim.Granted {
		d.dispatcher.Post(routing.NewDeparted(req.ID))
		d.journal.Decision(req.ID, "claim", journal.Fields{"status": string(result.Status()), "service": string(req.Service)})
		return d.claimResponse(req, result)
	}
	d.journal.Decision(req.ID, "claim", journal.Fields{
		"status": string(result.Status()), "endpoint": string(endpointOf(assignment)), "service": string(req.Service),
	})
	return d.dispatchOnce(ctx, req, key, assignment)
}

func (d *Daemon) dispatchOnce(ctx context.Context, req caller.CallRequest, key claim.Key, assignment dispatch.Assignment) (caller.CallResponse, error) {
	response, err := d.send(ctx, req, assignment)
	if err == nil {
		d.dispatcher.Post(routing.NewFinished(req.ID, 0, time.Since(assignment.At())))
		d.claims.RecordResponse(key, claim.NewAnswer(claim.AnswerConfig{
			Status: response.Status(), ContentType: response.Header().Get("Content-Type"), Body: response.Body(),
		}))
		return callResponse(response), nil
	}
	d.dispatcher.Post(routing.NewAttemptFailed(req.ID, endpointOf(assignment), callFailureReason(err)))
	// The claim stays in place, so no other copy will run either. If no byte was sent, the call has not run.
	facts := outcome.Facts{
		FirstSend: d.isFirstSend(req.Request), BytesSent: plain.MayHaveSent(err), Completed: plain.Completed(err),
		RefusalRecorded: !plain.MayHaveSent(err),
	}
	return caller.CallResponse{}, outcome.NewRefusal(outcome.RefusalConfig{
		Code: outcome.EndpointFailed, Message: err.Error(), Facts: facts,
	})
}

// refuseOnce returns the refusal of a call that may not be repeated. Where the request is not a first send, the
// refusal is recorded under the key, so that no other copy of the request runs.
func (d *Daemon) refuseOnce(ctx context.Context, req caller.CallRequest, key claim.Key, cause error) error {
	var refusal *outcome.Refusal
	if !errors.As(cause, &refusal) {
		return refusalFrom(cause, outcome.Facts{FirstSend: d.isFirstSend(req.Request)})
	}
	if d.isFirstSend(req.Request) {
		return refusal
	}
	// The wait for the record delays only a refusal. The timeout covers many flushes of a claim shard.
	const recordTimeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := d.claims.Refuse(ctx, key, refusal.Code())
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code: refusal.Code(), Message: refusal.Message(), RetryAfter: refusal.RetryAfter(),
		Facts: outcome.Facts{RefusalRecorded: recorded && err == nil},
	})
}

func (d *Daemon) claimResponse(req caller.CallRequest, result claim.Result) (caller.CallResponse, error) {
	facts := result.Facts(d.isFirstSend(req.Request))
	message := "the claim of the call is in state " + string(result.Status())
	if result.Status() == claim.Answered {
		response, err := recordedResponse(result.Answer())
		if err == nil {
			return response, nil
		}
		_, malformed := errors.AsType[*http1.MalformedError](err)
		facts.Completed, message = !malformed, err.Error()
	}
	return caller.CallResponse{}, outcome.NewRefusal(outcome.RefusalConfig{
		Code: result.Code(), Message: message, Facts: facts, RetryAfter: result.RetryAfter(),
	})
}

// recordedResponse returns the response that was recorded for a call. Hosts of a version that did not check responses may have recorded
// malformed ones.
func recordedResponse(a claim.Answer) (caller.CallResponse, error) {
	if err := http1.CheckHead(a.Status(), nil); err != nil {
		return caller.CallResponse{}, eris.Wrap(err, "recorded answer")
	}
	if !a.Complete() {
		return caller.CallResponse{}, eris.Errorf("the call ran with status %d; its answer is too large to be kept", a.Status())
	}
	return caller.CallResponse{
		Status: a.Status(), Header: http.Header{"Content-Type": {a.ContentType()}}, Body: a.Body(), Recorded: true,
	}, nil
}

func (d *Daemon) send(ctx context.Context, req caller.CallRequest, assignment dispatch.Assignment) (plain.Response, error) {
	response, err := d.plain.Call(ctx, plain.Request{
		Address: assignment.Pipeline().Stages()[0].Address(), Method: req.Method, Path: "/" + req.Path, Header: req.Header,
		IdempotencyKey: req.Key, Body: req.Body,
	})
	if err != nil {
		d.journal.Decision(req.ID, "attempt_failed", journal.Fields{
			"endpoint": string(endpointOf(assignment)), "service": string(req.Service), "error": err.Error(),
		})
	}
	return response, err
}

func arrivedConfig(ctx context.Context, req caller.CallRequest, r requestRules, repeatable bool) routing.ArrivedConfig {
	cfg := routing.ArrivedConfig{
		Request: req.ID, Service: req.Service, Workspace: req.Workspace, Kind: req.Kind, Priority: r.priority,
		Weight: r.weight, FirstSend: req.FirstSend, Repeatable: repeatable,
	}
	if deadline, ok := ctx.Deadline(); ok {
		cfg.Deadline = deadline
	}
	return cfg
}

func endpointOf(p dispatch.Assignment) table.EndpointID { return p.Pipeline().Stages()[0].Endpoint() }

func callResponse(a plain.Response) caller.CallResponse {
	return caller.CallResponse{Status: a.Status(), Header: a.Header(), Body: a.Body()}
}

func callFailureReason(err error) routing.Reason {
	switch {
	case errors.Is(err, plain.ErrUnreachable):
		return routing.ReasonConnect
	case errors.Is(err, plain.ErrTimeout):
		return routing.ReasonTimeout
	default:
		return routing.ReasonReset
	}
}
