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

// maxHostWait is how long a host may wait for progress before it responds. The next host is tried when this time and
// the call timeout have passed without a response.
const maxHostWait = time.Second

type watchCommand struct {
	baseCommand
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
	Args    struct {
		Service string `positional-arg-name:"NAME" description:"service"`
	} `positional-args:"yes" required:"yes"`
}

func (c *watchCommand) run(ctx context.Context, s *session) error {
	h, err := s.newHostClient()
	if err != nil {
		return err
	}
	var current operator.ServiceResponse
	if err := h.get(ctx, servicePath(c.Args.Service), &current); err != nil {
		return err
	}
	status, err := s.awaitInForce(ctx, h, current.Service, current.Generation, c.Timeout)
	if err != nil {
		return err
	}
	if s.opts.JSON {
		return s.json(status)
	}
	return s.showApplied(applyResult{
		ChangeResponse: operator.ChangeResponse{Service: status.Service, Generation: status.InForce}, NotInForce: status.NotInForce,
	})
}

// awaitInForce prints the progress until the generation is in force on all reachable hosts.
func (s *session) awaitInForce(parent context.Context, h *hostClient, service table.ServiceID, generation uint64, timeout time.Duration) (operator.ServiceStatus, error) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	var status operator.ServiceStatus
	shown := fmt.Sprintf("%s: generation %d: no host has reported progress", service, generation)
	for {
		err := h.watch(ctx, service, generation, &status)
		var f *failure
		if errors.As(err, &f) && f.code == exitBadInput {
			return status, err
		}
		line := formatProgress(service, generation, status, err)
		if line != shown && ctx.Err() == nil {
			s.note("%s", line)
			shown = line
		}
		if err == nil && status.InForce >= generation {
			return status, nil
		}
		if err != nil {
			// A host on which a new service is not yet in force refuses the watch.
			sleep(ctx, s.cfg.PollInterval)
		}
		if ctx.Err() != nil {
			return status, fail(exitTimeout, "timed out: %s", shown)
		}
	}
}

func (h *hostClient) watch(ctx context.Context, service table.ServiceID, generation uint64, into *operator.ServiceStatus) error {
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", url.PathEscape(string(service)), max(generation, 1)-1, waitMs(ctx))
	resp, err := h.callAny(ctx, call{method: http.MethodGet, path: path, extraTimeout: maxHostWait})
	if err != nil {
		return err
	}
	*into = operator.ServiceStatus{}
	return resp.decode(into)
}

// waitMs returns how long a host may wait before it responds, in milliseconds. It is at most half of the remaining
// time, so that the last progress is shown before the timeout.
func waitMs(ctx context.Context) int64 {
	wait := maxHostWait
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)/2)
	}
	return max(wait.Milliseconds(), 0)
}

func formatProgress(service table.ServiceID, generation uint64, s operator.ServiceStatus, err error) string {
	if err != nil {
		return fmt.Sprintf("%s: generation %d: progress unknown: %v", service, generation, err)
	}
	if len(s.NotInForce) == 0 {
		return fmt.Sprintf("%s: generation %d: minimum in force %d", service, generation, s.InForce)
	}
	return fmt.Sprintf("%s: generation %d: minimum in force %d, not yet on %s", service, generation, s.InForce, hostNames(s.NotInForce))
}

// maxListedHosts bounds the number of hosts listed in one line. A deployment has up to 410 hosts.
const maxListedHosts = 8

func hostNames(hosts []table.HostID) string {
	names := make([]string, 0, maxListedHosts)
	for i, h := range hosts {
		if i == maxListedHosts {
			names = append(names, fmt.Sprintf("and %d more", len(hosts)-i))
			break
		}
		names = append(names, string(h))
	}
	return strings.Join(names, ", ")
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
