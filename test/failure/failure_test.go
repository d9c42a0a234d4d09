package failure

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"waxwingplank/test/system"
)

// scriptTimeout bounds one script; the longest waits for a lease to run out.
const scriptTimeout = 2 * time.Minute

var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "waxwingplank-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "waxwingplank/cmd/waxwingplankd", "waxwingplank/test/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	bin = dir
	return m.Run()
}

// Each script guards against the failure named in its first line.
func TestFailures(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
			s := &scene{ctx: ctx, dir: env.WorkDir, drafts: map[string]*draft{}, calls: map[string]*call{}}
			env.Values[sceneKey{}] = s
			env.Defer(func() {
				cancel()
				s.close(t, env)
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"system":       command((*scene).start),
			"leave":        command((*scene).leave),
			"never-ran":    command((*scene).neverRan),
			"cancelled":    command((*scene).cancelled),
			"attempts":     command((*scene).attempts),
			"one-ran":      command((*scene).oneRan),
			"many":         command((*scene).many),
			"refusals":     command((*scene).refusals),
			"load":         command((*scene).load),
			"load-ends":    command((*scene).loadEnds),
			"rolling":      command((*scene).rolling),
			"apply":        command((*scene).apply),
			"applied":      command((*scene).applied),
			"conflict":     command((*scene).conflict),
			"in-force":     command((*scene).inForce),
			"snapshot":     command((*scene).snapshot),
			"restore":      command((*scene).restore),
			"stored":       command((*scene).stored),
			"bad-document": command((*scene).badDocument),
			"no-new-work":  command((*scene).noNewWork),
			"ready":        command((*scene).ready),
			"draft":        command((*scene).draft),
			"resume":       command((*scene).resume),
			"at-token":     command((*scene).atToken),
			"whole":        command((*scene).whole),
			"broken":       command((*scene).broken),
			"refused":      command((*scene).refused),
			"pause":        command((*scene).pause),
			"call":         command((*scene).call),
			"answered":     command((*scene).answered),
			"one-answered": command((*scene).oneAnswered),
			"resend":       command((*scene).resend),
			"ended":        command((*scene).ended),
			"sigkill":      command((*scene).kill),
			"sigstop":      command((*scene).freeze),
			"sigcont":      command((*scene).thaw),
			"sigterm":      command((*scene).stop),
			"stopped":      command((*scene).stopped),
			"restart":      command((*scene).restart),
			"leaving":      command((*scene).leaving),
			"fault":        command((*scene).fault),
			"sleep":        command((*scene).wait),
			"addresses":    command((*scene).addresses),
			"executions":   command((*scene).executions),
			"tokens-run":   command((*scene).tokensRun),
			"idle":         command((*scene).idle),
			"alive":        command((*scene).alive),
		},
	})
}

type sceneKey struct{}

// scene is one system and what its callers do.
type scene struct {
	ctx context.Context
	dir string
	sys *system.System

	mu      sync.Mutex
	drafts  map[string]*draft
	calls   map[string]*call
	stops   map[string]chan error
	pending sync.WaitGroup

	changes   map[string]*change
	snapshots map[string]int
	loads     *load
}

type draft struct {
	prompt  string
	tokens  int
	seen    []time.Time
	result  system.DraftResult
	started time.Time
	done    chan struct{}
	all     []string
	leave   context.CancelFunc
}

type call struct {
	result system.CallResult
	err    error
	key    string
	done   chan struct{}
}

func command(f func(*scene, []string, map[string]string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s, _ := ts.Value(sceneKey{}).(*scene)
		var words []string
		options := map[string]string{}
		for _, a := range args {
			if name, value, found := strings.Cut(a, "="); found {
				options[name] = value
				continue
			}
			words = append(words, a)
		}
		err := f(s, words, options)
		if neg && err == nil {
			ts.Fatalf("succeeded, must fail")
		}
		if !neg && err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

func number(options map[string]string, name string, otherwise int) int {
	n, err := strconv.Atoi(options[name])
	if err != nil {
		return otherwise
	}
	return n
}

func span(options map[string]string, name string, otherwise time.Duration) time.Duration {
	d, err := time.ParseDuration(options[name])
	if err != nil {
		return otherwise
	}
	return d
}

func (s *scene) start(_ []string, o map[string]string) error {
	dir := filepath.Join(s.dir, "system")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var err error
	s.sys, err = system.Start(s.ctx, system.Config{
		Bin: bin, Dir: dir, Hosts: number(o, "hosts", 3), Pipelines: number(o, "pipelines", 2),
		Step: span(o, "step", 10*time.Millisecond), Slots: number(o, "slots", 8), Work: span(o, "work", 0),
		Queue: number(o, "queue", 0),
	})
	s.stops, s.changes, s.snapshots = map[string]chan error{}, map[string]*change{}, map[string]int{}
	return err
}

func (s *scene) close(t *testing.T, env *testscript.Env) {
	if s.sys == nil {
		return
	}
	if s.loads != nil {
		s.loads.stop()
	}
	s.sys.Close()
	s.pending.Wait()
	if !t.Failed() {
		return
	}
	logs, err := filepath.Glob(filepath.Join(s.dir, "system", "*.log"))
	if err != nil {
		return
	}
	for _, path := range logs {
		if data, err := os.ReadFile(path); err == nil && len(data) > 0 {
			env.T().Log(filepath.Base(path), string(data))
		}
	}
}

func (s *scene) host(name string) (*system.Host, error) {
	for _, h := range s.sys.Hosts {
		if h.ID == name {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no host %s", name)
}

func (s *scene) process(name string) (*system.Process, error) {
	if h, err := s.host(name); err == nil {
		return h.Process, nil
	}
	all := append(append([]*system.Process{s.sys.Platform}, s.sys.Engines...), s.sys.Plain...)
	for _, p := range all {
		if p.Name() == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no process %s", name)
}
