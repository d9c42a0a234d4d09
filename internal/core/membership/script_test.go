package membership_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/test/benchmembers"
)

// TestScripts runs the cases of testdata at each cluster size. R1 and R2 are the initial relays
// of domain-00, and M is another host of that domain.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		is.New(t).NoErr(err)
		for _, c := range archive.Files {
			for _, size := range sizes {
				t.Run(fmt.Sprintf("%s/%s/%d", filepath.Base(file), c.Name, size.hosts), func(t *testing.T) {
					t.Parallel()
					runScript(t, settled(t, size.hosts, size.domains), string(c.Data))
				})
			}
		}
	}
}

type script struct {
	t     *testing.T
	net   *benchmembers.Net
	names map[string]table.HostID
	mark  time.Time
}

func runScript(t *testing.T, n *benchmembers.Net, text string) {
	relays := n.Nodes[0].System.Relays()
	s := &script{t: t, net: n, mark: n.Now, names: map[string]table.HostID{"R1": relays[0], "R2": relays[1]}}
	for _, node := range n.Nodes {
		if node.Host.FailureDomain == "domain-00" && !slices.Contains(relays, node.Host.ID) {
			s.names["M"] = node.Host.ID
		}
	}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if w := strings.Fields(line); len(w) > 0 && !s.run(w) {
			t.Fatalf("line %d: %s: does not hold at %v", i+1, line, n.Now.Sub(s.mark))
		}
	}
}

func (s *script) node(name string) *benchmembers.Node {
	if id, ok := s.names[name]; ok {
		return s.net.Node(id)
	}
	return s.net.Node(table.HostID(name))
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	is.New(s.t).NoErr(err)
	return d
}

// run executes one line. The commands "within" and "always" check a condition.
func (s *script) run(w []string) bool {
	switch w[0] {
	case "kill":
		for _, name := range w[1:] {
			s.net.Kill(s.node(name))
		}
	case "start":
		s.net.Start(s.node(w[1]))
	case "start-knowing":
		s.net.Start(s.node(w[1]), s.net.Nodes[0].Host, s.net.Nodes[1].Host, s.net.Nodes[3].Host)
	case "pause":
		s.net.Pause(s.node(w[1]), s.duration(w[2]))
	case "drain":
		s.net.Post(s.node(w[1]), membership.NewDrainStarted())
	case "list-leaving":
		s.net.Leaving[s.node(w[1]).Host.ID] = true
	case "unlist":
		s.net.Unlisted[s.node(w[1]).Host.ID] = true
	case "list":
		s.net.ListUp = w[1] == "up"
	case "platform":
		s.net.PlatformUp = w[1] == "up"
	case "loss":
		loss, err := strconv.ParseFloat(w[1], 64)
		is.New(s.t).NoErr(err)
		s.net.Loss = loss
	case "part":
		s.net.Cut = func(a, b membership.Host) bool { return (a.Region == w[1]) != (b.Region == w[1]) }
	case "part-host":
		id := s.node(w[1]).Host.ID
		s.net.Cut = func(a, b membership.Host) bool { return (a.ID == id) != (b.ID == id) }
	case "rejoin":
		s.net.Cut = nil
	case "write":
		s.net.Write(w[1], s.number(w[2]))
	case "accept-at":
		// The host that accepted the operator's change adopts it together with the write.
		s.net.Write(w[2], s.number(w[3]))
		s.node(w[1]).Docs[w[2]] = s.number(w[3])
		s.net.Post(s.node(w[1]), membership.NewDocumentAdopted(w[2], s.number(w[3])))
	case "mark":
		s.mark = s.net.Now
	case "run":
		s.net.Run(s.duration(w[1]))
	case "within":
		return s.net.Until(s.duration(w[1])-s.net.Now.Sub(s.mark), func() bool { return s.holds(w[2:]) })
	case "always":
		for end := s.net.Now.Add(s.duration(w[1])); s.net.Now.Before(end); s.net.Run(500 * time.Millisecond) {
			if !s.holds(w[2:]) {
				return false
			}
		}
		return s.holds(w[2:])
	default:
		s.t.Fatalf("unknown command %q", w[0])
	}
	return true
}

func (s *script) number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	is.New(s.t).NoErr(err)
	return n
}

// holds checks a condition on all running hosts, or on those on one side of a partition.
func (s *script) holds(w []string) bool {
	switch w[0] {
	case "state": // state HOST STATE
		return everyoneSays(s.net, s.node(w[1]).Host.ID, membership.State(w[2]))
	case "all-live":
		return everyoneSees(s.net, s.running())
	case "region": // region NAME is STATE for the others, and the others are STATE for it
		return s.regionIs(w[1], membership.State(w[2]))
	case "no-answer-names":
		return s.unnamed(s.node(w[1]).Host.ID)
	case "adopted":
		return s.each(func(n *benchmembers.Node) bool { return n.Docs[w[1]] == s.number(w[2]) })
	case "in-force":
		return s.each(func(n *benchmembers.Node) bool { return n.System.InForce(table.ServiceID(w[1])) == s.number(w[2]) })
	case "returned":
		return slices.ContainsFunc(s.node(w[1]).Log, func(e benchmembers.Entry) bool {
			_, ok := e.Decision.(membership.IncarnationRaised)
			return ok && e.At.After(s.mark)
		})
	case "no-false-death":
		return s.falseDeaths() == 0
	case "declares-none-dead":
		return deaths(s.node(w[1]), s.mark) == 0
	case "behind": // behind SERVICE REGION: the last report names exactly the hosts of the region
		return s.behind(w[1], w[2])
	default:
		s.t.Fatalf("unknown condition %q", w[0])
		return false
	}
}

func (s *script) each(f func(*benchmembers.Node) bool) bool {
	return !slices.ContainsFunc(s.net.Nodes, func(n *benchmembers.Node) bool { return n.Up() && !f(n) })
}

func (s *script) running() int {
	count := 0
	s.each(func(*benchmembers.Node) bool { count++; return true })
	return count
}

func (s *script) regionIs(region string, state membership.State) bool {
	return s.each(func(n *benchmembers.Node) bool {
		return s.each(func(o *benchmembers.Node) bool {
			got := n.System.State(o.Host.ID)
			if (n.Host.Region == region) == (o.Host.Region == region) {
				return got == membership.Live
			}
			return got == state
		})
	})
}

func (s *script) unnamed(id table.HostID) bool {
	return s.each(func(n *benchmembers.Node) bool {
		return !slices.ContainsFunc(n.System.Addresses(membership.AddressQuery{Service: "drafts"}), func(a membership.Address) bool {
			return a.Host == id
		})
	})
}

// falseDeaths counts hosts declared dead since the mark. Scripts that use it stop no host, so
// each of them is a false detection.
func (s *script) falseDeaths() int {
	count := 0
	for _, n := range s.net.Nodes {
		count += deaths(n, s.mark)
	}
	return count
}

func deaths(n *benchmembers.Node, since time.Time) int {
	count := 0
	for _, e := range n.Log {
		if c, ok := e.Decision.(membership.HostChanged); ok && e.At.After(since) && c.To() == membership.Dead {
			count++
		}
	}
	return count
}

func (s *script) behind(service, region string) bool {
	for _, n := range s.net.Nodes {
		if n.Host.Region == region || n.System.StatusReporter(service) != n.Host.ID {
			continue
		}
		for _, e := range slices.Backward(n.Log) {
			c, ok := e.Decision.(membership.InForceChanged)
			if !ok || c.Service() != service {
				continue
			}
			return c.IsReporter() && len(c.Behind()) > 0 && !slices.ContainsFunc(c.Behind(), func(id table.HostID) bool {
				return s.net.Node(id).Host.Region != region
			})
		}
	}
	return false
}
