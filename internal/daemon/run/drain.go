package run

import (
	"context"
	"net/http"
	"time"

	"waxwingplank/internal/daemon/journal"
)

// drainCheck is how often a draining host looks at what is left.
const drainCheck = 50 * time.Millisecond

// spreadLeave lets every host hear of the leaving before this one stops answering: callers keep an
// address answer for 5 s and hosts hear within two heartbeats.
const spreadLeave = time.Second

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

// finishRequests waits for the requests in flight, so that a planned stop cuts off none.
func (d *Daemon) finishRequests() {
	started := time.Now()
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for range ticker.C {
		left := d.inflight.total()
		elapsed := time.Since(started)
		if left == 0 && elapsed >= spreadLeave {
			return
		}
		if elapsed > d.set.DrainTimeout() {
			d.journal.Log().WithField("left", left).Error("drain timeout passed with requests in flight")
			return
		}
	}
}

// shutdown ends listeners and waits for their requests.
func (d *Daemon) shutdown(servers []*http.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
}

func (d *Daemon) close(stop context.CancelFunc) {
	// A caller may send between the last look at the counts and the end of its listener; its request is finished too.
	d.shutdown(d.servers[:1], d.set.DrainTimeout())
	const graceful = 2 * time.Second
	d.shutdown(d.servers[1:], graceful)
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
