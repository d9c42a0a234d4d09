package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/ingress/operator"
)

// watchWait is how long a host waits for progress: a dead host is left after this and the call timeout.
const watchWait = time.Second

type watchCommand struct {
	execute
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
	Args    struct {
		Service string `positional-arg-name:"NAME" description:"service"`
	} `positional-args:"yes" required:"yes"`
}

func (c *watchCommand) run(ctx context.Context, s *session) error {
	h, err := s.hosts()
	if err != nil {
		return err
	}
	var now operator.ServiceAnswer
	if err := h.get(ctx, servicePath(c.Args.Service), &now); err != nil {
		return err
	}
	status, err := s.await(ctx, h, now.Service, now.Generation, c.Timeout)
	if err != nil {
		return err
	}
	if s.opts.JSON {
		return s.json(status)
	}
	return s.showApplied(applyResult{
		ChangeAnswer: operator.ChangeAnswer{Service: status.Service, Generation: status.InForce}, NotInForce: status.NotInForce,
	})
}

// await shows progress until the generation is in force on all hosts that can be reached.
func (s *session) await(parent context.Context, h *hosts, service table.ServiceID, generation uint64, timeout time.Duration) (operator.ServiceStatus, error) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	var status operator.ServiceStatus
	shown := fmt.Sprintf("%s: generation %d: no host has told the progress", service, generation)
	for {
		err := h.watch(ctx, service, generation, &status)
		var f *failure
		if errors.As(err, &f) && f.code == exitBad {
			return status, err
		}
		line := progress(service, generation, status, err)
		if line != shown && ctx.Err() == nil {
			s.note("%s", line)
			shown = line
		}
		if err == nil && status.InForce >= generation {
			return status, nil
		}
		if err != nil {
			// A host that has not adopted a new service yet refuses the watch.
			pause(ctx, s.cfg.PollEvery)
		}
		if ctx.Err() != nil {
			return status, fail(exitTimeout, "timed out: %s", shown)
		}
	}
}

func (h *hosts) watch(ctx context.Context, service table.ServiceID, generation uint64, into *operator.ServiceStatus) error {
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", url.PathEscape(string(service)), max(generation, 1)-1, waitMs(ctx))
	a, err := h.any(ctx, call{method: http.MethodGet, path: path, extra: watchWait})
	if err != nil {
		return err
	}
	*into = operator.ServiceStatus{}
	return a.into(into)
}

// waitMs returns how long a host may wait before it answers: half of what remains at most, so that
// the last progress is shown at the end.
func waitMs(ctx context.Context) int64 {
	wait := watchWait
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)/2)
	}
	return max(wait.Milliseconds(), 0)
}

func progress(service table.ServiceID, generation uint64, s operator.ServiceStatus, err error) string {
	if err != nil {
		return fmt.Sprintf("%s: generation %d: progress unknown: %v", service, generation, err)
	}
	if len(s.NotInForce) == 0 {
		return fmt.Sprintf("%s: generation %d: minimum in force %d", service, generation, s.InForce)
	}
	return fmt.Sprintf("%s: generation %d: minimum in force %d, not yet on %s", service, generation, s.InForce, hostNames(s.NotInForce))
}

// maxNames bounds the hosts named in one line, of up to 410.
const maxNames = 8

func hostNames(hosts []table.HostID) string {
	names := make([]string, 0, maxNames)
	for i, h := range hosts {
		if i == maxNames {
			names = append(names, fmt.Sprintf("and %d more", len(hosts)-i))
			break
		}
		names = append(names, string(h))
	}
	return strings.Join(names, ", ")
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
