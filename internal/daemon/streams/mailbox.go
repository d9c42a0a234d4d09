package streams

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/stream"
)

var errClosed = eris.New("streams: the loop is closed")

// mailbox delivers the decisions about one stream to the goroutine of the stream.
type mailbox struct {
	ready  chan struct{}
	closed <-chan struct{}

	mu        sync.Mutex
	decisions []stream.Decision
	interrupt context.CancelFunc
}

// put adds a decision and interrupts the running wait or attempt, which the new decision supersedes.
func (m *mailbox) put(d stream.Decision) {
	m.mu.Lock()
	m.decisions = append(m.decisions, d)
	if m.interrupt != nil {
		m.interrupt()
	}
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// next removes and returns the oldest decision; it blocks until there is one.
func (m *mailbox) next(ctx context.Context) (stream.Decision, error) {
	for {
		m.mu.Lock()
		if len(m.decisions) > 0 {
			d := m.decisions[0]
			m.decisions = m.decisions[1:]
			m.mu.Unlock()
			return d, nil
		}
		m.mu.Unlock()
		select {
		case <-m.ready:
		case <-m.closed:
			return nil, errClosed
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// pending reports whether a decision is waiting.
func (m *mailbox) pending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.decisions) > 0
}

// setInterrupt sets the function that a new decision calls; it is called immediately if a decision is already waiting.
func (m *mailbox) setInterrupt(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupt = cancel
	if cancel != nil && len(m.decisions) > 0 {
		cancel()
	}
}
