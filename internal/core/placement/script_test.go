package placement_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/placement"
	"waxwingplank/internal/core/table"
)

// script runs the commands of a test case against a sim and collects their output.
type script struct {
	t       *testing.T
	sim     *sim
	out     []string
	orders  int
	plans   int
	started bool
}

// command runs one line. The commands are:
//
//	layers N                  set the number of layers of the model
//	engine KIND DOMAIN [A B]  add an endpoint, which holds layers A to B
//	link A B MS               set the time of a token between two domains
//	start                     send the document, an empty plan and the store's limits
//	run SECONDS               let time pass, and check the invariants at each tick
//	version V, adapters A...  change the document
//	plan, states, orders, why print the plan, the states, the new orders, the new reasons
//
// The commands for one endpoint start with its name:
//
//	lose, return  stop responding; respond again after a restart
//	deaf, hear    accept orders without carrying them out; carry them out again
//	busy N        set the number of running streams
//	slow F        divide the speed by F
//	hold A B      replace the holdings by layers A to B
func (s *script) command(line string) {
	f := strings.Fields(line)
	switch f[0] {
	case "layers":
		s.sim = newSim(number(f[1]))
	case "engine":
		e := s.sim.add(number(f[1]), f[2])
		if len(f) > 3 {
			e.cfg.Holdings = s.holding(f[3], f[4])
		}
		if s.started {
			s.sim.tick(s.sim.document())
		}
	case "link":
		s.sim.tick(placement.NewLinkMeasured(f[1], f[2], time.Duration(number(f[3]))*time.Millisecond))
	case "start":
		s.sim.start()
		s.started = true
	case "run":
		s.sim.run(time.Duration(number(f[1]))*time.Second, func() { s.sim.check(s.t) })
	case "version":
		s.sim.model.Version = f[1]
		s.sim.tick(s.sim.document())
	case "adapters":
		s.sim.model.Adapters = f[1:]
		s.sim.tick(s.sim.document())
	case "plan", "states", "orders", "why":
		s.print(f[0])
	default:
		s.engine(s.sim.byID(table.EndpointID(f[0])), f[1:])
	}
}

func (s *script) engine(e *simEngine, f []string) {
	if e == nil {
		s.t.Fatalf("unknown command or endpoint before %v", f)
	}
	switch f[0] {
	case "lose":
		e.lost = true
	case "return":
		e.lost = false
		e.cfg.Incarnation++
	case "deaf":
		e.ignoresOrders = true
	case "hear":
		e.ignoresOrders = false
	case "busy":
		e.running = number(f[1])
	case "slow":
		e.speed /= float64(number(f[1]))
	case "hold":
		e.cfg.Holdings = s.holding(f[1], f[2])
	default:
		s.t.Fatalf("unknown command %v", f)
	}
}

func (s *script) holding(from, to string) []placement.Holding {
	return []placement.Holding{{Model: simModel, Version: s.sim.model.Version, Layers: table.Layers{From: number(from), To: number(to)}}}
}

func (s *script) print(kind string) {
	switch kind {
	case "plan":
		p := s.sim.system.Plan()
		s.out = append(s.out, fmt.Sprintf("plan %d version %s next %q", p.Generation(), p.Version(), p.NextVersion()))
		for _, x := range p.Pipelines() {
			s.out = append(s.out, "  "+key(x))
		}
	case "states":
		line := ""
		for _, e := range s.sim.engines {
			line += fmt.Sprintf("%s=%s ", e.cfg.Endpoint, s.sim.system.State(e.cfg.Address))
		}
		s.out = append(s.out, strings.TrimSpace(line))
	case "orders":
		for _, o := range s.sim.orders[s.orders:] {
			s.out = append(s.out, strings.TrimSpace(fmt.Sprintf("%s %s %s %s%v", o.Kind(), o.Endpoint(), o.Version(), o.Adapter(), o.Layers())))
		}
		s.orders = len(s.sim.orders)
	case "why":
		for _, d := range s.sim.plans[s.plans:] {
			for _, r := range d.Reasons() {
				line := fmt.Sprintf("%s: %s", r.Chosen, r.Cause)
				for _, p := range r.Rejected {
					line += fmt.Sprintf(" %s:%s", p.Candidate, p.Cause)
				}
				s.out = append(s.out, line)
			}
		}
		s.plans = len(s.sim.plans)
	}
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return n
}

// Runs the scripts in testdata. The comment at the head of each file names the failure it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			s := &script{t: t}
			at := slices.IndexFunc(archive.Files, func(f txtar.File) bool { return f.Name == "script" })
			for line := range strings.Lines(string(archive.Files[at].Data)) {
				if line = strings.TrimSpace(line); line != "" {
					s.command(line)
				}
			}
			got := strings.Join(s.out, "\n") + "\n"
			want := slices.IndexFunc(archive.Files, func(f txtar.File) bool { return f.Name == "want" })
			if os.Getenv("UPDATE_SCRIPTS") != "" {
				archive.Files[want].Data = []byte(got)
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o600))
				return
			}
			is.Equal(got, string(archive.Files[want].Data))
		})
	}
}
