package command

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/ingress/operator"
)

// applyExtraTimeout is added to the timeout of a write. A host whose write gets no response reads the document back
// for up to 5 s.
const applyExtraTimeout = 5 * time.Second

type applyCommand struct {
	baseCommand
	DryRun  bool          `long:"dry-run" description:"check and show the changes only"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to wait until the change is in force everywhere"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"service document"`
	} `positional-args:"yes" required:"yes"`
}

// applyResult is the output of apply with --json.
type applyResult struct {
	operator.ChangeResponse
	DryRun     bool           `json:"dry_run,omitempty"`
	InForce    uint64         `json:"in_force"`
	NotInForce []table.HostID `json:"not_in_force"`
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	data, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	d, err := document.Parse(data)
	if err != nil {
		return fail(exitBadInput, "%s", checkData(c.Args.File, data))
	}
	h, err := s.newHostClient()
	if err != nil {
		return err
	}
	checked, err := h.check(ctx, d, data)
	if err != nil {
		return err
	}
	s.showChanges(checked)
	base := checked.Base
	if d.Generation() != 0 {
		base = d.Generation()
	}
	if c.DryRun {
		if base != checked.Base && len(checked.Changes) > 0 {
			return fail(exitConflict, "the file is based on generation %d, but generation %d is in force", base, checked.Base)
		}
		return s.showApplied(applyResult{ChangeResponse: checked, DryRun: true, InForce: checked.Base})
	}
	result := checked
	if len(checked.Changes) > 0 {
		if result, err = s.write(ctx, h, d, data, base); err != nil {
			return err
		}
		result.Changes = checked.Changes
	} else {
		result.Generation = checked.Base
	}
	status, err := s.awaitInForce(ctx, h, d.Service(), result.Generation, c.Timeout)
	if err != nil {
		return err
	}
	return s.showApplied(applyResult{ChangeResponse: result, InForce: status.InForce, NotInForce: status.NotInForce})
}

// check sends the document to a host for validation, because the host's rules may be newer than those of this program.
func (h *hostClient) check(ctx context.Context, d document.Document, data []byte) (operator.ChangeResponse, error) {
	var checked operator.ChangeResponse
	resp, err := h.callAny(ctx, call{method: http.MethodPost, path: "/v1/services/" + string(d.Service()) + "/check", body: data})
	if err != nil {
		return checked, err
	}
	if detail := resp.detail(); detail.Code == operator.BadDocument {
		return checked, fail(exitBadInput, "host %s: line %d: %s: %s", resp.host, detail.Line, detail.Field, detail.Message)
	}
	return checked, resp.decode(&checked)
}

func (s *session) showChanges(c operator.ChangeResponse) {
	if len(c.Changes) == 0 {
		s.note("%s: no change from generation %d", c.Service, c.Base)
		return
	}
	s.note("%s: changes from generation %d:", c.Service, c.Base)
	for _, line := range c.Changes {
		s.note("  %s", line)
	}
}

func (s *session) showApplied(r applyResult) error {
	if r.NotInForce == nil {
		r.NotInForce = []table.HostID{}
	}
	if s.opts.JSON {
		return s.json(r)
	}
	switch {
	case r.DryRun:
		s.printf("%s: checked, nothing was written", r.Service)
	case len(r.NotInForce) > 0:
		s.printf("%s: generation %d is in force on all hosts that can be reached; not on %s",
			r.Service, r.Generation, hostNames(r.NotInForce))
	default:
		s.printf("%s: generation %d is in force everywhere", r.Service, r.Generation)
	}
	return nil
}

// write writes the document to the object API through one of the hosts.
//
// A write whose response is lost is sent again through the next host. This is safe because the write
// is conditional: it succeeds at most once for each base generation.
func (s *session) write(ctx context.Context, h *hostClient, d document.Document, data []byte, base uint64) (operator.ChangeResponse, error) {
	c := call{method: http.MethodPut, path: "/v1/services/" + string(d.Service()), body: data, extraTimeout: applyExtraTimeout}
	c.header = map[string]string{"If-Match": strconv.FormatUint(base, 10)}
	if base == 0 {
		c.header = map[string]string{"If-None-Match": "*"}
	}
	uncertain := false
	var failures []string
	for _, host := range h.addresses {
		resp, err := h.callHost(ctx, host, c)
		if err != nil {
			uncertain = uncertain || !neverSent(err)
			failures = append(failures, fmt.Sprintf("%s: %v", host, shortError(err)))
			continue
		}
		detail := resp.detail()
		if resp.status == http.StatusGatewayTimeout || detail.Outcome == outcome.MayHaveRun {
			uncertain = true
			failures = append(failures, fmt.Sprintf("%s: %s", host, detail.Message))
			continue
		}
		if resp.status == http.StatusConflict {
			return s.resolveConflict(d, base, uncertain, detail)
		}
		var written operator.ChangeResponse
		err = resp.decode(&written)
		// Another host may still be able to reach the object API.
		tryNext := detail.Code == outcome.PlatformUnavailable || detail.Code == outcome.Leaving
		if err == nil || !uncertain && !tryNext {
			return written, err
		}
		failures = append(failures, err.Error())
	}
	if uncertain {
		return operator.ChangeResponse{}, fail(exitOutcomeUnknown, "outcome unknown: generation %d of %s may have been written; see 'get %s' (%s)",
			base+1, d.Service(), d.Service(), strings.Join(failures, "; "))
	}
	return operator.ChangeResponse{}, fail(exitUnavailable, "nothing was written: %s", strings.Join(failures, "; "))
}

// resolveConflict handles a write that was refused because another generation is stored. After a write of unknown
// outcome the stored document may be the one that this command wrote; this counts as success.
func (s *session) resolveConflict(d document.Document, base uint64, uncertain bool, detail operator.ErrorDetail) (operator.ChangeResponse, error) {
	none := operator.ChangeResponse{}
	if len(detail.Theirs) == 0 {
		return none, fail(exitConflict, "conflict: the file is based on generation %d of %s, but no such service is stored", base, d.Service())
	}
	theirs, err := document.Parse(detail.Theirs)
	if err != nil {
		return none, fail(exitConflict, "conflict: %s", detail.Message)
	}
	changes := document.Diff(theirs, d)
	if uncertain && theirs.Generation() == base+1 && len(changes) == 0 {
		return operator.ChangeResponse{Service: d.Service(), Base: base, Generation: theirs.Generation()}, nil
	}
	if uncertain && theirs.Generation() > base+1 {
		return none, fail(exitOutcomeUnknown, "outcome unknown: generation %d of %s is stored; generation %d may have been this change",
			theirs.Generation(), d.Service(), base+1)
	}
	if s.opts.JSON {
		if err := s.json(map[string]any{"conflict": map[string]any{
			"expected": base, "yours": detail.Yours, "theirs": detail.Theirs, "differences": changes,
		}}); err != nil {
			return none, err
		}
	}
	s.note("generation %d differs from your file (theirs -> yours):", theirs.Generation())
	for _, line := range changes {
		s.note("  %s", line)
	}
	return none, fail(exitConflict, "conflict: your change of %s is based on generation %d, but generation %d is stored",
		d.Service(), base, theirs.Generation())
}
