package forward

import (
	"bytes"
	"io"
	"strconv"
)

const (
	// readSize is several events at once.
	readSize = 4 << 10
	// maxEvent bounds one event; those of the platform have some hundred bytes.
	maxEvent = 1 << 20
)

// event is one whole event of a stream, or the rest of a body that ends without one.
type event struct {
	data []byte
	// id is -1 where the event has none that is a number.
	id int64
	// text is the id as it was written.
	text string
}

// eventReader splits a body into events without changing a byte.
type eventReader struct {
	body   io.Reader
	buffer []byte
	chunk  []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, chunk: make([]byte, readSize)}
}

// next returns the next events; io.EOF comes alone and means that the body ended well. What an answer that was
// cut off left of its last event is dropped.
func (r *eventReader) next() ([]event, error) {
	for {
		if out := r.split(); len(out) > 0 {
			return out, nil
		}
		n, err := r.body.Read(r.chunk)
		r.buffer = append(r.buffer, r.chunk[:n]...)
		if len(r.buffer) > maxEvent {
			return nil, bytes.ErrTooLarge
		}
		if n > 0 && err == nil {
			continue
		}
		if err != nil {
			out := r.split()
			if err == io.EOF && len(r.buffer) > 0 {
				out = append(out, event{data: r.buffer, id: -1})
				r.buffer = nil
			}
			if len(out) > 0 {
				r.body = failed{err}
				return out, nil
			}
			return nil, err
		}
	}
}

// failed returns the same error again.
type failed struct{ err error }

// Read implements io.Reader.
func (f failed) Read([]byte) (int, error) { return 0, f.err }

// split takes whole events off the buffer.
func (r *eventReader) split() []event {
	var out []event
	for {
		end := eventEnd(r.buffer)
		if end < 0 {
			return out
		}
		e := event{data: bytes.Clone(r.buffer[:end]), id: -1}
		e.id, e.text = eventID(e.data)
		out = append(out, e)
		r.buffer = r.buffer[end:]
	}
}

// eventEnd returns the length of the first event with its blank line, or -1.
func eventEnd(b []byte) int {
	for i := 0; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		if i+1 < len(b) && b[i+1] == '\n' {
			return i + 2
		}
		if i+2 < len(b) && b[i+1] == '\r' && b[i+2] == '\n' {
			return i + 3
		}
	}
	return -1
}

func eventID(data []byte) (int64, string) {
	for line := range bytes.Lines(data) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		text := string(bytes.TrimSpace(value))
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			// An id that is no number can't be followed, so such a stream is not resumed.
			return -1, text
		}
		return n, text
	}
	return -1, ""
}
