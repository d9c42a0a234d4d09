package failure

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"waxwingplank/test/system"
)

// Limits of TestManyHosts.
const (
	hostCount   = 60
	killedCount = 5
	// hostMemoryKB is the 32 MB for control that the design page allows. The pages of the program file are not
	// counted, since hosts on one machine share them.
	hostMemoryKB = 32 << 10
)

// TestManyHosts guards against costs and delays that grow with the number of hosts. On 60 hosts a change is in force
// within 3 s, five hosts killed together disappear from the address lists within 3 s, and a host uses at most 32 MB.
func TestManyHosts(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	s := &scenario{ctx: ctx, dir: t.TempDir(), drafts: map[string]*draft{}, calls: map[string]*call{}}
	var err error
	s.sys, err = system.Start(ctx, system.Config{
		Bin: bin, Dir: s.dir, Hosts: hostCount, Pipelines: 1, Step: time.Millisecond, Slots: hostCount + 4,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.sys.Close()
	s.changes = map[string]*change{}
	start := time.Now()
	if err := s.apply([]string{"first"}, map[string]string{"host": "host-7"}); err != nil {
		t.Fatal(err)
	}
	if err := s.applied([]string{"first"}, nil); err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	if err := s.inForce([]string{"first"}, map[string]string{}); err != nil {
		t.Fatal(err)
	}
	t.Logf("accepted after %s, in force on %d hosts %s later", accepted.Sub(start), hostCount, time.Since(accepted))
	worst := 0
	for _, h := range s.sys.Hosts {
		resident, anonymous, err := h.MemoryKB()
		if err != nil {
			t.Fatal(err)
		}
		worst = max(worst, anonymous)
		if anonymous > hostMemoryKB {
			t.Errorf("%s uses %d KB of anonymous memory, %d KB resident", h.ID, anonymous, resident)
		}
	}
	t.Logf("largest host: %d KB of anonymous memory", worst)
	for _, h := range s.sys.Hosts[10 : 10+killedCount] {
		h.Kill()
	}
	killedAt := time.Now()
	if err := s.awaitRemoval(s.sys.Hosts[10 : 10+killedCount]); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d dead hosts removed from all address lists %s after the kill", killedCount, time.Since(killedAt))
}

// awaitRemoval waits until no live host lists a dead one. An address list holds only 8 addresses, so the status of each
// host is checked too.
func (s *scenario) awaitRemoval(dead []*system.Host) error {
	deadAddresses := map[string]bool{}
	for _, h := range dead {
		deadAddresses[h.Caller] = true
	}
	deadline := time.Now().Add(3 * time.Second)
	for _, h := range s.sys.Hosts {
		if slices.Contains(dead, h) {
			continue
		}
		err := system.WaitFor(s.ctx, max(time.Until(deadline), time.Millisecond), func() error {
			var status struct {
				Hosts []struct{ Host, Address, State string }
			}
			if err := system.Get(s.ctx, h.Operator, "/v1/status", &status); err != nil {
				return err
			}
			for _, seen := range status.Hosts {
				if deadAddresses[seen.Address] && seen.State == "live" {
					return fmt.Errorf("%s still lists %s as live", h.ID, seen.Host)
				}
			}
			return s.checkAddressList(h, deadAddresses)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// checkAddressList checks that the address list of a host is not empty and contains no dead host.
func (s *scenario) checkAddressList(h *system.Host, deadAddresses map[string]bool) error {
	var answer struct{ Addresses []struct{ Address string } }
	if err := system.Get(s.ctx, h.Caller, "/v1/addresses?service="+system.Drafts, &answer); err != nil {
		return err
	}
	if len(answer.Addresses) == 0 {
		return fmt.Errorf("the address list of %s is empty", h.ID)
	}
	for _, a := range answer.Addresses {
		if deadAddresses[a.Address] {
			return fmt.Errorf("%s still lists the dead host at %s", h.ID, a.Address)
		}
	}
	return nil
}
