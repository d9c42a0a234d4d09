package fleet

import (
	"context"
	"errors"
	"strconv"
	"time"

	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/share"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/peer/hostpb"
)

var errOwnerAddressMissing = errors.New("fleet: send demand report: owner host has no registered address")

// maxEventsPerReply bounds the cache events of one pipeline in a reply: 64 x 11 B, once a second.
const maxEventsPerReply = 64

// ReportDemand handles a demand report from another host, or this one, for the pipelines that this host owns.
func (f *Fleet) ReportDemand(_ context.Context, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	now := f.cfg.Clock()
	out := &hostpb.ReportDemandReply{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range in.GetServices() {
		svc := f.services[table.ServiceID(d.GetService())]
		if svc == nil {
			continue
		}
		if !svc.plain {
			svc.highestGeneration = max(svc.highestGeneration, d.GetCatalog())
			if len(d.GetDoubtful()) > 0 {
				svc.scheduleDescribe(d.GetDoubtful())
			}
			if svc.catalog.newer(d.GetCatalog(), d.GetCatalogHost()) {
				out.Catalogs = append(out.Catalogs, svc.catalog.toProto(svc.id))
			}
		}
		for _, p := range d.GetPipelines() {
			u := svc.byHash[p.GetPipeline()]
			if u != nil && u.owned() {
				out.Pipelines = append(out.Pipelines, f.pipelineReport(now, u, table.HostID(in.GetHost()), d, p))
			}
		}
	}
	return out, nil
}

func (f *Fleet) pipelineReport(now time.Time, u *unit, host table.HostID, d *hostpb.ServiceDemand, p *hostpb.PipelineUse) *hostpb.PipelineReport {
	out := &hostpb.PipelineReport{Pipeline: u.hash, Lost: u.lost}
	rows := u.demandRows(host, d)
	slots, sequence, ok := u.handleDemand(now, host, rows, p.GetApplied(), int(p.GetHeld()), time.Duration(p.GetHeldMs())*time.Millisecond)
	if ok {
		out.Grant = &hostpb.Grant{Slots: uint32(slots), Sequence: sequence, LifetimeMs: uint32(grantLifetime.Milliseconds())}
	}
	for i, st := range u.pipeline.Stages() {
		r := f.readers[st.Endpoint()]
		if r == nil || !r.hasLoad || r.lost() {
			out.Loads = append(out.Loads, &hostpb.EndpointLoad{})
			continue
		}
		// Routing measures the speed on its own streams, so the step time is left out.
		out.Loads = append(out.Loads, &hostpb.EndpointLoad{
			Incarnation: r.load.Incarnation(), Running: uint32(r.load.Running()),
			Queued: uint32(r.load.Queued()), Slots: uint32(r.load.Slots()),
			AgeMs: uint32(now.Sub(r.measured).Milliseconds()),
		})
		if i == 0 {
			out.EventsIncarnation = r.load.Incarnation()
			out.Events = r.eventsAfter(p.GetPosition())
		}
	}
	return out
}

// demandRows returns the demand of a host for one unit, in proportion to the unit's share of the slots that
// the host uses. A host without demand also gets a row, because unrequested slots are spread over all hosts
// that report.
func (u *unit) demandRows(host table.HostID, d *hostpb.ServiceDemand) []share.Demand {
	fraction := 1.0
	if used := int(d.GetUsedSlots()); used > u.slots {
		fraction = float64(u.slots) / float64(used)
	}
	rows := []share.Demand{share.NewDemand(share.DemandConfig{Host: host})}
	for _, w := range d.GetDemands() {
		id := table.WorkspaceID(strconv.FormatUint(uint64(w.GetWorkspace()), 36))
		rows = append(rows, share.NewDemand(share.DemandConfig{
			Host: host, Workspace: id, Priority: int(w.GetPriority()), Weight: u.service.weights[w.GetWorkspace()],
			Wanted: float64(w.GetRunning()+w.GetQueued()) * fraction,
		}))
	}
	return rows
}

// eventsAfter returns the latest stored events that follow the position of a host.
func (r *reader) eventsAfter(p *hostpb.CachePosition) []*hostpb.CacheEvent {
	sequence := p.GetSequence()
	if p.GetIncarnation() != r.load.Incarnation() {
		sequence = 0
	}
	var out []*hostpb.CacheEvent
	first := max(0, len(r.events)-maxEventsPerReply)
	for _, e := range r.events[first:] {
		if e.Sequence > sequence {
			out = append(out, &hostpb.CacheEvent{Sequence: e.Sequence, Evicted: e.Kind == routing.CacheEvicted, Prefix: e.Prefix})
		}
	}
	return out
}
