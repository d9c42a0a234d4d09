package http1

import (
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// maxStatus is the highest status of three digits. Those from 600 are passed on as failures.
const maxStatus = 999

// Defect names what makes a response malformed.
type Defect string

// The defects.
const (
	// InvalidStatus is a status out of 100 to 999, or one that switches to a protocol that was not asked for.
	InvalidStatus Defect = "status"
	// InvalidFieldName is a header field whose name contains a blank.
	InvalidFieldName Defect = "field_name"
	// InvalidFraming is a Transfer-Encoding in HTTP/1.0, which has none.
	InvalidFraming Defect = "framing"
	// Unreadable is what net/http does not read as a response.
	Unreadable Defect = "unreadable"
)

// Defects returns all defects.
func Defects() []Defect { return []Defect{InvalidStatus, InvalidFieldName, InvalidFraming, Unreadable} }

// MalformedError is the error of received bytes that are no response.
type MalformedError struct {
	defect Defect
	err    error
}

// Error implements error.
func (e *MalformedError) Error() string { return "http1: malformed response: " + e.err.Error() }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.err }

// Defect returns what is wrong.
func (e *MalformedError) Defect() Defect { return e.defect }

// malformed counts malformed responses by their defect.
var malformed expvar.Map

// Malformed returns how many malformed responses this process has received, by defect.
func Malformed() map[Defect]int64 {
	counts := map[Defect]int64{}
	for _, d := range Defects() {
		if n, ok := malformed.Get(string(d)).(*expvar.Int); ok {
			counts[d] = n.Value()
		}
	}
	return counts
}

func newMalformedError(d Defect, err error) error {
	malformed.Add(string(d), 1)
	return &MalformedError{defect: d, err: err}
}

// checkRead returns the error of a head of which something was received: an *IncompleteError if the connection failed or ended, and a
// *MalformedError if net/http could not read it.
func checkRead(err error) error {
	var failed net.Error
	var found *MalformedError
	switch {
	case errors.As(err, &found):
		return err
	case errors.As(err, &failed), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return checkBroken(Head, err)
	}
	return newMalformedError(Unreadable, err)
}

// CheckHead returns a *MalformedError unless the head, which may be that of an informational response, is valid HTTP/1.1. The endpoint
// may have run the request, and what else its connection delivers belongs to no request.
func CheckHead(status int, header http.Header) error {
	// net/http reads any three digits as a status, and some numbers with a sign.
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return newMalformedError(InvalidStatus, fmt.Errorf("status %03d", status))
	}
	return checkFieldNames(header)
}

// checkResponse checks the head of a response, and lets the end of its body be checked when it has been read.
func checkResponse(resp *http.Response) error {
	if err := CheckHead(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, resp: resp}
	return nil
}

// checkFieldNames looks for blanks only, since net/http itself rejects all other bytes that a name must not have. It keeps a
// Content-Length or Transfer-Encoding with a blank before its colon under another name and does not apply it.
func checkFieldNames(header http.Header) error {
	for name := range header {
		if strings.IndexByte(name, ' ') >= 0 {
			return newMalformedError(InvalidFieldName, fmt.Errorf("field name %.64q", name))
		}
	}
	return nil
}
