package forward

import (
	"context"
	"time"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/table"
)

// verifyTimeout bounds the connection that shows whether an endpoint still listens. It is many times the delay between domains.
const verifyTimeout = 500 * time.Millisecond

// instance identifies one start of an endpoint.
type instance struct {
	id        string
	startedMs int64
}

func instanceOf(e deployment.Endpoint) instance { return instance{id: e.ID, startedMs: e.StartedMs} }

// verifyEndpoint finds out whether an endpoint has ended whose connection broke. Without it, the end would show only once a call
// tries to connect, and calls avoid an endpoint after a broken connection. The caller holds the lock.
func (f *Forwarder) verifyEndpoint(e deployment.Endpoint) {
	key := instanceOf(e)
	if f.verifying[key] {
		return
	}
	f.verifying[key] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
		defer cancel()
		err := f.cfg.Endpoints.Connect(ctx, e)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.verifying, key)
		if err != nil && f.cfg.Endpoints.ConnectionRefused(err) {
			now := time.Now()
			f.recordEnded(now, quarantine.NewCrashID(table.EndpointID(e.ID), uint64(e.StartedMs)))
			f.crashes.tick(now, quarantine.NewConnectionRefused(table.EndpointID(e.ID), uint64(e.StartedMs)))
		}
	}()
}
