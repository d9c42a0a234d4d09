package benchprocess

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/test/system"
)

const (
	newsHosts = 8
	// changes and deaths are the samples of one run.
	changes = 20
	deaths  = 8
	// newsTimeout is well above the bound, so that a miss is measured and not cut off.
	newsTimeout = 15 * time.Second
)

// news measures how long hosts take to learn of a change and of a death.
func news(ctx context.Context, out io.Writer, bin string) error {
	dir, err := os.MkdirTemp("", "waxwingplank-bench-")
	if err != nil {
		return eris.Wrap(err, "news")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := system.Start(ctx, system.Config{Bin: bin, Dir: dir, Hosts: newsHosts, Pipelines: 1, Step: time.Millisecond, Slots: slots})
	if err != nil {
		return err
	}
	defer s.Close()
	var documents, dead []time.Duration
	for i := range changes {
		d, err := change(ctx, s, i)
		if err != nil {
			return eris.Wrapf(err, "change %d", i)
		}
		documents = append(documents, d)
	}
	if err := report(out, "document_in_force_on_8_hosts", documents, nil, newsBoundMs, "max"); err != nil {
		return err
	}
	for i := range deaths {
		d, err := death(ctx, s, s.Hosts[i%newsHosts])
		if err != nil {
			return eris.Wrapf(err, "death %d", i)
		}
		dead = append(dead, d)
	}
	return report(out, "dead_host_out_of_addresses", dead, nil, newsBoundMs, "max")
}

// change adds a workspace and returns the time from the accepted write until the last host serves it.
func change(ctx context.Context, s *system.System, i int) (time.Duration, error) {
	var names []string
	for n := range i + 1 {
		names = append(names, fmt.Sprintf("added-%d", n))
	}
	d, err := s.RegistryWith(names...)
	if err != nil {
		return 0, err
	}
	got, err := system.Apply(ctx, s.Hosts[i%newsHosts].Operator, d, i+1)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	if got.Status != http.StatusOK {
		return 0, eris.Errorf("status %d: %s", got.Status, got.Body)
	}
	err = each(s.Hosts, func(h *system.Host) error {
		return system.WaitFor(ctx, newsTimeout, func() error {
			answer, err := system.Call(ctx, h.Caller, system.CallConfig{
				Method: http.MethodGet, Service: system.Registry, Path: "lots/1", Workspace: names[i],
			})
			if err == nil && answer.Status != http.StatusOK {
				err = eris.Errorf("%s: status %d", h.ID, answer.Status)
			}
			return err
		})
	})
	return time.Since(accepted), err
}

// death kills a host, returns the time until no other host names it, and starts it again.
func death(ctx context.Context, s *system.System, victim *system.Host) (time.Duration, error) {
	var others []*system.Host
	for _, h := range s.Hosts {
		if h != victim {
			others = append(others, h)
		}
	}
	named := func(h *system.Host, want bool) error {
		return system.WaitFor(ctx, newsTimeout, func() error {
			var answer struct{ Addresses []struct{ Address string } }
			if err := system.Get(ctx, h.Caller, "/v1/addresses?service="+system.Drafts, &answer); err != nil {
				return err
			}
			found := false
			for _, a := range answer.Addresses {
				found = found || a.Address == victim.Caller
			}
			if found != want {
				return eris.Errorf("%s: names %s: %t", h.ID, victim.ID, found)
			}
			return nil
		})
	}
	victim.Kill()
	killed := time.Now()
	if err := each(others, func(h *system.Host) error { return named(h, false) }); err != nil {
		return 0, err
	}
	took := time.Since(killed)
	if err := s.StartHost(victim); err != nil {
		return 0, err
	}
	// An answer holds eight addresses, so every host names all eight.
	return took, each(others, func(h *system.Host) error { return named(h, true) })
}

// each calls f for all hosts at once and returns the first error.
func each(list []*system.Host, f func(*system.Host) error) error {
	errs := make([]error, len(list))
	var tasks sync.WaitGroup
	for i, h := range list {
		tasks.Go(func() { errs[i] = f(h) })
	}
	tasks.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
