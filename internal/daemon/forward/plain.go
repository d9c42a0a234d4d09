package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"waxwingplank/internal/core/balance"
	"waxwingplank/internal/core/deployment"
)

const (
	// hedgeFactor times the route's aim is how long a request that may be repeated waits for an endpoint's
	// answer while another endpoint could still give it.
	hedgeFactor = 2
	// serverError is the first status of the endpoint's own failures.
	serverError = http.StatusInternalServerError
)

// whole is an answer that was read to its end.
type whole struct {
	reply *Reply
	body  []byte
	// rest is what follows the body where that is too long to be kept.
	rest io.Reader
}

// plainCall sends the call to endpoints of a plain service until one answers it.
func (r *run) plainCall(ctx context.Context) {
	tried := map[string]bool{}
	var last *whole
	cause, after := causeNone, retrySoon
	for {
		r.f.mu.Lock()
		e, ok := r.balance.Pick(time.Now(), r.f.cfg.Domain, tried)
		r.f.mu.Unlock()
		if !ok {
			break
		}
		tried[e.ID] = true
		answer, result, err := r.attempt(ctx, e)
		r.f.mu.Lock()
		r.balance.Done(time.Now(), e.ID, result)
		r.f.mu.Unlock()
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.log("caller left", map[string]any{fieldEndpoint: e.ID})
			return
		}
		if answer != nil {
			last = answer
		}
		if result == balance.Served {
			r.relay(e, answer)
			return
		}
		cause = causeBroken
		if result == balance.Refused {
			cause = causeBusy
		}
		r.logFailure(e, result, answer, err)
		if result != balance.Unreached && !r.mayRepeat(time.Now()) || ctx.Err() != nil || r.streamed != nil {
			break
		}
	}
	if last != nil && !last.reply.NotRun {
		// The endpoint's own failure says more than ours would.
		r.relay(deployment.Endpoint{}, last)
		return
	}
	if !time.Now().Before(r.until) {
		cause = causeLate
	}
	r.fail(cause, after)
}

func (r *run) logFailure(e deployment.Endpoint, result balance.Result, answer *whole, err error) {
	fields := map[string]any{fieldEndpoint: e.ID, "address": e.Address, "result": string(result), fieldSends: r.sends}
	if err != nil {
		fields[fieldError] = err.Error()
	}
	if answer != nil {
		fields[fieldStatus] = answer.reply.Status
	}
	r.log("attempt failed", fields)
}

// attempt sends the call to one endpoint and reads the answer.
func (r *run) attempt(ctx context.Context, e deployment.Endpoint) (*whole, balance.Result, error) {
	if r.route.Idempotent() && r.runs+1 < r.route.MaxAttempts && r.streamed == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, hedgeFactor*r.route.TargetLatency)
		defer cancel()
	}
	r.log("sent", map[string]any{
		fieldEndpoint: e.ID, "address": e.Address, "route": r.route.Name, "config": r.version, fieldSends: r.sends,
	})
	r.begins(e.ID)
	failed := true
	defer func() { r.ends(failed) }()
	reply, err := r.f.cfg.Endpoints.Send(ctx, r.send(e, nil, r.call.ResumeAfter))
	if err != nil {
		if !r.f.cfg.Endpoints.Sent(err) {
			return nil, balance.Unreached, err
		}
		r.sends++
		r.runs++
		return nil, resultOf(ctx, balance.Failed), err
	}
	r.sends++
	if !reply.NotRun {
		r.runs++
	}
	answer, err := readWhole(reply)
	failed = err != nil
	switch {
	case reply.NotRun:
		return answer, balance.Refused, err
	case err != nil:
		return nil, resultOf(ctx, balance.Failed), err
	case reply.Status >= serverError:
		return answer, balance.Failed, nil
	case reply.Status < http.StatusMultipleChoices && !reply.Genuine:
		return nil, balance.Failed, errNotGenuine
	}
	return answer, balance.Served, nil
}

var errNotGenuine = errors.New("forward: answer without proof of origin")

// resultOf keeps a caller's leaving from counting against the endpoint.
func resultOf(ctx context.Context, result balance.Result) balance.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balance.Abandoned
	}
	return result
}

// readWhole reads an answer up to the size that is kept.
func readWhole(reply *Reply) (*whole, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBuffered))
	if err != nil || len(body) < maxBuffered {
		if cerr := reply.Body.Close(); err == nil {
			err = cerr
		}
		return &whole{reply: reply, body: body}, err
	}
	return &whole{reply: reply, body: body, rest: reply.Body}, nil
}

// relay passes an answer on to the caller.
func (r *run) relay(e deployment.Endpoint, answer *whole) {
	defer func() {
		if err := answer.reply.Body.Close(); err != nil {
			r.log("endpoint lost", map[string]any{fieldError: err.Error()})
		}
	}()
	if answer.rest == nil && answer.reply.Length < 0 {
		answer.reply.Length = int64(len(answer.body))
	}
	r.relayHead(answer.reply)
	var body io.Reader = bytes.NewReader(answer.body)
	if answer.rest != nil {
		body = io.MultiReader(body, answer.rest)
	}
	if _, err := io.Copy(r.w, body); err != nil {
		r.abort(causeBroken)
	}
	r.log("answered", map[string]any{fieldEndpoint: e.ID, fieldStatus: answer.reply.Status, fieldSends: r.sends})
	r.f.cfg.Metrics.Answered(r.route.Kind, time.Since(r.call.Received))
}
