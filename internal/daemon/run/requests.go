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

// maxAddresses bounds an address answer: a caller tries a few hosts before it asks again.
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
	if to, ok := d.callOwner(req, call); ok && to != d.set.Host() {
		d.journal.Decision(req.ID, "pass_on", journal.Fields{"to": string(to), "cause": "claim_shard_owner"})
		return to, true
	}
	if !d.draining.Load() {
		return "", false
	}
	// A caller with a stale address is served all the same, by a host that stays.
	others := slices.DeleteFunc(d.members.Live(), func(h table.HostID) bool { return h == d.set.Host() })
	if len(others) == 0 {
		return "", false
	}
	to := membership.Owner(string(req.ID), others)
	d.journal.Decision(req.ID, "pass_on", journal.Fields{"to": string(to), "cause": "host_leaving"})
	return to, true
}

// callOwner returns the host that writes the claim shard of a call that may not be repeated. Any host can
// write any shard, so a wrong answer costs conflicts and nothing else.
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
	owner := membership.ShardOwner(key.Shard(d.set.ClaimShards()), d.members.Live())
	return owner, owner != ""
}

// matchCall returns the rule of the document for a call: the longest path that the call starts with.
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

// rules are what the service's document says about one request.
type rules struct {
	doc        document.Document
	weight     int
	priority   int
	firstToken time.Duration
}

// startGrace is how long after its start a host may lack documents: it asks the platform and its peers at
// once, and each has 1 s to answer.
const startGrace = 2 * time.Second

// document returns the document of the service. A host that has just started is asked before it has
// read any, since its address is in the answers of other hosts from its first heartbeat on.
func (d *Daemon) document(ctx context.Context, service table.ServiceID) (document.Document, bool) {
	for {
		doc, ok := d.members.Document(service)
		if ok || ctx.Err() != nil || time.Since(d.started) > startGrace {
			return doc, ok
		}
		wait(ctx, pollEvery)
	}
}

// rulesFor returns the rules of the request, or the refusal where its document does not allow it.
func (d *Daemon) rulesFor(ctx context.Context, req caller.Request, kind document.Kind) (rules, error) {
	doc, ok := d.document(ctx, req.Service)
	if !ok {
		return rules{}, d.refuse(req, outcome.NotFound, fmt.Sprintf("service %q is not known to this host", req.Service))
	}
	if doc.Kind() != kind {
		return rules{}, d.refuse(req, outcome.BadRequest, fmt.Sprintf("service %q is of kind %s", req.Service, doc.Kind()))
	}
	out := rules{doc: doc, weight: 1}
	share, named := doc.Workspace(string(req.Workspace))
	if named {
		out.weight = int(share.Weight)
	}
	if !named && !doc.AllowsAllWorkspaces() {
		return out, d.refuse(req, outcome.Forbidden, fmt.Sprintf("workspace %q is not in the document of service %q", req.Workspace, req.Service))
	}
	known := req.Kind == ""
	for _, k := range doc.Kinds() {
		// A request that names no kind gets the lowest priority of the document.
		if req.Kind == "" && int(k.Priority) >= out.priority {
			out.priority, out.firstToken = int(k.Priority), time.Duration(k.FirstTokenMs)*time.Millisecond
		}
		if k.Name == req.Kind {
			out.priority, out.firstToken, known = int(k.Priority), time.Duration(k.FirstTokenMs)*time.Millisecond, true
		}
	}
	if !known {
		return out, d.refuse(req, outcome.BadRequest, fmt.Sprintf("kind %q is not in the document of service %q", req.Kind, req.Service))
	}
	return out, nil
}

func (d *Daemon) refuse(req caller.Request, code outcome.Code, message string) *outcome.Refusal {
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code: code, Message: message, Facts: outcome.Facts{FirstSend: req.FirstSend},
	})
}

// ended turns the end of a request's context into a refusal; facts say how far the request got.
func ended(err error, facts outcome.Facts) error {
	var known *outcome.Refusal
	if errors.As(err, &known) {
		return known
	}
	code, message := outcome.Internal, err.Error()
	if errors.Is(err, context.DeadlineExceeded) {
		code, message = outcome.Timeout, "the time limit of the request passed"
	}
	return outcome.NewRefusal(outcome.RefusalConfig{Code: code, Message: message, Facts: facts})
}
