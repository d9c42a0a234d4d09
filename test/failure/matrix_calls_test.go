package failure

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/test/system"
)

const (
	// claimShards is the default number of shards in the settings.
	claimShards = 8
	// callTimeout is the timeout of a caller. The timeout in the service's document is longer.
	callTimeout = 5 * time.Second
	callBody    = `{"lot":"matrix"}`
)

// copyResult is the result of one copy of a call.
type copyResult struct {
	seen   string
	result system.CallResult
	err    error
}

// ownedKey returns an idempotency key whose claim shard is owned by the given host.
func (c *rowRun) ownedKey(owner string) (string, error) {
	var hosts []table.HostID
	for _, h := range c.sys.Hosts {
		hosts = append(hosts, table.HostID(h.ID))
	}
	for i := range 1000 {
		text := system.NewKey(fmt.Sprintf("matrix-%d", i))
		key, err := claim.NewKey(claim.KeyConfig{Workspace: "exporter-a", Service: system.Registry, Text: text})
		if err != nil {
			return "", err
		}
		if membership.ShardOwner(key.Shard(claimShards), hosts) == table.HostID(owner) {
			return text, nil
		}
	}
	return "", fmt.Errorf("no key found with a shard owned by %s", owner)
}

func (c *rowRun) runCall() error {
	key, err := c.ownedKey("host-1")
	if err != nil {
		return err
	}
	if err := c.prepareCall(); err != nil {
		return err
	}
	first := make(chan copyResult, 1)
	c.tasks.Go(func() { first <- c.copy(c.proxy.address(), key, false) })
	var early *copyResult
	if c.step == "recorded" {
		got := <-first
		if got.seen != "answered" {
			return fmt.Errorf("the call before the failure ended with %s: %w", got.seen, errOrPlaceholder(got.err))
		}
		early = &got
	}
	names, err := c.callAtStep(key)
	if err != nil {
		return fmt.Errorf("step %s: %w", c.step, err)
	}
	if err := c.injectFailures(names); err != nil {
		return err
	}
	if early != nil {
		// Send a copy during the failure.
		c.tasks.Go(func() { first <- c.copy(c.proxy.address(), key, true) })
	}
	got := <-first
	c.note("first copy: %s code %q %v", got.seen, got.result.Code, got.err)
	if err := c.checkCopy(got, key); err != nil {
		return err
	}
	if err := c.endFailures(); err != nil {
		return err
	}
	// Check again, since a thawed process may have executed the call.
	if err := c.checkCopy(got, key); err != nil {
		return err
	}
	if err := c.laterCopies(key); err != nil {
		return err
	}
	if err := c.endFailures(); err != nil {
		return err
	}
	runs, err := c.runsOf(key)
	if err != nil {
		return err
	}
	if runs > 1 || (c.step == "recorded" && runs != 1) {
		return fmt.Errorf("the call ran %d times", runs)
	}
	return c.allowed(got.seen)
}

// prepareCall makes the platform delay the call at the step of the row.
func (c *rowRun) prepareCall() error {
	switch c.step {
	case "before-claim":
		return c.faults(c.sys.Platform, `{"delay_ms":350}`)
	case "claim-written":
		return c.faults(c.sys.Platform, `{"kind":"claim-shards","late_answers":1,"late_ms":2500}`)
	}
	return nil
}

// callAtStep waits until the call is at the step of the row and returns the processes by their roles.
func (c *rowRun) callAtStep(key string) (map[string]*system.Process, error) {
	names := map[string]*system.Process{
		"entry": c.sys.Hosts[0].Process, "owner": c.sys.Hosts[1].Process, "other": c.sys.Hosts[2].Process,
		"registry": c.sys.Plain[0], "registry2": c.sys.Plain[1], "platform": c.sys.Platform,
	}
	err := system.WaitFor(c.ctx, headerTimeout, func() error { return c.reached(key, names) })
	if err != nil || (c.step != "before-claim" && c.step != "claim-written") {
		return names, err
	}
	return names, c.clear(c.sys.Platform)()
}

// reached returns an error until the stand-ins show that the call is at the step of the row.
func (c *rowRun) reached(key string, names map[string]*system.Process) error {
	var calls map[string]int
	if err := system.Get(c.ctx, c.sys.Platform.Address(), "/standin/calls", &calls); err != nil {
		return err
	}
	switch c.step {
	case "before-claim":
		for call := range calls {
			if strings.HasPrefix(call, "delayed") && strings.Contains(call, "/claim-shards/") {
				return nil
			}
		}
		return fmt.Errorf("the platform has received no request for the claim: %v", calls)
	case "claim-written":
		var left struct {
			LateAnswers int `json:"late_answers"`
		}
		if err := system.Get(c.ctx, c.sys.Platform.Address(), "/standin/faults", &left); err != nil {
			return err
		}
		if left.LateAnswers > 0 {
			return fmt.Errorf("the claim has not been written")
		}
	case "dispatched":
		for i, p := range c.sys.Plain {
			if n, err := c.runsAt(p, key); err != nil || n > 0 {
				names["registry"], names["registry2"] = p, c.sys.Plain[1-i]
				return err
			}
		}
		return fmt.Errorf("no registry worker runs the call")
	case "recorded":
		// The claim and the response are two writes of the shard.
		if calls["put claim-shards"] < 2 {
			return fmt.Errorf("the response has not been recorded: %v", calls)
		}
	}
	return nil
}

// copy sends one copy of the call and waits until the timeout of a caller.
func (c *rowRun) copy(address, key string, resend bool) copyResult {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	got, err := system.Call(ctx, address, system.CallConfig{
		Method: http.MethodPost, Service: system.Registry, Path: "registrations", Workspace: "exporter-a",
		Key: key, Body: callBody, Resend: resend,
	})
	out := copyResult{result: got, err: err}
	switch {
	case ctx.Err() != nil:
		out.seen = "silence"
	case err != nil:
		out.seen = "broken"
	case got.Status == http.StatusOK && got.Recorded:
		out.seen = "recorded"
	case got.Status == http.StatusOK:
		out.seen = "answered"
	default:
		out.seen = got.Outcome
	}
	return out
}

// laterCopies sends the call with the same key again: twice through host 2, which no row breaks, as a caller does after
// a refusal, and once through each other live host.
func (c *rowRun) laterCopies(key string) error {
	addresses := []string{c.sys.Hosts[2].Caller, c.sys.Hosts[2].Caller}
	for _, h := range c.sys.Hosts[:2] {
		select {
		case <-h.Done():
		default:
			addresses = append(addresses, h.Caller)
		}
	}
	for i, a := range addresses {
		got := c.copy(a, key, true)
		c.note("later copy %d: %s code %q %v", i, got.seen, got.result.Code, got.err)
		if err := c.checkCopy(got, key); err != nil {
			return fmt.Errorf("later copy %d: %w", i, err)
		}
		if got.seen == "" || got.seen == "broken" || got.seen == "silence" {
			return fmt.Errorf("later copy %d got no response: status %d %w", i, got.result.Status, errOrPlaceholder(got.err))
		}
	}
	return nil
}

// checkCopy checks the result of one copy against the executions of the registry.
func (c *rowRun) checkCopy(got copyResult, key string) error {
	runs, err := c.runsOf(key)
	if err != nil {
		return err
	}
	switch {
	case runs > 1:
		return fmt.Errorf("the call ran %d times", runs)
	case got.seen == "not_run" && runs > 0:
		return fmt.Errorf("the outcome is not_run (code %s), but the registry ran the call", got.result.Code)
	case (got.seen == "answered" || got.seen == "recorded" || got.seen == "ran") && runs == 0:
		return fmt.Errorf("the result is %s, but no registry worker ran the call", got.seen)
	case (got.seen == "answered" || got.seen == "recorded") && !strings.Contains(got.result.Body, "lot"):
		return fmt.Errorf("unexpected response body %q", got.result.Body)
	}
	return nil
}

// runsOf returns the number of executions of a key, over all workers of the registry.
func (c *rowRun) runsOf(key string) (int, error) {
	total := 0
	for _, p := range c.sys.Plain {
		n, err := c.runsAt(p, key)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

func (c *rowRun) runsAt(p *system.Process, key string) (int, error) {
	all, err := c.sys.PlainExecutions(p)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, e := range all {
		if e.Key == key {
			n++
		}
	}
	return n, nil
}
