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
	// claimShards is the default of the settings.
	claimShards = 8
	// callPatience is when a caller gives up a call; the service's own limit is longer.
	callPatience = 5 * time.Second
	callBody     = `{"lot":"matrix"}`
)

// copyOf is what one copy of a call saw.
type copyOf struct {
	seen   string
	result system.CallResult
	err    error
}

// key returns a key whose claim shard another host than the entry owns.
func (c *cell) ownedKey(owner string) (string, error) {
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
	return "", fmt.Errorf("%s owns no shard", owner)
}

func (c *cell) runCall() error {
	key, err := c.ownedKey("host-1")
	if err != nil {
		return err
	}
	if err := c.prepareCall(); err != nil {
		return err
	}
	first := make(chan copyOf, 1)
	c.tasks.Go(func() { first <- c.copy(c.gate.address(), key, false) })
	var early *copyOf
	if c.step == "recorded" {
		got := <-first
		if got.seen != "answered" {
			return fmt.Errorf("the call before the failure: %s: %w", got.seen, errOrNil(got.err))
		}
		early = &got
	}
	names, err := c.callAtStep(key)
	if err != nil {
		return fmt.Errorf("step %s: %w", c.step, err)
	}
	if err := c.strike(names); err != nil {
		return err
	}
	if early != nil {
		// A copy sent while the failure lasts.
		c.tasks.Go(func() { first <- c.copy(c.gate.address(), key, true) })
	}
	got := <-first
	c.note("first copy: %s code %q %v", got.seen, got.result.Code, got.err)
	if err := c.checkCopy(got, key); err != nil {
		return err
	}
	if err := c.settle(); err != nil {
		return err
	}
	// A frozen process may have acted since.
	if err := c.checkCopy(got, key); err != nil {
		return err
	}
	if err := c.laterCopies(key); err != nil {
		return err
	}
	if err := c.settle(); err != nil {
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

// prepareCall makes the platform hold the call at the step of the row.
func (c *cell) prepareCall() error {
	switch c.step {
	case "before-claim":
		return c.faults(c.sys.Platform, `{"delay_ms":350}`)
	case "claim-written":
		return c.faults(c.sys.Platform, `{"kind":"claim-shards","late_answers":1,"late_ms":2500}`)
	}
	return nil
}

func (c *cell) callAtStep(key string) (map[string]*system.Process, error) {
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
func (c *cell) reached(key string, names map[string]*system.Process) error {
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
		return fmt.Errorf("the platform has got no call for the claim: %v", calls)
	case "claim-written":
		var left struct {
			LateAnswers int `json:"late_answers"`
		}
		if err := system.Get(c.ctx, c.sys.Platform.Address(), "/standin/faults", &left); err != nil {
			return err
		}
		if left.LateAnswers > 0 {
			return fmt.Errorf("the claim is not written")
		}
	case "dispatched":
		for i, p := range c.sys.Plain {
			if n, err := c.runsAt(p, key); err != nil || n > 0 {
				names["registry"], names["registry2"] = p, c.sys.Plain[1-i]
				return err
			}
		}
		return fmt.Errorf("no registry runs the call")
	case "recorded":
		// The claim and the answer are two writes of the shard.
		if calls["put claim-shards"] < 2 {
			return fmt.Errorf("the answer is not recorded: %v", calls)
		}
	}
	return nil
}

// copy sends one copy and waits as long as a caller does.
func (c *cell) copy(address, key string, resend bool) copyOf {
	ctx, cancel := context.WithTimeout(c.ctx, callPatience)
	defer cancel()
	got, err := system.Call(ctx, address, system.CallConfig{
		Method: http.MethodPost, Service: system.Registry, Path: "registrations", Workspace: "exporter-a",
		Key: key, Body: callBody, Resend: resend,
	})
	out := copyOf{result: got, err: err}
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

// laterCopies sends the key again through the host that no row breaks, as often as a caller does that was
// refused, and once through each other host that lives.
func (c *cell) laterCopies(key string) error {
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
			return fmt.Errorf("later copy %d got no answer: status %d %w", i, got.result.Status, errOrNil(got.err))
		}
	}
	return nil
}

// checkCopy checks what one copy was told against the record of the registry.
func (c *cell) checkCopy(got copyOf, key string) error {
	runs, err := c.runsOf(key)
	if err != nil {
		return err
	}
	switch {
	case runs > 1:
		return fmt.Errorf("the call ran %d times", runs)
	case got.seen == "not_run" && runs > 0:
		return fmt.Errorf("told not_run (code %s), and the registry ran it", got.result.Code)
	case (got.seen == "answered" || got.seen == "recorded" || got.seen == "ran") && runs == 0:
		return fmt.Errorf("told %s, and no registry ran it", got.seen)
	case (got.seen == "answered" || got.seen == "recorded") && !strings.Contains(got.result.Body, "lot"):
		return fmt.Errorf("foreign answer %q", got.result.Body)
	}
	return nil
}

func (c *cell) runsOf(key string) (int, error) {
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

func (c *cell) runsAt(p *system.Process, key string) (int, error) {
	all, err := c.sys.Calls(p)
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
