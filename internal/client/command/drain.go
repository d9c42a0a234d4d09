package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"waxwingplank/internal/ingress/operator"
)

// maxFailedPolls is the number of consecutive failed polls after which a draining host counts as terminated.
const maxFailedPolls = 3

type drainCommand struct {
	baseCommand
	// The default is longer than the daemon's longest drain, 330 s.
	Timeout time.Duration `long:"timeout" default:"6m" description:"how long to wait until nothing is left"`
	Args    struct {
		Address string `positional-arg-name:"HOST-ADDRESS" description:"operator address of the host that leaves"`
	} `positional-args:"yes" required:"yes"`
}

func (c *drainCommand) run(parent context.Context, s *session) error {
	h, err := s.newHostClient(c.Args.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(parent, c.Timeout)
	defer cancel()
	resp, err := h.callAny(ctx, call{method: http.MethodPost, path: "/v1/drain"})
	if err != nil {
		return err
	}
	var status operator.DrainStatus
	if err := resp.decode(&status); err != nil {
		return err
	}
	failedPolls := 0
	shown := ""
	for {
		if line := formatRemaining(status); line != shown {
			s.note("%s", line)
			shown = line
		}
		if status.Done {
			return s.showDrained(status)
		}
		if ctx.Err() != nil {
			return fail(exitTimeout, "timed out: %s", shown)
		}
		if h.pollDrain(ctx, &status) {
			failedPolls = 0
			continue
		}
		// A host may exit right after its last request, before a poll has returned Done. If its last status showed
		// remaining work, the outcome is unknown.
		if failedPolls++; failedPolls == maxFailedPolls {
			if isEmpty(status) {
				return s.showDrained(status)
			}
			return fail(exitOutcomeUnknown, "the host no longer answers; when last seen: %s", shown)
		}
		sleep(ctx, s.cfg.PollInterval)
	}
}

// pollDrain reads the drain status and reports whether the host responded. The host waits for a change before it
// responds, so polls follow each other without an interval in which the host could exit unnoticed.
func (h *hostClient) pollDrain(ctx context.Context, into *operator.DrainStatus) bool {
	resp, err := h.callAny(ctx, call{
		method: http.MethodGet, path: fmt.Sprintf("/v1/drain?wait_ms=%d", waitMs(ctx)), extraTimeout: maxHostWait,
	})
	return err == nil && resp.decode(into) == nil
}

func isEmpty(d operator.DrainStatus) bool { return d.Draining && d.Streams+d.Calls+d.Leases == 0 }

func formatRemaining(d operator.DrainStatus) string {
	return fmt.Sprintf("%s: %d streams, %d calls and %d leases left", d.Host, d.Streams, d.Calls, d.Leases)
}

func (s *session) showDrained(d operator.DrainStatus) error {
	if s.opts.JSON {
		return s.json(d)
	}
	s.printf("%s: drained", d.Host)
	return nil
}
