package http1

import (
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/textproto"
)

// Part names the part of a response in which it broke off.
type Part string

// The parts.
const (
	Head Part = "head"
	Body Part = "body"
)

// Parts returns all parts.
func Parts() []Part { return []Part{Head, Body} }

// IncompleteError is the error of a response that the endpoint or the network broke off. The endpoint may have run the request, and the
// connection is not used again.
type IncompleteError struct {
	part Part
	err  error
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return "http1: incomplete response, broken off in its " + string(e.part) + ": " + e.err.Error()
}

// Unwrap returns the cause, such as io.ErrUnexpectedEOF or the error of the connection.
func (e *IncompleteError) Unwrap() error { return e.err }

// Part returns where the response broke off.
func (e *IncompleteError) Part() Part { return e.part }

// Broken reports whether a response ended with an *IncompleteError or a *MalformedError, so that its status shows nothing either.
func Broken(err error) bool {
	var incomplete *IncompleteError
	var malformed *MalformedError
	return errors.As(err, &incomplete) || errors.As(err, &malformed)
}

// incomplete counts incomplete responses by their part.
var incomplete expvar.Map

// Incomplete returns how many incomplete responses this process has received, by the part in which they broke off.
func Incomplete() map[Part]int64 {
	counts := map[Part]int64{}
	for _, p := range Parts() {
		if n, ok := incomplete.Get(string(p)).(*expvar.Int); ok {
			counts[p] = n.Value()
		}
	}
	return counts
}

// checkBroken returns an *IncompleteError for an error that shows that the connection failed or ended in this part of a response, and
// other errors as they are.
func checkBroken(part Part, err error) error {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !isConnectionFailure(err) {
		return err
	}
	incomplete.Add(string(part), 1)
	return &IncompleteError{part: part, err: err}
}

// responseBody decides whether a body is complete: io.EOF is its end as its framing says. It ends with an *IncompleteError if it broke
// off, or with a *MalformedError if its trailer is malformed.
type responseBody struct {
	io.ReadCloser
	resp *http.Response
	end  error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if b.end == nil {
		b.end = b.checkEnd(err)
	}
	return n, b.end
}

// checkEnd returns the error with which the body ends. At io.EOF, net/http has added the fields of a trailer to the response.
func (b *responseBody) checkEnd(err error) error {
	var trailer textproto.ProtocolError
	switch {
	case errors.As(err, &trailer):
		return newMalformedError(Unreadable, err)
	case !errors.Is(err, io.EOF):
		return checkBroken(Body, err)
	}
	if invalid := checkFieldNames(b.resp.Trailer); invalid != nil {
		return invalid
	}
	return io.EOF
}
