package main

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// runAsProgram is the environment variable that makes the test binary run the program itself.
const runAsProgram = "WAXWINGPLANK_TEST_STANDIN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a stand-in that does not print its address or stop on SIGTERM, which demos and benchmarks
// rely on.
func TestProgram(t *testing.T) {
	cases := []struct {
		name string
		args []string
		path string
	}{
		{"platform", []string{"platform", "--writes-per-second", "300"}, "/v1/hosts"},
		{"engine", []string{"engine", "--holding", "hake/7/0/8", "--step", "1ms"}, "/v1/describe"},
		{"plain", []string{"plain"}, "/stock/die-1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cmd := exec.Command(os.Args[0], tc.args...)
			cmd.Env = append(os.Environ(), runAsProgram+"=1")
			out, err := cmd.StdoutPipe()
			is.NoErr(err)
			is.NoErr(cmd.Start())
			defer func() { _ = cmd.Process.Kill() }()
			line, err := bufio.NewReader(out).ReadBytes('\n')
			is.NoErr(err)
			var started struct {
				Address string `json:"address"`
			}
			is.NoErr(json.Unmarshal(line, &started))
			res, err := http.Get("http://" + started.Address + tc.path)
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			is.Equal(res.StatusCode, http.StatusOK)
			is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
			is.NoErr(cmd.Wait())
		})
	}
	is := is.New(t)
	_, err := parseHolding("hake/7/0")
	is.True(err != nil)
}
