package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/peer/hostpb"
)

// reporter holds the state of the demand reports to one host.
type reporter struct {
	next time.Time
	busy bool
	// doubtful lists by service the endpoints whose descriptions the host must read again.
	doubtful map[table.ServiceID][]string
}

func (f *Fleet) reporter(host table.HostID) *reporter {
	rep := f.reporters[host]
	if rep == nil {
		rep = &reporter{doubtful: map[table.ServiceID][]string{}}
		f.reporters[host] = rep
	}
	return rep
}

// dueReports returns the demand reports that are due, one for each owner.
func (f *Fleet) dueReports(ctx context.Context, now time.Time) []func() {
	targets := f.reportTargets()
	for host := range f.reporters {
		if targets[host] == nil {
			delete(f.reporters, host)
		}
	}
	var work []func()
	for host, services := range targets {
		rep := f.reporter(host)
		if rep.busy || now.Before(rep.next) {
			continue
		}
		rep.busy = true
		in := f.demandRequest(now, services, rep)
		work = append(work, func() { f.sendReport(ctx, host, rep, in) })
	}
	return work
}

// reportTargets holds the units to report on by host and service. A service without units only requests its
// catalog.
type reportTargets map[table.HostID]map[*service][]*unit

func (t reportTargets) add(host table.HostID, svc *service, units ...*unit) {
	if host == "" {
		return
	}
	if t[host] == nil {
		t[host] = map[*service][]*unit{}
	}
	t[host][svc] = append(t[host][svc], units...)
}

// reportTargets groups the due reports by host: to the owners of the units that this host uses, and to the
// owners of services of which it has no catalog or polls pipelines.
func (f *Fleet) reportTargets() reportTargets {
	out := reportTargets{}
	for _, svc := range f.services {
		polls, responsive := false, false
		for _, u := range svc.units {
			if u.needsReport() {
				out.add(u.owner, svc, u)
				responsive = responsive || !u.lost
			}
			polls = polls || u.owned()
		}
		switch {
		case svc.plain:
		case !svc.owned() && (polls || !responsive):
			out.add(svc.owner, svc)
		case svc.owned() && svc.catalog.generation == 0:
			// An owner that has just started gets the last catalog from the next host in the ranking.
			if ranked := svc.ranking(); len(ranked) > 1 {
				out.add(ranked[1], svc)
			}
		}
	}
	return out
}

func (f *Fleet) demandRequest(now time.Time, services map[*service][]*unit, rep *reporter) *hostpb.ReportDemandRequest {
	in := &hostpb.ReportDemandRequest{Host: string(f.cfg.Self)}
	f.demandMu.Lock()
	defer f.demandMu.Unlock()
	for svc, units := range services {
		d := &hostpb.ServiceDemand{
			Service: string(svc.id), Catalog: svc.catalog.generation, CatalogHost: svc.catalog.writer(),
			Doubtful: rep.doubtful[svc.id],
		}
		delete(rep.doubtful, svc.id)
		if len(units) > 0 {
			for k, row := range f.demands[svc.id] {
				d.Demands = append(d.Demands, &hostpb.WorkspaceDemand{
					Workspace: workspaceHash(k.workspace), Priority: uint32(k.priority),
					Running: uint32(row.running), Queued: uint32(row.queued),
				})
			}
			d.UsedSlots = uint32(svc.usedSlots())
		}
		for _, u := range units {
			d.Pipelines = append(d.Pipelines, u.pipelineUse(now))
		}
		in.Services = append(in.Services, d)
	}
	slices.SortFunc(in.Services, func(a, b *hostpb.ServiceDemand) int { return strings.Compare(a.GetService(), b.GetService()) })
	return in
}

func (s *service) usedSlots() int {
	n := 0
	for _, u := range s.units {
		if u.used && !u.lost {
			n += u.slots
		}
	}
	return n
}

func (u *unit) pipelineUse(now time.Time) *hostpb.PipelineUse {
	out := &hostpb.PipelineUse{Pipeline: u.hash}
	if u.grantOwner == u.owner {
		out.Applied = u.applied
	}
	if left := u.heldUntil.Sub(now); left > 0 {
		out.Held, out.HeldMs = uint32(u.held), uint32(left.Milliseconds()+1)
	}
	if u.position != (position{}) {
		out.Position = &hostpb.CachePosition{Incarnation: u.position.incarnation, Sequence: u.position.sequence}
	}
	return out
}

func (f *Fleet) sendReport(ctx context.Context, host table.HostID, rep *reporter, in *hostpb.ReportDemandRequest) {
	sent := f.cfg.Clock()
	out, err := f.reportDemandTo(ctx, host, in)
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	rep.busy = false
	if err != nil {
		rep.next = f.cfg.Clock().Add(reportRetryDelay)
		if f.catalogMissing(in) {
			rep.next = f.cfg.Clock().Add(catalogRetryDelay)
		}
		for _, d := range in.GetServices() {
			id := table.ServiceID(d.GetService())
			rep.doubtful[id] = append(rep.doubtful[id], d.GetDoubtful()...)
		}
	} else {
		rep.next = sent.Add(reportInterval)
		f.handleReply(host, sent, in, out)
		if f.catalogMissing(in) {
			rep.next = f.cfg.Clock().Add(catalogRetryDelay)
		}
	}
	stale := f.assignmentsStale
	f.markUnanswered(host, sent, in, out)
	f.mu.Unlock()
	f.flush()
	if stale {
		f.requestStep()
	}
}

// catalogMissing reports whether this host still has no catalog of a service in the report.
func (f *Fleet) catalogMissing(in *hostpb.ReportDemandRequest) bool {
	for _, d := range in.GetServices() {
		if svc := f.services[table.ServiceID(d.GetService())]; svc != nil && !svc.plain && svc.catalog.generation == 0 {
			return true
		}
	}
	return false
}

// markUnanswered marks the units of the report that are missing from the reply, if there is one.
func (f *Fleet) markUnanswered(host table.HostID, sent time.Time, in *hostpb.ReportDemandRequest, out *hostpb.ReportDemandReply) {
	units := f.reportedUnits(in)
	for _, p := range out.GetPipelines() {
		delete(units, p.GetPipeline())
	}
	for _, u := range units {
		if u.owner == host && u.unansweredSince.IsZero() {
			u.unansweredSince = sent
		}
	}
}

func (f *Fleet) reportDemandTo(ctx context.Context, host table.HostID, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	if host == f.cfg.Self {
		return f.ReportDemand(ctx, in)
	}
	address, ok := f.cfg.Address(host)
	if !ok {
		return nil, errOwnerAddressMissing
	}
	return f.cfg.Peers.ReportDemand(ctx, address, in)
}

// handleReply applies the reply of an owner.
func (f *Fleet) handleReply(host table.HostID, sent time.Time, in *hostpb.ReportDemandRequest, out *hostpb.ReportDemandReply) {
	for _, d := range in.GetServices() {
		if svc := f.services[table.ServiceID(d.GetService())]; svc != nil && d.GetCatalog() == 0 {
			svc.secondHostReplied = true
		}
	}
	now := f.cfg.Clock()
	var grants []routing.GrantConfig
	for _, w := range out.GetCatalogs() {
		svc := f.services[table.ServiceID(w.GetService())]
		if c := catalogFromProto(w); svc != nil && !svc.plain && c.newer(svc.catalog.generation, svc.catalog.writer()) {
			svc.setCatalog(c)
			svc.dirty = true
		}
	}
	units := f.reportedUnits(in)
	for _, p := range out.GetPipelines() {
		u := units[p.GetPipeline()]
		if u == nil || u.owner != host {
			continue
		}
		u.unansweredSince = time.Time{}
		if !u.owned() {
			u.setLost(p.GetLost())
			f.applyLoads(now, u, p)
		}
		if g := p.GetGrant(); g != nil {
			grants = append(grants, f.applyGrant(u, host, sent, now, g)...)
		}
	}
	if len(grants) > 0 {
		f.events = append(f.events, routing.NewGrants(grants))
	}
}

func (f *Fleet) reportedUnits(in *hostpb.ReportDemandRequest) map[uint64]*unit {
	out := map[uint64]*unit{}
	for _, d := range in.GetServices() {
		svc := f.services[table.ServiceID(d.GetService())]
		if svc == nil {
			continue
		}
		for _, p := range d.GetPipelines() {
			if u := svc.byHash[p.GetPipeline()]; u != nil {
				out[u.hash] = u
			}
		}
	}
	return out
}

// applyGrant records a grant. It counts the lifetime from before the report was sent, so that the grant ends
// on this host before its owner gives the slots to another one.
func (f *Fleet) applyGrant(u *unit, host table.HostID, sent, now time.Time, g *hostpb.Grant) []routing.GrantConfig {
	until := sent.Add(time.Duration(g.GetLifetimeMs()) * time.Millisecond)
	// An owner whose time of day was set back before it restarted begins with a lower sequence number. Order matters only
	// while the earlier grant is valid.
	outdated := u.grantOwner == host && g.GetSequence() <= u.applied && now.Before(u.heldUntil)
	if !until.After(now) || outdated {
		return nil
	}
	u.grantOwner, u.applied = host, g.GetSequence()
	u.held, u.heldUntil = int(g.GetSlots()), until
	// Grants get a new sequence number here, because routing has one sequence for each pipeline and the
	// numbers of different owners are unrelated.
	f.appliedGrants++
	return []routing.GrantConfig{{
		Pipeline: u.id, Slots: u.held, Sequence: f.appliedGrants, Lifetime: until.Sub(now),
	}}
}

func (f *Fleet) applyLoads(now time.Time, u *unit, p *hostpb.PipelineReport) {
	stages := u.pipeline.Stages()
	for i, l := range p.GetLoads() {
		if i >= len(stages) || l.GetIncarnation() == 0 {
			continue
		}
		id := stages[i].Endpoint()
		f.observeIncarnation(id, l.GetIncarnation())
		f.events = append(f.events, routing.NewLoad(routing.LoadConfig{
			Endpoint: id, Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()),
			Step: time.Duration(l.GetStepUs()) * time.Microsecond, MeasuredAt: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond),
		}))
	}
	var events []routing.CacheEventConfig
	if u.position.incarnation != p.GetEventsIncarnation() {
		u.position = position{incarnation: p.GetEventsIncarnation()}
	}
	for _, e := range p.GetEvents() {
		if e.GetSequence() <= u.position.sequence {
			continue
		}
		u.position.sequence = e.GetSequence()
		kind := routing.CacheStored
		if e.GetEvicted() {
			kind = routing.CacheEvicted
		}
		events = append(events, routing.CacheEventConfig{Sequence: e.GetSequence(), Kind: kind, Prefix: e.GetPrefix()})
	}
	if len(events) > 0 {
		f.events = append(f.events, routing.NewCacheEvents(stages[0].Endpoint(), events))
	}
}
