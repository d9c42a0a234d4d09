package benchload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/share"
	"waxwingplank/internal/core/table"
)

const service = table.ServiceID("drafts")

const (
	// divideEvery is the interval in seconds between divisions of slots and between load reports.
	divideEvery = 1.0
	// lag is the age in seconds of loads on arrival. Demands and grants take half of it each way, which is
	// half a heartbeat.
	lag = 0.5
	// prefillReserve, in seconds, is subtracted from the deadline so that the first token can still arrive in time.
	prefillReserve = 0.5
)

// Options are settings of the policy that may differ in an experiment.
type Options struct {
	// NoAdmission gives all requests the same class and weight, no deadline and a queue that is practically unlimited.
	NoAdmission bool
	// GrantSlack is the largest change in slots that does not change a grant.
	GrantSlack int
}

// message is a routing event on its way to a host.
type message struct {
	at    float64
	host  int
	event routing.Event
}

// policy routes calls with one routing.System per host.
type policy struct {
	w       *world
	options Options
	systems []*routing.System
	events  [][]routing.Event
	calls   map[table.RequestID]*call
	ledgers []*share.Ledger
	// demands holds the last demand that the owners received by host, workspace and class; keys holds its keys in
	// order of arrival. reports are the demand reports in flight, inTransit the events in flight to hosts.
	demands   map[demandKey]routing.Demand
	keys      []demandKey
	reports   []report
	inTransit []message
	rng       *rand.Rand
	divided   float64
	turn      uint64
}

type demandKey struct {
	host      int
	workspace table.WorkspaceID
	priority  int
}

type report struct {
	at  float64
	key demandKey
	d   routing.Demand
}

func newPolicy(w *world, options Options) *policy {
	p := &policy{
		w: w, options: options, calls: map[table.RequestID]*call{}, demands: map[demandKey]routing.Demand{},
		rng: rand.New(rand.NewPCG(w.sc.seed, 3)), divided: -1,
	}
	var list []routing.PipelineConfig
	for _, e := range w.engines {
		list = append(list, routing.PipelineConfig{
			Pipeline: e.pipeline, Slots: e.slots, Interval: time.Duration(e.base * float64(time.Second)),
		})
		p.ledgers = append(p.ledgers, share.NewLedger(share.LedgerConfig{Pipeline: e.pipeline.ID(), Slack: options.GrantSlack}))
	}
	queue := 512
	if options.NoAdmission {
		queue = 1 << 30
	}
	for i := range hostCount {
		p.systems = append(p.systems, routing.New(routing.Config{Seed: w.sc.seed + uint64(i), Hosts: hostCount, Rank: i}))
		p.events = append(p.events, []routing.Event{
			routing.NewLimits(routing.LimitsConfig{Service: service, Queue: queue, QueuePerWorkspace: queue / 4}),
			routing.NewPipelines(service, list),
		})
	}
	return p
}

func (p *policy) send(c *call, e routing.Event) { p.events[c.host] = append(p.events[c.host], e) }

func (p *policy) arrive(now float64, c *call) { p.request(now, c, false, nil) }

func (p *policy) request(now float64, c *call, recovery bool, avoid []table.EndpointID) {
	p.calls[c.id] = c
	cfg := routing.ArrivedConfig{
		Request: c.id, Service: service, Workspace: workspaces[c.workspace].id, Kind: c.kind.name,
		Priority: c.kind.priority, Weight: workspaces[c.workspace].weight, Preamble: c.preamble,
		MaxTokens: maxTokens, AvoidEndpoints: avoid, Recovery: recovery, WaitingSince: clock(c.arrived),
		FirstSend: !c.resend, Repeatable: true,
	}
	if !recovery {
		cfg.Deadline = clock(now + c.kind.firstToken - prefillReserve)
	}
	if p.options.NoAdmission {
		cfg.Deadline, cfg.Priority, cfg.Weight, cfg.FirstSend = time.Time{}, 0, 1, true
	}
	p.send(c, routing.NewArrived(cfg))
}

func (p *policy) leave(_ float64, c *call) { p.send(c, routing.NewDeparted(c.id)) }

func (p *policy) failed(now float64, c *call) {
	stage := p.w.engines[c.engineIndex].pipeline.Stages()[0].Endpoint()
	p.send(c, routing.NewAttemptFailed(c.id, stage, routing.ReasonUnresponsive))
	p.request(now, c, true, []table.EndpointID{stage})
}

func (p *policy) progress(now float64, c *call, interval float64) {
	if interval == 0 {
		p.send(c, routing.NewFirstToken(c.id, seconds(now-c.sent)))
		return
	}
	p.send(c, routing.NewProgress(c.id, seconds(interval)))
}

func (p *policy) finished(now float64, c *call) {
	p.send(c, routing.NewFinished(c.id, c.generated, seconds(now-c.sent)))
	delete(p.calls, c.id)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (p *policy) tick(now float64) {
	if now-p.divided >= divideEvery {
		p.divided = now
		p.divide(now)
		p.reportLoads(now)
	}
	inFlight := p.inTransit[:0]
	for _, m := range p.inTransit {
		if m.at > now {
			inFlight = append(inFlight, m)
			continue
		}
		p.events[m.host] = append(p.events[m.host], m.event)
	}
	p.inTransit = inFlight
	for host, s := range p.systems {
		for _, d := range s.Tick(clock(now), p.events[host]) {
			p.execute(now, host, d)
		}
		p.events[host] = p.events[host][:0]
	}
}

func (p *policy) execute(now float64, host int, d routing.Decision) {
	switch d := d.(type) {
	case *routing.Dispatch:
		c := p.calls[d.Request()]
		i := slices.IndexFunc(p.w.engines, func(e *engine) bool { return e.pipeline.ID() == d.Pipeline().ID() })
		c.sent = now
		p.w.engines[i].open(now, c)
	case routing.Refuse:
		if c, ok := p.calls[d.Request()]; ok {
			delete(p.calls, d.Request())
			p.w.refuse(now, c, d.Refusal())
		}
	case routing.Demand:
		key := demandKey{host, d.Workspace(), d.Priority()}
		p.reports = append(p.reports, report{at: now + lag/2, key: key, d: d})
	case routing.Drop, routing.Preempt:
	}
}

// divide simulates the owners of the pipelines. Demand reaches them late, and their grants reach the hosts late.
func (p *policy) divide(now float64) {
	inFlight := p.reports[:0]
	for _, r := range p.reports {
		if r.at > now {
			inFlight = append(inFlight, r)
			continue
		}
		if _, ok := p.demands[r.key]; !ok {
			p.keys = append(p.keys, r.key)
		}
		p.demands[r.key] = r.d
	}
	p.reports = inFlight
	if now < divideEvery {
		return
	}
	p.turn++
	total := 0
	for _, e := range p.w.engines {
		total += e.slots
	}
	for i, e := range p.w.engines {
		byHost := map[table.HostID]int{}
		for _, g := range p.ledgers[i].Update(clock(now), e.slots, p.demandFor(float64(e.slots)/float64(total))) {
			byHost[g.Host()] = g.Slots()
		}
		for host := range hostCount {
			p.inTransit = append(p.inTransit, message{at: now + lag/2, host: host, event: routing.NewGrants([]routing.GrantConfig{{
				Pipeline: e.pipeline.ID(), Slots: byHost[hostName(host)], Sequence: p.turn, Lifetime: share.DefaultLifetime,
			}})})
		}
	}
}

// demandFor returns the part of the reported demand that falls to a pipeline with the given fraction of all slots.
func (p *policy) demandFor(part float64) []share.Demand {
	var demands []share.Demand
	for _, k := range p.keys {
		d := p.demands[k]
		weight := 1
		for _, ws := range workspaces {
			if ws.id == k.workspace && !p.options.NoAdmission {
				weight = ws.weight
			}
		}
		demands = append(demands, share.NewDemand(share.DemandConfig{
			Host: hostName(k.host), Workspace: k.workspace, Priority: k.priority, Weight: weight,
			Wanted: float64(d.Running()+d.Queued()) * part,
		}))
	}
	return demands
}

func hostName(host int) table.HostID { return table.HostID(fmt.Sprintf("host-%d", host)) }

// reportLoads simulates the owners' polling. Loads and cache events reach the hosts late, and some events are lost.
func (p *policy) reportLoads(now float64) {
	for _, e := range p.w.engines {
		if e.down {
			continue
		}
		first := e.pipeline.Stages()[0].Endpoint()
		var loads []routing.LoadConfig
		for _, stage := range e.pipeline.Stages() {
			loads = append(loads, routing.LoadConfig{
				Endpoint: stage.Endpoint(), Running: len(e.running), Queued: len(e.waiting), Slots: e.slots,
				MeasuredAt: clock(now),
			})
		}
		load := routing.NewLoad(loads...)
		var changes []routing.CacheEventConfig
		for _, c := range e.takeEvents(now, lag, p.rng) {
			kind := routing.CacheEvicted
			if c.stored {
				kind = routing.CacheStored
			}
			changes = append(changes, routing.CacheEventConfig{Sequence: c.sequence, Kind: kind, Prefix: c.prefix})
		}
		for host := range hostCount {
			p.inTransit = append(p.inTransit,
				message{at: now + lag, host: host, event: load},
				message{at: now + lag, host: host, event: routing.NewCacheEvents(first, changes)})
		}
	}
}
