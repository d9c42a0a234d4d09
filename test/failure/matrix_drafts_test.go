package failure

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"waxwingplank/test/system"
)

// headerTimeout is the time that a caller waits for the response header. It is above the 5 s first-token limit of a
// summary.
const headerTimeout = 6 * time.Second

// filler is a draft that occupies a slot, so that another draft is queued.
type filler struct {
	prompt string
	host   int
	result chan system.DraftResult
}

// draftTrace is the log of a draft over all its connections.
type draftTrace struct {
	prompt    string
	tokens    int
	positions []int
	text      []string
	requests  []string
	seen      string
	maxGap    time.Duration
	last      time.Time
	tenTokens chan struct{}
	result    chan error
}

func (c *rowRun) runDraft() error {
	var fillers []*filler
	if c.step == "queue" {
		var err error
		if fillers, err = c.fillSlots(); err != nil {
			return err
		}
	}
	if c.step == "first-token" {
		if err := c.setFirstStageFaults(`{"fault":"slow","delay_ms":900}`); err != nil {
			return err
		}
	}
	if err := c.recordEarlierStreams(); err != nil {
		return err
	}
	d := &draftTrace{prompt: "Draft of " + c.name(), tokens: 120, tenTokens: make(chan struct{}), result: make(chan error, 1)}
	c.tasks.Go(func() { d.result <- c.follow(d) })
	names, err := c.atStep(d)
	if err != nil {
		return fmt.Errorf("step %s: %w", c.step, err)
	}
	if err := c.injectFailures(names); err != nil {
		return err
	}
	if err := <-d.result; err != nil {
		return err
	}
	c.note("the caller saw %s, longest pause %s", d.seen, d.maxGap)
	for _, f := range fillers {
		got := <-f.result
		if err := got.Check(f.prompt, 0, fillerTokens); err != nil && (got.Done || !c.affects("entry") || f.host > 0) {
			return fmt.Errorf("filler %q through host %d: %w", f.prompt, f.host, err)
		}
	}
	if err := c.endFailures(); err != nil {
		return err
	}
	if err := c.checkDraft(d); err != nil {
		return err
	}
	return c.allowed(d.seen)
}

// affects reports whether a failure of the row hits a process.
func (c *rowRun) affects(role string) bool {
	return slices.ContainsFunc(c.failures, func(f failure) bool { return f.role == role })
}

// fillerTokens makes a filler last 1 s to 2 s, which is within the 5 s that a summary may wait.
const fillerTokens = 60

// fillSlots occupies every slot of the pipelines, with the same number of fillers through each host.
func (c *rowRun) fillSlots() ([]*filler, error) {
	var all []*filler
	slots := len(c.sys.Hosts) * len(c.sys.Engines) / stages
	started := make(chan struct{}, slots)
	for i := range slots {
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
	for range slots {
		select {
		case <-started:
		case <-c.ctx.Done():
			return nil, fmt.Errorf("not all fillers have started: %w", c.ctx.Err())
		}
	}
	return all, nil
}

// stages is the number of engines of a pipeline.
const stages = 3

func (c *rowRun) setFirstStageFaults(fault string) error {
	for i := 0; i < len(c.sys.Engines); i += stages {
		if err := c.faults(c.sys.Engines[i], fault); err != nil {
			return err
		}
	}
	return nil
}

// recordEarlierStreams records the streams that ran before the draft.
func (c *rowRun) recordEarlierStreams() error {
	runs, _, _, err := c.engineRuns()
	if err != nil {
		return err
	}
	c.earlierStreams = map[string]bool{}
	for id := range runs {
		c.earlierStreams[id] = true
	}
	return nil
}

// atStep waits until the draft is at the step of the row and returns the processes by their roles.
func (c *rowRun) atStep(d *draftTrace) (map[string]*system.Process, error) {
	names := map[string]*system.Process{
		"entry": c.sys.Hosts[0].Process, "platform": c.sys.Platform, "other": c.sys.Hosts[1].Process,
		"first": c.sys.Engines[0], "last": c.sys.Engines[2],
	}
	if c.step == "queue" {
		// The host has received the request, and no engine has.
		return names, system.WaitFor(c.ctx, headerTimeout, func() error {
			if c.proxy.receivedBytes.Load() == 0 {
				return fmt.Errorf("the host has not received the request")
			}
			return nil
		})
	}
	if c.step == "mid-stream" {
		select {
		case <-d.tenTokens:
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
			if !c.earlierStreams[id] && first[id] != nil {
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

// lastOf returns the last stage of the pipeline of a first stage.
func (c *rowRun) lastOf(first *system.Process) (*system.Process, error) {
	for i, p := range c.sys.Engines {
		if p == first {
			return c.sys.Engines[i+stages-1], nil
		}
	}
	return nil, fmt.Errorf("%s is not a first stage", first.Name())
}

// follow sends the draft and reacts to failures as a caller does: it resumes on another host with its last event id, or
// sends the request again if it has received no token.
func (c *rowRun) follow(d *draftTrace) error {
	address, lastID := c.proxy.address(), ""
	d.seen, d.last = "whole", time.Now()
	for try := range 6 {
		cfg := system.DraftConfig{
			Prompt: d.prompt, MaxTokens: d.tokens, Workspace: "exporter-a", Kind: "summary", LastEventID: lastID,
			Resend: try > 0, HeaderTimeout: headerTimeout,
			OnToken: func(position int, _ string) {
				now := time.Now()
				d.maxGap = max(d.maxGap, now.Sub(d.last))
				d.last = now
				d.positions = append(d.positions, position)
				if len(d.positions) == 10 {
					close(d.tenTokens)
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
	return fmt.Errorf("the draft did not end on any host; last result: %v", d.seen)
}

// checkRefusal checks that the outcome not_run goes only to the first copy, and only if no engine executed it.
func (c *rowRun) checkRefusal(got system.DraftResult, first bool) error {
	if got.Outcome != "not_run" {
		return nil
	}
	runs, _, _, err := c.engineRuns()
	if err != nil {
		return err
	}
	if !first {
		return fmt.Errorf("a resent copy got the outcome not_run (code %s)", got.Code)
	}
	if n := len(runs[got.RequestID]); n > 0 {
		return fmt.Errorf("the outcome is not_run, but %d executions are recorded", n)
	}
	return nil
}

// checkDraft checks that the caller received its own text once and in order, and that all layers ran for each
// position.
func (c *rowRun) checkDraft(d *draftTrace) error {
	for i, p := range d.positions {
		if p != i {
			return fmt.Errorf("token %d in order of delivery has position %d", i, p)
		}
	}
	if got, want := strings.Join(d.text, ""), system.ExpectedText(d.prompt, 0, d.tokens); got != want {
		return fmt.Errorf("got %d tokens %q, want %d tokens %q", len(d.text), got, d.tokens, want)
	}
	// A resumed stream keeps its own id, so the executions of all requests of the draft count.
	runs, _, _, err := c.engineRuns()
	if err != nil {
		return err
	}
	if c.step == "mid-stream" && d.maxGap > maxTokenGap && d.seen == "whole" {
		return fmt.Errorf("%s without a token, want at most %s", d.maxGap, maxTokenGap)
	}
	var all [][]int
	for id, list := range runs {
		if c.earlierStreams[id] || !slices.Contains(d.requests, id) {
			continue
		}
		all = append(all, completePositions(list))
	}
	complete := map[int]bool{}
	for _, list := range all {
		for _, p := range list {
			complete[p] = true
		}
	}
	for i := range d.tokens {
		if !complete[i] {
			return fmt.Errorf("no attempt ran position %d on all layers (requests %v)", i, d.requests)
		}
	}
	return nil
}
