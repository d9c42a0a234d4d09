package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes is the largest body that is kept, so that it can be sent again. Requests for text are about
	// 1 KB; 200 at once take 13 MB.
	maxBufferedBytes = 64 << 10
	// shortBodyTime is how long a response of this host's own waits for the rest of a short body, so that the caller can
	// use its connection again. Most bodies arrive with the head.
	shortBodyTime = 100 * time.Millisecond
	// lingerTime is how long a caller that is still sending its body has to read the response before its connection is
	// closed. A close with unread data resets the connection, and the caller may lose the response.
	lingerTime = 500 * time.Millisecond
	// maxLingerBytes bounds what is read in that time.
	maxLingerBytes = 4 << 20
)

// errBodyAbandoned ends a send whose request is answered otherwise.
var errBodyAbandoned = errors.New("forward: body is not sent on")

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)

// requestBody is the only reader of the body of a call, until the call ends. It keeps a short body, which can be sent
// several times. A longer one goes to an endpoint as it arrives, once, also after the response has begun. It implements
// io.ReadCloser for that endpoint.
type requestBody struct {
	// source is the body within its limit, whole is what the caller sends.
	source io.Reader
	whole  io.Reader
	// length is -1 for a chunked body.
	length   int64
	response *http.ResponseController
	// short is a body that was read to its end, ahead the beginning of a longer one.
	short []byte
	ahead []byte
	// streamed is true for a body that is too long to keep.
	streamed bool

	// reading is held while the source is read.
	reading sync.Mutex
	// failed holds the error with which the source ended too soon.
	failed atomic.Pointer[error]
	// complete is set at the end of the source, abandoned once nothing of it is sent any more, released once nothing is read.
	complete  atomic.Bool
	abandoned atomic.Bool
	released  atomic.Bool
	// ended is closed when the endpoint's sender reads no more.
	ended   chan struct{}
	endOnce sync.Once
}

// newRequestBody returns the body of a call whose response goes to w.
func newRequestBody(call *Call, w http.ResponseWriter) *requestBody {
	b := &requestBody{source: call.Body, whole: call.Body, length: call.Length, response: http.NewResponseController(w), ended: make(chan struct{})}
	if call.Body == nil || call.Length == 0 {
		b.complete.Store(true)
	}
	return b
}

// limit bounds the body to n bytes. A longer one ends with an *http.MaxBytesError.
func (b *requestBody) limit(n int64) {
	if !b.complete.Load() {
		b.source = http.MaxBytesReader(nil, io.NopCloser(b.source), n)
	}
}

// read reads from the source and records how it ends. The caller holds reading.
func (b *requestBody) read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.complete.Store(true)
	case err != nil:
		b.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}

// identity returns what tells the body from others: all of a short one, the length and the beginning of a longer one.
func (b *requestBody) identity() []byte {
	if !b.streamed {
		return b.short
	}
	return append(strconv.AppendInt(nil, b.length, 10), b.ahead...)
}

// sourceReader reads the source for a holder of reading.
type sourceReader struct{ *requestBody }

// Read implements io.Reader.
func (s sourceReader) Read(p []byte) (int, error) { return s.read(p) }

// buffer reads a short body, or the beginning of a longer one, until the deadline at most.
func (b *requestBody) buffer(deadline time.Time) error {
	if b.complete.Load() {
		return nil
	}
	if err := b.setReadDeadline(deadline); err != nil {
		return err
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	data, err := io.ReadAll(io.LimitReader(sourceReader{b}, maxBufferedBytes+1))
	if err != nil {
		return err
	}
	if len(data) <= maxBufferedBytes {
		// The HTTP server has removed the deadline with the end of the body.
		b.short = data
		return nil
	}
	b.ahead, b.streamed = data, true
	return b.setReadDeadline(time.Time{})
}

// setReadDeadline bounds reads of the source. Response writers that are no HTTP/1.1 connection have no deadlines.
func (b *requestBody) setReadDeadline(at time.Time) error {
	if err := b.response.SetReadDeadline(at); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// Read implements io.Reader for the endpoint to which a long body is sent.
func (b *requestBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.abandoned.Load() {
		return 0, errBodyAbandoned
	}
	if len(b.ahead) > 0 {
		n := copy(p, b.ahead)
		if b.ahead = b.ahead[n:]; len(b.ahead) == 0 {
			b.ahead = nil // its memory is not needed while the rest arrives
		}
		return n, nil
	}
	n, err := b.read(p)
	if b.abandoned.Load() {
		return 0, errBodyAbandoned
	}
	if err != nil {
		b.endSend()
	}
	return n, err
}

// Close implements io.Closer. The endpoint's sender calls it when it reads no more.
func (b *requestBody) Close() error {
	b.endSend()
	return nil
}

func (b *requestBody) endSend() { b.endOnce.Do(func() { close(b.ended) }) }

// failure returns the error with which the source ended too soon, or nil.
func (b *requestBody) failure() error {
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// abandon lets the send of a long body fail, because the call is answered otherwise.
func (b *requestBody) abandon() { b.abandoned.Store(true) }

// prepareResponse is called before the head of a response is written. While the body has not been read to its end, the
// response closes the connection: the HTTP server takes what follows for the next request.
func (b *requestBody) prepareResponse(h http.Header) {
	if b.complete.Load() {
		return
	}
	h.Set("Connection", "close")
	if err := b.response.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		// The server then reads the body itself, and the send fails.
		b.abandon()
	}
}

// finishShort reads a short body that no endpoint gets, if its rest arrives at once.
func (b *requestBody) finishShort() {
	if b.complete.Load() || b.streamed || b.length > maxBufferedBytes || b.failure() != nil {
		return
	}
	if err := b.setReadDeadline(time.Now().Add(shortBodyTime)); err != nil {
		return
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	_, _ = io.CopyN(io.Discard, sourceReader{b}, maxBufferedBytes) //nolint:errcheck // read records how the body ends
}

// awaitSend waits until a long body has been read to its end by the endpoint that has answered, or until the call is over.
func (b *requestBody) awaitSend(done <-chan struct{}) {
	if !b.streamed || b.abandoned.Load() {
		return
	}
	select {
	case <-b.ended:
		return
	default:
	}
	// The caller need not wait for the end of its own body to read a response that is complete.
	if err := b.response.Flush(); err != nil {
		return
	}
	select {
	case <-b.ended:
	case <-done:
		// A caller that has the response and still sends its body gets no more time.
		b.release()
	}
}

// linger gives a caller that is still sending its body the time to read the response, which has been written.
func (b *requestBody) linger() {
	if b.complete.Load() || b.released.Load() {
		return
	}
	b.abandon()
	if b.response.Flush() != nil || b.setReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	_, _ = io.CopyN(io.Discard, b.whole, maxLingerBytes) //nolint:errcheck // the connection is closed in any case
}

// release ends all reading of the source. It must be called before the handler of the call returns.
func (b *requestBody) release() {
	b.abandon()
	if b.complete.Load() || b.released.Swap(true) {
		return
	}
	_ = b.setReadDeadline(pastTime) //nolint:errcheck // the connection is closed next
	b.reading.Lock()
	defer b.reading.Unlock()
}
