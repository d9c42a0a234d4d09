package edge

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/connection"
	"waxwingplank/internal/endpoint/http1"
)

// writeMetrics serves the counters of calls, this host's role and the ages of its lists.
func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := d.metrics.Write(w); err != nil {
		d.log.WithError(err).Warn("metrics not written")
		return
	}
	if err := d.writeGauges(w, time.Now()); err != nil {
		d.log.WithError(err).Warn("metrics not written")
	}
}

func (d *Daemon) writeGauges(w io.Writer, now time.Time) error {
	table, endpoints := d.view.current()
	version := int64(0)
	if table != nil {
		version = table.Version()
	}
	type gauge struct {
		name  string
		value int64
	}
	stats := d.limits.guard.Stats()
	gauges := []gauge{
		{fmt.Sprintf("waxwingplank_role{role=%q}", d.hosts.role(now)), 1},
		{"waxwingplank_hosts", int64(d.hosts.count())},
		{"waxwingplank_endpoints", int64(len(endpoints))},
		{"waxwingplank_endpoints_ended", int64(d.forwarder.Ended())},
		{"waxwingplank_endpoints_limited", int64(d.forwarder.Limited())},
		{"waxwingplank_endpoints_age_ms", d.view.endpointsAge(now).Milliseconds()},
		{"waxwingplank_config_version", version},
		{"waxwingplank_config_age_ms", d.view.configAge(now).Milliseconds()},
		{"waxwingplank_store_age_ms", d.view.storeAge(now).Milliseconds()},
		{"waxwingplank_connections_open", int64(stats.Open)},
		{"waxwingplank_unfinished_heads_bytes", stats.HeadMemoryBytes},
	}
	for _, cause := range connection.Causes() {
		gauges = append(gauges, gauge{fmt.Sprintf("waxwingplank_connections_closed_total{cause=%q}", cause), stats.Closed[cause]})
	}
	counts := http1.Malformed()
	for _, defect := range http1.Defects() {
		gauges = append(gauges, gauge{fmt.Sprintf("waxwingplank_malformed_responses_total{defect=%q}", defect), counts[defect]})
	}
	incomplete := http1.Incomplete()
	for _, part := range http1.Parts() {
		gauges = append(gauges, gauge{fmt.Sprintf("waxwingplank_incomplete_responses_total{part=%q}", part), incomplete[part]})
	}
	for _, g := range gauges {
		if _, err := fmt.Fprintf(w, "%s %d\n", g.name, g.value); err != nil {
			return eris.Wrap(err, "edge.Daemon write metrics")
		}
	}
	for _, r := range d.forwarder.ReservedShares(now) {
		if _, err := fmt.Fprintf(w, "waxwingplank_reserved_share{service=%q,class=%q} %.3f\n", r.Service, r.Class, r.Share); err != nil {
			return eris.Wrap(err, "edge.Daemon write metrics")
		}
	}
	return nil
}
