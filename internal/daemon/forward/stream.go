package forward

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"time"

	"waxwingplank/internal/core/path"
)

const (
	// placeWait is how long a new stream waits for room on the workers: an eighth of the aim for the first event
	// is not felt by callers.
	placeWait = 60 * time.Millisecond
	// placeRetry is the time between two looks for a path.
	placeRetry = 10 * time.Millisecond
	// resumeWait is how long a stream that has begun may be without a path. Callers give up after 2 s.
	resumeWait = 1500 * time.Millisecond
	// rerouteTimeout is well above a call to a worker; after it the stream is resumed instead.
	rerouteTimeout = 120 * time.Millisecond
	// retryFull and retryUncovered are the shortest times after which refused callers may return: streams end
	// after about 2 s, and a worker's layers are loaded in about that time. The same again is added by chance.
	retryFull      = 700 * time.Millisecond
	retryUncovered = 1500 * time.Millisecond
)

// item is what a sending brings: its reply's head, events, or its end.
type item struct {
	attempt int
	reply   *Reply
	events  []event
	err     error
	ended   bool
	// replied is true for the end of an answer whose head had come.
	replied bool
}

// attempt is one sending of a stream's call.
type attempt struct {
	number int
	path   path.Path
	demand path.Demand
	cancel context.CancelFunc
	// counted is set once the sending is among the call's sends, ran once it is among its runs.
	counted bool
	ran     bool
}

// streamRun serves one stream.
type streamRun struct {
	*run
	items chan item
	// attempt is the sending in progress. silent, where it is not nil, is the one before it, which is kept until the
	// new one is answered: it may go on, and the new one may be refused.
	attempt *attempt
	silent  *attempt
	started int
	// begun is set once the head was relayed; last is the id of the last event passed on.
	begun   bool
	last    int64
	lastID  string
	numbers bool
	moved   time.Time
	avoid   map[string]bool
	events  int
	// first and gap are the caller's wait for the first event and the longest between two; passed is when the last
	// one was passed on.
	first  time.Duration
	gap    time.Duration
	passed time.Time
}

func (r *run) stream(ctx context.Context) {
	s := &streamRun{
		run: r, items: make(chan item, 1), last: -1, lastID: r.call.ResumeAfter, numbers: true,
		moved: time.Now(), avoid: map[string]bool{},
	}
	if n, err := strconv.ParseInt(s.lastID, 10, 64); err == nil {
		s.last = n
	}
	completed := false
	defer func() { s.stop(completed) }()
	if !s.start(ctx) {
		return
	}
	for {
		select {
		case it := <-s.items:
			if s.takeItem(ctx, it) {
				completed = it.ended && it.err == nil
				return
			}
		case st := <-r.stalled:
			s.recover(ctx, st)
		case <-ctx.Done():
			s.ended(ctx)
			return
		}
	}
}

// stop ends the sendings in progress.
func (s *streamRun) stop(completed bool) {
	s.dropSilent()
	if s.attempt != nil {
		s.attempt.cancel()
		s.ends(!completed)
	}
}

// ended answers a call whose time is up or whose caller has left.
func (s *streamRun) ended(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.log("caller left", map[string]any{fieldEvents: s.events})
		return
	}
	s.finish(causeLate, retryFull)
}

// finish ends a call that can't be served any further.
func (s *streamRun) finish(cause string, after time.Duration) {
	if s.begun {
		s.abort(cause)
	}
	s.fail(cause, after)
}

// start sends the call on the cheapest path and reports whether that was possible; else it is answered. The sending
// before has ended or is given up.
func (s *streamRun) start(ctx context.Context) bool {
	s.dropSilent()
	if s.attempt != nil {
		s.attempt.cancel()
	}
	wait := placeWait
	if s.begun {
		wait = resumeWait - time.Since(s.moved)
	}
	until := time.Now().Add(wait)
	for {
		// Workers that have failed the call are taken again only towards the end, where nothing else came.
		p, d, refusal := s.place(time.Until(until) < wait/2)
		if refusal == path.Accepted {
			s.launch(ctx, p, d)
			return true
		}
		if !time.Now().Before(until) {
			after := retryFull
			if refusal == path.Uncovered {
				after = retryUncovered
			}
			s.logNoPath(refusal)
			s.finish(string(refusal), after+time.Duration(rand.Float64()*float64(after)))
			return false
		}
		select {
		case <-ctx.Done():
			s.ended(ctx)
			return false
		case <-time.After(placeRetry):
		}
	}
}

// logNoPath writes what kept a request off the workers.
func (s *streamRun) logNoPath(refusal path.Refusal) {
	s.f.mu.Lock()
	d := s.demand()
	fullness := s.models.CapacityReport(time.Now(), d)
	s.f.mu.Unlock()
	s.log("no path", map[string]any{
		fieldCause: string(refusal), "prompt": d.Prompt, "answer": d.Answer, "avoid": len(d.Avoid), "state": fullness,
	})
}

// place chooses a path and charges it.
func (s *streamRun) place(anew bool) (path.Path, path.Demand, path.Refusal) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	now := time.Now()
	d := s.demand()
	p, refusal := s.models.Choose(now, d)
	if anew && refusal == path.Uncovered && len(d.Avoid) > 0 {
		d.Avoid = nil
		p, refusal = s.models.Choose(now, d)
	}
	if refusal == path.Accepted {
		s.models.Begin(now, s.call.ID, p, d)
	}
	return p, d, refusal
}

func (s *streamRun) demand() path.Demand {
	answer := s.call.Answer
	if answer <= 0 {
		answer = s.call.MaxAnswer
	}
	if s.call.MaxAnswer > 0 {
		answer = min(answer, s.call.MaxAnswer)
	}
	return path.Demand{Domain: s.f.cfg.Domain, Prompt: s.call.Prompt, Answer: answer, Avoid: s.avoid}
}

// launch sends the call on a path; its items come in until the sending is cancelled.
func (s *streamRun) launch(ctx context.Context, p path.Path, d path.Demand) {
	if s.attempt != nil {
		s.ends(true)
	}
	s.started++
	s.attempt = &attempt{number: s.started, path: p, demand: d}
	ctx, s.attempt.cancel = context.WithCancel(ctx)
	first := p[0]
	e := s.f.endpoint(first.Worker)
	e.ID, e.Address = first.Worker, first.Address
	send := s.send(e, p, s.lastID)
	s.log("sent", map[string]any{
		fieldPath: p.String(), "route": s.route.Name, "config": s.version, fieldSends: s.sends, "after": s.lastID,
		"prompt": s.call.Prompt, "left_ms": send.Left.Milliseconds(),
	})
	s.begins(workersOf(p)...)
	go pump(ctx, s.f.cfg.Endpoints, send, s.attempt.number, s.items)
}

// count notes what is known of the sending in progress: that it was sent, and whether it ran.
func (s *streamRun) count(ran bool) {
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

// pump sends a request and hands what comes back to items.
func pump(ctx context.Context, endpoints Endpoints, send Send, attempt int, items chan<- item) {
	put := func(it item) bool {
		it.attempt = attempt
		select {
		case items <- it:
			return true
		case <-ctx.Done():
			return false
		}
	}
	reply, err := endpoints.Send(ctx, send)
	if err != nil {
		put(item{err: err, ended: true})
		return
	}
	defer func() {
		_ = reply.Body.Close() //nolint:errcheck // the end of the body was seen, or the sending is given up
	}()
	if !put(item{reply: reply}) {
		return
	}
	if reply.Status != http.StatusOK || reply.NotRun {
		return
	}
	reader := newEventReader(reply.Body)
	for {
		events, err := reader.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			put(item{err: err, ended: true, replied: true})
			return
		}
		if !put(item{events: events}) {
			return
		}
	}
}

// take handles an item and reports whether the call is answered.
func (s *streamRun) take(ctx context.Context, it item) bool {
	switch {
	case it.reply != nil:
		return s.takeReply(ctx, it.reply)
	case len(it.events) > 0:
		return s.takeEvents(ctx, it.events)
	case it.err != nil:
		sent := it.replied || s.f.cfg.Endpoints.Sent(it.err)
		s.log("attempt failed", map[string]any{fieldPath: s.attempt.path.String(), fieldError: it.err.Error(), "sent": sent, fieldEvents: s.events})
		s.count(sent)
		if s.silent != nil {
			s.goBack("it failed")
			return false
		}
		s.avoid[s.attempt.path[0].Worker] = true
		s.sentTo(s.attempt.path[0].Worker, false)
		s.suspect(s.attempt.path[0].Worker)
		if !sent {
			return !s.startAgain(ctx, causeBroken)
		}
		return s.resume(ctx, causeBroken)
	default:
		s.log("answered", map[string]any{
			fieldEvents: s.events, fieldSends: s.sends, fieldPath: s.attempt.path.String(),
			"first_ms": s.first.Milliseconds(), "gap_ms": s.gap.Milliseconds(),
		})
		s.f.cfg.Metrics.Answered(s.route.Kind, time.Since(s.call.Received))
		return true
	}
}

func (s *streamRun) takeReply(ctx context.Context, reply *Reply) bool {
	s.count(!reply.NotRun)
	if reply.NotRun {
		fault := reply.Fault
		s.log("endpoint refused", map[string]any{fieldPath: s.attempt.path.String(), fieldStatus: reply.Status, "fault": fault})
		if fault == "" {
			fault = s.attempt.path[0].Address
		}
		s.f.mu.Lock()
		s.models.RecordRefusal(time.Now(), fault)
		s.f.mu.Unlock()
		if s.silent != nil {
			s.goBack("it was refused")
			return false
		}
		return s.resume(ctx, causeBusy)
	}
	if reply.Status != http.StatusOK || !reply.Genuine {
		return s.takeFailure(ctx, reply)
	}
	s.dropSilent()
	s.progress()
	s.sentTo(s.attempt.path[0].Worker, true)
	if !s.begun {
		s.begun = true
		reply.Length = -1
		delete(reply.Header, "Content-Length")
		s.relayHead(reply)
	}
	return false
}

// takeFailure handles an answer that is no stream.
func (s *streamRun) takeFailure(ctx context.Context, reply *Reply) bool {
	answer, err := readWhole(reply)
	fields := map[string]any{fieldPath: s.attempt.path.String(), fieldStatus: reply.Status}
	if err != nil {
		fields[fieldError] = err.Error()
	}
	s.log("attempt failed", fields)
	s.sentTo(s.attempt.path[0].Worker, false)
	retriable := reply.Status >= serverError || reply.Status < http.StatusMultipleChoices
	if retriable && s.route.Idempotent() && s.mayRepeat(time.Now()) {
		s.avoid[s.attempt.path[0].Worker] = true
		return !s.start(ctx)
	}
	if s.begun || err != nil || reply.Status < http.StatusMultipleChoices {
		s.finish(causeBroken, retryFull)
		return true
	}
	s.relay(s.f.endpoint(s.attempt.path[0].Worker), answer)
	return true
}

func (s *streamRun) takeEvents(ctx context.Context, events []event) bool {
	now := time.Now()
	if s.events > 0 {
		s.gap = max(s.gap, now.Sub(s.passed))
	}
	s.passed = now
	s.progress()
	for _, e := range events {
		if e.id < 0 {
			s.numbers = false
		} else {
			if s.last >= 0 && e.id <= s.last {
				continue
			}
			if s.numbers && s.last >= 0 && e.id != s.last+1 {
				s.log("event missing", map[string]any{"last": s.last, "id": e.id})
				return s.resume(ctx, causeBroken)
			}
			s.last, s.lastID = e.id, e.text
		}
		if _, err := s.w.Write(e.data); err != nil {
			s.log("caller left", map[string]any{fieldEvents: s.events, fieldError: err.Error()})
			return true
		}
		s.events++
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.log("caller left", map[string]any{fieldEvents: s.events, fieldError: err.Error()})
		return true
	}
	if s.events == len(events) {
		s.first = time.Since(s.call.Received)
		s.f.cfg.Metrics.First(s.first)
	}
	return false
}

func (s *streamRun) progress() {
	now := time.Now()
	s.f.mu.Lock()
	s.models.Progress(now, s.call.ID)
	s.f.mu.Unlock()
	s.moved = now
}
