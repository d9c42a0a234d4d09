package routing

import (
	"fmt"
	"strings"
	"time"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// Decision is something that the daemon must carry out.
type Decision interface{ decision() }

// Cause says why a pipeline was passed over, or why one was chosen.
type Cause string

// The causes in a Dispatch.
const (
	CauseLoad      Cause = "higher_expected_time"
	CauseFull      Cause = "no_free_slot"
	CauseAvoid     Cause = "avoided_by_request"
	CauseIsolation Cause = "runs_request_of_same_crash"
	CausePaced     Cause = "recovery_paced"
	CauseHealth    Cause = "degraded"
	CauseCache     Cause = "prefix_cached"
	CauseFaster    Cause = "lowest_expected_time"
	CauseOnly      Cause = "only_candidate"
	CauseHolds     Cause = "may_hold_stream"
)

// Candidate is a pipeline that was looked at and passed over.
type Candidate struct {
	pipeline string
	cause    Cause
}

// Pipeline returns the name of the pipeline.
func (c Candidate) Pipeline() string { return c.pipeline }

// Cause returns why it was passed over.
func (c Candidate) Cause() Cause { return c.cause }

// maxPassed bounds the pipelines named in a decision, so that a log line stays short.
const maxPassed = 6

// Dispatch sends a request to a pipeline; for a plain service the pipeline has one stage.
type Dispatch struct {
	request  table.RequestID
	service  table.ServiceID
	pipeline table.Pipeline
	cause    Cause
	waited   time.Duration
	recovery bool
	retry    bool
	passed   [maxPassed]Candidate
	passedN  int
}

// Request returns the request.
func (d *Dispatch) Request() table.RequestID { return d.request }

// Service returns the service of the request.
func (d *Dispatch) Service() table.ServiceID { return d.service }

// Pipeline returns the chosen pipeline.
func (d *Dispatch) Pipeline() table.Pipeline { return d.pipeline }

// Endpoint returns the first stage's endpoint, which is the chosen one for a plain service.
func (d *Dispatch) Endpoint() table.EndpointID { return d.pipeline.Stages()[0].Endpoint() }

// Cause returns why the pipeline was chosen.
func (d *Dispatch) Cause() Cause { return d.cause }

// Waited returns the time in the queue.
func (d *Dispatch) Waited() time.Duration { return d.waited }

// Recovery reports whether the request was running before.
func (d *Dispatch) Recovery() bool { return d.recovery }

// Retry reports whether an earlier attempt of this copy failed.
func (d *Dispatch) Retry() bool { return d.retry }

// PassedOver returns the pipelines that were looked at and not chosen.
func (d *Dispatch) PassedOver() []Candidate { return d.passed[:d.passedN] }

// String returns the decision as one log line.
func (d *Dispatch) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "dispatch request=%s service=%s chose=%s why=%s waited=%s", d.request, d.service,
		d.pipeline.ID(), d.cause, d.waited)
	for _, c := range d.PassedOver() {
		fmt.Fprintf(&b, " passed=%s:%s", c.pipeline, c.cause)
	}
	return b.String()
}

func (d *Dispatch) pass(t *target, cause Cause) {
	for _, c := range d.passed[:d.passedN] {
		if c.pipeline == t.id {
			return
		}
	}
	if d.passedN < maxPassed {
		d.passed[d.passedN] = Candidate{pipeline: t.id, cause: cause}
		d.passedN++
	}
}

// Refuse ends a request without a whole answer.
type Refuse struct {
	request table.RequestID
	refusal *outcome.Refusal
}

// Request returns the request.
func (r Refuse) Request() table.RequestID { return r.request }

// Refusal returns what the caller is told.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

// Drop forgets a waiting request whose caller has gone.
type Drop struct{ request table.RequestID }

// Request returns the request.
func (d Drop) Request() table.RequestID { return d.request }

// Preempt stops a running request, which is then requeued by its owner, for one of a higher class.
type Preempt struct{ request, beneficiary table.RequestID }

// Request returns the running request to be stopped.
func (p Preempt) Request() table.RequestID { return p.request }

// Beneficiary returns the waiting request that needs the slot.
func (p Preempt) Beneficiary() table.RequestID { return p.beneficiary }

// Demand says what one workspace wants of a service through this host; it is sent when it changes.
type Demand struct {
	key demandKey
	row demandRow
}

// Service returns the service.
func (d Demand) Service() table.ServiceID { return d.key.service }

// Workspace returns the workspace.
func (d Demand) Workspace() table.WorkspaceID { return d.key.workspace }

// Priority returns the class.
func (d Demand) Priority() int { return d.key.priority }

// Running returns the number of requests at endpoints.
func (d Demand) Running() int { return d.row.running }

// Queued returns the number of waiting requests.
func (d Demand) Queued() int { return d.row.queued }

func (*Dispatch) decision() {}
func (Refuse) decision()    {}
func (Drop) decision()      {}
func (Preempt) decision()   {}
func (Demand) decision()    {}
