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
	"waxwingplank/internal/core/table"
)

const (
	// attemptTimeoutFactor times the route's target latency is how long a request that may be repeated waits for
	// one endpoint's response while another endpoint could still respond.
	attemptTimeoutFactor = 2
	// minServerError is the lowest status that reports a failure of the endpoint itself.
	minServerError = http.StatusInternalServerError
)

// bufferedReply is a reply whose body was read into memory.
type bufferedReply struct {
	reply *Reply
	body  []byte
	// tail is the remainder of a body that is too long to buffer, or nil.
	tail io.Reader
	// cancel, if not nil, ends the attempt once the tail has been relayed.
	cancel context.CancelFunc
	// recordEnd, if not nil, records the end of the attempt: how the copy of the tail to the caller ended.
	recordEnd func(copied error)
}

// tailReader keeps the error with which an endpoint's response broke off.
type tailReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (t *tailReader) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		t.err = err
	}
	return n, err
}

// servePlain sends the call to endpoints of a plain service until one of them serves it.
func (r *run) servePlain(ctx context.Context) {
	tried := map[string]bool{}
	var last *bufferedReply
	cause := causeNoEndpoint
	for {
		r.f.mu.Lock()
		e, ok := r.balance.Pick(time.Now(), r.f.cfg.Domain, tried)
		r.f.mu.Unlock()
		if !ok {
			break
		}
		tried[e.ID] = true
		answer, result, err := r.tryEndpoint(ctx, e)
		r.f.mu.Lock()
		r.balance.Done(time.Now(), e.ID, result)
		r.f.mu.Unlock()
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.disconnect(map[string]any{fieldEndpoint: e.ID})
		}
		if answer != nil {
			last = answer
		}
		if result == balance.Served {
			r.relay(e, answer)
			return
		}
		cause = causeResponseLost
		if result == balance.Refused || result == balance.Paused {
			cause = causeRefused
		}
		r.logFailure(e, result, answer, err)
		if r.crashesEndpoints() {
			cause = causeCrashes
			break
		}
		if !r.awaitTurn(ctx) {
			return
		}
		if result != balance.Unreached && !r.consumeRepeat(time.Now()) || ctx.Err() != nil || r.body.streamed {
			break
		}
	}
	if last != nil && !last.reply.NotRun {
		// The endpoint's error response says more than this host's would.
		r.relay(deployment.Endpoint{}, last)
		return
	}
	r.failPlain(cause)
}

// failPlain ends a call to a plain service that got no valid response.
func (r *run) failPlain(cause string) {
	now := time.Now()
	pauseEnd, limitEnd := r.waitEnds(now)
	after := retryAfterBusy
	switch {
	case cause == causeCrashes:
		after = r.afterCrashes
	case !now.Before(r.deadline):
		cause = causeDeadline
	case !limitEnd.IsZero() && (cause == causeNoEndpoint || cause == causeRefused):
		cause, after = causeLimited, retryAfterLimit(now, limitEnd)
	case !pauseEnd.IsZero() && (cause == causeNoEndpoint || cause == causeRefused):
		cause, after = causePaused, retryAfterPause(now, pauseEnd)
	default:
		after = r.retryAfterEndpoints(now)
	}
	r.fail(cause, after)
}

// waitEnds returns when the first endpoint takes requests again if all are paused, and when the first one does whose limit is used
// up, or else the zero time.
func (r *run) waitEnds(now time.Time) (pause, limit time.Time) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	return r.balance.PauseEnd(now), r.balance.LimitEnd(now)
}

func (r *run) logFailure(e deployment.Endpoint, result balance.Result, answer *bufferedReply, err error) {
	fields := map[string]any{fieldEndpoint: e.ID, fieldAddress: e.Address, "result": string(result), fieldSends: r.sends}
	if err != nil {
		fields[fieldError] = err.Error()
	}
	if answer != nil {
		fields[fieldStatus] = answer.reply.Status
	}
	r.log("attempt failed", fields)
}

// tryEndpoint sends the call to one endpoint and reads the reply.
func (r *run) tryEndpoint(ctx context.Context, e deployment.Endpoint) (*bufferedReply, balance.Result, error) {
	callCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	// An answer whose tail is still to be relayed outlives its attempt.
	relayed := false
	defer func() {
		if !relayed {
			cancel()
		}
	}()
	stopTimer := func() bool { return true }
	if r.route.Idempotent() && r.runs+1 < r.route.MaxAttempts && !r.body.streamed {
		stopTimer = time.AfterFunc(attemptTimeoutFactor*r.route.TargetLatency, cancel).Stop
	}
	r.log("sent", map[string]any{
		fieldEndpoint: e.ID, fieldAddress: e.Address, "route": r.route.Name, "config": r.version, fieldSends: r.sends,
		fieldParts: shortFingerprints(r.parts), fieldContent: shortFingerprint(r.fingerprint),
	})
	attempt := r.recordStart(e.ID)
	end := attemptFailed
	defer func() {
		if end != attemptRelaying {
			r.recordEnd(attempt, e.ID, end)
		}
	}()
	sentAt := time.Now()
	reply, err := r.f.cfg.Endpoints.Send(ctx, r.newSend(e, nil, r.call.ResumeAfter))
	if err != nil {
		sent := r.f.cfg.Endpoints.MayHaveSent(err)
		r.recordBroken(ctx, attempt, e.ID, sent, err)
		if !sent {
			end = attemptNotRun
			return nil, balance.Unreached, err
		}
		r.sends++
		r.runs++
		return nil, attributeResult(callCtx, balance.Failed), err
	}
	r.recordLimit(reply, e, sentAt)
	r.recordLife(reply, e, sentAt)
	answer, err := readReply(reply)
	// A part of a refusal does not show that the request has not run.
	refused := reply.NotRun && err == nil
	r.sends++
	if !refused {
		r.runs++
	}
	if err == nil && answer.tail != nil {
		if !stopTimer() {
			err = errAttemptTimeout
		}
		answer.cancel, relayed = cancel, true
	}
	switch {
	case refused:
		end = attemptNotRun
	case err != nil:
		r.recordBroken(ctx, attempt, e.ID, true, err)
		return nil, attributeResult(callCtx, balance.Failed), err
	default:
		end = completeEnd(reply.CloseDelimited)
	}
	switch {
	case r.recordPause(reply, e.ID, e.Address):
		return answer, balance.Paused, nil
	case refused:
		return answer, balance.Refused, nil
	case reply.Status >= minServerError:
		return answer, balance.Failed, nil
	case reply.Status < http.StatusMultipleChoices && !reply.Verified:
		return nil, balance.Failed, errNotGenuine
	}
	if answer.tail != nil {
		end = attemptRelaying
		r.recordTail(ctx, attempt, e.ID, answer)
	}
	return answer, balance.Served, nil
}

// recordTail lets the end of an attempt be recorded once the tail of its response has been relayed.
func (r *run) recordTail(ctx context.Context, attempt table.StreamID, endpoint string, answer *bufferedReply) {
	tail := &tailReader{Reader: answer.tail}
	answer.tail = tail
	answer.recordEnd = func(copied error) {
		end := attemptFailed
		switch {
		case tail.err != nil:
			r.recordBroken(ctx, attempt, endpoint, true, tail.err)
		case copied == nil:
			end = completeEnd(answer.reply.CloseDelimited)
		}
		r.recordEnd(attempt, endpoint, end)
	}
}

var errAttemptTimeout = errors.New("forward: time of the attempt is up")

var errNotGenuine = errors.New("forward: answer without proof of origin")

// attributeResult returns the result to count against the endpoint. It is Abandoned if the caller left, which is
// not the endpoint's fault.
func attributeResult(ctx context.Context, result balance.Result) balance.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balance.Abandoned
	}
	return result
}

// readReply reads a reply up to maxBufferedBytes.
func readReply(reply *Reply) (*bufferedReply, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes))
	if err != nil || len(body) < maxBufferedBytes {
		if cerr := reply.Body.Close(); err == nil {
			err = cerr
		}
		return &bufferedReply{reply: reply, body: body}, err
	}
	return &bufferedReply{reply: reply, body: body, tail: reply.Body}, nil
}

// relay forwards a reply to the caller.
func (r *run) relay(e deployment.Endpoint, answer *bufferedReply) {
	defer func() {
		if err := answer.reply.Body.Close(); err != nil {
			r.log("response body not closed", map[string]any{fieldError: err.Error()})
		}
		if answer.cancel != nil {
			answer.cancel()
		}
	}()
	if answer.tail == nil && answer.reply.Length < 0 {
		answer.reply.Length = int64(len(answer.body))
	}
	r.relayHead(answer.reply)
	var body io.Reader = bytes.NewReader(answer.body)
	if answer.tail != nil {
		body = io.MultiReader(body, answer.tail)
	}
	_, err := io.Copy(r.w, body)
	if answer.recordEnd != nil {
		answer.recordEnd(err)
	}
	if err != nil {
		r.abort(causeResponseLost, err)
	}
	r.log("answered", map[string]any{fieldEndpoint: e.ID, fieldStatus: answer.reply.Status, fieldSends: r.sends})
	r.answered = true
	r.f.cfg.Metrics.Answered(r.route.Kind, time.Since(r.call.Received))
}
