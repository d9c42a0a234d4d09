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

// Guards against a bad document or a lost update that is accepted, a write of unknown outcome that
// is told as refused, an operator's right that is not checked, and an answer that changes its form.
func TestHandlers(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) { runFile(t, path) })
	}
}

// runFile runs the steps of one file: each section is named by what it does.
//
//	-- fault NAME --        sets a fault of the daemon
//	-- token TOKEN --       lets only the tokens added operate
//	-- decision REQUEST --  adds a decision; the content is its name
//	-- METHOD PATH [Header:Value]... --  sends the content as the body
//	-- answer STATUS --     each line must stand in the last answer; "not TEXT" must not
func runFile(t *testing.T, path string) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	backend := daemon.New()
	handler := operator.New(operator.Config{Backend: backend, BodyBytes: 4096, PollEvery: time.Millisecond})
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
			checkAnswer(t, last, words[1], string(f.Data))
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

func checkAnswer(t *testing.T, got *httptest.ResponseRecorder, status, want string) {
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
				t.Errorf("answer has %s", unwanted)
			}
		} else if !strings.Contains(text.String(), line) {
			t.Errorf("answer lacks %s", line)
		}
	}
}

// Guards against a waiting watch that holds its connection after its caller has left.
func TestWatchEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	backend := daemon.New()
	handler := operator.New(operator.Config{Backend: backend, PollEvery: time.Millisecond})
	server := httptest.NewServer(handler)
	client := &http.Client{Timeout: 20 * time.Millisecond}
	_, err := client.Get(server.URL + "/v1/watch/absent?after=0&wait_ms=10000")
	is.True(err != nil) // the caller left first
	start := time.Now()
	server.Close() // waits for the handlers
	is.True(time.Since(start) < 5*time.Second)
}
