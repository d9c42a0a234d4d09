package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"time"
)

// copyBody writes the body as it is if its length is known, else in chunks.
func copyBody(w *bufio.Writer, req *Request) error {
	source := bodySource{req.Body}
	if req.Body == nil {
		source.Reader = http.NoBody
	}
	if req.Length >= 0 {
		_, err := io.CopyN(w, source, req.Length)
		return err
	}
	// Each chunk is flushed at once, so that the endpoint receives the body of a slow caller without delay.
	chunks := httputil.NewChunkedWriter(w)
	buffer := make([]byte, bufferSize)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if _, werr := chunks.Write(buffer[:n]); werr != nil {
				return werr
			}
			if werr := w.Flush(); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)

var errSendTimeout = errors.New("http1: request was not written in time")

// bodyError is an error of the source of a request's body.
type bodyError struct{ err error }

// Error implements error.
func (e *bodyError) Error() string { return "http1: read the request's body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.err }

// bodySource marks the errors of the source of a body.
type bodySource struct{ io.Reader }

// Read implements io.Reader.
func (s bodySource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &bodyError{err}
	}
	return n, err
}

// body returns its connection to the pool if it has been read to its end and no further bytes have been received.
type body struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	stop func() bool
	// sent receives the result of writing the request.
	sent chan error
	// sendDeadline is when the rest of a request is given up whose response is complete.
	sendDeadline time.Time
	idleTimeout  time.Duration
	finished     bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.finished {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer. It closes the connection if the body was not read to its end.
func (b *body) Close() error {
	if !b.finished {
		b.finish(false)
	}
	return nil
}

// finish releases the connection. After a complete response it no longer depends on the context of the request.
func (b *body) finish(complete bool) {
	b.finished = true
	if !b.stop() || !complete {
		b.conn.close()
		return
	}
	select {
	case err := <-b.sent:
		b.release(err)
	default:
		// The endpoint has responded before it has read the whole request. It gets the rest.
		timeout := time.AfterFunc(time.Until(b.sendDeadline), b.conn.close)
		go func() {
			err := <-b.sent
			if !timeout.Stop() {
				err = errSendTimeout
			}
			b.release(err)
		}()
	}
}

// release returns the connection to the pool after a request was written without an error, if it may be used again.
func (b *body) release(err error) {
	if err != nil || b.idleTimeout <= 0 || b.conn.reader.Buffered() > 0 {
		b.conn.close()
		return
	}
	b.pool.put(b.conn, b.idleTimeout)
}
