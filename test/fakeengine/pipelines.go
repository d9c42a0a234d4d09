package fakeengine

import (
	"context"
	"slices"
	"sync"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
)

// Pipelines grants slots of a fixed set of pipelines.
type Pipelines struct {
	mu       sync.Mutex
	all      []table.Pipeline
	slots    int
	used     map[string]int
	changed  chan struct{}
	requests []streams.PipelineRequest
	ejected  map[table.EndpointID]bool
}

// NewPipelines returns pipelines with the given number of slots each.
func NewPipelines(slots int, all ...table.Pipeline) *Pipelines {
	return &Pipelines{all: all, slots: slots, used: map[string]int{}, ejected: map[table.EndpointID]bool{}, changed: make(chan struct{})}
}

// Requests returns the slot requests received so far.
func (p *Pipelines) Requests() []streams.PipelineRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// Used returns the number of slots in use.
func (p *Pipelines) Used() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range p.used {
		n += u
	}
	return n
}

// Eject excludes an endpoint from new streams, as a router does when it has detected a fault of the endpoint.
func (p *Pipelines) Eject(id table.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ejected[id] = true
}

// Acquire implements streams.Pipelines.
func (p *Pipelines) Acquire(ctx context.Context, req streams.PipelineRequest) (streams.Grant, error) {
	p.mu.Lock()
	p.requests = append(p.requests, req)
	for {
		if g, ok := p.pick(req); ok {
			p.mu.Unlock()
			return g, nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return streams.Grant{}, ctx.Err()
		}
		p.mu.Lock()
	}
}

// Release implements streams.Pipelines.
func (p *Pipelines) Release(g streams.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used[g.Pipeline.ID()]--
	close(p.changed)
	p.changed = make(chan struct{})
}

// pick takes a slot of the pipeline with the lowest cost, normally the preferred one. Among equals it
// chooses the one with the most free slots.
func (p *Pipelines) pick(req streams.PipelineRequest) (streams.Grant, bool) {
	best, bestCost := -1, 0
	for i, pl := range p.all {
		free := p.slots - p.used[pl.ID()]
		if free <= 0 || p.usesEjected(pl) {
			continue
		}
		cost := cost(pl, req)*p.slots - free
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return streams.Grant{}, false
	}
	pl := p.all[best]
	free := p.slots - p.used[pl.ID()]
	p.used[pl.ID()]++
	return streams.Grant{Pipeline: pl, FreeSlots: free}, true
}

func (p *Pipelines) usesEjected(pl table.Pipeline) bool {
	for id := range p.ejected {
		if pl.Uses(id) {
			return true
		}
	}
	return false
}

func cost(p table.Pipeline, req streams.PipelineRequest) int {
	n := 2
	if p.ID() == req.PreferredPipeline {
		n = 0
	}
	for _, id := range req.AvoidMarked {
		if p.Uses(id) {
			n += 4
		}
	}
	for _, id := range req.Avoid {
		if p.Uses(id) {
			n += 16
		}
	}
	return n
}
