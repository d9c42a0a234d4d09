package edge

import (
	"context"
	"time"
)

const (
	// acceptShare of the grace period is how long a leaving host still serves new calls: callers keep an
	// answer of the directory for up to three times its time.
	acceptShare = 0.36
	// lingerShare of the grace period ends the requests that are still open. What a worker has not finished in
	// the last sixth of it may be cut.
	lingerShare = 0.96
)

// leave takes the host out of the directory, serves what still comes for a while, refuses what comes later, and
// ends once its requests have ended or the grace period is over.
func (d *Daemon) leave(ctx context.Context, s *servers) {
	began := time.Now()
	grace := d.current().grace()
	d.leaving.Store(true)
	d.log.WithField("running", d.forwarder.Running()).Info("host leaves")
	told, cancel := context.WithTimeout(ctx, tellTimeout)
	d.hosts.tellAll(told)
	cancel()
	d.keeper.Release(leasePlacing)
	sleep(ctx, time.Until(began.Add(time.Duration(acceptShare*float64(grace)))))
	d.forwarder.SetRefusing()
	end, cancel := context.WithDeadline(ctx, began.Add(time.Duration(lingerShare*float64(grace))))
	defer cancel()
	if err := s.callers.Shutdown(end); err != nil {
		d.log.WithError(err).WithField("running", d.forwarder.Running()).Warn("requests cut by the end of the grace period")
	}
	for _, srv := range s.others {
		if err := srv.Close(); err != nil {
			d.log.WithError(err).Warn("listener not closed")
		}
	}
	if err := s.callers.Close(); err != nil {
		d.log.WithError(err).Warn("listener not closed")
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
