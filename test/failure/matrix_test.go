package failure

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"waxwingplank/internal/standin/engine"
	"waxwingplank/test/system"
)

const (
	// thawAfter is longer than the 1 s progress timeout, the 2 s after which a host counts as dead, and the timeout
	// of every call.
	thawAfter = 3 * time.Second
	// slowdownTime is the duration of a slowdown.
	slowdownTime = 2 * time.Second
	// waitAfterThaw is the time that a thawed process gets to act on its stale state.
	waitAfterThaw = time.Second
	// rowTimeout bounds one row.
	rowTimeout = 40 * time.Second
)

// row is one line of the matrix: the kind of a request, the step at which the failures happen, and the results that
// the caller may see.
type row struct {
	kind, step     string
	failures       []failure
	allowedResults []string
}

// failure is a kind of failure and the role of the process that it hits.
type failure struct{ kind, role string }

func (r row) name() string {
	var parts []string
	for _, f := range r.failures {
		parts = append(parts, f.kind+"@"+f.role)
	}
	return r.kind + "/" + r.step + "/" + strings.Join(parts, "+")
}

func readMatrix(path string) ([]row, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var rows []row
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		if len(words) != 4 {
			return nil, fmt.Errorf("line %q has %d words, not 4", lines.Text(), len(words))
		}
		r := row{kind: words[0], step: words[1], allowedResults: strings.Split(words[3], "|")}
		for f := range strings.SplitSeq(words[2], "+") {
			kind, role, _ := strings.Cut(f, "@")
			r.failures = append(r.failures, failure{kind, role})
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// TestMatrix guards against wrong, missing or repeated results when a process fails at any step of a request. The
// executions are read from files that the stand-ins write before they act.
func TestMatrix(t *testing.T) {
	rows, err := readMatrix("testdata/matrix.table")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		t.Run(r.name(), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), rowTimeout)
			defer cancel()
			c := &rowRun{row: r, ctx: ctx, dir: t.TempDir()}
			defer c.close(t)
			if err := c.run(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// rowRun is the execution of one row against its own system.
type rowRun struct {
	row

	ctx            context.Context
	dir            string
	sys            *system.System
	proxy          *proxy
	tasks          sync.WaitGroup
	earlierStreams map[string]bool
	undo           []func() error

	// mu guards log. The caller's goroutine and the one that causes the failures both write it.
	mu  sync.Mutex
	log []string
}

// note adds a line to the log that is printed if the row fails.
func (c *rowRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf(format, args...))
}

func (c *rowRun) close(t *testing.T) {
	if c.sys != nil {
		for _, u := range c.undo {
			_ = u()
		}
		c.sys.Close()
	}
	if c.proxy != nil {
		c.proxy.close()
	}
	c.tasks.Wait()
	if !t.Failed() {
		return
	}
	t.Log(strings.Join(c.log, "\n"))
	logs, err := filepath.Glob(filepath.Join(c.dir, "host-*.jsonl"))
	if err != nil {
		return
	}
	for _, path := range logs {
		if data, err := os.ReadFile(path); err == nil {
			t.Log(filepath.Base(path) + "\n" + string(data))
		}
	}
}

func (c *rowRun) run() error {
	cfg := system.Config{Bin: bin, Dir: c.dir, Hosts: 3, Pipelines: 2, Step: 10 * time.Millisecond, Slots: 8}
	if c.step == "queue" {
		// Each host gets one slot of each pipeline. A host without a slot would refuse instead of queueing.
		cfg.Slots = cfg.Hosts
	}
	if c.kind == "call" {
		cfg.Pipelines = 1
		if c.step == "dispatched" {
			cfg.Work = 700 * time.Millisecond
		}
	}
	var err error
	if c.sys, err = system.Start(c.ctx, cfg); err != nil {
		return err
	}
	if c.proxy, err = newProxy(c.sys.Hosts[0].Caller); err != nil {
		return err
	}
	if c.kind == "call" {
		return c.runCall()
	}
	return c.runDraft()
}

// injectFailures causes all failures of the row. It gets the processes by their roles.
func (c *rowRun) injectFailures(names map[string]*system.Process) error {
	for _, f := range c.failures {
		p, ok := names[f.role]
		if !ok {
			return fmt.Errorf("no process has the role %q", f.role)
		}
		c.note("%s %s at %s", f.kind, p.Name(), time.Now().Format(time.StampMilli))
		if err := c.injectFailure(f, p); err != nil {
			return fmt.Errorf("%s %s: %w", f.kind, p.Name(), err)
		}
	}
	return nil
}

func (c *rowRun) injectFailure(f failure, p *system.Process) error {
	switch f.kind {
	case "sigkill":
		p.Kill()
	case "freeze":
		if err := p.Freeze(); err != nil {
			return err
		}
		c.undoAfter(thawAfter, p.Thaw)
	case "silent":
		return c.makeUnresponsive(f.role, p)
	case "slow":
		return c.slowDown(f.role, p)
	default:
		return errors.New("unknown failure")
	}
	return nil
}

// undoAfter ends a failure after a delay. If endFailures or close run before that, they end it at once.
func (c *rowRun) undoAfter(d time.Duration, f func() error) {
	done := make(chan error, 1)
	timer := time.AfterFunc(d, func() { done <- f() })
	c.undo = append(c.undo, func() error {
		if timer.Stop() {
			return f()
		}
		return <-done
	})
}

// endFailures ends the failures that are temporary and gives the processes time to act on their stale state.
func (c *rowRun) endFailures() error {
	if len(c.undo) == 0 {
		return nil
	}
	for _, f := range c.failures {
		if f.kind == "freeze" {
			// The freeze must outlast the deadlines, also if the response came earlier.
			if err := c.wait(thawAfter); err != nil {
				return err
			}
			break
		}
	}
	for _, u := range c.undo {
		if err := u(); err != nil {
			return err
		}
	}
	c.undo = nil
	return c.wait(waitAfterThaw)
}

func (c *rowRun) wait(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

func (c *rowRun) faults(p *system.Process, text string) error {
	return system.Post(c.ctx, p.Address(), "/standin/faults", json.RawMessage(text))
}

func (c *rowRun) clear(p *system.Process) func() error {
	return func() error { return system.Delete(c.ctx, p.Address(), "/standin/faults") }
}

func (c *rowRun) makeUnresponsive(role string, p *system.Process) error {
	switch role {
	case "entry":
		c.proxy.mute()
		return nil
	case "first", "last":
		return c.faults(p, `{"fault":"silent"}`)
	case "registry":
		return c.faults(p, `{"silent_calls":1}`)
	case "platform":
		c.undoAfter(thawAfter, c.clear(p))
		return c.faults(p, `{"outage":"silent"}`)
	}
	return fmt.Errorf("%s has no connection to make unresponsive", role)
}

func (c *rowRun) slowDown(role string, p *system.Process) error {
	switch role {
	case "first", "last":
		c.undoAfter(slowdownTime, c.clear(p))
		return c.faults(p, `{"fault":"slow","delay_ms":150}`)
	case "registry":
		return c.faults(p, `{"delay_ms":700}`)
	case "platform":
		c.undoAfter(slowdownTime, c.clear(p))
		return c.faults(p, `{"delay_ms":400}`)
	}
	// A slow host is a host that is frozen for most of the time.
	stop := make(chan struct{})
	c.tasks.Go(func() { throttle(p, stop) })
	c.undoAfter(slowdownTime, func() error {
		close(stop)
		return nil
	})
	return nil
}

// throttle freezes and thaws a process in turn until it is stopped.
func throttle(p *system.Process, stop <-chan struct{}) {
	const frozenTime, runningTime = 90 * time.Millisecond, 10 * time.Millisecond
	for {
		_ = p.Freeze()
		waitOrStop(stop, frozenTime)
		_ = p.Thaw()
		if waitOrStop(stop, runningTime) {
			return
		}
	}
}

// waitOrStop waits for a duration and reports whether it was stopped.
func waitOrStop(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// engineRuns returns the executions of all engines by stream, and the engines that ran the first and the last layers
// of each stream.
func (c *rowRun) engineRuns() (runs map[string][]engine.Execution, first, last map[string]*system.Process, err error) {
	runs, first, last = map[string][]engine.Execution{}, map[string]*system.Process{}, map[string]*system.Process{}
	for _, p := range c.sys.Engines {
		all, err := c.sys.EngineExecutions(p)
		if err != nil {
			return nil, nil, nil, err
		}
		for _, e := range all {
			runs[e.Stream] = append(runs[e.Stream], e)
			if e.Layers[0] == 0 {
				first[e.Stream] = p
			}
			if e.Layers[1] == system.Layers {
				last[e.Stream] = p
			}
		}
	}
	return runs, first, last, nil
}

// allowed checks the result that the caller saw against the row.
func (c *rowRun) allowed(seen string) error {
	if slices.Contains(c.allowedResults, seen) {
		return nil
	}
	return fmt.Errorf("the caller saw %q, want one of %v", seen, c.allowedResults)
}
