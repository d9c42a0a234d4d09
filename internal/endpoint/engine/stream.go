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

// readBufferBytes holds about 30 token lines; a longer line is collected over several reads.
const readBufferBytes = 4 << 10

// Stream reads the events of one attempt. One goroutine owns it.
type Stream struct {
	address  string
	body     io.Closer
	reader   *bufio.Reader
	parser   parser
	line     []byte
	maxLine  int
	progress *progress
	ctx      context.Context // The caller's context, kept to tell its end from a broken connection.
	failed   func(*Error)    // Tells the client, so that it avoids connections of a silent address.
	err      error
}

// progress cancels a request when nothing arrives for too long.
type progress struct {
	timer   *time.Timer
	limit   time.Duration
	expired atomic.Bool
	cancel  context.CancelFunc
}

func newProgress(limit time.Duration, cancel context.CancelFunc) *progress {
	p := &progress{limit: limit, cancel: cancel}
	p.timer = time.AfterFunc(limit, func() {
		p.expired.Store(true)
		cancel()
	})
	return p
}

func (p *progress) arm()    { p.timer.Reset(p.limit) }
func (p *progress) disarm() { p.timer.Stop() }

func newStream(ctx context.Context, address string, res *http.Response, maxLine int, p *progress) *Stream {
	return &Stream{
		address:  address,
		body:     res.Body,
		reader:   bufio.NewReaderSize(res.Body, readBufferBytes),
		maxLine:  maxLine,
		progress: p,
		ctx:      ctx,
	}
}

// Next returns the next event. It fails when no whole line arrives within the progress deadline:
// a connection that gives single bytes makes no more progress than a silent one. After Done or
// Failure it returns io.EOF; after an error it returns the same error.
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

// Close ends the connection; the engine keeps the stream for a while unless it is canceled.
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

// buffered returns a line that has arrived already, without touching the timer.
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
	s.failed(e)
	s.err = e
	_ = s.Close()
	return s.err
}

// classify names the reason why a call or stream ended.
func classify(ctx context.Context, p *progress, operation, address string, sent bool, err error) *Error {
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
		e.kind = ErrSilent
	}
	return e
}
