package failure

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"waxwingplank/test/system"
)

// call sends a registration in the background, or a lookup if method=GET.
func (s *scenario) call(words []string, o map[string]string) error {
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

// key returns the idempotency key of an earlier call, or a new key if there is no such call.
func (s *scenario) key(of, name string) string {
	if earlier, ok := s.calls[of]; ok {
		return earlier.key
	}
	return system.NewKey(name)
}

func (s *scenario) awaitCall(name string) (*call, error) {
	c, ok := s.calls[name]
	if !ok {
		return nil, fmt.Errorf("unknown call %s", name)
	}
	select {
	case <-c.done:
		return c, nil
	case <-s.ctx.Done():
		return nil, fmt.Errorf("call %s has not ended: %w", name, s.ctx.Err())
	}
}

// answered checks that calls succeeded and, if asked, whether the response was a recorded one.
func (s *scenario) answered(words []string, o map[string]string) error {
	for _, name := range words {
		c, err := s.awaitCall(name)
		if err != nil {
			return err
		}
		if c.err != nil || c.result.Status != http.StatusOK {
			return fmt.Errorf("call %s: %w status %d code %q: %s", name, errOrPlaceholder(c.err), c.result.Status, c.result.Code, c.result.Body)
		}
		if o["recorded"] != "" && (o["recorded"] == "true") != c.result.Recorded {
			return fmt.Errorf("call %s: recorded is %t", name, c.result.Recorded)
		}
	}
	return nil
}

// oneAnswered checks that exactly one copy of a call got the original response, and that each other copy got the
// recorded response or the outcome ran or may_have_run.
func (s *scenario) oneAnswered(words []string, _ map[string]string) error {
	first := 0
	for _, name := range words {
		c, err := s.awaitCall(name)
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
		return fmt.Errorf("%d copies got the original response, want 1", first)
	}
	return nil
}

// resend retries a call with the same key until it succeeds, as a caller does after a refusal.
func (s *scenario) resend(words []string, o map[string]string) error {
	return system.WaitFor(s.ctx, durationOption(o, "within", 3*time.Second), func() error {
		o["resend"] = "yes"
		if err := s.call(words, o); err != nil {
			return err
		}
		return s.answered(words, o)
	})
}

// ended checks the refusal that a call got. The options outcome and code take alternatives separated by a bar. The
// outcome "broken" stands for a connection that ended without a response.
func (s *scenario) ended(words []string, o map[string]string) error {
	for _, name := range words {
		c, err := s.awaitCall(name)
		if err != nil {
			return err
		}
		got := c.result.Outcome
		if c.err != nil {
			got = "broken"
		}
		if !slices.Contains(strings.Split(o["outcome"], "|"), got) {
			return fmt.Errorf("call %s: outcome %q status %d code %q: %s %w", name, got, c.result.Status, c.result.Code, c.result.Body, errOrPlaceholder(c.err))
		}
		if o["code"] != "" && !slices.Contains(strings.Split(o["code"], "|"), c.result.Code) {
			return fmt.Errorf("call %s: code %q: %s", name, c.result.Code, c.result.Body)
		}
	}
	return nil
}

// executions checks in the executions of the registry how often the key of each call ran, and that no call with the
// outcome not_run ran at all.
func (s *scenario) executions(words []string, o map[string]string) error {
	runs, err := s.runsByKey()
	if err != nil {
		return err
	}
	least, most := intOption(o, "least", 0), intOption(o, "most", 1)
	for _, name := range words {
		c := s.calls[name]
		if n := runs[c.key]; n < least || n > most {
			return fmt.Errorf("call %s ran %d times, want from %d to %d", name, n, least, most)
		}
		if c.err == nil && c.result.Outcome == "not_run" && runs[c.key] > 0 {
			return fmt.Errorf("call %s got the outcome not_run, but ran", name)
		}
	}
	for key, n := range runs {
		if n > 1 {
			return fmt.Errorf("key %s ran %d times, want at most 1", key, n)
		}
	}
	return nil
}

// runsByKey returns the number of executions of each idempotency key, over all workers of the registry.
func (s *scenario) runsByKey() (map[string]int, error) {
	runs := map[string]int{}
	for _, p := range s.sys.Plain {
		all, err := s.sys.PlainExecutions(p)
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
