package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// readBufferBytes holds about 30 token lines. A line that does not fit is assembled from several reads.
const readBufferBytes = 4 << 10

// Stream reads the events of one attempt. It must not be used by more than one goroutine at a time.
type Stream struct {
	address  string
	body     io.Closer
	reader   *bufio.Reader
	parser   parser
	line     []byte
	maxLine  int
	progress *progressTimer
	ctx      context.Context // The caller's context, to distinguish cancellation from a broken connection.
	err      error
}

// progressTimer cancels a request that receives nothing within the limit.
type progressTimer struct {
	timer   *time.Timer
	limit   time.Duration
	expired atomic.Bool
	cancel  context.CancelFunc
}

func newProgressTimer(limit time.Duration, cancel context.CancelFunc) *progressTimer {
	p := &progressTimer{limit: limit, cancel: cancel}
	p.timer = time.AfterFunc(limit, func() {
		p.expired.Store(true)
		cancel()
	})
	return p
}

func (p *progressTimer) arm()    { p.timer.Reset(p.limit) }
func (p *progressTimer) disarm() { p.timer.Stop() }

func newStream(ctx context.Context, address string, res *http.Response, maxLine int, p *progressTimer) *Stream {
	return &Stream{
		address:  address,
		body:     res.Body,
		reader:   bufio.NewReaderSize(res.Body, readBufferBytes),
		maxLine:  maxLine,
		progress: p,
		ctx:      ctx,
	}
}

// Next returns the next event. It fails if no complete line arrives within the progress deadline. The
// bytes of an incomplete line do not extend the deadline, because a connection that delivers only single
// bytes is as useless as a stalled one. After Done or Failure it returns io.EOF; after an error it
// returns the same error again.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return nil, s.err
	}
	line, err := s.nextLine()
	if err != nil {
		return nil, s.end(err)
	}
	event, err := s.parser.parse(line)
	if err != nil {
		return nil, s.end(&Error{kind: ErrMalformed, cause: err})
	}
	switch event.(type) {
	case Done, Failure:
		_ = s.Close()
		s.err = io.EOF
	}
	return event, nil
}

// Close closes the connection. It does not cancel the stream, which the engine keeps for a while.
func (s *Stream) Close() error {
	s.progress.disarm()
	s.progress.cancel()
	return s.body.Close()
}

func (s *Stream) nextLine() ([]byte, error) {
	if line, ok := s.buffered(); ok {
		return line, nil
	}
	s.progress.arm()
	defer s.progress.disarm()
	s.line = s.line[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(s.line)+len(part) > s.maxLine+1 {
			return nil, &Error{kind: ErrMalformed, cause: fmt.Errorf("line over %d bytes", s.maxLine)}
		}
		if err == nil && len(s.line) == 0 {
			return part[:len(part)-1], nil
		}
		s.line = append(s.line, part...)
		if err == nil {
			return s.line[:len(s.line)-1], nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// buffered returns a line that is already in the read buffer. It does not use the timer.
func (s *Stream) buffered() ([]byte, bool) {
	n := s.reader.Buffered()
	if n == 0 {
		return nil, false
	}
	b, err := s.reader.Peek(n)
	if err != nil {
		return nil, false
	}
	i := bytes.IndexByte(b, '\n')
	if i < 0 || i > s.maxLine {
		return nil, false
	}
	if _, err := s.reader.Discard(i + 1); err != nil {
		return nil, false
	}
	return b[:i], true
}

func (s *Stream) end(err error) error {
	e := classify(s.ctx, s.progress, "stream", s.address, true, err)
	s.err = e
	_ = s.Close()
	return s.err
}

// classify returns the error of a call or stream with its kind.
func classify(ctx context.Context, p *progressTimer, operation, address string, sent bool, err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		e.operation, e.address, e.sent = operation, address, sent
		return e
	}
	e := &Error{kind: ErrReset, operation: operation, address: address, sent: sent, cause: err}
	switch {
	case ctx.Err() != nil:
		e.kind = ErrCanceled
	case !sent:
		e.kind = ErrUnreachable
	case p != nil && p.expired.Load():
		e.kind = ErrUnresponsive
	}
	return e
}
