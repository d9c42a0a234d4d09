package failure

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingplank/test/system"
)

// cancelled waits until each engine that ran a draft has recorded a cancel for it.
func (s *scenario) cancelled(words []string, o map[string]string) error {
	return system.WaitFor(s.ctx, durationOption(o, "within", 3*time.Second), func() error {
		for _, p := range s.running(s.sys.Engines) {
			var all struct {
				Cancels []struct{ Stream string }
			}
			if err := system.Get(s.ctx, p.Address(), "/standin/executions", &all); err != nil {
				return err
			}
			for _, name := range words {
				id := s.drafts[name].result.RequestID
				ran, err := s.ranOn(p, id)
				if err != nil {
					return err
				}
				if ran && !slices.ContainsFunc(all.Cancels, func(c struct{ Stream string }) bool { return c.Stream == id }) {
					return fmt.Errorf("%s did not receive a cancel for draft %s", p.Name(), name)
				}
			}
		}
		return nil
	})
}

// ranOn reports whether a process executed any part of a stream.
func (s *scenario) ranOn(p *system.Process, id string) (bool, error) {
	all, err := s.sys.EngineExecutions(p)
	if err != nil {
		return false, err
	}
	for _, e := range all {
		if e.Stream == id {
			return true, nil
		}
	}
	return false, nil
}

// leave closes the connections of callers.
func (s *scenario) leave(words []string, _ map[string]string) error {
	for _, name := range words {
		d, ok := s.drafts[name]
		if !ok {
			return fmt.Errorf("unknown draft %s", name)
		}
		d.cancel()
		<-d.done
	}
	return nil
}

// neverRan checks that no engine executed the given drafts. The option streams limits the number of streams that the
// engines executed, including the readiness probes.
func (s *scenario) neverRan(words []string, o map[string]string) error {
	records, err := s.engineRecords()
	if err != nil {
		return err
	}
	for _, name := range words {
		if id := s.drafts[name].result.RequestID; id != "" && len(records[id]) > 0 {
			return fmt.Errorf("draft %s must not run, but ran as %s", name, id)
		}
	}
	if most := intOption(o, "streams", len(records)); len(records) > most {
		return fmt.Errorf("%d streams ran, want at most %d", len(records), most)
	}
	return nil
}

// oneRan checks copies of one draft. Each is complete or was superseded by another copy with an outcome other than
// not_run.
func (s *scenario) oneRan(words []string, _ map[string]string) error {
	complete := 0
	for _, name := range words {
		d, err := s.awaitDraft(name)
		if err != nil {
			return err
		}
		switch {
		case d.result.Err == nil:
			if err := d.result.Check(d.prompt, 0, d.tokens); err != nil {
				return fmt.Errorf("draft %s: %w", name, err)
			}
			complete++
		case d.result.Outcome == "not_run", d.result.Code == "":
			return fmt.Errorf("draft %s: outcome %q: %w", name, d.result.Outcome, d.result.Err)
		}
	}
	if complete == 0 {
		return fmt.Errorf("no copy of %v is complete", words)
	}
	return nil
}

// many sends n drafts at once. Every third one is marked as resent.
func (s *scenario) many(words []string, o map[string]string) error {
	for i := range intOption(o, "n", 10) {
		one := map[string]string{"host": o["host"], "tokens": o["tokens"], "kind": o["kind"]}
		if i%3 == 2 {
			one["resend"] = "yes"
		}
		if err := s.draft([]string{words[0] + strconv.Itoa(i)}, one); err != nil {
			return err
		}
	}
	return nil
}

// refusals checks each draft sent by many. It is complete, or was refused with a Retry-After header and never ran. The
// outcome is not_run exactly for those not marked as resent.
func (s *scenario) refusals(words []string, o map[string]string) error {
	refused := 0
	for i := range intOption(o, "n", 10) {
		name := words[0] + strconv.Itoa(i)
		d, err := s.awaitDraft(name)
		if err != nil {
			return err
		}
		if d.result.Err == nil {
			if err := s.complete([]string{name}, nil); err != nil {
				return err
			}
			continue
		}
		refused++
		if d.result.Code == "" || !d.result.RetryAfter || len(d.allTokens) > 0 {
			return fmt.Errorf("draft %s: code %q, retry after %t, %d tokens: %w", name, d.result.Code, d.result.RetryAfter, len(d.allTokens), d.result.Err)
		}
		if (d.result.Outcome == "not_run") != (i%3 != 2) {
			return fmt.Errorf("draft %s, index modulo 3 is %d: outcome %q", name, i%3, d.result.Outcome)
		}
		if err := s.neverRan([]string{name}, nil); err != nil {
			return err
		}
	}
	if least := intOption(o, "least", 1); refused < least {
		return fmt.Errorf("%d drafts were refused, want at least %d", refused, least)
	}
	return nil
}

// load is a group of callers that send drafts until they are stopped.
type load struct {
	end    chan struct{}
	errors []error
	ended  int
}

func (l *load) stop() {
	if l.end != nil {
		close(l.end)
		l.end = nil
	}
}

// load starts callers that use the hosts of their address lists in turn, also after an address became stale.
func (s *scenario) load(_ []string, o map[string]string) error {
	s.loads = &load{end: make(chan struct{})}
	end := s.loads.end
	for i := range intOption(o, "callers", 12) {
		s.pending.Go(func() {
			c := &loadCaller{number: i, stale: o["stale"] != ""}
			for {
				select {
				case <-end:
					return
				default:
					s.sendLoadDraft(c, intOption(o, "tokens", 60))
				}
			}
		})
	}
	return nil
}

// loadCaller caches an address list for its lifetime, as callers do. A host may begin to leave in that time.
type loadCaller struct {
	number, sent int
	// stale makes the caller use all hosts in turn without ever asking for addresses.
	stale     bool
	addresses []string
	until     time.Time
}

func (s *scenario) addressFor(c *loadCaller) string {
	if c.stale {
		c.sent++
		return s.sys.Hosts[(c.number+c.sent)%len(s.sys.Hosts)].Caller
	}
	for i := 0; time.Now().After(c.until); i++ {
		var answer struct {
			Addresses  []struct{ Address string }
			LifetimeMs int `json:"lifetime_ms"`
		}
		h := s.sys.Hosts[(c.number+i)%len(s.sys.Hosts)]
		if err := system.Get(s.ctx, h.Caller, "/v1/addresses?service="+system.Drafts, &answer); err != nil || len(answer.Addresses) == 0 {
			if s.ctx.Err() != nil {
				return h.Caller
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.addresses = nil
		for _, a := range answer.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.until = time.Now().Add(time.Duration(answer.LifetimeMs) * time.Millisecond)
	}
	c.sent++
	return c.addresses[(c.number+c.sent)%len(c.addresses)]
}

// sendLoadDraft sends one draft. If the connection was refused, nothing was sent, and the caller uses the next address.
// Any other error counts as a failed stream.
func (s *scenario) sendLoadDraft(c *loadCaller, tokens int) {
	address := s.addressFor(c)
	prompt := fmt.Sprintf("Load %d %d", c.number, c.sent)
	got := system.Draft(s.ctx, address, system.DraftConfig{
		Prompt: prompt, MaxTokens: tokens, Workspace: "plant-b", Kind: "summary",
	})
	err := got.Check(prompt, 0, tokens)
	if err != nil && strings.Contains(err.Error(), "connection refused") {
		time.Sleep(20 * time.Millisecond)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.ended++
	if err != nil && s.ctx.Err() == nil {
		s.loads.errors = append(s.loads.errors, fmt.Errorf("%s: after %d tokens: %w", prompt, len(got.Tokens), err))
	}
}

// loadEnds stops the load and checks that none of its streams was interrupted or refused.
func (s *scenario) loadEnds(_ []string, o map[string]string) error {
	s.loads.stop()
	s.pending.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loads.errors) > 0 {
		return fmt.Errorf("%d of %d streams failed, first: %w", len(s.loads.errors), s.loads.ended, s.loads.errors[0])
	}
	if least := intOption(o, "least", 20); s.loads.ended < least {
		return fmt.Errorf("too few streams ended: %d", s.loads.ended)
	}
	return nil
}

// rolling restarts the hosts one after another, as an upgrade does, and waits until each one is ready.
func (s *scenario) rolling(_ []string, o map[string]string) error {
	for _, h := range s.sys.Hosts {
		if err := h.Stop(s.ctx); err != nil {
			return err
		}
		if err := s.sys.StartHost(h); err != nil {
			return err
		}
		if err := s.ready([]string{h.ID}, o); err != nil {
			return err
		}
	}
	return nil
}

// ready waits until the hosts serve a lookup and a draft.
func (s *scenario) ready(words []string, o map[string]string) error {
	for _, name := range words {
		h, err := s.host(name)
		if err != nil {
			return err
		}
		err = system.WaitFor(s.ctx, durationOption(o, "within", 10*time.Second), func() error { return s.sys.Probe(s.ctx, h) })
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// noNewWork sends drafts and lookups to the stale address of a leaving host. All must succeed, and the registry's
// executions must show that none of the lookups came from the process of that host.
func (s *scenario) noNewWork(words []string, o map[string]string) error {
	h, err := s.host(words[0])
	if err != nil {
		return err
	}
	for i := range intOption(o, "n", 6) {
		prompt := "Stale " + strconv.Itoa(i)
		got := system.Draft(s.ctx, h.Caller, system.DraftConfig{Prompt: prompt, MaxTokens: 5, Workspace: "plant-b", Kind: "summary"})
		if err := got.Check(prompt, 0, 5); err != nil {
			return fmt.Errorf("%s: %w", prompt, err)
		}
		answer, err := system.Call(s.ctx, h.Caller, system.CallConfig{
			Method: http.MethodGet, Service: system.Registry, Path: "lots/stale", Workspace: "plant-b",
		})
		if err != nil || answer.Status != http.StatusOK {
			return fmt.Errorf("lookup: status %d %w", answer.Status, errOrPlaceholder(err))
		}
	}
	ports, err := h.Ports()
	if err != nil {
		return err
	}
	seen := 0
	for _, p := range s.sys.Plain {
		all, err := s.sys.PlainExecutions(p)
		if err != nil {
			return err
		}
		for _, e := range all {
			if !strings.HasSuffix(e.Path, "lots/stale") {
				continue
			}
			seen++
			if _, port, err := net.SplitHostPort(e.From); err != nil || ports[port] {
				return fmt.Errorf("a lookup came from %s at %s", h.ID, e.From)
			}
		}
	}
	if seen != intOption(o, "n", 6) {
		return fmt.Errorf("the registry recorded %d lookups", seen)
	}
	return nil
}
