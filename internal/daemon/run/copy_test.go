package run

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"waxwingplank/internal/peer/hostpb"
)

// fakeResponse is a peer's response that returns its bodies one by one and then an error.
type fakeResponse struct {
	bodies []string
	err    error
}

func (*fakeResponse) Status() int { return http.StatusCreated }

func (*fakeResponse) Headers() []*hostpb.Header {
	return []*hostpb.Header{{Name: "Content-Type", Value: "text/plain"}}
}

func (p *fakeResponse) Next() ([]byte, error) {
	if len(p.bodies) == 0 {
		return nil, p.err
	}
	body := p.bodies[0]
	p.bodies = p.bodies[1:]
	return []byte(body), nil
}

// Guards against a successful, empty response where the peer's response failed before its body, as when the peer is
// paused.
func TestCopyAnswer(t *testing.T) {
	errGone := errors.New("gone")
	cases := []struct {
		name    string
		bodies  []string
		err     error
		started bool
		fails   bool
		body    string
	}{
		{"whole", []string{"a", "b"}, io.EOF, true, false, "ab"},
		{"whole without a body", nil, io.EOF, true, false, ""},
		{"broken before the body", nil, errGone, false, true, ""},
		{"broken in the body", []string{"a"}, errGone, true, true, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			started, err := copyAnswer(w, &fakeResponse{bodies: c.bodies, err: c.err})
			is.Equal(started, c.started)
			is.Equal(err != nil, c.fails)
			is.Equal(w.Body.String(), c.body)
			is.Equal(w.Code == http.StatusCreated, c.started)
			is.Equal(w.Header().Get("Content-Type") != "", c.started)
		})
	}
}
