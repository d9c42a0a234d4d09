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

// asker reports demand to one other host.
type asker struct {
	next     time.Time
	busy     bool
	doubtful map[table.ServiceID][]string
}

func (f *Fleet) asker(host table.HostID) *asker {
	a := f.askers[host]
	if a == nil {
		a = &asker{doubtful: map[table.ServiceID][]string{}}
		f.askers[host] = a
	}
	return a
}

// ask returns the demand reports that are due, one for each owner.
func (f *Fleet) ask(ctx context.Context, now time.Time) []func() {
	questions := f.questions()
	for host := range f.askers {
		if questions[host] == nil {
			delete(f.askers, host)
		}
	}
	var work []func()
	for host, services := range questions {
		a := f.asker(host)
		if a.busy || now.Before(a.next) {
			continue
		}
		a.busy = true
		in := f.request(now, services, a)
		work = append(work, func() { f.send(ctx, host, a, in) })
	}
	return work
}

// questions holds the units to ask for by host and service; a service without units asks for its catalog.
type questions map[table.HostID]map[*service][]*unit

func (q questions) add(host table.HostID, svc *service, units ...*unit) {
	if host == "" {
		return
	}
	if q[host] == nil {
		q[host] = map[*service][]*unit{}
	}
	q[host][svc] = append(q[host][svc], units...)
}

// questions groups by host what this host must ask: the owners of the units that it uses, and the owners
// of services of which it has no catalog or polls pipelines.
func (f *Fleet) questions() questions {
	out := questions{}
	for _, svc := range f.services {
		polls, answered := false, false
		for _, u := range svc.units {
			if u.asks() {
				out.add(u.owner, svc, u)
				answered = answered || !u.lost
			}
			polls = polls || u.owned()
		}
		switch {
		case svc.plain:
		case !svc.owned() && (polls || !answered):
			out.add(svc.owner, svc)
		case svc.owned() && svc.catalog.generation == 0:
			// A host that has just started learns the last catalog from the next one in the ranking.
			if ranked := svc.ranking(); len(ranked) > 1 {
				out.add(ranked[1], svc)
			}
		}
	}
	return out
}

func (f *Fleet) request(now time.Time, services map[*service][]*unit, a *asker) *hostpb.ReportDemandRequest {
	in := &hostpb.ReportDemandRequest{Host: string(f.cfg.Self)}
	f.demandMu.Lock()
	defer f.demandMu.Unlock()
	for svc, units := range services {
		d := &hostpb.ServiceDemand{
			Service: string(svc.id), Catalog: svc.catalog.generation, CatalogHost: svc.catalog.writer(),
			Doubtful: a.doubtful[svc.id],
		}
		delete(a.doubtful, svc.id)
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
			d.Pipelines = append(d.Pipelines, u.use(now))
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

func (u *unit) use(now time.Time) *hostpb.PipelineUse {
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

func (f *Fleet) send(ctx context.Context, host table.HostID, a *asker, in *hostpb.ReportDemandRequest) {
	sent := f.cfg.Clock()
	out, err := f.call(ctx, host, in)
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	a.busy = false
	if err != nil {
		a.next = f.cfg.Clock().Add(askAgain)
		if f.lacksCatalog(in) {
			a.next = f.cfg.Clock().Add(askSoon)
		}
		for _, d := range in.GetServices() {
			id := table.ServiceID(d.GetService())
			a.doubtful[id] = append(a.doubtful[id], d.GetDoubtful()...)
		}
	} else {
		a.next = sent.Add(askEvery)
		f.answered(host, sent, in, out)
		if f.lacksCatalog(in) {
			a.next = f.cfg.Clock().Add(askSoon)
		}
	}
	starting := f.stale
	f.noteSilence(host, sent, in, out)
	f.mu.Unlock()
	f.flush()
	if starting {
		f.soon()
	}
}

// lacksCatalog reports whether this host still has no catalog of a service that it asked about.
func (f *Fleet) lacksCatalog(in *hostpb.ReportDemandRequest) bool {
	for _, d := range in.GetServices() {
		if svc := f.services[table.ServiceID(d.GetService())]; svc != nil && !svc.plain && svc.catalog.generation == 0 {
			return true
		}
	}
	return false
}

// noteSilence marks the units that the host was asked for and that its reply, if any, leaves out.
func (f *Fleet) noteSilence(host table.HostID, sent time.Time, in *hostpb.ReportDemandRequest, out *hostpb.ReportDemandReply) {
	units := f.asked(in)
	for _, p := range out.GetPipelines() {
		delete(units, p.GetPipeline())
	}
	for _, u := range units {
		if u.owner == host && u.unanswered.IsZero() {
			u.unanswered = sent
		}
	}
}

func (f *Fleet) call(ctx context.Context, host table.HostID, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	if host == f.cfg.Self {
		return f.ReportDemand(ctx, in)
	}
	address, ok := f.cfg.Address(host)
	if !ok {
		return nil, errUnknownHost
	}
	return f.cfg.Peers.ReportDemand(ctx, address, in)
}

// answered takes in the reply of an owner.
func (f *Fleet) answered(host table.HostID, sent time.Time, in *hostpb.ReportDemandRequest, out *hostpb.ReportDemandReply) {
	for _, d := range in.GetServices() {
		if svc := f.services[table.ServiceID(d.GetService())]; svc != nil && d.GetCatalog() == 0 {
			svc.asked = true
		}
	}
	now := f.cfg.Clock()
	var grants []routing.GrantConfig
	for _, w := range out.GetCatalogs() {
		svc := f.services[table.ServiceID(w.GetService())]
		if c := catalogFrom(w); svc != nil && !svc.plain && c.newer(svc.catalog.generation, svc.catalog.writer()) {
			svc.take(c)
			svc.dirty = true
		}
	}
	units := f.asked(in)
	for _, p := range out.GetPipelines() {
		u := units[p.GetPipeline()]
		if u == nil || u.owner != host {
			continue
		}
		u.unanswered = time.Time{}
		if !u.owned() {
			u.setLost(p.GetLost())
			f.takeLoads(now, u, p)
		}
		if g := p.GetGrant(); g != nil {
			grants = append(grants, u.granted(host, sent, now, g)...)
		}
	}
	if len(grants) > 0 {
		f.events = append(f.events, routing.NewGrants(grants))
	}
}

func (f *Fleet) asked(in *hostpb.ReportDemandRequest) map[uint64]*unit {
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

// granted counts the lifetime from before the report was sent, so that the grant ends on this host before
// its owner gives the slots to another one.
func (u *unit) granted(host table.HostID, sent, now time.Time, g *hostpb.Grant) []routing.GrantConfig {
	until := sent.Add(time.Duration(g.GetLifetimeMs()) * time.Millisecond)
	if !until.After(now) || (u.grantOwner == host && g.GetSequence() <= u.applied) {
		return nil
	}
	u.grantOwner, u.applied = host, g.GetSequence()
	u.held, u.heldUntil = int(g.GetSlots()), until
	// Replies of different owners are numbered anew, since routing knows one sequence for each pipeline.
	return []routing.GrantConfig{{
		Pipeline: u.id, Slots: u.held, Sequence: uint64(now.UnixNano()), Lifetime: until.Sub(now),
	}}
}

func (f *Fleet) takeLoads(now time.Time, u *unit, p *hostpb.PipelineReport) {
	stages := u.pipeline.Stages()
	for i, l := range p.GetLoads() {
		if i >= len(stages) || l.GetIncarnation() == 0 {
			continue
		}
		id := stages[i].Endpoint()
		f.seen(id, l.GetIncarnation())
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
