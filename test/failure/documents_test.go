package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"waxwingplank/test/system"
)

// change is a change to the registry's document and the response that the operator received.
type change struct {
	workspace string
	done      chan struct{}
	answer    system.ApplyResult
	err       error
}

// apply sends a change in the background. The change is based on a generation and adds the workspace after which it is
// named.
func (s *scenario) apply(words []string, o map[string]string) error {
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
		c.answer, c.err = system.Apply(s.ctx, h.Operator, d, intOption(o, "base", 1))
		close(c.done)
	})
	return nil
}

func (s *scenario) awaitChange(name string) (*change, error) {
	c, ok := s.changes[name]
	if !ok {
		return nil, fmt.Errorf("unknown change %s", name)
	}
	select {
	case <-c.done:
		return c, c.err
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *scenario) applied(words []string, _ map[string]string) error {
	c, err := s.awaitChange(words[0])
	if err != nil {
		return err
	}
	if c.answer.Status != http.StatusOK {
		return fmt.Errorf("change %s: status %d: %s", words[0], c.answer.Status, c.answer.Body)
	}
	return nil
}

// conflict checks that exactly one of two changes was accepted, and that the refusal of the other one contains both
// versions.
func (s *scenario) conflict(words []string, _ map[string]string) error {
	var accepted, refused []string
	for _, name := range words {
		c, err := s.awaitChange(name)
		if err != nil {
			return err
		}
		if c.answer.Status == http.StatusOK {
			accepted = append(accepted, name)
			continue
		}
		refused = append(refused, name)
		if c.answer.Status != http.StatusConflict || !c.answer.OwnVersionHas(name) {
			return fmt.Errorf("change %s: status %d: %s", name, c.answer.Status, c.answer.Body)
		}
	}
	if len(accepted) != 1 || len(refused) != 1 {
		return fmt.Errorf("accepted %v, refused %v, want one of each", accepted, refused)
	}
	if !s.changes[refused[0]].answer.StoredVersionHas(accepted[0]) {
		return fmt.Errorf("the refusal of change %s does not contain the stored version with %s: %s", refused[0], accepted[0], s.changes[refused[0]].answer.Body)
	}
	if err := s.inForce(accepted, map[string]string{}); err != nil {
		return err
	}
	return s.inForce(refused, map[string]string{"not": "yes"})
}

// inForce waits until each running host serves a caller of the workspace that a change added. Without the change no
// host serves that workspace. With not=yes no host may serve it, and with now=yes the check does not wait.
func (s *scenario) inForce(words []string, o map[string]string) error {
	bound := durationOption(o, "within", 3*time.Second)
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
		remaining := max(bound-time.Since(start), time.Millisecond)
		if o["not"] != "" || o["now"] != "" {
			remaining = time.Millisecond
		}
		if err := system.WaitFor(s.ctx, remaining, check); err != nil {
			return fmt.Errorf("%s: change %s: %w", h.ID, words[0], err)
		}
	}
	return nil
}

// serves checks whether a host serves a lookup of a workspace, as wanted.
func (s *scenario) serves(h *system.Host, workspace string, want bool) error {
	got, err := system.Call(s.ctx, h.Caller, system.CallConfig{
		Method: http.MethodGet, Service: system.Registry, Path: "lots/1", Workspace: workspace,
	})
	if err != nil {
		return err
	}
	if (got.Status == http.StatusOK) != want {
		return fmt.Errorf("lookup of workspace %s: status %d code %q", workspace, got.Status, got.Code)
	}
	return nil
}

// snapshot takes a snapshot of the platform under a name.
func (s *scenario) snapshot(words []string, _ map[string]string) error {
	var taken struct{ Snapshot int }
	if err := system.PostAndDecode(s.ctx, s.sys.Platform.Address(), "/standin/snapshots", struct{}{}, &taken); err != nil {
		return err
	}
	s.snapshots[words[0]] = taken.Snapshot
	return nil
}

// restore restores a snapshot of the platform. With rewind=yes the platform also assigns the later versions again.
func (s *scenario) restore(words []string, o map[string]string) error {
	return system.Post(s.ctx, s.sys.Platform.Address(), "/standin/restore", map[string]any{
		"snapshot": s.snapshots[words[0]], "rewind_versions": o["rewind"] != "",
	})
}

// stored waits until the platform stores the registry's document at a generation.
func (s *scenario) stored(_ []string, o map[string]string) error {
	return system.WaitFor(s.ctx, durationOption(o, "within", 5*time.Second), func() error {
		var got struct{ Generation int }
		if err := system.Get(s.ctx, s.sys.Platform.Address(), "/v1/objects/services/"+system.Registry, &got); err != nil {
			return err
		}
		if want := intOption(o, "generation", 1); got.Generation != want {
			return fmt.Errorf("the platform stores generation %d, want %d", got.Generation, want)
		}
		return nil
	})
}

// badDocument sends an invalid document through a host, or writes it directly to the platform without the hosts'
// validation.
func (s *scenario) badDocument(words []string, o map[string]string) error {
	const bad = `{"service":"lot-registry","generation":9,"kind":"plain","endpoints":["nowhere"],"calls":[{"path":""}]}`
	if words[0] == "platform" {
		return system.Overwrite(s.ctx, s.sys.Platform.Address(), "services", system.Registry, bad)
	}
	h, err := s.host(words[0])
	if err != nil {
		return err
	}
	got, err := system.ApplyText(s.ctx, h.Operator, system.Registry, bad, intOption(o, "base", 1))
	if err != nil {
		return err
	}
	if got.Status != http.StatusUnprocessableEntity {
		return errors.New("an invalid document was not refused: " + got.Body)
	}
	return nil
}
