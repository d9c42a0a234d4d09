package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"waxwingplank/internal/ingress/operator"
)

// maxSilence is how many looks in a row may fail before a draining host counts as gone.
const maxSilence = 3

type drainCommand struct {
	execute
	// The default is longer than the daemon's longest drain, 330 s.
	Timeout time.Duration `long:"timeout" default:"6m" description:"how long to wait until nothing is left"`
	Args    struct {
		Address string `positional-arg-name:"HOST-ADDRESS" description:"operator address of the host that leaves"`
	} `positional-args:"yes" required:"yes"`
}

func (c *drainCommand) run(parent context.Context, s *session) error {
	h, err := s.hosts(c.Args.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(parent, c.Timeout)
	defer cancel()
	a, err := h.any(ctx, call{method: http.MethodPost, path: "/v1/drain"})
	if err != nil {
		return err
	}
	var left operator.DrainStatus
	if err := a.into(&left); err != nil {
		return err
	}
	silent := 0
	shown := ""
	for {
		if line := remaining(left); line != shown {
			s.note("%s", line)
			shown = line
		}
		if left.Done {
			return s.drained(left)
		}
		if ctx.Err() != nil {
			return fail(exitTimeout, "timed out: %s", shown)
		}
		if h.left(ctx, &left) {
			silent = 0
			continue
		}
		// A host that exits right after its last request may not have been seen empty.
		if silent++; silent == maxSilence {
			if empty(left) {
				return s.drained(left)
			}
			return fail(exitUnknown, "the host no longer answers; when last seen: %s", shown)
		}
		pause(ctx, s.cfg.PollEvery)
	}
}

// left reads what is left and reports whether the host answered. The host waits for a change, so
// looks follow each other without a pause in which the host could exit unseen.
func (h *hosts) left(ctx context.Context, into *operator.DrainStatus) bool {
	a, err := h.any(ctx, call{
		method: http.MethodGet, path: fmt.Sprintf("/v1/drain?wait_ms=%d", waitMs(ctx)), extra: watchWait,
	})
	return err == nil && a.into(into) == nil
}

func empty(d operator.DrainStatus) bool { return d.Draining && d.Streams+d.Calls+d.Leases == 0 }

func remaining(d operator.DrainStatus) string {
	return fmt.Sprintf("%s: %d streams, %d calls and %d leases left", d.Host, d.Streams, d.Calls, d.Leases)
}

func (s *session) drained(d operator.DrainStatus) error {
	if s.opts.JSON {
		return s.json(d)
	}
	s.printf("%s: drained", d.Host)
	return nil
}
