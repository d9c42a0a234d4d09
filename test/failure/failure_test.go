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

// scriptTimeout bounds one script. The longest script waits for a lease to expire.
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

// TestFailures runs the scripts under testdata. The first line of each script describes the failure it guards against.
func TestFailures(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
			s := &scenario{ctx: ctx, dir: env.WorkDir, drafts: map[string]*draft{}, calls: map[string]*call{}}
			env.Values[scenarioKey{}] = s
			env.Defer(func() {
				cancel()
				s.close(t, env)
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"system":       command((*scenario).start),
			"leave":        command((*scenario).leave),
			"never-ran":    command((*scenario).neverRan),
			"cancelled":    command((*scenario).cancelled),
			"attempts":     command((*scenario).attempts),
			"one-ran":      command((*scenario).oneRan),
			"many":         command((*scenario).many),
			"refusals":     command((*scenario).refusals),
			"load":         command((*scenario).load),
			"load-ends":    command((*scenario).loadEnds),
			"rolling":      command((*scenario).rolling),
			"apply":        command((*scenario).apply),
			"applied":      command((*scenario).applied),
			"conflict":     command((*scenario).conflict),
			"in-force":     command((*scenario).inForce),
			"snapshot":     command((*scenario).snapshot),
			"restore":      command((*scenario).restore),
			"stored":       command((*scenario).stored),
			"bad-document": command((*scenario).badDocument),
			"no-new-work":  command((*scenario).noNewWork),
			"ready":        command((*scenario).ready),
			"draft":        command((*scenario).draft),
			"resume":       command((*scenario).resume),
			"at-token":     command((*scenario).atToken),
			"whole":        command((*scenario).complete),
			"broken":       command((*scenario).broken),
			"refused":      command((*scenario).refused),
			"pause":        command((*scenario).pause),
			"call":         command((*scenario).call),
			"answered":     command((*scenario).answered),
			"one-answered": command((*scenario).oneAnswered),
			"resend":       command((*scenario).resend),
			"ended":        command((*scenario).ended),
			"sigkill":      command((*scenario).kill),
			"sigstop":      command((*scenario).freeze),
			"sigcont":      command((*scenario).thaw),
			"sigterm":      command((*scenario).stop),
			"signal":       command((*scenario).signal),
			"stopped":      command((*scenario).stopped),
			"restart":      command((*scenario).restart),
			"leaving":      command((*scenario).leaving),
			"fault":        command((*scenario).fault),
			"sleep":        command((*scenario).wait),
			"addresses":    command((*scenario).addresses),
			"executions":   command((*scenario).executions),
			"tokens-run":   command((*scenario).tokensRun),
			"idle":         command((*scenario).idle),
			"alive":        command((*scenario).alive),
		},
	})
}

type scenarioKey struct{}

// scenario is the state of one script: the running system and the requests of its callers.
type scenario struct {
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

// draft is a draft request with the result of its latest connection.
type draft struct {
	prompt     string
	tokens     int
	tokenTimes []time.Time
	result     system.DraftResult
	started    time.Time
	done       chan struct{}
	// allTokens holds the tokens of all connections.
	allTokens []string
	cancel    context.CancelFunc
}

// call is a call to a plain service, sent in the background.
type call struct {
	result system.CallResult
	err    error
	key    string
	done   chan struct{}
}

// command adapts a method to a testscript command. Arguments of the form name=value are passed as options.
func command(f func(*scenario, []string, map[string]string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s, _ := ts.Value(scenarioKey{}).(*scenario)
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
			ts.Fatalf("command succeeded, want an error")
		}
		if !neg && err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// intOption returns an integer option, or the fallback if the option is absent or invalid.
func intOption(options map[string]string, name string, fallback int) int {
	n, err := strconv.Atoi(options[name])
	if err != nil {
		return fallback
	}
	return n
}

// durationOption returns a duration option, or the fallback if the option is absent or invalid.
func durationOption(options map[string]string, name string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(options[name])
	if err != nil {
		return fallback
	}
	return d
}

func (s *scenario) start(_ []string, o map[string]string) error {
	dir := filepath.Join(s.dir, "system")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var err error
	s.sys, err = system.Start(s.ctx, system.Config{
		Bin: bin, Dir: dir, Hosts: intOption(o, "hosts", 3), Pipelines: intOption(o, "pipelines", 2),
		Step: durationOption(o, "step", 10*time.Millisecond), Slots: intOption(o, "slots", 8), Work: durationOption(o, "work", 0),
		Queue: intOption(o, "queue", 0),
	})
	s.stops, s.changes, s.snapshots = map[string]chan error{}, map[string]*change{}, map[string]int{}
	return err
}

func (s *scenario) close(t *testing.T, env *testscript.Env) {
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

func (s *scenario) host(name string) (*system.Host, error) {
	for _, h := range s.sys.Hosts {
		if h.ID == name {
			return h, nil
		}
	}
	return nil, fmt.Errorf("unknown host %s", name)
}

// process returns a host, an engine, a plain service or the platform by its name.
func (s *scenario) process(name string) (*system.Process, error) {
	if h, err := s.host(name); err == nil {
		return h.Process, nil
	}
	all := append(append([]*system.Process{s.sys.Platform}, s.sys.Engines...), s.sys.Plain...)
	for _, p := range all {
		if p.Name() == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("unknown process %s", name)
}
