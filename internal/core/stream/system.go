package stream

import (
	"time"

	"waxwingplank/internal/core/table"
)

// row is the state of one stream.
type row struct {
	open    OpenedConfig
	state   State
	attempt int
	// starts counts the attempts on this host.
	starts int
	method Method
	// pipeline is the last one assigned. lastPipeline is the one of the last attempt, which may need a cancel.
	pipeline     table.Pipeline
	lastPipeline table.Pipeline
	position     int
	// attemptsWithoutToken counts the failed attempts since the last token.
	attemptsWithoutToken int
	retryAt              time.Time
	freeSlots            int
	hasText              bool
	options              []Option
	waitingSince         time.Time
	avoid                []table.EndpointID
	awaitingPipeline     bool
	// queued is true while the recovery waits for its delay or in the pacer. The pacer skips rows that were
	// removed before their turn.
	queued bool
}

func (r *row) subject() subject { return subject{r.open.Stream} }

// System controls all streams of one host.
type System struct {
	cfg       Config
	lifecycle *lifecycle
	streams   *table.Table[table.StreamID, *row]
	byStage   map[table.EndpointID]map[table.StreamID]*row
	pacer     *pacer
	deadlines deadlines
	delayed   deadlines
	suspects  map[table.EndpointID]time.Time
	decisions []Decision
}

// New returns a system without streams.
func New(cfg Config) *System {
	cfg = cfg.withDefaults()
	return &System{
		cfg:       cfg,
		lifecycle: newLifecycle(),
		streams:   table.New[table.StreamID, *row](),
		byStage:   map[table.EndpointID]map[table.StreamID]*row{},
		pacer:     newPacer(cfg),

		suspects: map[table.EndpointID]time.Time{},
	}
}

// Len returns the number of streams that have not ended.
func (s *System) Len() int { return s.streams.Len() }

// State returns the state of a stream that has not ended.
func (s *System) State(id table.StreamID) (State, bool) {
	r, ok := s.streams.Get(id)
	if !ok {
		return "", false
	}
	return r.state, true
}

// Tick applies the events and expired timers, and returns the resulting decisions.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.decisions = nil
	s.expireSuspects(now)
	for _, e := range events {
		s.apply(now, e)
	}
	s.expireDeadlines(now)
	s.queueDelayed(now)
	for _, r := range s.pacer.popReady(now) {
		s.start(r, r.options[0].method)
	}
	s.streams.TakeChanged()
	return s.decisions
}

func (s *System) apply(now time.Time, e Event) {
	switch e := e.(type) {
	case Opened:
		s.applyOpened(now, e.cfg)
	case Assigned:
		s.applyAssigned(now, e.cfg)
	case Unassigned:
		if r, ok := s.streams.Get(e.stream); ok && r.awaitingPipeline {
			s.fail(r, NoPipeline)
		}
	case Progress:
		if r, ok := s.streams.Get(e.stream); ok {
			r.position = max(r.position, e.position)
		}
	case AttemptFailed:
		s.applyAttemptFailed(now, e.cfg)
	case EndpointCrashed:
		s.applyEndpointCrash(now, e.endpoint)
	case Completed:
		if r, ok := s.streams.Get(e.stream); ok && s.lifecycle.fire(r, completed) {
			s.emit(Finish{r.subject()})
			s.remove(r)
		}
	case CallerGone:
		if r, ok := s.streams.Get(e.stream); ok {
			s.cancel(r)
			s.lifecycle.fire(r, left)
			s.emit(EndForCaller{r.subject()})
			s.remove(r)
		}
	case MoveAllRequested:
		s.moveAll()
	}
}

func (s *System) applyOpened(now time.Time, cfg OpenedConfig) {
	if _, ok := s.streams.Get(cfg.Stream); ok {
		s.emit(Fail{subject{cfg.Stream}, DuplicateOpening})
		return
	}
	r := &row{
		open: cfg, state: Waiting, attempt: cfg.FirstAttempt - 1, position: cfg.Position,
		waitingSince: now, hasText: cfg.Route == "",
	}
	s.streams.Put(cfg.Stream, r)
	if !cfg.Deadline.IsZero() {
		s.deadlines.add(cfg.Deadline, cfg.Stream)
	}
	s.requestPipeline(r)
}

func (s *System) requestPipeline(r *row) {
	r.awaitingPipeline = true
	prefer := ""
	if r.starts == 0 {
		prefer = r.open.Route
	}
	s.emit(RequestPipeline{
		subject:  r.subject(),
		priority: r.open.Priority,
		since:    r.waitingSince,
		avoid:    s.endpointsToAvoid(r),
		prefer:   prefer,
		recovery: r.state == Recovering,
	})
}

func (s *System) applyAssigned(now time.Time, cfg AssignedConfig) {
	r, ok := s.streams.Get(cfg.Stream)
	if !ok || !r.awaitingPipeline {
		return
	}
	r.awaitingPipeline = false
	r.pipeline = cfg.Pipeline
	if r.state == Waiting {
		s.start(r, firstMethod(r))
		return
	}
	r.queued = true
	r.freeSlots = cfg.FreeSlots
	if r.retryAt.After(now) {
		s.delayed.add(r.retryAt, cfg.Stream)
		return
	}
	s.pacer.add(now, r, r.freeSlots)
}

// queueDelayed passes delayed recoveries to the pacer once their delay is over.
func (s *System) queueDelayed(now time.Time) {
	for _, id := range s.delayed.popDue(now) {
		if r, ok := s.streams.Get(id); ok && r.queued && !r.retryAt.After(now) {
			s.pacer.add(now, r, r.freeSlots)
		}
	}
}

// retryDelay returns the backoff before the next attempt. It grows with the attempts that produced no token, so
// that a short overload does not use up all attempts.
func (s *System) retryDelay(r *row) time.Duration {
	n := r.attemptsWithoutToken - immediateRetries
	if n <= 0 {
		return 0
	}
	return min(initialBackoff<<(n-1), maxBackoff)
}

const (
	// The first attempts on other pipelines start immediately, because most faults affect one pipeline only.
	immediateRetries = 2
	initialBackoff   = 50 * time.Millisecond
	// With these values eight attempts span 750 ms, within the 2 s limit for a recovery.
	maxBackoff = 400 * time.Millisecond
)

// firstMethod returns the method of a stream's first attempt on this host. A resumed stream continues only on
// the pipeline that may hold its state.
func firstMethod(r *row) Method {
	if r.open.Route == "" {
		return Fresh
	}
	if r.open.Route == r.pipeline.ID() {
		return Continue
	}
	return Regenerate
}

func (s *System) start(r *row, m Method) {
	if !s.lifecycle.fire(r, started) {
		return
	}
	r.attempt++
	r.starts++
	r.method = m
	r.lastPipeline = r.pipeline
	for _, st := range r.pipeline.Stages() {
		running := s.byStage[st.Endpoint()]
		if running == nil {
			running = map[table.StreamID]*row{}
			s.byStage[st.Endpoint()] = running
		}
		running[r.open.Stream] = r
	}
	d := StartAttempt{subject: r.subject(), attempt: r.attempt, method: m, pipeline: r.pipeline}
	for _, o := range r.options {
		if o.method == m {
			d.estimate = o.estimate
			continue
		}
		d.rejected = append(d.rejected, o)
	}
	s.emit(d)
}

func (s *System) applyAttemptFailed(now time.Time, f FailedConfig) {
	r, ok := s.streams.Get(f.Stream)
	// A report about an earlier attempt does not apply to the current one.
	if !ok || r.state != Running || f.Attempt != r.attempt {
		return
	}
	r.position = max(r.position, f.Position)
	if f.Final {
		s.cancel(r)
		s.fail(r, CannotRecover)
		return
	}
	s.recover(now, r, f)
}

func (s *System) recover(now time.Time, r *row, f FailedConfig) {
	s.removeFromStages(r)
	s.lifecycle.fire(r, broken)
	r.hasText = f.HasText
	r.waitingSince = now
	r.attemptsWithoutToken++
	if f.ProducedToken {
		r.attemptsWithoutToken = 0
	}
	r.retryAt = now.Add(s.retryDelay(r))
	if r.method == Continue && !f.ProducedToken && r.starts > 1 {
		// The engines responded but failed twice, so they are avoided. The first attempt is exempt: engines that
		// no longer hold a resumed stream are not at fault.
		for _, st := range r.lastPipeline.Stages() {
			r.avoid = appendUnique(r.avoid, st.Endpoint())
		}
	}
	for _, id := range f.Avoid {
		r.avoid = appendUnique(r.avoid, id)
		s.markSuspect(now, id)
	}
	if r.starts >= s.cfg.MaxAttempts {
		s.cancel(r)
		s.fail(r, TooManyAttempts)
		return
	}
	r.options = s.recoveryOptions(r, f)
	if r.options[0].method == Continue {
		// The stream still holds its slots, so this puts no additional load on other endpoints.
		s.start(r, Continue)
		return
	}
	// Another pipeline is requested, and Continue works only on the old one.
	r.options = withoutMethod(r.options, Continue)
	s.cancelUnlessImporting(r)
	s.requestPipeline(r)
}

// applyEndpointCrash starts the recovery of all running attempts on an endpoint, without waiting for each of
// them to fail.
func (s *System) applyEndpointCrash(now time.Time, id table.EndpointID) {
	s.markSuspect(now, id)
	for _, r := range sortedRows(s.byStage[id]) {
		s.recover(now, r, FailedConfig{
			Stream:   r.open.Stream,
			Attempt:  r.attempt,
			Position: r.position,
			HasText:  r.hasText,
			// Whether the attempt produced a token is unknown here. It counts as progress, because the attempt
			// did not fail by itself.
			ProducedToken: true,
			Avoid:         []table.EndpointID{id},
		})
	}
}

func (s *System) moveAll() {
	var all []*row
	s.streams.Each(func(_ table.StreamID, r *row) bool {
		all = append(all, r)
		return true
	})
	sortRows(all)
	for _, r := range all {
		s.emit(Move{r.subject()})
		s.lifecycle.fire(r, left)
		s.remove(r)
	}
}

func (s *System) cancel(r *row) {
	if r.starts > 0 {
		s.emit(CancelAttempt{r.subject(), r.attempt, r.lastPipeline})
	}
}

// cancelUnlessImporting cancels the old attempt unless its KV cache is to be imported from it.
func (s *System) cancelUnlessImporting(r *row) {
	if r.options[0].method != Import {
		s.cancel(r)
	}
}

func (s *System) fail(r *row, why Reason) {
	s.lifecycle.fire(r, failed)
	s.emit(Fail{r.subject(), why})
	s.remove(r)
}

func (s *System) remove(r *row) {
	s.removeFromStages(r)
	r.queued = false
	r.awaitingPipeline = false
	s.streams.Delete(r.open.Stream)
}

func (s *System) removeFromStages(r *row) {
	for _, st := range r.lastPipeline.Stages() {
		running := s.byStage[st.Endpoint()]
		delete(running, r.open.Stream)
		if len(running) == 0 {
			delete(s.byStage, st.Endpoint())
		}
	}
}

func (s *System) expireDeadlines(now time.Time) {
	for _, id := range s.deadlines.popDue(now) {
		r, ok := s.streams.Get(id)
		if !ok || r.open.Deadline.After(now) {
			continue
		}
		s.cancel(r)
		s.fail(r, DeadlinePassed)
	}
}

func (s *System) emit(d Decision) { s.decisions = append(s.decisions, d) }
