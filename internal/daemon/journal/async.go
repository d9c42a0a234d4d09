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
	// queueCapacity holds about two seconds of log lines of a host on its heaviest day; at 300 bytes per line that is
	// 1 MB.
	queueCapacity = 4096
	// reportPeriod is the interval between log lines that report the number of dropped lines.
	reportPeriod = time.Second
)

// infoLevel occurs in lines of level info, which are dropped first.
var infoLevel = []byte(`"level":"info"`)

// Async queues lines for a slow writer and never blocks. Lines of level info are dropped while the queue is more than
// half full, and all lines while it is full. Run logs the number of dropped lines.
type Async struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns an Async that passes lines to the writer while Run runs.
func NewAsync(writer io.Writer) *Async {
	return &Async{writer: writer, lines: make(chan []byte, queueCapacity)}
}

// Write implements io.Writer; each call must pass one complete line. It never fails and never blocks.
func (a *Async) Write(line []byte) (int, error) {
	if len(a.lines) > queueCapacity/2 && bytes.Contains(line, infoLevel) {
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

// Dropped returns the total number of dropped lines.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Run writes lines until ctx ends, and then the lines still queued.
func (a *Async) Run(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-a.lines:
			a.writeLine(line)
		case <-ticker.C:
			if n := a.dropped.Load(); n > reported {
				a.writeLine(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", n-reported, n))
				reported = n
			}
		case <-ctx.Done():
			for {
				select {
				case line := <-a.lines:
					a.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes one line. A failed write only counts as dropped, since the log cannot report its own failure.
func (a *Async) writeLine(line []byte) {
	if _, err := a.writer.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
