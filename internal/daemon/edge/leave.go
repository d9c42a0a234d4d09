package edge

import (
	"context"
	"time"
)

const (
	// acceptShare is the share of the grace period in which a leaving host still serves new calls, and acceptTime the longest
	// time in which it does: callers keep a response of the directory for up to three times its TTL.
	acceptShare = 0.36
	acceptTime  = 3 * directoryTTL
	// refuseShare is the smallest share of the grace period in which a leaving host refuses calls on connections that
	// are open. Callers that still use them learn in this time to use another host.
	refuseShare = 0.1
	// refuseCheckInterval is the interval at which a refusing host checks whether all calls have ended.
	refuseCheckInterval = 20 * time.Millisecond
	// closeShare is the share of the grace period after which open requests are cut. A request that a worker has
	// not finished in the last sixth of the period may be cut.
	closeShare = 0.96
)

// leave removes the host from the directory, serves new calls for a while, and then accepts no more connections and
// refuses calls on those that are open. It returns once the calls have ended or the grace period is over.
func (d *Daemon) leave(ctx context.Context, s *servers) {
	start := time.Now()
	grace := d.current().grace()
	d.leaving.Store(true)
	d.forwarder.SetClosing(start.Add(time.Duration(closeShare * float64(grace))))
	d.log.WithField("running", d.forwarder.Running()).Info("host leaves")
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	d.hosts.reportToAll(reportCtx)
	cancel()
	d.leases.Release(leasePlacing)
	sleep(ctx, time.Until(start.Add(min(time.Duration(acceptShare*float64(grace)), acceptTime))))
	d.forwarder.SetRefusing()
	if err := s.callersListener.Drain(); err != nil {
		d.log.WithError(err).Warn("listener not drained")
	}
	end, cancel := context.WithDeadline(ctx, start.Add(time.Duration(closeShare*float64(grace))))
	defer cancel()
	sleep(end, time.Duration(refuseShare*float64(grace)))
	for end.Err() == nil && d.forwarder.Running() > 0 {
		sleep(end, refuseCheckInterval)
	}
	if err := s.callers.Shutdown(end); err != nil {
		d.log.WithError(err).WithField("running", d.forwarder.Running()).Warn("requests cut by the end of the grace period")
	}
	s.close(d.log)
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
