package failure

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"waxwingplank/test/system"
)

// call sends a registration, or a lookup with method=GET, in the background.
func (s *scene) call(words []string, o map[string]string) error {
	h, err := s.host(o["host"])
	if err != nil {
		return err
	}
	cfg := system.CallConfig{
		Method: http.MethodPost, Service: system.Registry, Path: "registrations", Workspace: "exporter-a",
		Body: `{"lot":"` + words[0] + `"}`, Resend: o["resend"] != "",
	}
	if o["method"] == http.MethodGet {
		cfg.Method, cfg.Path, cfg.Body = http.MethodGet, "lots/1", ""
	} else {
		cfg.Key = s.key(o["key"], words[0])
	}
	c := &call{key: cfg.Key, done: make(chan struct{})}
	s.calls[words[0]] = c
	s.pending.Go(func() {
		c.result, c.err = system.Call(s.ctx, h.Caller, cfg)
		close(c.done)
	})
	return nil
}

// key returns the key of an earlier call, or a new one.
func (s *scene) key(of, name string) string {
	if earlier, ok := s.calls[of]; ok {
		return earlier.key
	}
	return system.NewKey(name)
}

func (s *scene) callEnd(name string) (*call, error) {
	c, ok := s.calls[name]
	if !ok {
		return nil, fmt.Errorf("no call %s", name)
	}
	select {
	case <-c.done:
		return c, nil
	case <-s.ctx.Done():
		return nil, fmt.Errorf("call %s has no end: %w", name, s.ctx.Err())
	}
}

func (s *scene) answered(words []string, o map[string]string) error {
	for _, name := range words {
		c, err := s.callEnd(name)
		if err != nil {
			return err
		}
		if c.err != nil || c.result.Status != http.StatusOK {
			return fmt.Errorf("call %s: %w status %d code %q: %s", name, errOrNil(c.err), c.result.Status, c.result.Code, c.result.Body)
		}
		if o["recorded"] != "" && (o["recorded"] == "true") != c.result.Recorded {
			return fmt.Errorf("call %s: recorded %t", name, c.result.Recorded)
		}
	}
	return nil
}

// oneAnswered checks that exactly one copy of a call got the first answer, and that each other copy got the
// recorded answer or was told that it may have run.
func (s *scene) oneAnswered(words []string, _ map[string]string) error {
	first := 0
	for _, name := range words {
		c, err := s.callEnd(name)
		if err != nil {
			return err
		}
		switch {
		case c.err != nil:
			return fmt.Errorf("call %s: %w", name, c.err)
		case c.result.Status == http.StatusOK && !c.result.Recorded:
			first++
		case c.result.Status == http.StatusOK, c.result.Outcome == "may_have_run", c.result.Outcome == "ran":
		default:
			return fmt.Errorf("call %s: status %d outcome %q", name, c.result.Status, c.result.Outcome)
		}
	}
	if first != 1 {
		return fmt.Errorf("%d copies got the first answer", first)
	}
	return nil
}

// resend sends the key of a call again and again, as a caller does after a refusal, until it is answered.
func (s *scene) resend(words []string, o map[string]string) error {
	return system.WaitFor(s.ctx, span(o, "within", 3*time.Second), func() error {
		o["resend"] = "yes"
		if err := s.call(words, o); err != nil {
			return err
		}
		return s.answered(words, o)
	})
}

// ended checks the refusal that a call got; outcome takes several words separated by a bar. The word
// "broken" stands for a connection that ended without an answer.
func (s *scene) ended(words []string, o map[string]string) error {
	for _, name := range words {
		c, err := s.callEnd(name)
		if err != nil {
			return err
		}
		got := c.result.Outcome
		if c.err != nil {
			got = "broken"
		}
		if !slices.Contains(strings.Split(o["outcome"], "|"), got) {
			return fmt.Errorf("call %s: outcome %q status %d code %q: %s %w", name, got, c.result.Status, c.result.Code, c.result.Body, errOrNil(c.err))
		}
		if o["code"] != "" && !slices.Contains(strings.Split(o["code"], "|"), c.result.Code) {
			return fmt.Errorf("call %s: code %q: %s", name, c.result.Code, c.result.Body)
		}
	}
	return nil
}

// executions checks from the records of the registry how often the key of each call ran, and that no
// call that was told "not run" ran at all.
func (s *scene) executions(words []string, o map[string]string) error {
	runs, err := s.runsByKey()
	if err != nil {
		return err
	}
	least, most := number(o, "least", 0), number(o, "most", 1)
	for _, name := range words {
		c := s.calls[name]
		if n := runs[c.key]; n < least || n > most {
			return fmt.Errorf("call %s ran %d times, must be from %d to %d", name, n, least, most)
		}
		if c.err == nil && c.result.Outcome == "not_run" && runs[c.key] > 0 {
			return fmt.Errorf("call %s was told not_run and ran", name)
		}
	}
	for key, n := range runs {
		if n > 1 {
			return fmt.Errorf("key %s ran %d times", key, n)
		}
	}
	return nil
}

func (s *scene) runsByKey() (map[string]int, error) {
	runs := map[string]int{}
	for _, p := range s.sys.Plain {
		all, err := s.sys.Calls(p)
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			if e.Key != "" {
				runs[e.Key]++
			}
		}
	}
	return runs, nil
}
