package failure

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"waxwingplank/test/system"
)

// headerTimeout is when a caller gives up a request without any answer; it is above the 5 s promise of a summary.
const headerTimeout = 6 * time.Second

// filler is a draft that takes a place, so that another one waits.
type filler struct {
	prompt string
	host   int
	result chan system.DraftResult
}

// traced is a draft over all its connections.
type traced struct {
	prompt    string
	tokens    int
	positions []int
	text      []string
	requests  []string
	seen      string
	pauses    time.Duration
	last      time.Time
	ten       chan struct{}
	result    chan error
}

func (c *cell) runDraft() error {
	var fillers []*filler
	if c.step == "queue" {
		var err error
		if fillers, err = c.fill(); err != nil {
			return err
		}
	}
	if c.step == "first-token" {
		if err := c.eachFirstStage(`{"fault":"slow","delay_ms":900}`); err != nil {
			return err
		}
	}
	if err := c.remember(); err != nil {
		return err
	}
	d := &traced{prompt: "Draft of " + c.name(), tokens: 120, ten: make(chan struct{}), result: make(chan error, 1)}
	c.tasks.Go(func() { d.result <- c.follow(d) })
	names, err := c.atStep(d)
	if err != nil {
		return fmt.Errorf("step %s: %w", c.step, err)
	}
	if err := c.strike(names); err != nil {
		return err
	}
	if err := <-d.result; err != nil {
		return err
	}
	c.note("the caller saw %s, longest pause %s", d.seen, d.pauses)
	for _, f := range fillers {
		got := <-f.result
		if err := got.Check(f.prompt, 0, fillerTokens); err != nil && (got.Done || !c.hits("entry") || f.host > 0) {
			return fmt.Errorf("filler %q through host %d: %w", f.prompt, f.host, err)
		}
	}
	if err := c.settle(); err != nil {
		return err
	}
	if err := c.checkDraft(d); err != nil {
		return err
	}
	return c.allowed(d.seen)
}

// hits tells whether a failure of the row is at a process.
func (c *cell) hits(where string) bool {
	return slices.ContainsFunc(c.failures, func(f failure) bool { return f.where == where })
}

// fillerTokens makes the fillers last 1 s to 2 s, within the 5 s that a summary may wait.
const fillerTokens = 60

// fill takes every place of the pipelines, the same number through each host.
func (c *cell) fill() ([]*filler, error) {
	var all []*filler
	places := len(c.sys.Hosts) * len(c.sys.Engines) / stages
	started := make(chan struct{}, places)
	for i := range places {
		f := &filler{prompt: fmt.Sprintf("Fill %d", i), result: make(chan system.DraftResult, 1)}
		all = append(all, f)
		cfg := system.DraftConfig{
			Prompt: f.prompt, MaxTokens: fillerTokens, Workspace: "exporter-a", Kind: "summary",
			OnToken: func(position int, _ string) {
				if position == 0 {
					started <- struct{}{}
				}
			},
		}
		f.host = i % len(c.sys.Hosts)
		at := c.sys.Hosts[f.host].Caller
		c.tasks.Go(func() { f.result <- system.Draft(c.ctx, at, cfg) })
	}
	for range places {
		select {
		case <-started:
		case <-c.ctx.Done():
			return nil, fmt.Errorf("the fillers do not start: %w", c.ctx.Err())
		}
	}
	return all, nil
}

// stages is the number of engines of a pipeline.
const stages = 3

func (c *cell) eachFirstStage(fault string) error {
	for i := 0; i < len(c.sys.Engines); i += stages {
		if err := c.faults(c.sys.Engines[i], fault); err != nil {
			return err
		}
	}
	return nil
}

// remember notes the streams that ran before.
func (c *cell) remember() error {
	runs, _, _, err := c.engineRuns()
	if err != nil {
		return err
	}
	c.known = map[string]bool{}
	for id := range runs {
		c.known[id] = true
	}
	return nil
}

// atStep waits until the draft is at the step of the row and returns the processes that serve it.
func (c *cell) atStep(d *traced) (map[string]*system.Process, error) {
	names := map[string]*system.Process{
		"entry": c.sys.Hosts[0].Process, "platform": c.sys.Platform, "other": c.sys.Hosts[1].Process,
		"first": c.sys.Engines[0], "last": c.sys.Engines[2],
	}
	if c.step == "queue" {
		// The host has the request, and no engine has heard of it.
		return names, system.WaitFor(c.ctx, headerTimeout, func() error {
			if c.gate.arrived.Load() == 0 {
				return fmt.Errorf("the host has not got the request")
			}
			return nil
		})
	}
	if c.step == "mid-stream" {
		select {
		case <-d.ten:
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
	err := system.WaitFor(c.ctx, headerTimeout, func() error {
		runs, first, last, err := c.engineRuns()
		if err != nil {
			return err
		}
		for id := range runs {
			if !c.known[id] && first[id] != nil {
				names["first"] = first[id]
				if last[id] != nil {
					names["last"] = last[id]
				} else if names["last"], err = c.lastOf(first[id]); err != nil {
					return err
				}
				return nil
			}
		}
		return fmt.Errorf("no engine runs the draft")
	})
	if err != nil || c.step != "first-token" {
		return names, err
	}
	for i := 0; i < len(c.sys.Engines); i += stages {
		if err := c.clear(c.sys.Engines[i])(); err != nil {
			return nil, err
		}
	}
	return names, nil
}

// lastOf returns the last stage next to a first one.
func (c *cell) lastOf(first *system.Process) (*system.Process, error) {
	for i, p := range c.sys.Engines {
		if p == first {
			return c.sys.Engines[i+stages-1], nil
		}
	}
	return nil, fmt.Errorf("%s is no engine", first.Name())
}

// follow sends the draft and does what a caller does: it resumes on another host with its last event id, or
// sends the request again where it has none.
func (c *cell) follow(d *traced) error {
	address, lastID := c.gate.address(), ""
	d.seen, d.last = "whole", time.Now()
	for try := range 6 {
		cfg := system.DraftConfig{
			Prompt: d.prompt, MaxTokens: d.tokens, Workspace: "exporter-a", Kind: "summary", LastEventID: lastID,
			Resend: try > 0, HeaderTimeout: headerTimeout,
			OnToken: func(position int, _ string) {
				now := time.Now()
				d.pauses = max(d.pauses, now.Sub(d.last))
				d.last = now
				d.positions = append(d.positions, position)
				if len(d.positions) == 10 {
					close(d.ten)
				}
			},
		}
		got := system.Draft(c.ctx, address, cfg)
		d.text = append(d.text, got.Tokens...)
		d.requests = append(d.requests, got.RequestID)
		lastID = got.LastID
		if got.Done && got.Err == nil {
			return nil
		}
		c.note("connection %d: %d tokens, code %q outcome %q error %v", try, len(got.Tokens), got.Code, got.Outcome, got.Err)
		if err := c.checkRefusal(got, try == 0); err != nil {
			return err
		}
		switch {
		case lastID != "":
			d.seen = "resumed"
		case got.Code != "":
			d.seen = "refused"
		default:
			d.seen = "resent"
		}
		address = c.sys.Hosts[1+(try+1)%2].Caller
		if err := c.wait(100 * time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("the draft did not end on any host; last try: %v", d.seen)
}

// checkRefusal checks that "not run" is said to a first send only, and only if no engine has a record of it.
func (c *cell) checkRefusal(got system.DraftResult, first bool) error {
	if got.Outcome != "not_run" {
		return nil
	}
	runs, _, _, err := c.engineRuns()
	if err != nil {
		return err
	}
	if !first {
		return fmt.Errorf("a copy sent again was told not_run (code %s)", got.Code)
	}
	if n := len(runs[got.RequestID]); n > 0 {
		return fmt.Errorf("told not_run, but %d executions are recorded", n)
	}
	return nil
}

// checkDraft checks that the caller got its own text once, in order, and that all layers ran for each position.
func (c *cell) checkDraft(d *traced) error {
	for i, p := range d.positions {
		if p != i {
			return fmt.Errorf("the %dth token delivered has position %d", i, p)
		}
	}
	if got, want := strings.Join(d.text, ""), system.ExpectedText(d.prompt, 0, d.tokens); got != want {
		return fmt.Errorf("got %d tokens %q, want %d tokens %q", len(d.text), got, d.tokens, want)
	}
	// A resumed stream goes on under its own name, so the records of all requests of the draft count.
	runs, _, _, err := c.engineRuns()
	if err != nil {
		return err
	}
	if c.step == "mid-stream" && d.pauses > noticeBound && d.seen == "whole" {
		return fmt.Errorf("%s without a token, bound %s", d.pauses, noticeBound)
	}
	var all [][]int
	for id, list := range runs {
		if c.known[id] || !slices.Contains(d.requests, id) {
			continue
		}
		all = append(all, wholePositions(list))
	}
	whole := map[int]bool{}
	for _, list := range all {
		for _, p := range list {
			whole[p] = true
		}
	}
	for i := range d.tokens {
		if !whole[i] {
			return fmt.Errorf("position %d ran on all layers in no attempt (requests %v)", i, d.requests)
		}
	}
	return nil
}
