package run

import (
	"context"
	"net/http"
	"os"
	"time"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/daemon/journal"
)

// pollInterval is the interval between two checks of a condition that a goroutine waits for.
const pollInterval = 50 * time.Millisecond

// drainStatusGrace is how long the operator listener stays open after the drain has ended, so that operators can
// still read the final status.
const drainStatusGrace = 500 * time.Millisecond

// releaseTimeout limits the release of leases if the platform does not respond.
const releaseTimeout = 2 * time.Second

// minDrainDelay is the minimum time for which a leaving host continues to accept requests. Other hosts learn that it
// is leaving within two heartbeats, and callers may use an address list received just before for its whole lifetime.
const minDrainDelay = membership.AddressLifetime + 2*membership.HeartbeatInterval

// lastRequestsDelay is how long requests are still served on open connections after the listener has been closed. Each
// response closes its connection, so that hardly any request is on its way when the host closes those that are idle.
const lastRequestsDelay = membership.HeartbeatInterval

// closeWhileDraining adds a Connection: close header to the responses of a draining host, so that callers connect to
// another host. A request sent on a connection at the moment when the stopping host closes it would be lost.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain starts a planned stop. Further calls have no effect.
func (d *Daemon) Drain(cause string) {
	select {
	case d.drain <- cause:
	default:
	}
}

// IgnoreHangups logs each SIGHUP that hangups receives. Tokens and certificates are reloaded when their files change; the
// other settings need a restart.
func (d *Daemon) IgnoreHangups(hangups <-chan os.Signal) {
	go func() {
		for range hangups {
			d.journal.Log().Info("SIGHUP ignored; settings need a restart")
		}
	}()
}

func (d *Daemon) startDrain(cause string) {
	d.draining.Store(true)
	d.members.Drain()
	d.journal.Decision("", "drain", journal.Fields{"cause": cause, "in_flight": d.inflight.total()})
}

// finishRequests closes the listeners and waits for the requests in flight, so that a planned stop interrupts none
// before the drain timeout. Callers with stale addresses continue to send requests, so the wait begins only after the
// listener for callers is closed.
func (d *Daemon) finishRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout())
	defer cancel()
	sleep(ctx, minDrainDelay)
	if err := d.callersListener.Drain(); err != nil {
		d.journal.Log().WithError(err).Warn("listener not drained")
	}
	select {
	case <-d.callersDrained:
	case <-ctx.Done():
	}
	sleep(ctx, lastRequestsDelay)
	d.shutdown(ctx, d.callers)
	// Requests forwarded by peers that did not yet know of the drain are not covered by the shutdown of the listener.
	for d.inflight.total() > 0 && ctx.Err() == nil {
		sleep(ctx, pollInterval)
	}
	if left := d.inflight.total(); left > 0 {
		d.journal.Log().WithField("left", left).Error("drain timeout passed with requests in flight")
	}
	// A client that waits for the end of the drain polls at least every few hundred milliseconds.
	d.drained.Store(true)
	sleep(ctx, drainStatusGrace)
	d.shutdown(ctx, d.operators)
}

func (d *Daemon) shutdown(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		d.journal.Log().WithError(err).Error("drain timeout passed; connections were cut off")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (d *Daemon) close(stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// A lease that is not released expires later, so the error can be ignored.
	_ = d.leases.ReleaseAll(ctx)
	d.peer.Close()
	d.members.Close()
	stop()
	d.tasks.Wait()
	d.runner.Wait()
	d.peers.Close()
	d.objects.Close()
	d.journal.Log().WithField("left", d.inflight.total()).Info("host stopped")
}
