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

// script runs the commands of a case against a sim and collects what they print.
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
//	layers N                  the layers of the model
//	engine KIND DOMAIN [A B]  an endpoint, which holds layers A to B
//	link A B MS               the cost of a token between two domains
//	start, run SECONDS        time passes; what always holds is checked on the way
//	lose, return, deaf, hear, busy N, slow F, hold A B    change the endpoint named first
//	version V, adapters A...  change the document
//	plan, states, orders, why print
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
		e.deaf = true
	case "hear":
		e.deaf = false
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

func (s *script) print(what string) {
	switch what {
	case "plan":
		p := s.sim.system.Plan()
		s.out = append(s.out, fmt.Sprintf("plan %d version %s next %q", p.Generation(), p.Version(), p.Next()))
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
				for _, p := range r.Passed {
					line += fmt.Sprintf(" %s:%s", p.What, p.Cause)
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

// Guards against the failures that the comment of each file names.
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
