package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"time"
)

// copyBody writes the body with its length, or in chunks where that is not known.
func copyBody(w *bufio.Writer, req *Request) error {
	if req.Length >= 0 {
		_, err := io.CopyN(w, req.Body, req.Length)
		return err
	}
	// Chunks are flushed as they come, so that a slow caller's body reaches the endpoint.
	chunks := httputil.NewChunkedWriter(w)
	buffer := make([]byte, bufferSize)
	for {
		n, err := req.Body.Read(buffer)
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

// body returns its connection to the pool once it has been read to its end and nothing more has come.
type body struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	stop func() bool
	sent chan error
	keep time.Duration
	done bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.done {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer; a body that was not read to its end closes the connection.
func (b *body) Close() error {
	if !b.done {
		b.finish(false)
	}
	return nil
}

func (b *body) finish(whole bool) {
	b.done = true
	if !whole || b.keep <= 0 || b.conn.reader.Buffered() > 0 || !b.wasSent() || !b.stop() {
		b.stop()
		b.conn.close()
		return
	}
	b.pool.put(b.conn, b.keep)
}

// wasSent reports whether the whole request has been written; else the rest of its body would follow on the
// connection.
func (b *body) wasSent() bool {
	select {
	case err := <-b.sent:
		return err == nil
	default:
		return false
	}
}
