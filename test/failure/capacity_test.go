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

// cancelled checks that each engine that ran a draft has the record of a cancel for it.
func (s *scene) cancelled(words []string, o map[string]string) error {
	return system.WaitFor(s.ctx, span(o, "within", 3*time.Second), func() error {
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
					return fmt.Errorf("%s was not told that draft %s is over", p.Name(), name)
				}
			}
		}
		return nil
	})
}

func (s *scene) ranOn(p *system.Process, id string) (bool, error) {
	all, err := s.sys.Runs(p)
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

// leave closes the connection of the callers.
func (s *scene) leave(words []string, _ map[string]string) error {
	for _, name := range words {
		d, ok := s.drafts[name]
		if !ok {
			return fmt.Errorf("no draft %s", name)
		}
		d.leave()
		<-d.done
	}
	return nil
}

// neverRan checks that the engines have records of no more streams than the drafts that were delivered, the
// probes at the start and the ones named by n.
func (s *scene) neverRan(words []string, o map[string]string) error {
	records, err := s.engineRecords()
	if err != nil {
		return err
	}
	for _, name := range words {
		if id := s.drafts[name].result.RequestID; id != "" && len(records[id]) > 0 {
			return fmt.Errorf("draft %s ran as %s", name, id)
		}
	}
	if most := number(o, "streams", len(records)); len(records) > most {
		return fmt.Errorf("%d streams ran, must be %d at most", len(records), most)
	}
	return nil
}

// oneRan checks two copies of one draft: each is whole, or was replaced by the other and not told "not run".
func (s *scene) oneRan(words []string, _ map[string]string) error {
	whole := 0
	for _, name := range words {
		d, err := s.finish(name)
		if err != nil {
			return err
		}
		switch {
		case d.result.Err == nil:
			if err := d.result.Check(d.prompt, 0, d.tokens); err != nil {
				return fmt.Errorf("draft %s: %w", name, err)
			}
			whole++
		case d.result.Outcome == "not_run", d.result.Code == "":
			return fmt.Errorf("draft %s: outcome %q: %w", name, d.result.Outcome, d.result.Err)
		}
	}
	if whole == 0 {
		return fmt.Errorf("no copy of %v got the answer", words)
	}
	return nil
}

// many sends n drafts at once; every third is a copy sent again.
func (s *scene) many(words []string, o map[string]string) error {
	for i := range number(o, "n", 10) {
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

// refusals checks each of many drafts: it is whole, or was refused with a time after which to try again, told
// "not run" only as a first send, and then no engine ran it.
func (s *scene) refusals(words []string, o map[string]string) error {
	refused := 0
	for i := range number(o, "n", 10) {
		name := words[0] + strconv.Itoa(i)
		d, err := s.finish(name)
		if err != nil {
			return err
		}
		if d.result.Err == nil {
			if err := s.whole([]string{name}, nil); err != nil {
				return err
			}
			continue
		}
		refused++
		if d.result.Code == "" || !d.result.RetryAfter || len(d.all) > 0 {
			return fmt.Errorf("draft %s: code %q, retry time %t, %d tokens: %w", name, d.result.Code, d.result.RetryAfter, len(d.all), d.result.Err)
		}
		if (d.result.Outcome == "not_run") != (i%3 != 2) {
			return fmt.Errorf("draft %s, sent %d: outcome %q", name, i%3, d.result.Outcome)
		}
		if err := s.neverRan([]string{name}, nil); err != nil {
			return err
		}
	}
	if least := number(o, "least", 1); refused < least {
		return fmt.Errorf("%d drafts were refused, must be %d at least", refused, least)
	}
	return nil
}

// load is a number of callers that send drafts until they are stopped.
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

// load starts callers that use the hosts of their address answers in turn, also where an address is stale.
func (s *scene) load(_ []string, o map[string]string) error {
	s.loads = &load{end: make(chan struct{})}
	end := s.loads.end
	for i := range number(o, "callers", 12) {
		s.pending.Go(func() {
			c := &loadCaller{number: i, stale: o["stale"] != ""}
			for {
				select {
				case <-end:
					return
				default:
					s.loadOne(c, number(o, "tokens", 60))
				}
			}
		})
	}
	return nil
}

// loadCaller keeps an address answer for its lifetime, as callers do; a host may begin to leave meanwhile.
type loadCaller struct {
	number, sent int
	// stale makes the caller use every host in turn for ever.
	stale     bool
	addresses []string
	until     time.Time
}

func (s *scene) addressFor(c *loadCaller) string {
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

// loadOne sends one draft. A connection that is refused sent nothing, so the caller takes the next address; a
// connection that breaks after a token was cut off.
func (s *scene) loadOne(c *loadCaller, tokens int) {
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

// loadEnds stops the load and checks that none of its streams was cut off or refused.
func (s *scene) loadEnds(_ []string, o map[string]string) error {
	s.loads.stop()
	s.pending.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loads.errors) > 0 {
		return fmt.Errorf("%d of %d streams failed, first: %w", len(s.loads.errors), s.loads.ended, s.loads.errors[0])
	}
	if least := number(o, "least", 20); s.loads.ended < least {
		return fmt.Errorf("only %d streams ended", s.loads.ended)
	}
	return nil
}

// rolling stops each host in turn as an upgrade does, and starts it again before the next.
func (s *scene) rolling(_ []string, o map[string]string) error {
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
func (s *scene) ready(words []string, o map[string]string) error {
	for _, name := range words {
		h, err := s.host(name)
		if err != nil {
			return err
		}
		err = system.WaitFor(s.ctx, span(o, "within", 10*time.Second), func() error { return s.sys.Probe(s.ctx, h) })
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// noNewWork sends drafts and lookups to the stale address of a leaving host. They are answered whole, and the
// registry's record shows that none of the lookups came from the process of that host.
func (s *scene) noNewWork(words []string, o map[string]string) error {
	h, err := s.host(words[0])
	if err != nil {
		return err
	}
	for i := range number(o, "n", 6) {
		prompt := "Stale " + strconv.Itoa(i)
		got := system.Draft(s.ctx, h.Caller, system.DraftConfig{Prompt: prompt, MaxTokens: 5, Workspace: "plant-b", Kind: "summary"})
		if err := got.Check(prompt, 0, 5); err != nil {
			return fmt.Errorf("%s: %w", prompt, err)
		}
		answer, err := system.Call(s.ctx, h.Caller, system.CallConfig{
			Method: http.MethodGet, Service: system.Registry, Path: "lots/stale", Workspace: "plant-b",
		})
		if err != nil || answer.Status != http.StatusOK {
			return fmt.Errorf("lookup: status %d %w", answer.Status, errOrNil(err))
		}
	}
	ports, err := h.Ports()
	if err != nil {
		return err
	}
	seen := 0
	for _, p := range s.sys.Plain {
		all, err := s.sys.Calls(p)
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
	if seen != number(o, "n", 6) {
		return fmt.Errorf("the registry has %d lookups", seen)
	}
	return nil
}
