package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"waxwingplank/internal/core/balance"
	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/retry"
	"waxwingplank/internal/core/returns"
)

const (
	// defaultTimeout applies to requests for which neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxSends bounds how often one request is sent if endpoints state that they did not run it.
	maxSends = 3
	// retryAfterStarting is for callers of a host that has no configuration yet.
	retryAfterStarting = 300 * time.Millisecond
	// retryAfterLeaving is for callers of a host that is leaving. It is short because they only need to choose
	// another host.
	retryAfterLeaving = 20 * time.Millisecond
	// retryAfterCrashes is for callers whose request crashes endpoints. It will be refused for minutes.
	retryAfterCrashes = time.Minute
	// retryAfterRecentCrashes is for callers whose request has just begun to be refused. Other hosts may know that it is not to
	// blame, and what they know has arrived by then.
	retryAfterRecentCrashes = time.Second
	// retryAfterBusy is for callers of a plain service that has no free endpoint.
	retryAfterBusy = 200 * time.Millisecond
)

// The causes of responses that this host gives by itself.
const (
	causeNoConfig     = "no_configuration"
	causeNoRoute      = "no_route"
	causeNoKey        = "unknown_key"
	causeNoService    = "unknown_service"
	causeTooLarge     = "body_too_large"
	causeLeaving      = "host_leaving"
	causeCrashes      = "crashes_endpoints"
	causeSuspect      = "suspect"
	causeBodyUnread   = "body_not_read"
	causeNoEndpoint   = "no_endpoint"
	causeRefused      = "endpoints_refused"
	causeResponseLost = "answer_lost"
	causeDeadline     = "time_is_up"
	causePaused       = "endpoints_paused"
	causeLimited      = "endpoints_limited"
)

// refusal is a response that guarantees that the request has not run and will not run.
type refusal struct {
	cause      string
	retryAfter time.Duration
}

// run is the state of a call in progress.
type run struct {
	f         *Forwarder
	call      *Call
	w         http.ResponseWriter
	body      *requestBody
	route     *deployment.Route
	version   int64
	service   string
	workspace string
	// class is the call's class, classified whether the configuration has more than one for the service. Another configuration may
	// change both while the call waits.
	class      deployment.Class
	classified bool
	models     *path.System
	balance    *balance.System
	budget     *retry.Budget
	deadline   time.Time
	stalled    chan path.Stalled
	// sends counts all sends; runs counts those after which the request may have run.
	sends int
	runs  int
	// sentTo holds the IDs of the endpoints to which the call was sent.
	sentTo map[string]bool
	// fingerprint identifies the request's content, parts the parts of its prompt that other requests share. attempts
	// counts the attempts reported to the quarantine, which their numbers identify.
	fingerprint quarantine.Fingerprint
	parts       []quarantine.Fingerprint
	attempts    int
	// afterCrashes is the Retry-After of a request that crashes endpoints.
	afterCrashes time.Duration
	// brokenAt is the endpoint to which the connection of the last attempt broke, if one did.
	brokenAt instance
	// arrived is set once the call counts as a caller of its service, returned if the caller was refused before. plan is what it was
	// told when it was refused, or nil.
	// refused and answered are set once it is refused or an endpoint's answer has been relayed.
	arrived  bool
	returned bool
	refused  bool
	answered bool
	plan     *returns.Plan
	// loggedCrashes is the number of crashes in the last line that says that the request is admitted in spite of its marks.
	loggedCrashes int
}

// rejection is a response of this host's own to a call that it does not take up.
type rejection struct {
	status     int
	cause      string
	retryAfter time.Duration
}

func (r *run) reject(why *rejection) {
	if why.status == http.StatusServiceUnavailable {
		r.refuse(refusal{cause: why.cause, retryAfter: why.retryAfter})
		return
	}
	r.respond(why.status, why.cause)
}

// readBody reads the body ahead, as far as it is kept, and reports whether the call goes on. Otherwise it ends the call.
func (r *run) readBody(ctx context.Context) bool {
	err := r.body.buffer(r.deadline)
	switch {
	case err == nil:
		return true
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) && !errors.Is(err, os.ErrDeadlineExceeded):
		r.disconnect(map[string]any{fieldError: err.Error()})
	default:
		r.failBody(err)
	}
	return false
}

// failBody ends a call whose body could not be read to its end.
func (r *run) failBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		r.respond(http.StatusRequestEntityTooLarge, causeTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded), !time.Now().Before(r.deadline):
		r.fail(causeDeadline, retryAfterBusy)
	default:
		r.respond(http.StatusBadRequest, causeBodyUnread)
	}
}

// newSend returns the request that sends the call to an endpoint. A call that was sent to the endpoint before gets a new
// connection: on the old one, a late copy of the earlier response has the call's ID and could say that it did not run.
func (r *run) newSend(e deployment.Endpoint, p path.Path, resumeAfter string) SendRequest {
	s := SendRequest{
		Call: r.call, Endpoint: e, Workspace: r.workspace, Path: p, ResumeAfter: resumeAfter,
		TimeLeft: max(time.Until(r.deadline), time.Millisecond), NewConnection: r.sentTo[e.ID] || (r.route.Kind == deployment.Unsafe && r.sends > 0),
	}
	if r.sentTo == nil {
		r.sentTo = map[string]bool{}
	}
	r.sentTo[e.ID] = true
	if r.classified {
		// The class may change while the request is being sent.
		class := r.class
		s.Class = &class
	}
	switch {
	case r.body.streamed:
		s.Body = r.body
	case len(r.body.short) > 0:
		s.Body = bytes.NewReader(r.body.short)
	}
	return s
}

// continuable reports whether a caller whose response is cut off can get the rest of it from another host.
func (r *run) continuable() bool { return r.route.Kind == deployment.Streaming && r.route.Resumable }

// repeatable reports whether the route, the deadline and the number of attempts allow another send of the call.
func (r *run) repeatable(now time.Time) bool {
	if r.body.streamed || r.sends >= maxSends || !now.Before(r.deadline) {
		return false
	}
	return r.runs == 0 || (r.route.Idempotent() && r.runs < max(r.route.MaxAttempts, 1))
}

// consumeRepeat reports whether the call may be sent again and, if so, counts that against the budget.
func (r *run) consumeRepeat(now time.Time) bool {
	if !r.repeatable(now) {
		return false
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	return r.budget.TryConsume(now, r.f.hosts)
}

// fail ends a call that got no valid response. The call is refused if it has certainly not run.
func (r *run) fail(cause string, after time.Duration) {
	if err := r.body.failure(); err != nil && r.body.streamed && time.Now().Before(r.deadline) {
		r.failBody(err)
		return
	}
	if r.runs == 0 {
		r.refuse(refusal{cause: cause, retryAfter: after})
		return
	}
	status := http.StatusBadGateway
	if !time.Now().Before(r.deadline) {
		status = http.StatusGatewayTimeout
	}
	r.respond(status, cause)
}

func (r *run) refuse(why refusal) {
	r.refused = true
	r.f.cfg.Metrics.RetryAfter(why.cause, why.retryAfter)
	r.w.Header().Set("Retry-After", strconv.FormatFloat(why.retryAfter.Seconds(), 'f', 3, 64))
	r.respond(http.StatusServiceUnavailable, why.cause)
}

// respond writes a response of this host's own.
func (r *run) respond(status int, cause string) {
	fields := map[string]any{fieldStatus: status, fieldCause: cause, fieldSends: r.sends, "runs": r.runs}
	if r.route != nil {
		fields["route"], fields["config"] = r.route.Name, r.version
	}
	r.addPlan(fields)
	r.log("answered by host", fields)
	r.f.cfg.Metrics.Refused(cause)
	r.body.abandon()
	r.body.finishShort()
	h := r.w.Header()
	r.body.prepareResponse(h)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("%s\n", cause)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	r.w.WriteHeader(status)
	if _, err := io.WriteString(r.w, text); err != nil {
		r.log("response not written", map[string]any{fieldError: err.Error()})
	}
}

// relayHead forwards the status and header of an endpoint's response. A failure ends the send of a body that is not
// complete yet; a success does not, since the endpoint may read on.
func (r *run) relayHead(reply *Reply) {
	if reply.Status >= http.StatusMultipleChoices {
		r.body.abandon()
	}
	h := r.w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the HTTP server from guessing a type that the endpoint did not set.
		h["Content-Type"] = nil
	}
	if reply.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	r.body.prepareResponse(h)
	r.w.WriteHeader(reply.Status)
}

func (r *run) log(decision string, fields map[string]any) {
	r.f.cfg.Log.Decision(r.call.ID, decision, fields)
}

// disconnect ends a call whose caller has disconnected. The caller may have closed only its side of the connection and read
// on. A handler that returned would give it an empty success or the end of its stream.
func (r *run) disconnect(fields map[string]any) {
	r.log("caller disconnected", fields)
	panic(http.ErrAbortHandler)
}

// abort closes the caller's connection, so that a cut-off response can't be mistaken for a complete one. err, if not nil, is why.
func (r *run) abort(cause string, err error) {
	fields := map[string]any{fieldCause: cause, fieldSends: r.sends, "runs": r.runs}
	if err != nil {
		fields[fieldError] = err.Error()
	}
	r.log("answer cut short", fields)
	r.f.cfg.Metrics.Aborted(cause)
	panic(http.ErrAbortHandler)
}
