package run

import (
	"context"
	"net/http"
	"time"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/daemon/journal"
)

// pollEvery is how often a host looks again at something that it waits for.
const pollEvery = 50 * time.Millisecond

// tellDrained is how long operators can still learn that nothing is left.
const tellDrained = 500 * time.Millisecond

// releaseTimeout bounds the giving back of leases where the platform does not answer.
const releaseTimeout = 2 * time.Second

// spreadLeave is how long a leaving host goes on answering at least: hosts hear of the leaving within two
// heartbeats, and callers may use an address answer given just before for its whole lifetime.
const spreadLeave = membership.AddressLifetime + 2*membership.HeartbeatInterval

// closing tells callers of a leaving host to open their next connection elsewhere. A request on a connection
// that the stopping host closes at the same moment would be lost.
func (d *Daemon) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain starts a planned stop; only the first call counts.
func (d *Daemon) Drain(cause string) {
	select {
	case d.drain <- cause:
	default:
	}
}

func (d *Daemon) startDrain(cause string) {
	d.draining.Store(true)
	d.members.Drain()
	d.journal.Decision("", "drain", journal.Fields{"cause": cause, "in_flight": d.inflight.total()})
}

// finishRequests stops the listeners and waits for the requests in flight, so that a planned stop cuts off
// none. Callers with stale addresses go on sending, so the wait begins only after the listeners are closed.
func (d *Daemon) finishRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), d.set.DrainTimeout())
	defer cancel()
	wait(ctx, spreadLeave)
	d.shutdown(ctx, d.callers)
	// Requests that peers had passed on before they heard of the leaving have no listener here.
	for d.inflight.total() > 0 && ctx.Err() == nil {
		wait(ctx, pollEvery)
	}
	if left := d.inflight.total(); left > 0 {
		d.journal.Log().WithField("left", left).Error("drain timeout passed with requests in flight")
	}
	// An operator who waits for the end of the drain asks every few hundred milliseconds at least.
	d.drained.Store(true)
	wait(ctx, tellDrained)
	d.shutdown(ctx, d.operators)
}

func (d *Daemon) shutdown(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		d.journal.Log().WithError(err).Error("drain timeout passed; connections were cut off")
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (d *Daemon) close(stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// A lease that is not given back only runs out later, so the error changes nothing.
	_ = d.leases.ReleaseAll(ctx)
	d.peer.Close()
	d.members.Close()
	stop()
	d.tasks.Wait()
	d.runner.Wait()
	d.peers.Close()
	d.objects.Close()
	d.engine.Close()
	d.plain.Close()
	d.journal.Log().WithField("left", d.inflight.total()).Info("host stopped")
}
