package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

// fakeBackend selects its response by the prompt or path of the request.
type fakeBackend struct{}

func (fakeBackend) Addresses(context.Context, table.ServiceID) ([]Address, time.Duration, error) {
	return []Address{{Address: "192.0.2.1:80", FailureDomain: "d"}}, 5 * time.Second, nil
}

func (fakeBackend) Workspace(_, name string, firstSend bool) (table.WorkspaceID, error) {
	if name == "" {
		return "", refusal(outcome.Unauthorized, "no workspace", firstSend)
	}
	return table.WorkspaceID(name), nil
}

func (fakeBackend) Stream(ctx context.Context, req StreamRequest, sink Sink) error {
	switch req.Prompt {
	case "full":
		return outcome.NewRefusal(outcome.RefusalConfig{
			Code: outcome.QueueFull, Message: "full", Facts: outcome.Facts{FirstSend: req.FirstSend}, RetryAfter: 1500 * time.Millisecond,
		})
	case "broken":
		return errors.New("unknown fault")
	case "late":
		<-ctx.Done()
		return outcome.NewRefusal(outcome.RefusalConfig{Code: outcome.Timeout, Message: "late", Facts: outcome.Facts{BytesSent: true}})
	}
	if err := sink.Token("id-0", 0, "a\n\"b"); err != nil {
		return err
	}
	if req.Prompt == "half" {
		return outcome.NewRefusal(outcome.RefusalConfig{Code: outcome.EndpointFailed, Message: "half", Facts: outcome.Facts{BytesSent: true}})
	}
	return sink.Done(1, "length")
}

func (fakeBackend) Call(_ context.Context, req CallRequest) (CallResponse, error) {
	return CallResponse{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(req.Method + " " + req.Path)}, nil
}

func (fakeBackend) ForwardTarget(Request, *CallRequest) (table.HostID, bool) { return "", false }

func (fakeBackend) Forward(http.ResponseWriter, *http.Request, []byte, Request, table.HostID) (bool, error) {
	return false, errors.New("not expected")
}

func startServer(t *testing.T) string { return startServerWith(t, fakeBackend{}) }

func startServerWith(t *testing.T, backend Backend) string {
	t.Helper()
	h := New(Config{
		Backend: backend, MaxBodyBytes: 64, BodyTimeout: 100 * time.Millisecond, MaxStreams: 4, MaxRequestTime: 300 * time.Millisecond,
		HeartbeatInterval: 50 * time.Millisecond, NewRequestID: func() table.RequestID { return "r-1" },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 200 * time.Millisecond, MaxHeaderBytes: 4096}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return listener.Addr().String()
}

// exchange writes the text to a connection and returns the response. If the text is shorter than its Content-Length,
// the rest never arrives; if it ends with CUT, the sending side of the connection is closed after it.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	text = strings.ReplaceAll(text, "LONG", strings.Repeat("x", 8192))
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if strings.HasSuffix(text, "CUT") {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d outcome=%s retry=%s\n%s",
		resp.StatusCode, resp.Header.Get(HeaderOutcome), resp.Header.Get("Retry-After"), bytes.TrimSpace(body))
}

// Guards against malformed, oversized, truncated and slow requests that crash a host or get a response with the
// wrong status or outcome.
func TestRequests(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/requests.txtar")
	if err != nil {
		t.Fatal(err)
	}
	address := startServer(t)
	for _, f := range archive.Files {
		request, want, _ := strings.Cut(string(f.Data), "\n=>\n")
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			head, body, _ := strings.Cut(request, "\n\n")
			is.Equal(exchange(t, address, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body), strings.TrimSpace(want))
		})
	}
}

// truncatingBackend forwards each request to a peer whose response is cut off after its first part.
type truncatingBackend struct {
	fakeBackend
	contentType string
}

func (truncatingBackend) ForwardTarget(Request, *CallRequest) (table.HostID, bool) {
	return "peer", true
}

func (b truncatingBackend) Forward(w http.ResponseWriter, _ *http.Request, _ []byte, _ Request, _ table.HostID) (bool, error) {
	w.Header().Set("Content-Type", b.contentType)
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write([]byte("part")); err != nil {
		return true, err
	}
	return true, errors.New("peer is gone")
}

// Guards against a peer's response that was cut off and that the caller takes for complete.
func TestPassedOnAnswerThatBreaksOff(t *testing.T) {
	cases := []struct {
		name        string
		contentType string
		complete    bool
		want        string
	}{
		{"a plain answer is cut", "text/plain", false, ""},
		{"a stream ends with an error", eventStream, true, "event: error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := startServerWith(t, truncatingBackend{contentType: c.contentType})
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/v1/services/s/calls/p", nil)
			is.NoErr(err)
			req.Header.Set("Workspace", "w")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				is.True(!c.complete)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			is.Equal(err == nil, c.complete)
			is.True(strings.Contains(string(body), c.want))
		})
	}
}
