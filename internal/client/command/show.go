package command

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"waxwingplank/internal/ingress/operator"
)

type getCommand struct {
	baseCommand
	Args struct {
		Service string `positional-arg-name:"NAME" description:"service"`
	} `positional-args:"yes" required:"yes"`
}

func servicePath(name string) string { return "/v1/services/" + url.PathEscape(name) }

func (c *getCommand) run(ctx context.Context, s *session) error {
	h, err := s.newHostClient()
	if err != nil {
		return err
	}
	var resp operator.ServiceResponse
	if err := h.get(ctx, servicePath(c.Args.Service), &resp); err != nil {
		return err
	}
	if s.opts.JSON {
		return s.json(resp)
	}
	return s.json(resp.Document)
}

type addressesCommand struct {
	baseCommand
	Args struct {
		Service string `positional-arg-name:"SERVICE" description:"service"`
	} `positional-args:"yes" required:"yes"`
}

func (c *addressesCommand) run(ctx context.Context, s *session) error {
	h, err := s.newHostClient()
	if err != nil {
		return err
	}
	var resp operator.AddressesResponse
	if err := h.get(ctx, "/v1/addresses?service="+url.QueryEscape(c.Args.Service), &resp); err != nil {
		return err
	}
	if s.opts.JSON {
		return s.json(resp)
	}
	var rows [][]string
	for _, e := range resp.Addresses {
		rows = append(rows, []string{e.Address, e.FailureDomain})
	}
	s.columns("ADDRESS FAILURE-DOMAIN", rows)
	return nil
}

type statusCommand struct {
	baseCommand
	Args struct {
		Part string `positional-arg-name:"hosts|endpoints|services|leases" description:"part to show; all without it"`
	} `positional-args:"yes"`
}

// part is one table of the status.
type part struct {
	name string
	data any
	show func()
}

func (c *statusCommand) run(ctx context.Context, s *session) error {
	parts := map[string]bool{"": true, "hosts": true, "endpoints": true, "services": true, "leases": true}
	if !parts[c.Args.Part] {
		return fail(exitBadInput, "status has no part %q; it has hosts, endpoints, services and leases", c.Args.Part)
	}
	h, err := s.newHostClient()
	if err != nil {
		return err
	}
	var st operator.Status
	if err := h.get(ctx, "/v1/status", &st); err != nil {
		return err
	}
	if s.opts.JSON && c.Args.Part == "" {
		return s.json(st)
	}
	for i, p := range []part{
		{"hosts", st.Hosts, func() { s.showHosts(st.Hosts) }},
		{"endpoints", st.Endpoints, func() { s.showEndpoints(st.Endpoints) }},
		{"services", st.Services, func() { s.showServices(st.Services) }},
		{"leases", st.Leases, func() { s.showLeases(st.Leases) }},
	} {
		if p.name == c.Args.Part && s.opts.JSON {
			return s.json(p.data)
		}
		if c.Args.Part == "" && i > 0 {
			s.printf("")
		}
		if c.Args.Part == "" || p.name == c.Args.Part {
			p.show()
		}
	}
	return nil
}

func formatPermille(n int) string { return fmt.Sprintf("%d.%d%%", n/10, n%10) }

func (s *session) showHosts(list []operator.HostStatus) {
	var rows [][]string
	for _, h := range list {
		relay := ""
		if h.Relay {
			relay = "relay"
		}
		rows = append(rows, []string{string(h.Host), h.State, relay, formatPermille(h.LoadPermille), h.FailureDomain, h.Region, h.Address, h.OperatorAddress})
	}
	s.columns("HOST STATE RELAY LOAD FAILURE-DOMAIN REGION ADDRESS OPERATOR-ADDRESS", rows)
}

func (s *session) showEndpoints(list []operator.EndpointStatus) {
	var rows [][]string
	for _, e := range list {
		rows = append(rows, []string{string(e.Endpoint), string(e.Owner), formatSpeed(e.SpeedPermille), e.Health, e.FailureDomain})
	}
	s.columns("ENDPOINT OWNER SPEED HEALTH FAILURE-DOMAIN", rows)
}

func (s *session) showServices(list []operator.ServiceStatus) {
	var rows [][]string
	for _, v := range list {
		rows = append(rows, []string{
			string(v.Service), v.Owner, strconv.FormatUint(v.Generation, 10), strconv.FormatUint(v.InForce, 10), hostNames(v.NotInForce), formatProblems(v),
		})
	}
	s.columns("SERVICE OWNER GENERATION IN-FORCE NOT-IN-FORCE-ON PROBLEMS", rows)
}

func formatProblems(v operator.ServiceStatus) string {
	var out []string
	for _, p := range v.Short {
		out = append(out, fmt.Sprintf("short of %s: %d of %d", p.Resource, p.Available, p.Wanted))
	}
	for _, p := range v.Unplaced {
		out = append(out, fmt.Sprintf("%s is not placed: %s", p.Part, p.Reason))
	}
	return strings.Join(out, "; ")
}

func (s *session) showLeases(list []operator.LeaseStatus) {
	var rows [][]string
	for _, l := range list {
		rows = append(rows, []string{l.Lease, string(l.Holder), strconv.FormatInt(l.Fence, 10)})
	}
	s.columns("LEASE HOLDER FENCE", rows)
}

// formatSpeed formats a measured speed, or returns a dash if the host has no measurement.
func formatSpeed(n int) string {
	if n == 0 {
		return "-"
	}
	return formatPermille(n)
}
