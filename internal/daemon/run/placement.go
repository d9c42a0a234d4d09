package run

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/lease"
	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/leases"
	"waxwingplank/internal/daemon/orders"
	"waxwingplank/internal/platform/weightstore"
)

func (d *Daemon) buildPlacement() {
	objects := store{client: d.objects}
	d.leases = leases.New(leases.Config{
		Store: objects, Log: d.journal.Log(),
		System: lease.Config{Self: d.settings.Host(), Incarnation: uint64(time.Now().UnixMilli())},
	})
	weights := weightstore.New(weightstore.Config{Address: d.settings.WeightStoreAddress(), Timeout: d.settings.PlatformTimeout()})
	d.orders = orders.New(orders.Config{
		Self: d.settings.Host(), Leases: d.leases, Store: objects, Engines: d.engine, Journal: d.journal, Log: d.journal.Log(),
		Clock: time.Now,
		Limits: func(ctx context.Context) (int64, int, error) {
			l, err := weights.Limits(ctx)
			return l.BytesPerSecond(), l.LoadsAtOnce(), eris.Wrap(err, "run.Limits")
		},
		OnPlan:             func(p placement.Plan) { d.fleet.SetPlan(p) },
		RequestDescription: func(service table.ServiceID, address string) { d.fleet.DescribeNow(service, address) },
	})
}

// modelVersion returns the version that the pipelines hold, or the version of the document if there is none. The
// pipelines may still hold the previous version.
func (d *Daemon) modelVersion(service table.ServiceID, documentVersion string) string {
	if v := d.fleet.ModelVersion(service); v != "" {
		return v
	}
	return documentVersion
}
