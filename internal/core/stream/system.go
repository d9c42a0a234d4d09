package stream

import (
	"time"

	"waxwingplank/internal/core/table"
)

// row is what the system knows about one stream.
type row struct {
	open    OpenedConfig
	state   State
	attempt int
	used    int
	method  Method
	// pipeline is the one assigned last; ran is the one of the last attempt, which may need a cancel.
	pipeline table.Pipeline
	ran      table.Pipeline
	position int
	// fruitless counts the attempts since the last token.
	fruitless int
	readyAt   time.Time
	free      int
	textKnown bool
	plan      []Option
	since     time.Time
	avoid     []table.EndpointID
	asking    bool
	// queued is true while the recovery waits in the pacer; a row that left early is skipped there.
	queued bool
}

func (r *row) subject() subject { return subject{r.open.Stream} }

// System decides about all streams of one host.
type System struct {
	cfg       Config
	life      *life
	streams   *table.Table[table.StreamID, *row]
	byStage   map[table.EndpointID]map[table.StreamID]*row
	pace      *pacer
	deadlines deadlines
	delayed   deadlines
	suspects  map[table.EndpointID]time.Time
	out       []Decision
}

// New returns a system without streams.
func New(cfg Config) *System {
	cfg = cfg.withDefaults()
	return &System{
		cfg:     cfg,
		life:    newLife(),
		streams: table.New[table.StreamID, *row](),
		byStage: map[table.EndpointID]map[table.StreamID]*row{},
		pace:    newPacer(cfg),

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

// Tick applies the events and returns what follows from them and from the time.
func (s *System) Tick(now time.Time, events []Event) []Decision {
	s.out = nil
	s.forgetSuspects(now)
	for _, e := range events {
		s.apply(now, e)
	}
	s.expire(now)
	s.resume(now)
	for _, r := range s.pace.take(now) {
		s.start(r, r.plan[0].method)
	}
	s.streams.TakeChanged()
	return s.out
}

func (s *System) apply(now time.Time, e Event) {
	switch e := e.(type) {
	case Opened:
		s.opened(now, e.cfg)
	case Assigned:
		s.assigned(now, e.cfg)
	case Unassigned:
		if r, ok := s.streams.Get(e.stream); ok && r.asking {
			s.fail(r, NoPipeline)
		}
	case Progress:
		if r, ok := s.streams.Get(e.stream); ok {
			r.position = max(r.position, e.position)
		}
	case AttemptFailed:
		s.attemptFailed(now, e.cfg)
	case EndpointCrashed:
		s.crashed(now, e.endpoint)
	case Completed:
		if r, ok := s.streams.Get(e.stream); ok && s.life.fire(r, completed) {
			s.emit(Finish{r.subject()})
			s.remove(r)
		}
	case CallerGone:
		if r, ok := s.streams.Get(e.stream); ok {
			s.cancel(r)
			s.life.fire(r, left)
			s.emit(Leave{r.subject()})
			s.remove(r)
		}
	case HandOver:
		s.handOver()
	}
}

func (s *System) opened(now time.Time, cfg OpenedConfig) {
	if _, ok := s.streams.Get(cfg.Stream); ok {
		s.emit(Fail{subject{cfg.Stream}, DuplicateOpening})
		return
	}
	r := &row{
		open: cfg, state: Waiting, attempt: cfg.FirstAttempt - 1, position: cfg.Position,
		since: now, textKnown: cfg.Route == "",
	}
	s.streams.Put(cfg.Stream, r)
	if !cfg.Deadline.IsZero() {
		s.deadlines.add(cfg.Deadline, cfg.Stream)
	}
	s.ask(r)
}

func (s *System) ask(r *row) {
	r.asking = true
	prefer := ""
	if r.used == 0 {
		prefer = r.open.Route
	}
	s.emit(AskPipeline{
		subject:  r.subject(),
		priority: r.open.Priority,
		since:    r.since,
		avoid:    s.avoid(r),
		prefer:   prefer,
		recovery: r.state == Recovering,
	})
}

func (s *System) assigned(now time.Time, cfg AssignedConfig) {
	r, ok := s.streams.Get(cfg.Stream)
	if !ok || !r.asking {
		return
	}
	r.asking = false
	r.pipeline = cfg.Pipeline
	if r.state == Waiting {
		s.start(r, firstMethod(r))
		return
	}
	r.queued = true
	r.free = cfg.FreeSlots
	if r.readyAt.After(now) {
		s.delayed.add(r.readyAt, cfg.Stream)
		return
	}
	s.pace.add(now, r, r.free)
}

// resume hands delayed recoveries to the pacer when their time has come.
func (s *System) resume(now time.Time) {
	for _, id := range s.delayed.take(now) {
		if r, ok := s.streams.Get(id); ok && r.queued && !r.readyAt.After(now) {
			s.pace.add(now, r, r.free)
		}
	}
}

// delay spaces attempts that bring no token, so that a short overload does not use up every attempt.
func (s *System) delay(r *row) time.Duration {
	n := r.fruitless - promptAttempts
	if n <= 0 {
		return 0
	}
	return min(firstDelay<<(n-1), maxDelay)
}

const (
	// The first tries elsewhere go at once, since most faults are of one pipeline.
	promptAttempts = 2
	firstDelay     = 50 * time.Millisecond
	// Eight attempts then span 750 ms, within the 2 s bound of a recovery.
	maxDelay = 400 * time.Millisecond
)

// firstMethod continues a resumed stream only on the pipeline that may hold its state.
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
	if !s.life.fire(r, started) {
		return
	}
	r.attempt++
	r.used++
	r.method = m
	r.ran = r.pipeline
	for _, st := range r.pipeline.Stages() {
		on := s.byStage[st.Endpoint()]
		if on == nil {
			on = map[table.StreamID]*row{}
			s.byStage[st.Endpoint()] = on
		}
		on[r.open.Stream] = r
	}
	d := StartAttempt{subject: r.subject(), attempt: r.attempt, method: m, pipeline: r.pipeline}
	for _, o := range r.plan {
		if o.method == m {
			d.estimate = o.estimate
			continue
		}
		d.passed = append(d.passed, o)
	}
	s.emit(d)
}

func (s *System) attemptFailed(now time.Time, f FailedConfig) {
	r, ok := s.streams.Get(f.Stream)
	// A report about an attempt that was given up already says nothing about the current one.
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
	s.leaveStages(r)
	s.life.fire(r, broken)
	r.textKnown = f.TextKnown
	r.since = now
	r.fruitless++
	if f.Progressed {
		r.fruitless = 0
	}
	r.readyAt = now.Add(s.delay(r))
	if r.method == Continue && !f.Progressed && r.used > 1 {
		// The engines answer but failed twice. A resumed stream that they merely forgot is no fault of theirs.
		for _, st := range r.ran.Stages() {
			r.avoid = addOnce(r.avoid, st.Endpoint())
		}
	}
	for _, id := range f.Avoid {
		r.avoid = addOnce(r.avoid, id)
		s.suspect(now, id)
	}
	if r.used >= s.cfg.MaxAttempts {
		s.cancel(r)
		s.fail(r, TooManyAttempts)
		return
	}
	r.plan = s.options(r, f)
	if r.plan[0].method == Continue {
		// The stream still holds its slots, so no survivor takes on more work.
		s.start(r, Continue)
		return
	}
	// Only one way is left once another pipeline is asked for.
	r.plan = without(r.plan, Continue)
	s.cancelUnlessExported(r)
	s.ask(r)
}

// crashed gives up the running attempts on an endpoint, without waiting for each stream to notice.
func (s *System) crashed(now time.Time, id table.EndpointID) {
	s.suspect(now, id)
	for _, r := range ordered(s.byStage[id]) {
		s.recover(now, r, FailedConfig{
			Stream:    r.open.Stream,
			Attempt:   r.attempt,
			Position:  r.position,
			TextKnown: r.textKnown,
			// Whether a token came is not known here; the attempt did not fail by itself.
			Progressed: true,
			Avoid:      []table.EndpointID{id},
		})
	}
}

func (s *System) handOver() {
	var all []*row
	s.streams.Each(func(_ table.StreamID, r *row) bool {
		all = append(all, r)
		return true
	})
	sortRows(all)
	for _, r := range all {
		s.emit(Move{r.subject()})
		s.life.fire(r, left)
		s.remove(r)
	}
}

func (s *System) cancel(r *row) {
	if r.used > 0 {
		s.emit(CancelAttempt{r.subject(), r.attempt, r.ran})
	}
}

// cancelUnlessExported leaves the old attempt in place while its KV cache is still needed.
func (s *System) cancelUnlessExported(r *row) {
	if r.plan[0].method != Import {
		s.cancel(r)
	}
}

func (s *System) fail(r *row, why Reason) {
	s.life.fire(r, failed)
	s.emit(Fail{r.subject(), why})
	s.remove(r)
}

func (s *System) remove(r *row) {
	s.leaveStages(r)
	r.queued = false
	r.asking = false
	s.streams.Delete(r.open.Stream)
}

func (s *System) leaveStages(r *row) {
	for _, st := range r.ran.Stages() {
		on := s.byStage[st.Endpoint()]
		delete(on, r.open.Stream)
		if len(on) == 0 {
			delete(s.byStage, st.Endpoint())
		}
	}
}

func (s *System) expire(now time.Time) {
	for _, id := range s.deadlines.take(now) {
		r, ok := s.streams.Get(id)
		if !ok || r.open.Deadline.After(now) {
			continue
		}
		s.cancel(r)
		s.fail(r, DeadlinePassed)
	}
}

func (s *System) emit(d Decision) { s.out = append(s.out, d) }
