package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"waxwingplank/internal/client/command"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/ingress/operator"
	"waxwingplank/internal/standin/daemon"
	"waxwingplank/internal/standin/script"
)

// Guards against a command that ends with a wrong exit code, that fails because one host does not respond, or
// that reports a change of unknown outcome as done or as refused.
//
// The scripts have these commands besides those of testscript:
//
//	host NAME [MODE]     starts a host and puts its operator address into $NAME; modes are
//	                     silent (never responds), refused (no listener), losing (drops the response to
//	                     a PUT after it took effect), breaking (drops a PUT before it takes effect),
//	                     garbage (responds with HTML), tls, exiting (drops every GET),
//	                     raw TEXT (writes a text in Go syntax in place of each response), rawput
//	                     TEXT (does so for a PUT)
//	fault [NAME]         sets a fault of the daemon, or clears it
//	token TOKEN          adds a token with the operator right; other tokens are then refused
//	peer ADDRESS         adds a host to the status
//	decision ID NAME     adds a decision about a request
//	run CODE ARGUMENT... runs the client and checks its exit code
//	json PATH VALUE      checks a value in the last output, with a path such as hosts.0.state
//	writes N             checks the number of writes that took effect
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values["daemon"] = daemon.New()
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"host":     startHost,
			"fault":    setFault,
			"token":    func(ts *testscript.TestScript, _ bool, args []string) { backend(ts).AddToken(args[0]) },
			"peer":     func(ts *testscript.TestScript, _ bool, args []string) { backend(ts).AddPeer(args[0]) },
			"decision": addDecision,
			"run":      runClient,
			"json":     checkJSON,
			"writes": func(ts *testscript.TestScript, _ bool, args []string) {
				if n := strconv.Itoa(backend(ts).Writes()); n != args[0] {
					ts.Fatalf("%s writes took effect, want %s", n, args[0])
				}
			},
		},
	})
}

func backend(ts *testscript.TestScript) *daemon.Daemon { return ts.Value("daemon").(*daemon.Daemon) }

func setFault(ts *testscript.TestScript, _ bool, args []string) {
	backend(ts).SetFault(daemon.Fault(strings.Join(args, "")))
}

func addDecision(ts *testscript.TestScript, _ bool, args []string) {
	backend(ts).AddDecision(table.RequestID(args[0]), operator.Decision{
		Time: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), Decision: args[1], Fields: map[string]any{"pipeline": "p1"},
	})
}

func startHost(ts *testscript.TestScript, _ bool, args []string) {
	mode := ""
	if len(args) > 1 {
		mode = args[1]
	}
	handler := operator.New(operator.Config{Backend: backend(ts), PollInterval: time.Millisecond})
	stop := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		put := r.Method == http.MethodPut
		switch {
		case mode == "raw", mode == "rawput" && put:
			text, err := strconv.Unquote(`"` + args[2] + `"`)
			ts.Check(err)
			script.WriteRaw(w, text)
		case mode == "silent":
			<-stop
		case mode == "garbage":
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write([]byte("<html>"))
		case mode == "losing" && put:
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case mode == "breaking" && put, mode == "exiting" && r.Method == http.MethodGet:
			panic(http.ErrAbortHandler)
		default:
			handler.ServeHTTP(w, r)
		}
	}))
	if mode == "tls" {
		server.StartTLS()
	} else {
		server.Start()
	}
	ts.Setenv(args[0], server.Listener.Addr().String())
	if mode == "refused" {
		server.Close()
		return
	}
	if mode == "tls" {
		ts.Check(os.WriteFile(ts.MkAbs("ca.pem"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600))
	}
	ts.Defer(func() {
		close(stop)
		server.Close()
	})
}

func runClient(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var stdout, stderr bytes.Buffer
	code := command.Run(ctx, command.Config{
		Args: args[1:], Stdout: &stdout, Stderr: &stderr, Env: ts.Getenv,
		CallTimeout: 300 * time.Millisecond, PollInterval: time.Millisecond,
	})
	_, _ = ts.Stdout().Write(stdout.Bytes())
	_, _ = ts.Stderr().Write(stderr.Bytes())
	ts.Check(os.WriteFile(ts.MkAbs("last-stdout"), stdout.Bytes(), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("last-stderr"), stderr.Bytes(), 0o600))
	if code != want {
		ts.Fatalf("exit code %d, want %d\nstdout: %s\nstderr: %s", code, want, &stdout, &stderr)
	}
}

// checkJSON checks a value in the last output, or in the last line of the error output if the path starts with "stderr.".
func checkJSON(ts *testscript.TestScript, _ bool, args []string) {
	path, inErr := strings.CutPrefix(args[0], "stderr.")
	file := "last-stdout"
	if inErr {
		file = "last-stderr"
	}
	var v any
	text := strings.TrimSpace(ts.ReadFile(file))
	if inErr {
		lines := strings.Split(text, "\n")
		text = lines[len(lines)-1]
	}
	ts.Check(json.Unmarshal([]byte(text), &v))
	for step := range strings.SplitSeq(path, ".") {
		switch at := v.(type) {
		case map[string]any:
			v = at[step]
		case []any:
			i, err := strconv.Atoi(step)
			ts.Check(err)
			if i >= len(at) {
				ts.Fatalf("%s has %d entries", path, len(at))
			}
			v = at[i]
		default:
			ts.Fatalf("%s: nothing at %s", path, step)
		}
	}
	got, err := json.Marshal(v)
	ts.Check(err)
	if strings.Trim(string(got), `"`) != args[1] {
		ts.Fatalf("%s is %s, want %s", path, got, args[1])
	}
}

const racingDocument = `{"service": "lots", "generation": 1, "kind": "plain", "owner": "lots-team",
	"endpoints": ["127.0.0.1:7201"], "calls": [{"method": "GET", "path": "NAME", "repeatable": true}]}`

// Guards against concurrent edits of the same generation of which more than one is reported as successful.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	backend := daemon.New()
	server := httptest.NewServer(operator.New(operator.Config{Backend: backend, PollInterval: time.Millisecond}))
	defer server.Close()
	apply := func(name, text string) int {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return command.Run(t.Context(), command.Config{
			Args:   []string{"--host", server.Listener.Addr().String(), "apply", path},
			Stdout: new(bytes.Buffer), Stderr: new(bytes.Buffer), Env: func(string) string { return "" },
		})
	}
	is.Equal(apply("first", strings.Replace(racingDocument, `"generation": 1, `, "", 1)), 0)
	const operators = 8
	codes := make([]int, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() { codes[i] = apply("edit", strings.Replace(racingDocument, "NAME", "lots"+strconv.Itoa(i), 1)) })
	}
	wait.Wait()
	count := map[int]int{}
	for _, c := range codes {
		count[c]++
	}
	is.Equal(count, map[int]int{0: 1, 3: operators - 1})
	is.Equal(backend.Writes(), 2)
}

// Guards against a command that waits for the same unresponsive host in each of its calls.
func TestSilentHostIsTriedOnce(t *testing.T) {
	is := is.New(t)
	var tries atomic.Int64
	stop := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		tries.Add(1)
		<-stop
	}))
	defer unresponsive.Close()
	defer close(stop)
	live := httptest.NewServer(operator.New(operator.Config{Backend: daemon.New(), PollInterval: time.Millisecond}))
	defer live.Close()
	path := filepath.Join(t.TempDir(), "lots.jsonc")
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(racingDocument, `"generation": 1, `, "", 1)), 0o600))
	code := command.Run(t.Context(), command.Config{
		Args:   []string{"--host", unresponsive.Listener.Addr().String(), "--host", live.Listener.Addr().String(), "apply", path},
		Stdout: new(bytes.Buffer), Stderr: new(bytes.Buffer), Env: os.Getenv, CallTimeout: 200 * time.Millisecond,
	})
	is.Equal(code, 0)
	is.Equal(tries.Load(), int64(1))
}

// Guards against an interval between two polls of a drain, in which a host that has finished exits unnoticed.
func TestDrainLooksWithoutPause(t *testing.T) {
	is := is.New(t)
	backend := daemon.New()
	backend.SetFault(daemon.HostCStalled)
	handler := operator.New(operator.Config{Backend: backend, PollInterval: time.Millisecond})
	polls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			if polls++; polls == 2 {
				backend.SetFault(daemon.None)
			}
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	code := command.Run(t.Context(), command.Config{
		Args:   []string{"drain", "--timeout", "20s", server.Listener.Addr().String()},
		Stdout: new(bytes.Buffer), Stderr: new(bytes.Buffer), Env: os.Getenv, PollInterval: time.Hour,
	})
	is.Equal(code, 0)
}

// Guards against shell completion for which the argument parser returns no candidates.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	var out bytes.Buffer
	code := command.Run(t.Context(), command.Config{Args: []string{"wa"}, Stdout: &out, Stderr: &out, Env: os.Getenv})
	is.Equal(code, 0)
	is.Equal(out.String(), "watch\n")
}

// Guards against an address without a port that is dialed and reported as an unreachable host.
func TestBadAddress(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	code := command.Run(t.Context(), command.Config{
		Args: []string{"--host", "10.0.0.1", "status"}, Stdout: &out, Stderr: &out, Env: func(string) string { return "" },
	})
	is.Equal(code, 2)
	is.True(strings.Contains(out.String(), "is not an address and a port"))
}
