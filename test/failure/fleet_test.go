package failure

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"waxwingplank/test/system"
)

// Figures of the fleet test.
const (
	manyHosts = 60
	killed    = 5
	// hostMemoryKB is the page's 32 MB for control, on top of the program's own pages, which hosts of one
	// machine share.
	hostMemoryKB = 32 << 10
)

// TestManyHosts guards against costs and delays that grow with the number of hosts: a change is in force on 60
// hosts within 3 s, five hosts that die together leave the address answers within 3 s, and a host stays within
// 32 MB.
func TestManyHosts(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	s := &scene{ctx: ctx, dir: t.TempDir(), drafts: map[string]*draft{}, calls: map[string]*call{}}
	var err error
	s.sys, err = system.Start(ctx, system.Config{
		Bin: bin, Dir: s.dir, Hosts: manyHosts, Pipelines: 1, Step: time.Millisecond, Slots: manyHosts + 4,
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
	t.Logf("accepted after %s, in force on %d hosts %s later", accepted.Sub(start), manyHosts, time.Since(accepted))
	worst := 0
	for _, h := range s.sys.Hosts {
		resident, own, err := h.MemoryKB()
		if err != nil {
			t.Fatal(err)
		}
		worst = max(worst, own)
		if own > hostMemoryKB {
			t.Errorf("%s uses %d KB of its own, %d KB in all", h.ID, own, resident)
		}
	}
	t.Logf("largest host: %d KB of its own", worst)
	for _, h := range s.sys.Hosts[10 : 10+killed] {
		h.Kill()
	}
	dead := time.Now()
	if err := s.leftOut(s.sys.Hosts[10 : 10+killed]); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d dead hosts left out by all %s after the kill", killed, time.Since(dead))
}

// leftOut waits until no live host names a dead one. An answer holds 8 addresses, so all are asked for again.
func (s *scene) leftOut(dead []*system.Host) error {
	gone := map[string]bool{}
	for _, h := range dead {
		gone[h.Caller] = true
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
				if gone[seen.Address] && seen.State == "live" {
					return fmt.Errorf("%s takes %s for live", h.ID, seen.Host)
				}
			}
			return s.namesNone(h, gone)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) namesNone(h *system.Host, gone map[string]bool) error {
	var answer struct{ Addresses []struct{ Address string } }
	if err := system.Get(s.ctx, h.Caller, "/v1/addresses?service="+system.Drafts, &answer); err != nil {
		return err
	}
	if len(answer.Addresses) == 0 {
		return fmt.Errorf("%s names no host", h.ID)
	}
	for _, a := range answer.Addresses {
		if gone[a.Address] {
			return fmt.Errorf("%s names %s", h.ID, a.Address)
		}
	}
	return nil
}
