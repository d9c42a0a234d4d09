package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"waxwingplank/test/system"
)

// change is what an operator was told about a new document of the registry.
type change struct {
	workspace string
	done      chan struct{}
	answer    system.ApplyResult
	err       error
}

// apply sends a change that adds the workspace of its name, based on a generation, and goes on.
func (s *scene) apply(words []string, o map[string]string) error {
	h, err := s.host(o["host"])
	if err != nil {
		return err
	}
	d, err := s.sys.RegistryWith(words[0])
	if err != nil {
		return err
	}
	c := &change{workspace: words[0], done: make(chan struct{})}
	s.changes[words[0]] = c
	s.pending.Go(func() {
		c.answer, c.err = system.Apply(s.ctx, h.Operator, d, number(o, "base", 1))
		close(c.done)
	})
	return nil
}

func (s *scene) changeEnd(name string) (*change, error) {
	c, ok := s.changes[name]
	if !ok {
		return nil, fmt.Errorf("no change %s", name)
	}
	select {
	case <-c.done:
		return c, c.err
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *scene) applied(words []string, _ map[string]string) error {
	c, err := s.changeEnd(words[0])
	if err != nil {
		return err
	}
	if c.answer.Status != http.StatusOK {
		return fmt.Errorf("change %s: status %d: %s", words[0], c.answer.Status, c.answer.Body)
	}
	return nil
}

// conflict checks that exactly one of two changes was accepted, and that the other operator was told both versions.
func (s *scene) conflict(words []string, _ map[string]string) error {
	var won, lost []string
	for _, name := range words {
		c, err := s.changeEnd(name)
		if err != nil {
			return err
		}
		if c.answer.Status == http.StatusOK {
			won = append(won, name)
			continue
		}
		lost = append(lost, name)
		if c.answer.Status != http.StatusConflict || !c.answer.Yours(name) {
			return fmt.Errorf("change %s: status %d: %s", name, c.answer.Status, c.answer.Body)
		}
	}
	if len(won) != 1 || len(lost) != 1 {
		return fmt.Errorf("accepted %v, refused %v", won, lost)
	}
	if !s.changes[lost[0]].answer.Theirs(won[0]) {
		return fmt.Errorf("the operator of %s was not told the version with %s: %s", lost[0], won[0], s.changes[lost[0]].answer.Body)
	}
	if err := s.inForce(won, map[string]string{}); err != nil {
		return err
	}
	return s.inForce(lost, map[string]string{"not": "yes"})
}

// inForce waits until each running host serves a caller of the workspace that a change added, which none does
// without the change. With not=yes none may serve it.
func (s *scene) inForce(words []string, o map[string]string) error {
	bound := span(o, "within", 3*time.Second)
	start := time.Now()
	for _, h := range s.sys.Hosts {
		select {
		case <-h.Done():
			continue
		default:
		}
		check := func() error {
			return s.serves(h, words[0], o["not"] == "")
		}
		left := max(bound-time.Since(start), time.Millisecond)
		if o["not"] != "" || o["now"] != "" {
			left = time.Millisecond
		}
		if err := system.WaitFor(s.ctx, left, check); err != nil {
			return fmt.Errorf("%s: change %s: %w", h.ID, words[0], err)
		}
	}
	return nil
}

func (s *scene) serves(h *system.Host, workspace string, want bool) error {
	got, err := system.Call(s.ctx, h.Caller, system.CallConfig{
		Method: http.MethodGet, Service: system.Registry, Path: "lots/1", Workspace: workspace,
	})
	if err != nil {
		return err
	}
	if (got.Status == http.StatusOK) != want {
		return fmt.Errorf("a lookup of workspace %s: status %d code %q", workspace, got.Status, got.Code)
	}
	return nil
}

func (s *scene) snapshot(words []string, _ map[string]string) error {
	var taken struct{ Snapshot int }
	if err := system.PostFor(s.ctx, s.sys.Platform.Address(), "/standin/snapshots", struct{}{}, &taken); err != nil {
		return err
	}
	s.snapshots[words[0]] = taken.Snapshot
	return nil
}

// restore brings the platform back to an older state, with versions that are given out again or not.
func (s *scene) restore(words []string, o map[string]string) error {
	return system.Post(s.ctx, s.sys.Platform.Address(), "/standin/restore", map[string]any{
		"snapshot": s.snapshots[words[0]], "rewind_versions": o["rewind"] != "",
	})
}

// stored waits until the platform holds the registry's document at a generation.
func (s *scene) stored(_ []string, o map[string]string) error {
	return system.WaitFor(s.ctx, span(o, "within", 5*time.Second), func() error {
		var got struct{ Generation int }
		if err := system.Get(s.ctx, s.sys.Platform.Address(), "/v1/objects/services/"+system.Registry, &got); err != nil {
			return err
		}
		if want := number(o, "generation", 1); got.Generation != want {
			return fmt.Errorf("the platform holds generation %d, not %d", got.Generation, want)
		}
		return nil
	})
}

// badDocument sends a document with a fault through a host, or writes it to the platform behind the hosts' back.
func (s *scene) badDocument(words []string, o map[string]string) error {
	const bad = `{"service":"lot-registry","generation":9,"kind":"plain","endpoints":["nowhere"],"calls":[{"path":""}]}`
	if words[0] == "platform" {
		return system.Overwrite(s.ctx, s.sys.Platform.Address(), "services", system.Registry, bad)
	}
	h, err := s.host(words[0])
	if err != nil {
		return err
	}
	got, err := system.ApplyText(s.ctx, h.Operator, system.Registry, bad, number(o, "base", 1))
	if err != nil {
		return err
	}
	if got.Status != http.StatusUnprocessableEntity {
		return errors.New("a bad document was not refused: " + got.Body)
	}
	return nil
}
