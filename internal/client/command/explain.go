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

// maxAsked bounds the hosts asked at once, of up to 410.
const maxAsked = 32

type explainCommand struct {
	execute
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"value of the Request-Id header"`
	} `positional-args:"yes" required:"yes"`
}

func (c *explainCommand) run(ctx context.Context, s *session) error {
	h, err := s.hosts()
	if err != nil {
		return err
	}
	all := s.operatorAddresses(ctx, h)
	a := operator.ExplainAnswer{Request: table.RequestID(c.Args.Request)}
	var silent []string
	a.Decisions, silent = h.ask(ctx, all, "/v1/requests/"+url.PathEscape(c.Args.Request))
	for _, line := range silent {
		s.note("no answer from %s", line)
	}
	if len(silent) == len(all) {
		return fail(exitUnavailable, "no host answered")
	}
	if len(a.Decisions) == 0 {
		return fail(exitFailed, "request %s: no host that answered keeps a decision about it", c.Args.Request)
	}
	if s.opts.JSON {
		return s.json(a)
	}
	var rows [][]string
	for _, d := range a.Decisions {
		// Fields were decoded from JSON, so they can be encoded.
		fields, _ := json.Marshal(d.Fields)
		rows = append(rows, []string{d.Time.UTC().Format(time.RFC3339Nano), string(d.Host), d.Decision, string(fields)})
	}
	s.columns("TIME HOST DECISION FIELDS", rows)
	return nil
}

// operatorAddresses returns the hosts given, and those that one of them lists.
func (s *session) operatorAddresses(ctx context.Context, h *hosts) []string {
	all := slices.Clone(h.list)
	var st operator.Status
	if err := h.get(ctx, "/v1/status", &st); err != nil {
		s.note("the other hosts are not known: %v", err)
		return all
	}
	for _, host := range st.Hosts {
		if host.Operator != "" && !slices.Contains(all, host.Operator) {
			all = append(all, host.Operator)
		}
	}
	return all
}

// ask collects the decisions of all hosts in the order of time, and names the hosts that gave no answer.
func (h *hosts) ask(ctx context.Context, all []string, path string) ([]operator.Decision, []string) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var found []operator.Decision
	var silent []string
	places := semaphore.NewWeighted(maxAsked)
	for _, host := range all {
		wait.Go(func() {
			var a operator.ExplainAnswer
			err := places.Acquire(ctx, 1)
			var said answer
			if err == nil {
				said, err = h.one(ctx, host, call{method: http.MethodGet, path: path})
				places.Release(1)
			}
			if err == nil && said.status != http.StatusNotFound {
				err = said.into(&a)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, host+": "+cause(err).Error())
			}
			for _, d := range a.Decisions {
				if d.Host == "" {
					d.Host = table.HostID(host)
				}
				found = append(found, d)
			}
		})
	}
	wait.Wait()
	slices.Sort(silent)
	slices.SortStableFunc(found, func(a, b operator.Decision) int { return a.Time.Compare(b.Time) })
	return found, silent
}
