package command

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/ingress/operator"
)

// maxConcurrentCalls bounds the concurrent calls to the hosts of a deployment, which are up to 410.
const maxConcurrentCalls = 32

type explainCommand struct {
	baseCommand
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"value of the Request-Id header"`
	} `positional-args:"yes"`
	Logs    []string `long:"log" value-name:"FILE" description:"explain from a log of entry hosts in place of asking hosts; give it again for more logs; - is the standard input; gzip is read, too"`
	Summary bool     `long:"summary" description:"with --log: count all requests by ending and cause"`
}

func (c *explainCommand) run(ctx context.Context, s *session) error {
	switch {
	case c.Summary && (len(c.Logs) == 0 || c.Args.Request != ""):
		return fail(exitBadInput, "--summary needs --log and no REQUEST-ID")
	case !c.Summary && c.Args.Request == "":
		return fail(exitBadInput, "REQUEST-ID is missing")
	case len(c.Logs) > 0:
		return c.explainLogs(s)
	}
	h, err := s.newHostClient()
	if err != nil {
		return err
	}
	all := s.operatorAddresses(ctx, h)
	explained := operator.ExplainResponse{Request: table.RequestID(c.Args.Request)}
	var unanswered []string
	explained.Decisions, unanswered = h.collectDecisions(ctx, all, "/v1/requests/"+url.PathEscape(c.Args.Request))
	for _, line := range unanswered {
		s.note("no answer from %s", line)
	}
	if len(unanswered) == len(all) {
		return fail(exitUnavailable, "no host answered")
	}
	if len(explained.Decisions) == 0 {
		return fail(exitFailed, "request %s: no decision about it on the hosts that answered", c.Args.Request)
	}
	if s.opts.JSON {
		return s.json(explained)
	}
	var rows [][]string
	for _, d := range explained.Decisions {
		// The fields were decoded from JSON, so encoding them cannot fail.
		fields, _ := json.Marshal(d.Fields)
		rows = append(rows, []string{d.Time.UTC().Format(time.RFC3339Nano), string(d.Host), d.Decision, string(fields)})
	}
	s.columns("TIME HOST DECISION FIELDS", rows)
	return nil
}

// operatorAddresses returns the given hosts and the hosts in the status of one of them.
func (s *session) operatorAddresses(ctx context.Context, h *hostClient) []string {
	all := slices.Clone(h.addresses)
	var st operator.Status
	if err := h.get(ctx, "/v1/status", &st); err != nil {
		s.note("cannot list the other hosts: %v", err)
		return all
	}
	for _, host := range st.Hosts {
		if host.OperatorAddress != "" && !slices.Contains(all, host.OperatorAddress) {
			all = append(all, host.OperatorAddress)
		}
	}
	return all
}

// collectDecisions returns the decisions of all hosts, oldest first, and one line with host and error for each failed call.
func (h *hostClient) collectDecisions(ctx context.Context, all []string, path string) ([]operator.Decision, []string) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var found []operator.Decision
	var unanswered []string
	slots := semaphore.NewWeighted(maxConcurrentCalls)
	for _, host := range all {
		wait.Go(func() {
			var explained operator.ExplainResponse
			err := slots.Acquire(ctx, 1)
			var resp response
			if err == nil {
				resp, err = h.callHost(ctx, host, call{method: http.MethodGet, path: path})
				slots.Release(1)
			}
			if err == nil && resp.status != http.StatusNotFound {
				err = resp.decode(&explained)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, host+": "+shortError(err).Error())
			}
			for _, d := range explained.Decisions {
				if d.Host == "" {
					d.Host = table.HostID(host)
				}
				found = append(found, d)
			}
		})
	}
	wait.Wait()
	slices.Sort(unanswered)
	slices.SortStableFunc(found, func(a, b operator.Decision) int { return a.Time.Compare(b.Time) })
	return found, unanswered
}
