package journal

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalled is a writer that blocks until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against requests that block on a slow reader of the log, and against dropping errors before lines of level
// info.
func TestAsyncNeverWaits(t *testing.T) {
	is := is.New(t)
	w := &stalled{release: make(chan struct{})}
	a := NewAsync(w)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	began := time.Now()
	for range 3 * queueCapacity {
		_, err := a.Write([]byte(`{"level":"info","msg":"answered"}` + "\n"))
		is.NoErr(err)
	}
	_, err := a.Write([]byte(`{"level":"error","msg":"failed"}` + "\n"))
	is.NoErr(err)
	is.True(time.Since(began) < 5*time.Second)
	is.True(a.Dropped() >= 2*queueCapacity)
	close(w.release)
	cancel()
	<-done
	is.True(strings.Contains(w.text.String(), `"msg":"failed"`))
}

// failing is a writer that fails on every line.
type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, context.Canceled }

// Guards against not counting lines that were lost because the pipe is closed.
func TestAsyncCountsRefusedLines(t *testing.T) {
	is := is.New(t)
	a := NewAsync(failing{})
	for range 10 {
		_, err := a.Write([]byte("{}\n"))
		is.NoErr(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.Run(ctx)
	is.Equal(a.Dropped(), int64(10))
}
