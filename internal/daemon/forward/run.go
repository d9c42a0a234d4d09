package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"waxwingplank/internal/core/balance"
	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/retry"
)

const (
	// defaultWait bounds a request for which neither the caller nor the route says how long to wait.
	defaultWait = 30 * time.Second
	// maxBuffered is the largest body that is kept, so that it can be sent again. Requests for text are about
	// 1 KB; 200 at once take 13 MB.
	maxBuffered = 64 << 10
	// maxSends bounds how often one request is sent where endpoints state that they did not run it.
	maxSends = 3
	// retryStarting is told to callers of a host that does not know its configuration yet.
	retryStarting = 300 * time.Millisecond
	// retryElsewhere is told to callers of a host that is leaving; they need only pick another.
	retryElsewhere = 20 * time.Millisecond
	// retryCrashing is told to callers whose request crashes endpoints: it will be refused for minutes.
	retryCrashing = time.Minute
	// retrySoon is told to callers of a plain service whose endpoints are all taken.
	retrySoon = 200 * time.Millisecond
)

// The causes of answers that this host gives by itself.
const (
	causeNoConfig  = "no_configuration"
	causeNoRoute   = "no_route"
	causeNoKey     = "unknown_key"
	causeNoService = "unknown_service"
	causeTooLarge  = "body_too_large"
	causeLeaving   = "host_leaving"
	causeCrashes   = "crashes_endpoints"
	causeBody      = "body_not_read"
	causeNone      = "no_endpoint"
	causeBusy      = "endpoints_refused"
	causeBroken    = "answer_lost"
	causeLate      = "time_is_up"
)

// refusal is an answer that promises that the request has not run and will not.
type refusal struct {
	cause string
	after time.Duration
}

// run is one call that is being served.
type run struct {
	f         *Forwarder
	call      *Call
	w         http.ResponseWriter
	route     *deployment.Route
	version   int64
	service   string
	workspace string
	models    *path.System
	balance   *balance.System
	budget    *retry.Budget
	until     time.Time
	body      []byte
	streamed  io.Reader
	stalled   chan path.Stalled
	// sends counts all sends, runs those after which the request may have run.
	sends int
	runs  int
	// print identifies the request's content, attempts counts the attempts that were told to the quarantine.
	print    quarantine.Fingerprint
	attempts int
}

// readBody keeps a short body; a long one is passed on as it comes.
func (r *run) readBody(ctx context.Context) bool {
	if r.call.Body == nil || r.call.Length == 0 {
		return true
	}
	if r.call.Length > maxBuffered {
		r.streamed = r.call.Body
		return true
	}
	if err := http.NewResponseController(r.w).SetReadDeadline(r.until); err != nil && !errors.Is(err, http.ErrNotSupported) {
		r.log("body failed", map[string]any{fieldError: err.Error()})
	}
	body, err := io.ReadAll(io.LimitReader(r.call.Body, maxBuffered+1))
	if err != nil {
		if ctx.Err() == nil {
			r.answer(http.StatusBadRequest, causeBody)
		}
		return false
	}
	if len(body) > maxBuffered {
		r.streamed = io.MultiReader(bytes.NewReader(body), r.call.Body)
		return true
	}
	r.body = body
	return true
}

// send returns the sending of the call to an endpoint.
func (r *run) send(e deployment.Endpoint, p path.Path, resumeAfter string) Send {
	s := Send{
		Call: r.call, Endpoint: e, Workspace: r.workspace, Path: p, ResumeAfter: resumeAfter,
		Left: max(time.Until(r.until), time.Millisecond), Fresh: r.route.Kind == deployment.Unsafe && r.sends > 0,
	}
	switch {
	case r.streamed != nil:
		s.Body = r.streamed
	case len(r.body) > 0:
		s.Body = bytes.NewReader(r.body)
	}
	return s
}

// repeatable reports whether the call may be sent once more by its kind, its time and its attempts.
func (r *run) repeatable(now time.Time) bool {
	if r.streamed != nil || r.sends >= maxSends || !now.Before(r.until) {
		return false
	}
	return r.runs == 0 || (r.route.Idempotent() && r.runs < max(r.route.MaxAttempts, 1))
}

// mayRepeat reports whether the call may be sent once more, and counts that against the budget.
func (r *run) mayRepeat(now time.Time) bool {
	if !r.repeatable(now) {
		return false
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	return r.budget.TryConsume(now, r.f.hosts)
}

// fail ends a call that got no good answer. It is refused where it has certainly not run.
func (r *run) fail(cause string, after time.Duration) {
	if r.runs == 0 {
		r.refuse(refusal{cause: cause, after: after})
		return
	}
	status := http.StatusBadGateway
	if !time.Now().Before(r.until) {
		status = http.StatusGatewayTimeout
	}
	r.answer(status, cause)
}

func (r *run) refuse(why refusal) {
	r.w.Header().Set("Retry-After", strconv.FormatFloat(why.after.Seconds(), 'f', 3, 64))
	r.answer(http.StatusServiceUnavailable, why.cause)
}

// answer gives an answer of this host's own.
func (r *run) answer(status int, cause string) {
	fields := map[string]any{fieldStatus: status, fieldCause: cause, fieldSends: r.sends, "runs": r.runs}
	if r.route != nil {
		fields["route"], fields["config"] = r.route.Name, r.version
	}
	r.log("answered by host", fields)
	r.f.cfg.Metrics.Refused(cause)
	h := r.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("%s\n", cause)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	r.w.WriteHeader(status)
	if _, err := io.WriteString(r.w, text); err != nil {
		r.log("caller lost", map[string]any{fieldError: err.Error()})
	}
}

// relayHead passes the status and header of an endpoint's answer on.
func (r *run) relayHead(reply *Reply) {
	h := r.w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the server from guessing a type that the endpoint did not give.
		h["Content-Type"] = nil
	}
	if reply.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	r.w.WriteHeader(reply.Status)
}

func (r *run) log(decision string, fields map[string]any) {
	r.f.cfg.Log.Decision(r.call.ID, decision, fields)
}

// abort closes the caller's connection, so that an answer cut short can't be taken for a whole one.
func (r *run) abort(cause string) {
	r.log("answer cut short", map[string]any{fieldCause: cause, fieldSends: r.sends, "runs": r.runs})
	r.f.cfg.Metrics.Aborted(cause)
	panic(http.ErrAbortHandler)
}
