package operator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/ingress/operator"
	"waxwingplank/internal/standin/daemon"
)

// Guards against an invalid document or a lost update that is accepted, a write of unknown outcome that is
// reported as refused, a missing check of the operator right, and an unintended change of the response format.
func TestHandlers(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) { runFile(t, path) })
	}
}

// runFile runs the steps of one file. The name of each section is the step:
//
//	-- fault NAME --        sets a fault of the daemon
//	-- token TOKEN --       adds a token with the operator right; other tokens are then refused
//	-- decision REQUEST --  adds a decision; the content is its name
//	-- METHOD PATH [Header:Value]... --  sends the content as the body
//	-- answer STATUS --     checks the last response: it must contain each line, and not TEXT for a line "not TEXT"
func runFile(t *testing.T, path string) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	backend := daemon.New()
	handler := operator.New(operator.Config{Backend: backend, BodyBytes: 4096, PollInterval: time.Millisecond})
	var last *httptest.ResponseRecorder
	for _, f := range archive.Files {
		words := strings.Fields(f.Name)
		switch words[0] {
		case "fault":
			backend.SetFault(daemon.Fault(strings.Join(words[1:], "")))
		case "token":
			backend.AddToken(words[1])
		case "decision":
			backend.AddDecision(table.RequestID(words[1]), operator.Decision{Decision: strings.TrimSpace(string(f.Data))})
		case "answer":
			checkResponse(t, last, words[1], string(f.Data))
		default:
			r := httptest.NewRequest(words[0], words[1], strings.NewReader(string(f.Data)))
			for _, header := range words[2:] {
				name, value, _ := strings.Cut(header, ":")
				r.Header.Set(name, strings.ReplaceAll(value, "_", " "))
			}
			last = httptest.NewRecorder()
			handler.ServeHTTP(last, r)
		}
	}
}

func checkResponse(t *testing.T, got *httptest.ResponseRecorder, status, want string) {
	t.Helper()
	is := is.New(t)
	var text strings.Builder
	_ = got.Header().Write(&text)
	text.WriteString(got.Body.String())
	t.Logf("%d %s", got.Code, text.String())
	is.Equal(fmt.Sprint(got.Code), status)
	for line := range strings.Lines(want) {
		line = strings.TrimSpace(line)
		if unwanted, ok := strings.CutPrefix(line, "not "); ok {
			if strings.Contains(text.String(), unwanted) {
				t.Errorf("response contains %s", unwanted)
			}
		} else if !strings.Contains(text.String(), line) {
			t.Errorf("response does not contain %s", line)
		}
	}
}

// Guards against a watch that keeps waiting after its caller has disconnected.
func TestWatchEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	backend := daemon.New()
	handler := operator.New(operator.Config{Backend: backend, PollInterval: time.Millisecond})
	server := httptest.NewServer(handler)
	client := &http.Client{Timeout: 20 * time.Millisecond}
	_, err := client.Get(server.URL + "/v1/watch/absent?after=0&wait_ms=10000")
	is.True(err != nil) // the caller disconnected first
	start := time.Now()
	server.Close() // waits for the handlers
	is.True(time.Since(start) < 5*time.Second)
}
