package forward

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// readBytes is the size of a read; it holds several events.
	readBytes = 4 << 10
	// maxEventBytes bounds one event, which is kept in memory until it is complete. Events of the platform have a few
	// hundred bytes.
	maxEventBytes = 128 << 10
)

// errPartialEvent is the error of a body that ends inside an event. Its framing does not matter: an endpoint that fails may
// close a response without a length in the normal way, which looks like its end.
var errPartialEvent = errors.New("forward: stream ends inside an event")

// errNoEvents is the error of a series of events that ends with its connection before its first event. An endpoint that fails
// after the head of its response leaves nothing else.
var errNoEvents = errors.New("forward: stream ends with its connection before its first event")

// event is one complete event of a stream.
type event struct {
	data []byte
	// comment is true if the event has no fields, only comment lines, which endpoints send to keep connections open. It
	// does not count as progress.
	comment bool
	// id is -1 if the event has no id or one that is not a number.
	id int64
	// idText is the id as the endpoint wrote it.
	idText string
}

// eventReader splits a body into events without changing its bytes.
type eventReader struct {
	body io.Reader
	// events is false for a body of another format, which may end anywhere.
	events bool
	buffer []byte
	chunk  []byte
	// scanned is the length of the part of the buffer in which no event ends.
	scanned int
}

func newEventReader(body io.Reader, events bool) *eventReader {
	return &eventReader{body: body, events: events, chunk: make([]byte, readBytes)}
}

// next returns the next events. io.EOF is returned without events and means that the body ended after a complete event. An
// incomplete last event is dropped.
func (r *eventReader) next() ([]event, error) {
	for {
		if out := r.split(); len(out) > 0 {
			return out, nil
		}
		n, err := r.body.Read(r.chunk)
		r.buffer = append(r.buffer, r.chunk[:n]...)
		if len(r.buffer) > maxEventBytes {
			return nil, bytes.ErrTooLarge
		}
		if err == nil {
			continue
		}
		out := r.split()
		switch rest := r.buffer; {
		case len(rest) == 0 || !errors.Is(err, io.EOF):
		case !r.events, rest[len(rest)-1] == '\n' && isComment(rest):
			// Comments and blank lines may follow the last event without a blank line of their own.
			out = append(out, event{data: rest, comment: r.events, id: -1})
			r.buffer = nil
		default:
			err = errPartialEvent
		}
		if len(out) > 0 {
			r.body = failedReader{err}
			return out, nil
		}
		return nil, err
	}
}

// failedReader returns the same error on each read.
type failedReader struct{ err error }

// Read implements io.Reader.
func (f failedReader) Read([]byte) (int, error) { return 0, f.err }

// split removes complete events from the buffer and returns them.
func (r *eventReader) split() []event {
	var out []event
	for {
		end := eventEnd(r.buffer, r.scanned)
		if end < 0 {
			// The last two bytes may be the start of a blank line.
			r.scanned = max(len(r.buffer)-2, 0)
			return out
		}
		e := event{data: bytes.Clone(r.buffer[:end]), comment: isComment(r.buffer[:end]), id: -1}
		e.id, e.idText = eventID(e.data)
		out = append(out, e)
		r.buffer, r.scanned = r.buffer[end:], 0
	}
}

// isComment reports whether all lines of an event are comments.
func isComment(data []byte) bool {
	for line := range bytes.Lines(data) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventEnd returns the length of the first event including its blank line, or -1. The event does not end before from.
func eventEnd(b []byte, from int) int {
	for i := from; i < len(b); i++ {
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
			// The order of ids that are not numbers can't be checked, so such a stream is not resumed.
			return -1, text
		}
		return n, text
	}
	return -1, ""
}
