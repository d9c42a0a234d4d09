package run

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/journal"
	"waxwingplank/internal/ingress/caller"
)

// maxAddresses limits the length of an address list. A caller tries only a few hosts before it requests a new list.
const maxAddresses = 8

// Addresses implements caller.Backend.
func (d *Daemon) Addresses(_ context.Context, service table.ServiceID) ([]caller.Address, time.Duration, error) {
	var out []caller.Address
	for _, a := range d.members.Addresses(membership.AddressQuery{Service: service, Limit: maxAddresses}) {
		out = append(out, caller.Address{Address: a.Address, FailureDomain: a.FailureDomain})
	}
	return out, membership.AddressLifetime, nil
}

// Workspace implements caller.Backend.
func (d *Daemon) Workspace(token, name string, firstSend bool) (table.WorkspaceID, error) {
	return d.tokens.Workspace(token, name, firstSend)
}

// ForwardTarget implements caller.Backend.
func (d *Daemon) ForwardTarget(req caller.Request, call *caller.CallRequest) (table.HostID, bool) {
	if req.Hops >= maxHops {
		return "", false
	}
	if to, ok := d.callOwner(req, call); ok && to != d.settings.Host() {
		d.journal.Decision(req.ID, "pass_on", journal.Fields{"to": string(to), "cause": "claim_shard_owner"})
		return to, true
	}
	if !d.draining.Load() {
		return "", false
	}
	// A caller with a stale address is still served, by a host that is not leaving.
	others := slices.DeleteFunc(d.members.Live(), func(h table.HostID) bool { return h == d.settings.Host() })
	if len(others) == 0 {
		return "", false
	}
	to := membership.Owner(string(req.ID), others)
	d.journal.Decision(req.ID, "pass_on", journal.Fields{"to": string(to), "cause": "host_leaving"})
	return to, true
}

// callOwner returns the host that writes the claim shard of a call that may not be repeated. Any host can write any
// shard, so a wrong result only causes write conflicts.
func (d *Daemon) callOwner(req caller.Request, call *caller.CallRequest) (table.HostID, bool) {
	if call == nil {
		return "", false
	}
	doc, ok := d.members.Document(req.Service)
	if !ok {
		return "", false
	}
	rule, ok := matchCall(doc, call.Method, call.Path)
	if !ok || rule.Repeatable {
		return "", false
	}
	key, err := claim.NewKey(claim.KeyConfig{Workspace: req.Workspace, Service: req.Service, Text: req.Key})
	if err != nil {
		return "", false
	}
	owner := membership.ShardOwner(key.Shard(d.settings.ClaimShards()), d.members.Live())
	return owner, owner != ""
}

// matchCall returns the document's rule for a call: the one with the longest path that is a prefix of the call's path.
func matchCall(doc document.Document, method, path string) (document.Call, bool) {
	path, _, _ = strings.Cut(path, "?")
	var best document.Call
	found := false
	for _, c := range doc.Calls() {
		matches := c.Method == method && (path == c.Path || strings.HasPrefix(path, c.Path+"/"))
		if matches && (!found || len(c.Path) > len(best.Path)) {
			best, found = c, true
		}
	}
	return best, found
}

// requestRules are the settings of the service's document that apply to one request.
type requestRules struct {
	doc        document.Document
	weight     int
	priority   int
	firstToken time.Duration
}

// startupGrace is how long after its start a host may still be missing documents. It requests them from the platform
// and from its peers immediately, each with a timeout of 1 s.
const startupGrace = 2 * time.Second

// document returns the document of the service. Within the startup grace period it waits for the document: a host
// receives requests before it has read any, because other hosts list its address from its first heartbeat.
func (d *Daemon) document(ctx context.Context, service table.ServiceID) (document.Document, bool) {
	for {
		doc, ok := d.members.Document(service)
		if ok || ctx.Err() != nil || time.Since(d.started) > startupGrace {
			return doc, ok
		}
		sleep(ctx, pollInterval)
	}
}

// rulesFor returns the rules for the request, or a refusal if the document of the service does not allow it.
func (d *Daemon) rulesFor(ctx context.Context, req caller.Request, kind document.Kind) (requestRules, error) {
	doc, ok := d.document(ctx, req.Service)
	if !ok {
		return requestRules{}, d.newRefusal(req, outcome.NotFound, fmt.Sprintf("service %q is not known to this host", req.Service))
	}
	if doc.Kind() != kind {
		return requestRules{}, d.newRefusal(req, outcome.BadRequest, fmt.Sprintf("service %q is of kind %s", req.Service, doc.Kind()))
	}
	out := requestRules{doc: doc, weight: 1}
	share, listed := doc.Workspace(string(req.Workspace))
	if listed {
		out.weight = int(share.Weight)
	}
	if !listed && !doc.AllowsAllWorkspaces() {
		return out, d.newRefusal(req, outcome.Forbidden, fmt.Sprintf("workspace %q is not in the document of service %q", req.Workspace, req.Service))
	}
	known := req.Kind == ""
	for _, k := range doc.Kinds() {
		// A request without a kind gets the lowest priority in the document.
		if req.Kind == "" && int(k.Priority) >= out.priority {
			out.priority, out.firstToken = int(k.Priority), time.Duration(k.FirstTokenMs)*time.Millisecond
		}
		if k.Name == req.Kind {
			out.priority, out.firstToken, known = int(k.Priority), time.Duration(k.FirstTokenMs)*time.Millisecond, true
		}
	}
	if !known {
		return out, d.newRefusal(req, outcome.BadRequest, fmt.Sprintf("kind %q is not in the document of service %q", req.Kind, req.Service))
	}
	return out, nil
}

// isFirstSend reports whether the request can be taken for the only copy that exists. The declaration of the caller does
// not hold for ever for a call that may not be repeated: where a host answers late, callers turn to another one.
func (d *Daemon) isFirstSend(req caller.Request) bool {
	if !req.FirstSend || req.Key == "" {
		return req.FirstSend
	}
	now := time.Now()
	return outcome.Copy{Received: req.Received, Resumed: d.pauses.check(now)}.IsSole(now)
}

func (d *Daemon) newRefusal(req caller.Request, code outcome.Code, message string) *outcome.Refusal {
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code: code, Message: message, Facts: outcome.Facts{FirstSend: d.isFirstSend(req)},
	})
}

// refusalFrom returns err if it is a refusal already, and otherwise wraps it in a refusal, such as one for an expired
// context. The facts describe how far the request got.
func refusalFrom(err error, facts outcome.Facts) error {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	code, message := outcome.Internal, err.Error()
	if errors.Is(err, context.DeadlineExceeded) {
		code, message = outcome.Timeout, "the time limit of the request passed"
	}
	return outcome.NewRefusal(outcome.RefusalConfig{Code: code, Message: message, Facts: facts})
}
