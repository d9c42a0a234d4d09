package run

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/documents"
	"waxwingplank/internal/daemon/orders"
	"waxwingplank/internal/ingress/operator"
)

// operatorHandler returns the handler of the operator listener.
func (d *Daemon) operatorHandler() http.Handler {
	return operator.New(operator.Config{Backend: operatorBackend{daemon: d}})
}

// operatorBackend implements operator.Backend.
type operatorBackend struct{ daemon *Daemon }

// IsOperator implements operator.Backend.
func (o operatorBackend) IsOperator(token string) bool { return o.daemon.tokens.Operator(token) }

// Documents implements operator.Backend.
func (o operatorBackend) Documents() []document.Document { return o.daemon.members.Documents() }

// Document implements operator.Backend.
func (o operatorBackend) Document(service table.ServiceID) (document.Document, bool) {
	return o.daemon.members.Document(service)
}

// Service implements operator.Backend.
func (o operatorBackend) Service(service table.ServiceID) (operator.ServiceStatus, bool) {
	doc, ok := o.daemon.members.Document(service)
	if !ok {
		return operator.ServiceStatus{}, false
	}
	var unplaced []operator.Unplaced
	addresses, _ := o.daemon.fleet.Unplaced(service)
	for _, address := range addresses {
		unplaced = append(unplaced, operator.Unplaced{Part: address, Reason: "not described, or in no pipeline that covers every layer"})
	}
	return operator.ServiceStatus{
		Unplaced: unplaced,
		Service:  service, Owner: doc.Owner(), Generation: doc.Generation(),
		InForce: o.daemon.members.InForce(service), NotInForce: append([]table.HostID{}, o.daemon.members.Behind(service)...),
	}, true
}

// Apply implements operator.Backend.
func (o operatorBackend) Apply(ctx context.Context, doc document.Document, expected uint64) (document.Document, error) {
	written, err := documents.Apply(ctx, objects{client: o.daemon.objects}, doc, expected)
	var conflict *documents.Conflict
	switch {
	case err == nil:
		o.daemon.members.AdoptWritten(written)
		return written, nil
	case errors.As(err, &conflict):
		return document.Document{}, operator.NewConflict(conflict.Expected(), conflict.Refused(), conflict.Stored())
	case errors.Is(err, documents.ErrUnknown):
		return document.Document{}, fmt.Errorf("%w: %w", operator.ErrOutcomeUnknown, err)
	case errors.Is(err, documents.ErrUnavailable):
		return document.Document{}, fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
	}
	return document.Document{}, err
}

// Status implements operator.Backend.
func (o operatorBackend) Status() operator.Status {
	m := o.daemon.members
	s := operator.Status{Host: o.daemon.settings.Host()}
	for _, view := range m.View() {
		h := view.Host()
		s.Hosts = append(s.Hosts, operator.HostStatus{
			Host: h.ID, Address: h.Address, OperatorAddress: h.Operator, FailureDomain: h.FailureDomain, Region: h.Region,
			State: string(view.State()), Relay: view.Relay(), LoadPermille: view.LoadPermille(),
		})
	}
	for _, e := range o.daemon.fleet.Endpoints() {
		health := "in use by this host"
		if !e.Used() {
			health = "not used by this host"
		}
		s.Endpoints = append(s.Endpoints, operator.EndpointStatus{Endpoint: e.Endpoint(), Owner: e.Owner(), Health: health})
	}
	for _, doc := range m.Documents() {
		service, _ := o.Service(doc.Service())
		s.Services = append(s.Services, service)
		lease := orders.LeaseName(doc.Service())
		if fence, held := o.daemon.leases.Held(lease); held {
			s.Leases = append(s.Leases, operator.LeaseStatus{Lease: lease, Holder: o.daemon.settings.Host(), Fence: fence})
		}
	}
	return s
}

// Addresses implements operator.Backend.
func (o operatorBackend) Addresses(ctx context.Context, service table.ServiceID) ([]operator.Address, time.Duration, error) {
	if _, ok := o.daemon.members.Document(service); !ok {
		return nil, 0, fmt.Errorf("service %s: %w", service, operator.ErrNotFound)
	}
	list, lifetime, err := o.daemon.Addresses(ctx, service)
	var out []operator.Address
	for _, a := range list {
		out = append(out, operator.Address(a))
	}
	return out, lifetime, err
}

// Drain implements operator.Backend.
func (o operatorBackend) Drain() { o.daemon.Drain("operator") }

// DrainStatus implements operator.Backend.
func (o operatorBackend) DrainStatus() operator.DrainStatus {
	streams, calls := int(o.daemon.inflight.streams.Load()), int(o.daemon.inflight.calls.Load())
	draining := o.daemon.draining.Load()
	return operator.DrainStatus{
		Host: o.daemon.settings.Host(), Draining: draining, Streams: streams, Calls: calls, Done: o.daemon.drained.Load(),
	}
}

// Explain implements operator.Backend.
func (o operatorBackend) Explain(request table.RequestID) []operator.Decision {
	var out []operator.Decision
	for _, l := range o.daemon.journal.Explain(request) {
		out = append(out, operator.Decision{Time: l.Time, Host: o.daemon.settings.Host(), Decision: l.Decision, Fields: l.Fields})
	}
	return out
}
