package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/table"
)

const (
	// capacityTimeout is how long a new stream waits for capacity on the workers. It is an eighth of the target for
	// the first event, which callers do not notice.
	capacityTimeout = 60 * time.Millisecond
	// capacityPollInterval is the interval at which a waiting stream looks for a path.
	capacityPollInterval = 10 * time.Millisecond
	// resumeTimeout is how long a stream that has begun may be without a path. Callers give up after 2 s.
	resumeTimeout = 1500 * time.Millisecond
	// rerouteTimeout is well above the duration of a call to a worker. After it, the stream is restarted instead.
	rerouteTimeout = 120 * time.Millisecond
	// ranInterval is how long an attempt receives events until it counts as one that does not crash its endpoint. It is
	// several times the time within which such requests do.
	ranInterval = 500 * time.Millisecond
	// retryAfterFull and retryAfterUncovered are the minimum delays for refused callers. Streams end after about
	// two seconds, and a worker loads its layers in about that time. What is known of when there is capacity makes
	// them longer.
	retryAfterFull      = 700 * time.Millisecond
	retryAfterUncovered = 1500 * time.Millisecond
)

// attemptResult is a result of an attempt: the head of the reply, events, or the end.
type attemptResult struct {
	attempt int
	reply   *Reply
	events  []event
	err     error
	ended   bool
	// headReceived is true for the end of a reply whose head was received.
	headReceived bool
}

// attempt is one send of a stream's call.
type attempt struct {
	number int
	// id identifies the attempt to the quarantine.
	id     table.StreamID
	path   path.Path
	demand path.Demand
	cancel context.CancelFunc
	// counted is set once the attempt is included in the call's sends; ran is set while it is included in its runs.
	counted bool
	ran     bool
	// closeDelimited is true if only the end of the connection marks the end of the reply's body.
	closeDelimited bool
	// continues is true once the attempt's events are known to follow those that the caller has.
	continues bool
	// ranFrom is when the attempt received its first event, or when it was last recorded that it runs.
	ranFrom time.Time
}

// failedEnd returns how an attempt ended that did not complete.
func (a *attempt) failedEnd() attemptEnd {
	if a.counted && !a.ran {
		return attemptNotRun
	}
	return attemptFailed
}

// streamRun serves one stream.
type streamRun struct {
	*run
	results chan attemptResult
	// attempt is the attempt in progress. previous, if not nil, is the stalled attempt before it. It is kept until
	// the new one gets a response, because it may continue and the new one may be refused.
	attempt  *attempt
	previous *attempt
	launched int
	// recorded is set once the path models know of the call's demand.
	recorded bool
	// head is the head of the response, once there is one. It is relayed with the first event, so that a stream that breaks
	// off before can still be answered otherwise. headRelayed is set from then on. lastNumber is the ID of the last relayed event.
	// numbered is unset once an event had no numeric ID.
	head         *Reply
	headRelayed  bool
	lastNumber   int64
	lastID       string
	numbered     bool
	lastProgress time.Time
	avoid        map[string]bool
	eventCount   int
	// firstWait and maxGap are the caller's wait for the first event and the longest wait between two events.
	// lastRelayed is when the last events were relayed.
	firstWait   time.Duration
	maxGap      time.Duration
	lastRelayed time.Time
}

func (r *run) serveStream(ctx context.Context) {
	s := &streamRun{
		run: r, results: make(chan attemptResult, 1), lastNumber: -1, lastID: r.call.ResumeAfter, numbered: true,
		lastProgress: time.Now(), avoid: map[string]bool{},
	}
	if n, err := strconv.ParseInt(s.lastID, 10, 64); err == nil {
		s.lastNumber = n
	}
	completed := false
	defer func() { s.stop(completed) }()
	if !s.start(ctx) {
		return
	}
	for {
		select {
		case result := <-s.results:
			if s.handleResult(ctx, result) {
				completed = result.ended && result.err == nil
				return
			}
		case st := <-r.stalled:
			s.recover(ctx, st)
		case <-ctx.Done():
			s.handleContextEnd(ctx)
			return
		}
	}
}

// stop cancels the attempts in progress.
func (s *streamRun) stop(completed bool) {
	s.cancelPrevious()
	if s.attempt != nil {
		s.attempt.cancel()
		end := s.attempt.failedEnd()
		if completed {
			end = completeEnd(s.attempt.closeDelimited)
		}
		s.recordEnd(s.attempt.id, s.attempt.path[0].Worker, end)
	}
}

// handleContextEnd ends a call whose deadline has passed or whose caller has disconnected.
func (s *streamRun) handleContextEnd(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.disconnect(map[string]any{fieldEvents: s.eventCount})
	}
	if s.attempt != nil && !s.attempt.counted {
		// There is no result yet, so the request may run.
		s.countSend(true)
	}
	s.finish(causeDeadline, retryAfterFull)
}

// finish ends a call that can't be served any further.
func (s *streamRun) finish(cause string, after time.Duration) {
	if s.headRelayed {
		s.abort(cause, nil) // the end of the attempt has been logged
	}
	s.fail(cause, after)
}

// start sends the call on the lowest-cost path and reports whether that was possible. Otherwise it ends the call.
// The previous attempt has ended or is cancelled.
func (s *streamRun) start(ctx context.Context) bool {
	s.cancelPrevious()
	if s.attempt != nil {
		s.attempt.cancel()
		if !s.headRelayed && !s.awaitTurn(ctx) {
			return false
		}
	}
	s.recordRequest()
	timeout := capacityTimeout
	if s.head != nil {
		timeout = resumeTimeout - time.Since(s.lastProgress)
	}
	deadline := time.Now().Add(timeout)
	for waited := false; ; waited = true {
		if s.launched > 0 && s.crashesEndpoints() {
			s.finish(causeCrashes, s.afterCrashes)
			return false
		}
		// Workers on which the call failed are used again only in the second half of the timeout, if no others are
		// available.
		p, d, refusal := s.place(time.Until(deadline) < timeout/2)
		if refusal == path.Accepted {
			s.countPlaced(waited)
			s.launch(ctx, p, d)
			return true
		}
		if refusal == path.Paused && s.pauseEnd().After(deadline) {
			s.logNoPath(refusal)
			s.finish(string(refusal), retryAfterPause(time.Now(), s.pauseEnd()))
			return false
		}
		if refusal == path.Limited && s.limitEnd().After(deadline) {
			s.logNoPath(refusal)
			s.finish(string(refusal), retryAfterLimit(time.Now(), s.limitEnd()))
			return false
		}
		if !time.Now().Before(deadline) || s.waitIsUseless(refusal, deadline) {
			s.finishWithoutPath(refusal)
			return false
		}
		select {
		case <-ctx.Done():
			s.handleContextEnd(ctx)
			return false
		case <-time.After(capacityPollInterval):
		}
	}
}

// pauseEnd returns when the first of the workers that are paused takes requests again.
func (s *streamRun) pauseEnd() time.Time {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.models.PauseEnd(time.Now())
}

// limitEnd returns when the first of the workers with limits takes the next request of this host.
func (s *streamRun) limitEnd() time.Time {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.models.LimitEnd(time.Now())
}

// logNoPath logs why no path was found for the call, and counts calls for which there is no room.
func (s *streamRun) logNoPath(refusal path.Refusal) {
	s.f.mu.Lock()
	d := s.demand()
	report := s.models.CapacityReport(time.Now(), d)
	s.f.mu.Unlock()
	fields := map[string]any{
		fieldCause: string(refusal), fieldClass: int(d.Class), "prompt": d.PromptTokens, "answer": d.AnswerTokens, "avoid": len(d.Avoid), "state": report,
	}
	s.addPlan(fields)
	s.log("no path", fields)
	if refusal == path.Full || refusal == path.Congested {
		s.f.cfg.Metrics.NoRoom(d.Class)
	}
}

// place chooses a path and charges its workers for the call. With allowAvoided, it falls back to workers on which
// the call failed.
func (s *streamRun) place(allowAvoided bool) (path.Path, path.Demand, path.Refusal) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	now := time.Now()
	d := s.demand()
	p, refusal := s.models.Choose(now, d)
	if allowAvoided && (refusal == path.Uncovered || refusal == path.Paused) && len(d.Avoid) > 0 {
		d.Avoid = nil
		p, refusal = s.models.Choose(now, d)
	}
	if refusal == path.Accepted {
		s.f.limits.Take(now, p[0].Worker)
		s.models.Begin(now, s.call.ID, p, d)
	}
	return p, d, refusal
}

// demand returns what the call needs now. The caller holds the forwarder's lock.
func (s *streamRun) demand() path.Demand {
	s.f.classify(s.run)
	answer := s.call.AnswerTokens
	if answer <= 0 {
		answer = s.call.MaxAnswerTokens
	}
	if s.call.MaxAnswerTokens > 0 {
		answer = min(answer, s.call.MaxAnswerTokens)
	}
	d := path.Demand{
		Domain: s.f.cfg.Domain, PromptTokens: s.call.PromptTokens, AnswerTokens: answer, Avoid: s.avoid,
		Class: s.class, Begun: s.head != nil,
	}
	if s.classified {
		d = s.models.WithUsualTokens(d)
	}
	return d
}

// launch sends the call on a path. Results arrive in s.results until the attempt is cancelled.
func (s *streamRun) launch(ctx context.Context, p path.Path, d path.Demand) {
	if s.attempt != nil && s.attempt != s.previous {
		s.recordEnd(s.attempt.id, s.attempt.path[0].Worker, s.attempt.failedEnd())
	}
	s.launched++
	s.attempt = &attempt{number: s.launched, path: p, demand: d, continues: s.eventCount == 0}
	ctx, s.attempt.cancel = context.WithCancel(ctx)
	first := p[0]
	e := s.f.endpoint(first.Worker)
	e.ID, e.Address = first.Worker, first.Address
	send := s.newSend(e, p, s.lastID)
	s.log("sent", map[string]any{
		fieldPath: p.String(), "route": s.route.Name, "config": s.version, fieldSends: s.sends, "after": s.lastID,
		"prompt": s.call.PromptTokens, fieldParts: shortFingerprints(s.parts), "part_ids": s.call.PromptParts, fieldContent: shortFingerprint(s.fingerprint), "left_ms": send.TimeLeft.Milliseconds(),
	})
	s.attempt.id = s.recordStart(workersOf(p)...)
	go s.pump(ctx, send, s.attempt.number)
}

// countSend counts the attempt in progress as sent and, if ran, as possibly run.
func (s *streamRun) countSend(ran bool) {
	a := s.attempt
	if !a.counted {
		a.counted = true
		s.sends++
	}
	if ran != a.ran {
		a.ran = ran
		if ran {
			s.runs++
		} else {
			s.runs--
		}
	}
}

// pump sends a request and passes what it receives to s.results. It runs beside the call and reads only what does not change.
func (s *streamRun) pump(ctx context.Context, send SendRequest, attempt int) {
	put := func(result attemptResult) bool {
		result.attempt = attempt
		select {
		case s.results <- result:
			return true
		case <-ctx.Done():
			return false
		}
	}
	sentAt := time.Now()
	reply, err := s.f.cfg.Endpoints.Send(ctx, send)
	if err != nil {
		put(attemptResult{err: err, ended: true})
		return
	}
	s.recordLimit(reply, send.Endpoint, sentAt)
	s.recordLife(reply, send.Endpoint, sentAt)
	if reply.NotRun {
		// A part of a refusal does not show that the request has not run.
		if _, err := readReply(reply); err != nil {
			put(attemptResult{err: err, ended: true, headReceived: true})
			return
		}
	}
	// Who receives a failure reads its body and closes it.
	failure := !reply.NotRun && !reply.isStream()
	delivered := put(attemptResult{reply: reply})
	if delivered && failure {
		return
	}
	defer func() {
		_ = reply.Body.Close() //nolint:errcheck // the end of the body was seen, or the sending is given up
	}()
	if !delivered || reply.NotRun {
		return
	}
	isStream := s.route.Kind == deployment.Streaming
	reader := newEventReader(reply.Body, isStream)
	empty := true
	for {
		events, err := reader.next()
		if err != nil {
			switch {
			case errors.Is(err, io.EOF) && isStream && empty && reply.CloseDelimited:
				err = errNoEvents
			case errors.Is(err, io.EOF):
				err = nil
			}
			put(attemptResult{err: err, ended: true, headReceived: true})
			return
		}
		empty = empty && onlyComments(events)
		if !put(attemptResult{events: events}) {
			return
		}
	}
}

// handleCurrent handles a result of the attempt in progress and reports whether the call has ended.
func (s *streamRun) handleCurrent(ctx context.Context, result attemptResult) bool {
	switch {
	case result.reply != nil:
		return s.handleReply(ctx, result.reply)
	case len(result.events) > 0:
		return s.handleEvents(ctx, result.events)
	case result.err != nil:
		return s.handleLost(ctx, result.err, result.headReceived || s.f.cfg.Endpoints.MayHaveSent(result.err))
	default:
		s.relayPendingHead()
		s.log("answered", map[string]any{
			fieldEvents: s.eventCount, fieldSends: s.sends, fieldPath: s.attempt.path.String(),
			"first_ms": s.firstWait.Milliseconds(), "gap_ms": s.maxGap.Milliseconds(),
			"close_delimited": s.attempt.closeDelimited,
		})
		s.answered = true
		s.f.cfg.Metrics.Answered(s.route.Kind, time.Since(s.call.Received))
		return true
	}
}

// handleLost handles an attempt in progress that has ended without a complete reply, and reports whether the call has ended.
func (s *streamRun) handleLost(ctx context.Context, err error, sent bool) bool {
	worker := s.attempt.path[0].Worker
	s.log("attempt failed", map[string]any{fieldPath: s.attempt.path.String(), fieldError: err.Error(), "sent": sent, fieldEvents: s.eventCount, "close_delimited": s.attempt.closeDelimited})
	s.countSend(sent)
	if s.previous != nil {
		s.revertToPrevious("it failed")
		return false
	}
	s.recordBroken(ctx, s.attempt.id, worker, sent, err)
	s.avoid[worker] = true
	s.recordSend(worker, false)
	s.suspect(worker)
	if !sent {
		return !s.retryUnsent(ctx, causeResponseLost)
	}
	return s.resume(ctx, causeResponseLost)
}

func (s *streamRun) handleReply(ctx context.Context, reply *Reply) bool {
	s.attempt.closeDelimited = reply.CloseDelimited
	s.countSend(!reply.NotRun)
	if reply.NotRun {
		s.log("endpoint refused", map[string]any{fieldPath: s.attempt.path.String(), fieldStatus: reply.Status, "fault": reply.FaultyAddress})
		s.recordRefusal(s.attempt, reply)
		if s.previous != nil {
			s.revertToPrevious("it was refused")
			return false
		}
		return s.resume(ctx, causeRefused)
	}
	if !reply.isStream() {
		return s.handleFailure(ctx, reply)
	}
	s.cancelPrevious()
	s.recordProgress()
	s.recordSend(s.attempt.path[0].Worker, true)
	if !s.headRelayed {
		s.head = reply
	}
	return false
}

// recordRefusal records that a worker of an attempt's path refused it: the one that the reply names, or else the first.
func (s *streamRun) recordRefusal(a *attempt, reply *Reply) {
	fault := reply.FaultyAddress
	if fault == "" {
		fault = a.path[0].Address
	}
	if s.recordPause(reply, "", fault) {
		return
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.models.RecordRefusal(time.Now(), fault)
}

// relayPendingHead relays the head of the response, unless that was done before.
func (s *streamRun) relayPendingHead() {
	if s.headRelayed {
		return
	}
	s.headRelayed = true
	s.head.Length = -1
	delete(s.head.Header, "Content-Length")
	s.relayHead(s.head)
}

// handleFailure handles a reply that is not a valid stream.
func (s *streamRun) handleFailure(ctx context.Context, reply *Reply) bool {
	answer, err := readReply(reply)
	if err != nil {
		return s.handleLost(ctx, err, true)
	}
	s.log("attempt failed", map[string]any{fieldPath: s.attempt.path.String(), fieldStatus: reply.Status})
	s.recordSend(s.attempt.path[0].Worker, false)
	retriable := reply.Status >= minServerError || reply.Status < http.StatusMultipleChoices
	if retriable && s.route.Idempotent() && s.consumeRepeat(time.Now()) {
		s.avoid[s.attempt.path[0].Worker] = true
		return !s.start(ctx)
	}
	if s.headRelayed || reply.Status < http.StatusMultipleChoices {
		s.finish(causeResponseLost, retryAfterFull)
		return true
	}
	s.relay(s.f.endpoint(s.attempt.path[0].Worker), answer)
	return true
}

func (s *streamRun) handleEvents(ctx context.Context, events []event) bool {
	before := s.eventCount
	for _, e := range events {
		switch {
		case e.comment:
		case e.id < 0 && !s.attempt.continues:
			// Only a number shows that an event belongs where the stream broke off.
			s.log("event without number", map[string]any{"last": s.lastNumber, fieldPath: s.attempt.path.String()})
			return s.resume(ctx, causeResponseLost)
		case e.id < 0:
			s.numbered = false
		default:
			if s.lastNumber >= 0 && e.id <= s.lastNumber {
				continue
			}
			if s.numbered && s.lastNumber >= 0 && e.id != s.lastNumber+1 {
				s.log("event missing", map[string]any{"last": s.lastNumber, "id": e.id})
				return s.resume(ctx, causeResponseLost)
			}
			s.lastNumber, s.lastID = e.id, e.idText
			s.attempt.continues = true
		}
		s.relayPendingHead()
		if _, err := s.w.Write(e.data); err != nil {
			s.disconnect(map[string]any{fieldEvents: s.eventCount, fieldError: err.Error()})
		}
		if !e.comment {
			s.eventCount++
		}
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.disconnect(map[string]any{fieldEvents: s.eventCount, fieldError: err.Error()})
	}
	if s.eventCount > before {
		s.recordEvents(before == 0)
	}
	return false
}

// recordEvents records that the stream makes progress.
func (s *streamRun) recordEvents(first bool) {
	now := time.Now()
	if first {
		s.firstWait = now.Sub(s.call.Received)
		s.f.cfg.Metrics.FirstEvent(s.firstWait)
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastRelayed))
	}
	s.lastRelayed = now
	s.recordProgress()
	switch a := s.attempt; {
	case a.ranFrom.IsZero():
		a.ranFrom = now
	case now.Sub(a.ranFrom) >= ranInterval:
		a.ranFrom = now
		s.recordRan(a.id)
	}
}

func (s *streamRun) recordProgress() {
	now := time.Now()
	s.f.mu.Lock()
	s.models.Progress(now, s.call.ID)
	s.f.mu.Unlock()
	s.lastProgress = now
}
