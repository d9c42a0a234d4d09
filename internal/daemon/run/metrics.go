package run

import (
	"context"
	"expvar"
	"time"

	"waxwingplank/internal/core/connection"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/endpoint/http1"
)

// metricsName is the expvar variable that holds all metrics of a host.
const metricsName = "waxwingplank"

// publishMetrics publishes the metrics of this host. An expvar name cannot be published twice in a process, so a
// second daemon in the same process, as in a benchmark, publishes none.
func (d *Daemon) publishMetrics() {
	if expvar.Get(metricsName) != nil {
		return
	}
	expvar.Publish(metricsName, expvar.Func(func() any { return d.metrics() }))
}

type metrics struct {
	Host                table.HostID      `json:"host"`
	Draining            bool              `json:"draining"`
	StreamsInFlight     int64             `json:"streams_in_flight"`
	CallsInFlight       int64             `json:"calls_in_flight"`
	TokensDelivered     int64             `json:"tokens_delivered"`
	TokensDropped       int64             `json:"tokens_dropped"`
	AttemptFailures     int64             `json:"attempt_failures"`
	AttemptIdleTimeouts int64             `json:"attempt_silences"`
	EndpointCrashes     int64             `json:"endpoint_crashes"`
	StreamsRefused      int64             `json:"streams_refused"`
	HostsLive           int               `json:"hosts_live"`
	Generations         map[string]uint64 `json:"document_generations"`
	InForce             map[string]uint64 `json:"document_generations_in_force"`
	// Connections of callers and operators.
	ConnectionsOpen      int                        `json:"connections_open"`
	UnfinishedHeadsBytes int64                      `json:"unfinished_heads_bytes"`
	ConnectionsClosed    map[connection.Cause]int64 `json:"connections_closed"`
	// MalformedResponses counts what other processes sent in place of a response.
	MalformedResponses map[http1.Defect]int64 `json:"malformed_responses"`
	// IncompleteResponses counts responses of other processes that broke off.
	IncompleteResponses map[http1.Part]int64 `json:"incomplete_responses"`
}

func (d *Daemon) metrics() metrics {
	c, connections := d.runner.Counters(), d.guard.Stats()
	m := metrics{
		Host: d.settings.Host(), Draining: d.draining.Load(),
		StreamsInFlight: d.inflight.streams.Load(), CallsInFlight: d.inflight.calls.Load(),
		TokensDelivered: c.Delivered, TokensDropped: c.Dropped, AttemptFailures: c.Failures,
		AttemptIdleTimeouts: c.IdleTimeouts, EndpointCrashes: c.Crashes, StreamsRefused: c.Refused,
		HostsLive: len(d.members.Live()), Generations: map[string]uint64{}, InForce: map[string]uint64{},
		ConnectionsOpen: connections.Open, UnfinishedHeadsBytes: connections.HeadMemoryBytes, ConnectionsClosed: connections.Closed,
		MalformedResponses: http1.Malformed(), IncompleteResponses: http1.Incomplete(),
	}
	for _, doc := range d.members.Documents() {
		m.Generations[string(doc.Service())] = doc.Generation()
		m.InForce[string(doc.Service())] = d.members.InForce(doc.Service())
	}
	return m
}

// reportLoad periodically sets the share of this host's maximum number of streams that is in use. Other hosts
// receive it and order address lists by it.
func (d *Daemon) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.members.SetLoad(int(d.inflight.streams.Load() * 1000 / int64(d.settings.MaxStreams())))
		}
	}
}
