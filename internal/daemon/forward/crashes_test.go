package forward

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/deployment"
)

type noLog struct{}

func (noLog) Decision(string, string, map[string]any) {}

// refusingEndpoints is where no endpoint listens.
type refusingEndpoints struct{ Endpoints }

func (refusingEndpoints) ConnectionRefused(error) bool { return true }

func (refusingEndpoints) Connect(context.Context, deployment.Endpoint) error { return nil }

func (refusingEndpoints) OnLeaving(func(deployment.Endpoint)) {}

// Guards against blaming the prompts of streams that break off when an endpoint ends that had announced it.
func TestDrainedEndpointsBlameNoPart(t *testing.T) {
	for _, c := range []struct {
		state   deployment.EndpointState
		refused bool
	}{{deployment.Ready, true}, {deployment.Draining, false}} {
		t.Run(string(c.state), func(t *testing.T) {
			is := is.New(t)
			f := New(Config{Endpoints: refusingEndpoints{}, Log: noLog{}, Metrics: NewMetrics()})
			for i := range 3 {
				id := fmt.Sprintf("e-%d", i)
				f.byID[id] = deployment.Endpoint{ID: id, State: c.state, StartedMs: 1}
				r := &run{f: f, body: &requestBody{}, call: &Call{ID: id, PromptParts: []string{"shared", "own"}}}
				r.identify()
				attempt := r.recordStart(id)
				r.recordBroken(context.Background(), attempt, id, true, nil)
				r.recordBroken(context.Background(), attempt, id, false, errors.New("refused"))
				time.Sleep(150 * time.Millisecond) // crashes at one moment count once
			}
			r := &run{f: f, body: &requestBody{}, call: &Call{ID: "new", PromptParts: []string{"shared", "other"}}}
			r.identify()
			is.Equal(r.crashesEndpoints(), c.refused)
		})
	}
}

// Guards against hosts that never learn which requests crash endpoints, because the marks pass a hub.
func TestHubPassesMarksOn(t *testing.T) {
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprintf("receiver has just started: %t", started), func(t *testing.T) {
			is := is.New(t)
			newHost := func() *Forwarder {
				return New(Config{Endpoints: refusingEndpoints{}, Log: noLog{}, Metrics: NewMetrics()})
			}
			first, hub, other := newHost(), newHost(), newHost()
			for i := range 3 {
				id := fmt.Sprintf("e-%d", i)
				e := deployment.Endpoint{ID: id, State: deployment.Ready, StartedMs: 1}
				first.SetEndpoints([]deployment.Endpoint{e})
				r := &run{f: first, body: &requestBody{}, call: &Call{ID: "copy-" + id, Method: "POST", Target: "/x"}}
				r.identify()
				r.recordEnd(r.recordStart(id), "w", attemptFailed)
				first.SetEndpoints(nil)
			}
			hub.AddMarks(first.Marks())
			if started {
				hub.crashes.marks = map[markKey]reportedMark{}
				hub.RepeatRefusals()
			}
			other.AddMarks(hub.Marks())
			r := &run{f: other, body: &requestBody{}, call: &Call{ID: "again", Method: "POST", Target: "/x"}}
			r.identify()
			is.True(r.crashesEndpoints())
		})
	}
}

// Guards against blaming one attempt of a stream for what happens to another one that runs beside it.
func TestAttemptsBesideEachOther(t *testing.T) {
	is := is.New(t)
	f := New(Config{Endpoints: refusingEndpoints{}, Log: noLog{}, Metrics: NewMetrics()})
	var list []deployment.Endpoint
	for i := range 6 {
		list = append(list, deployment.Endpoint{ID: fmt.Sprintf("e-%d", i), State: deployment.Ready, StartedMs: 1})
	}
	f.SetEndpoints(list)
	for i := range 3 {
		crashing, other := list[i].ID, list[i+3].ID
		r := &run{f: f, body: &requestBody{}, call: &Call{ID: crashing, PromptParts: []string{"shared", "own"}}}
		r.identify()
		stalled := r.recordStart(crashing)
		r.recordEnd(r.recordStart(other), other, attemptNotRun) // the stream goes back to the stalled attempt
		r.recordBroken(context.Background(), stalled, crashing, true, nil)
		r.recordBroken(context.Background(), stalled, crashing, false, errors.New("refused"))
		r.recordEnd(stalled, crashing, attemptFailed)
		time.Sleep(150 * time.Millisecond) // crashes at one moment count once
	}
	r := &run{f: f, body: &requestBody{}, call: &Call{ID: "new", PromptParts: []string{"shared", "other"}}}
	r.identify()
	is.True(r.crashesEndpoints())
}

// closedEndpoints break connections and refuse new ones.
type closedEndpoints struct{ refusingEndpoints }

func (closedEndpoints) Connect(context.Context, deployment.Endpoint) error {
	return errors.New("refused")
}

// Guards against hosts that learn of the end of an endpoint only when the next call connects to it, seconds after its crash.
func TestEndIsVerifiedAfterBrokenConnection(t *testing.T) {
	is := is.New(t)
	f := New(Config{Endpoints: closedEndpoints{}, Log: noLog{}, Metrics: NewMetrics()})
	f.SetEndpoints([]deployment.Endpoint{{ID: "e", State: deployment.Ready, StartedMs: 1}})
	r := &run{f: f, body: &requestBody{}, call: &Call{ID: "r"}}
	r.identify()
	r.recordBroken(context.Background(), r.recordStart("e"), "e", true, errors.New("reset"))
	for range 200 {
		if len(f.Marks()) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Fail() // no mark without another call
}
