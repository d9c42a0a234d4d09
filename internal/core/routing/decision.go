package routing

import (
	"fmt"
	"strings"
	"time"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// Decision is an action for the daemon to carry out.
type Decision interface{ decision() }

// Cause is the reason why a pipeline was rejected or chosen.
type Cause string

// The causes listed in a Dispatch.
const (
	CauseSlower            Cause = "higher_expected_time"
	CauseNoFreeSlot        Cause = "no_free_slot"
	CauseAvoided           Cause = "avoided_by_request"
	CauseIsolation         Cause = "runs_request_of_same_crash"
	CauseRecoveryRateLimit Cause = "recovery_paced"
	CauseDegraded          Cause = "degraded"
	CausePrefixCached      Cause = "prefix_cached"
	CauseLowestTime        Cause = "lowest_expected_time"
	CauseOnlyCandidate     Cause = "only_candidate"
	CauseMayHoldStream     Cause = "may_hold_stream"
)

// Candidate is a pipeline that was considered for a request and rejected.
type Candidate struct {
	pipeline string
	cause    Cause
}

// Pipeline returns the name of the pipeline.
func (c Candidate) Pipeline() string { return c.pipeline }

// Cause returns why the pipeline was rejected.
func (c Candidate) Cause() Cause { return c.cause }

// maxRejected bounds the rejected pipelines listed in a decision, which limits the length of the log line.
const maxRejected = 6

// Dispatch sends a request to a pipeline; for a plain service the pipeline has one stage.
type Dispatch struct {
	request       table.RequestID
	service       table.ServiceID
	pipeline      table.Pipeline
	cause         Cause
	waited        time.Duration
	recovery      bool
	retry         bool
	rejected      [maxRejected]Candidate
	rejectedCount int
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

// Waited returns the time that the request spent in the queue.
func (d *Dispatch) Waited() time.Duration { return d.waited }

// Recovery reports whether the request was running before.
func (d *Dispatch) Recovery() bool { return d.recovery }

// Retry reports whether an earlier attempt of this copy failed.
func (d *Dispatch) Retry() bool { return d.retry }

// Rejected returns the pipelines that were considered and rejected, at most six.
func (d *Dispatch) Rejected() []Candidate { return d.rejected[:d.rejectedCount] }

// String returns the decision as a single log line.
func (d *Dispatch) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "dispatch request=%s service=%s chose=%s why=%s waited=%s", d.request, d.service,
		d.pipeline.ID(), d.cause, d.waited)
	for _, c := range d.Rejected() {
		fmt.Fprintf(&b, " passed=%s:%s", c.pipeline, c.cause)
	}
	return b.String()
}

func (d *Dispatch) reject(t *target, cause Cause) {
	for _, c := range d.rejected[:d.rejectedCount] {
		if c.pipeline == t.id {
			return
		}
	}
	if d.rejectedCount < maxRejected {
		d.rejected[d.rejectedCount] = Candidate{pipeline: t.id, cause: cause}
		d.rejectedCount++
	}
}

// Refuse ends a request without a complete response.
type Refuse struct {
	request table.RequestID
	refusal *outcome.Refusal
}

// Request returns the request.
func (r Refuse) Request() table.RequestID { return r.request }

// Refusal returns the refusal to send to the caller.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

// Drop removes a waiting request whose caller has disconnected.
type Drop struct{ request table.RequestID }

// Request returns the request.
func (d Drop) Request() table.RequestID { return d.request }

// Preempt stops a running request in favour of one of a higher class. The owner of the stopped request
// queues it again.
type Preempt struct{ request, beneficiary table.RequestID }

// Request returns the running request to stop.
func (p Preempt) Request() table.RequestID { return p.request }

// Beneficiary returns the waiting request that needs the slot.
func (p Preempt) Beneficiary() table.RequestID { return p.beneficiary }

// Demand is the number of running and queued requests of one workspace for a service on this host. It is
// sent when it changes.
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

// Running returns the number of requests that run on endpoints.
func (d Demand) Running() int { return d.row.running }

// Queued returns the number of waiting requests.
func (d Demand) Queued() int { return d.row.queued }

func (*Dispatch) decision() {}
func (Refuse) decision()    {}
func (Drop) decision()      {}
func (Preempt) decision()   {}
func (Demand) decision()    {}
