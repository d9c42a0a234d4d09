package streams

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/stream"
)

var errClosed = eris.New("streams: the loop is closed")

// mailbox carries the decisions about one stream to the goroutine of the stream.
type mailbox struct {
	ready  chan struct{}
	closed <-chan struct{}

	mu        sync.Mutex
	all       []stream.Decision
	interrupt context.CancelFunc
}

// put adds a decision and interrupts a running attempt, since a new decision replaces it.
func (m *mailbox) put(d stream.Decision) {
	m.mu.Lock()
	m.all = append(m.all, d)
	if m.interrupt != nil {
		m.interrupt()
	}
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// next waits for a decision.
func (m *mailbox) next(ctx context.Context) (stream.Decision, error) {
	for {
		m.mu.Lock()
		if len(m.all) > 0 {
			d := m.all[0]
			m.all = m.all[1:]
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

// pending reports whether a decision waits.
func (m *mailbox) pending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.all) > 0
}

// onDecision sets what a new decision interrupts; it interrupts at once where one waits already.
func (m *mailbox) onDecision(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupt = cancel
	if cancel != nil && len(m.all) > 0 {
		cancel()
	}
}
