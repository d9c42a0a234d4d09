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

// Times of the matrix.
const (
	// thawAfter is past the 1 s for progress, the 2 s after which a host is dead, and every call's timeout.
	thawAfter = 3 * time.Second
	// slowFor is how long a slow process stays slow.
	slowFor = 2 * time.Second
	// actsAfterThaw is the time that a thawed process gets to act on what it believed.
	actsAfterThaw = time.Second
	// rowTimeout bounds one row.
	rowTimeout = 40 * time.Second
)

// row is one line of the matrix: a request of a kind is at a step of its life when the failures happen.
type row struct {
	kind, step string
	failures   []failure
	see        []string
}

type failure struct{ what, where string }

func (r row) name() string {
	var parts []string
	for _, f := range r.failures {
		parts = append(parts, f.what+"@"+f.where)
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
		r := row{kind: words[0], step: words[1], see: strings.Split(words[3], "|")}
		for f := range strings.SplitSeq(words[2], "+") {
			what, where, _ := strings.Cut(f, "@")
			r.failures = append(r.failures, failure{what, where})
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// TestMatrix guards against broken promises at each step of a request's life, for each failure of each kind of
// process. What ran is read from the files that the stand-ins write before they act.
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
			c := &cell{row: r, ctx: ctx, dir: t.TempDir()}
			defer c.close(t)
			if err := c.run(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// cell is the run of one row.
type cell struct {
	row

	ctx   context.Context
	dir   string
	sys   *system.System
	gate  *gate
	tasks sync.WaitGroup
	known map[string]bool
	undo  []func() error

	// mu guards log, which the caller's goroutine and the one that causes the failure write.
	mu  sync.Mutex
	log []string
}

func (c *cell) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf(format, args...))
}

func (c *cell) close(t *testing.T) {
	if c.sys != nil {
		for _, u := range c.undo {
			_ = u()
		}
		c.sys.Close()
	}
	if c.gate != nil {
		c.gate.close()
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

func (c *cell) run() error {
	cfg := system.Config{Bin: bin, Dir: c.dir, Hosts: 3, Pipelines: 2, Step: 10 * time.Millisecond, Slots: 8}
	if c.step == "queue" {
		// Each host has one place at each pipeline; a host without a place would refuse instead.
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
	if c.gate, err = newGate(c.sys.Hosts[0].Caller); err != nil {
		return err
	}
	if c.kind == "call" {
		return c.runCall()
	}
	return c.runDraft()
}

func (c *cell) strike(names map[string]*system.Process) error {
	for _, f := range c.failures {
		p, ok := names[f.where]
		if !ok {
			return fmt.Errorf("no process %q", f.where)
		}
		c.note("%s %s at %s", f.what, p.Name(), time.Now().Format(time.StampMilli))
		if err := c.fail(f, p); err != nil {
			return fmt.Errorf("%s %s: %w", f.what, p.Name(), err)
		}
	}
	return nil
}

func (c *cell) fail(f failure, p *system.Process) error {
	switch f.what {
	case "sigkill":
		p.Kill()
	case "freeze":
		if err := p.Freeze(); err != nil {
			return err
		}
		c.undoAfter(thawAfter, p.Thaw)
	case "silent":
		return c.silence(f.where, p)
	case "slow":
		return c.slow(f.where, p)
	default:
		return errors.New("unknown failure")
	}
	return nil
}

// undoAfter ends a failure after a time; the end of the row waits for it.
func (c *cell) undoAfter(d time.Duration, f func() error) {
	done := make(chan error, 1)
	timer := time.AfterFunc(d, func() { done <- f() })
	c.undo = append(c.undo, func() error {
		if timer.Stop() {
			return f()
		}
		return <-done
	})
}

// settle waits until the failures that end have ended, and for what the processes do then.
func (c *cell) settle() error {
	if len(c.undo) == 0 {
		return nil
	}
	for _, f := range c.failures {
		if f.what == "freeze" {
			// The freeze must outlast the deadlines, also where the answer came before.
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
	return c.wait(actsAfterThaw)
}

func (c *cell) wait(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

func (c *cell) faults(p *system.Process, text string) error {
	return system.Post(c.ctx, p.Address(), "/standin/faults", json.RawMessage(text))
}

func (c *cell) clear(p *system.Process) func() error {
	return func() error { return system.Delete(c.ctx, p.Address(), "/standin/faults") }
}

func (c *cell) silence(where string, p *system.Process) error {
	switch where {
	case "entry":
		c.gate.mute()
		return nil
	case "first", "last":
		return c.faults(p, `{"fault":"silent"}`)
	case "registry":
		return c.faults(p, `{"silent_calls":1}`)
	case "platform":
		c.undoAfter(thawAfter, c.clear(p))
		return c.faults(p, `{"outage":"silent"}`)
	}
	return fmt.Errorf("%s has no connection to silence", where)
}

func (c *cell) slow(where string, p *system.Process) error {
	switch where {
	case "first", "last":
		c.undoAfter(slowFor, c.clear(p))
		return c.faults(p, `{"fault":"slow","delay_ms":150}`)
	case "registry":
		return c.faults(p, `{"delay_ms":700}`)
	case "platform":
		c.undoAfter(slowFor, c.clear(p))
		return c.faults(p, `{"delay_ms":400}`)
	}
	// A host without the processor for most of the time.
	stop := make(chan struct{})
	c.tasks.Go(func() { stutter(p, stop) })
	c.undoAfter(slowFor, func() error {
		close(stop)
		return nil
	})
	return nil
}

func stutter(p *system.Process, stop <-chan struct{}) {
	const frozen, runs = 90 * time.Millisecond, 10 * time.Millisecond
	for {
		_ = p.Freeze()
		pause(stop, frozen)
		_ = p.Thaw()
		if pause(stop, runs) {
			return
		}
	}
}

func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// engineRuns returns the records of all engines by stream, and the engine that holds a range of each stream.
func (c *cell) engineRuns() (runs map[string][]engine.Execution, first, last map[string]*system.Process, err error) {
	runs, first, last = map[string][]engine.Execution{}, map[string]*system.Process{}, map[string]*system.Process{}
	for _, p := range c.sys.Engines {
		all, err := c.sys.Runs(p)
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

func (c *cell) allowed(seen string) error {
	if slices.Contains(c.see, seen) {
		return nil
	}
	return fmt.Errorf("the caller saw %q, allowed is %v", seen, c.see)
}
