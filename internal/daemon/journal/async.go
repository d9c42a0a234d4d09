package journal

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is about two seconds of a host's lines on its heaviest day; at 300 bytes a line, 1 MB.
	queuedLines = 4096
	// reportPeriod is the time between two lines that tell how many were dropped.
	reportPeriod = time.Second
)

// routine marks the lines that are dropped first.
var routine = []byte(`"level":"info"`)

// Async hands lines to a slow writer without ever waiting for it. Where the queue is half full, lines of routine
// are dropped; where it is full, all are. Run tells how many.
type Async struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns a writer that writes while Run runs.
func NewAsync(writer io.Writer) *Async {
	return &Async{writer: writer, lines: make(chan []byte, queuedLines)}
}

// Write implements io.Writer for whole lines; it never fails and never waits.
func (a *Async) Write(line []byte) (int, error) {
	if len(a.lines) > queuedLines/2 && bytes.Contains(line, routine) {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- bytes.Clone(line):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped in all.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Run writes lines until ctx ends and then what is queued, if the writer takes it.
func (a *Async) Run(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	told := int64(0)
	for {
		select {
		case line := <-a.lines:
			a.put(line)
		case <-ticker.C:
			if n := a.dropped.Load(); n > told {
				a.put(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", n-told, n))
				told = n
			}
		case <-ctx.Done():
			for {
				select {
				case line := <-a.lines:
					a.put(line)
				default:
					return
				}
			}
		}
	}
}

// put counts a line that the writer refused as dropped, since there is no other place to tell it.
func (a *Async) put(line []byte) {
	if _, err := a.writer.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
