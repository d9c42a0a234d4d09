package benchmembers

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/peer/host"
	"waxwingplank/internal/peer/hostpb"
)

// Upper bounds stated on the design page: bytes per second, percent of a core, bytes of memory, seconds, verdicts
// and calls per second.
const (
	boundBytes       = 27_000.0
	boundCPU         = 3.3
	boundMemory      = 32e6
	boundDetect      = 2.0
	boundAdopt       = 3.0
	boundAdoptLarge  = 15.0
	boundFalseDeaths = 0.0
	boundCalls       = 2000.0
)

// Figure is one line of output. Bound and Baseline are null if the figure has no target or baseline.
type Figure struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound"`
	Baseline *float64 `json:"baseline"`
	Pass     bool     `json:"pass"`
}

// sizes lists the measured numbers of hosts and failure domains.
var sizes = []struct{ hosts, domains int }{{8, 3}, {16, 3}, {32, 3}, {64, 6}, {128, 12}, {410, 12}}

// measure is one run and the names of the figures that it returns.
type measure struct {
	run     func(hosts, domains int) []Figure
	figures []string
}

var measures = []measure{
	{steady, []string{"bytes_host", "bytes_relay", "cpu_host", "cpu_relay", "memory_host", "platform_calls"}},
	{detection, []string{"detect_p50", "detect_p95", "detect_max", "detect_missed"}},
	{lossAndPauses, []string{"false_suspicions", "false_deaths"}},
	{adoption, []string{"adopt_platform_well", "adopt_platform_gone"}},
}

// selected reports whether the run returns a figure whose name contains the filter.
func (m measure) selected(hosts int, filter string) bool {
	return slices.ContainsFunc(m.figures, func(name string) bool {
		return strings.Contains(figureName(name, hosts), filter)
	})
}

func figureName(name string, hosts int) string { return fmt.Sprintf("members/%s/%d", name, hosts) }

// Run measures every size and writes one JSON line per figure whose name contains the filter.
func Run(w io.Writer, filter string) error {
	enc := json.NewEncoder(w)
	for _, size := range sizes {
		for _, m := range measures {
			if !m.selected(size.hosts, filter) {
				continue
			}
			for _, f := range m.run(size.hosts, size.domains) {
				if !strings.Contains(f.Name, filter) {
					continue
				}
				if err := enc.Encode(f); err != nil {
					return fmt.Errorf("benchmembers: print %s: %w", f.Name, err)
				}
			}
		}
	}
	return nil
}

// figure returns a figure with an upper bound.
func figure(name string, hosts int, value float64, unit string, bound float64) Figure {
	return Figure{Name: figureName(name, hosts), Value: value, Unit: unit, Bound: &bound, Pass: value <= bound}
}

// counter encodes and decodes each message as the daemon does and counts the bytes and the time per host.
type counter struct {
	bytes map[table.HostID]int
	busy  map[table.HostID]time.Duration
}

func newCounter() *counter {
	return &counter{bytes: map[table.HostID]int{}, busy: map[table.HostID]time.Duration{}}
}

// roundTrip encodes and decodes one message. It adds the bytes and half of the time to each side.
func (c *counter) roundTrip(from, to table.HostID, m, out proto.Message) {
	start := time.Now()
	b, err := proto.Marshal(m)
	if err == nil {
		err = proto.Unmarshal(b, out)
	}
	if err != nil {
		panic(err)
	}
	half := time.Since(start) / 2
	for _, id := range []table.HostID{from, to} {
		c.bytes[id] += len(b)
		c.busy[id] += half
	}
}

// Heartbeat implements Interceptor.
func (c *counter) Heartbeat(from, to table.HostID, h membership.Heartbeat, now time.Time) membership.Heartbeat {
	out := &hostpb.HeartbeatRequest{}
	c.roundTrip(from, to, host.HeartbeatToWire(h, now), out)
	return host.HeartbeatFromWire(out, now)
}

// Reply implements Interceptor.
func (c *counter) Reply(from, to table.HostID, r membership.Reply, now time.Time) membership.Reply {
	out := &hostpb.HeartbeatReply{}
	c.roundTrip(from, to, host.ReplyToWire(r, now), out)
	return host.ReplyFromWire(out, now)
}

const service = "drafts"

// settle returns a net in which all hosts are live for all others, after another 5 s.
func settle(hosts, domains int, interceptor Interceptor) *Net {
	n := NewNet(NetConfig{Hosts: hosts, Domains: domains, Regions: 3, Seed: uint64(hosts), Interceptor: interceptor})
	n.Until(30*time.Second, func() bool {
		return !slices.ContainsFunc(n.Nodes, func(o *Node) bool { return len(o.System.Live()) != hosts })
	})
	n.Run(5 * time.Second)
	return n
}

// steady measures a minute in which every host's load changes each second and one document changes.
func steady(hosts, domains int) []Figure {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := newCounter()
	n := settle(hosts, domains, c)
	clear(c.bytes)
	clear(c.busy)
	for _, o := range n.Nodes {
		o.busy = 0
	}
	n.Calls = 0
	const seconds = 60
	for i := range seconds {
		for j, o := range n.Nodes {
			n.Post(o, membership.NewLoadMeasured((i+j)%20*50))
		}
		if i == seconds/2 {
			n.Write(service, 1)
		}
		n.Run(time.Second)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	// The figures of each role, host or relay, are those of its busiest host.
	var bytes, cpu [2]float64
	watches := 0
	for _, o := range n.Nodes {
		role := 0
		if o.System.IsRelay() {
			role = 1
		}
		if o.System.WatchesDocuments() {
			watches++
		}
		bytes[role] = max(bytes[role], float64(c.bytes[o.Host.ID])/seconds)
		cpu[role] = max(cpu[role], 100*(o.busy+c.busy[o.Host.ID]).Seconds()/seconds)
	}
	calls := float64(n.Calls)/seconds + float64(watches)*(1.0/10+1.0/30)
	memory := float64(after.HeapAlloc-before.HeapAlloc) / float64(hosts)
	runtime.KeepAlive(n)
	return []Figure{
		figure("bytes_host", hosts, bytes[0], "bytes/s", boundBytes),
		figure("bytes_relay", hosts, bytes[1], "bytes/s", boundBytes),
		figure("cpu_host", hosts, cpu[0], "percent of a core", boundCPU),
		figure("cpu_relay", hosts, cpu[1], "percent of a core", boundCPU),
		figure("memory_host", hosts, memory, "bytes", boundMemory),
		figure("platform_calls", hosts, calls, "calls/s", boundCalls),
	}
}

// detection kills hosts one after the other, including relays, and measures the time until the last host has
// declared each of them dead.
func detection(hosts, domains int) []Figure {
	const kills = 40
	n := settle(hosts, domains, nil)
	var took []float64
	missed := 0
	for i := range kills {
		victim := n.Nodes[i*7%hosts]
		for _, o := range n.Nodes {
			o.Log = nil
		}
		// The offset spreads the deaths over the heartbeat period.
		n.Run(time.Duration(i) * 30 * time.Millisecond)
		start := n.Now
		n.Kill(victim)
		n.Run(4 * time.Second)
		last := time.Duration(0)
		for _, o := range n.Nodes {
			if !o.up {
				continue
			}
			at, ok := deathOf(o, victim.Host.ID)
			if !ok {
				missed++
				continue
			}
			last = max(last, at.Sub(start))
		}
		took = append(took, last.Seconds())
		n.Start(victim)
		n.Run(5 * time.Second)
	}
	slices.Sort(took)
	return []Figure{
		figure("detect_p50", hosts, took[kills/2], "s", boundDetect),
		figure("detect_p95", hosts, took[kills*95/100], "s", boundDetect),
		figure("detect_max", hosts, took[kills-1], "s", boundDetect),
		figure("detect_missed", hosts, float64(missed), "views", 0),
	}
}

// deathOf returns the time at which a host declared another host dead.
func deathOf(o *Node, id table.HostID) (time.Time, bool) {
	for _, e := range o.Log {
		if c, ok := e.Decision.(membership.HostChanged); ok && c.Host() == id && c.To() == membership.Dead {
			return e.At, true
		}
	}
	return time.Time{}, false
}

// lossAndPauses counts false verdicts during two minutes in which 2% of the messages are lost and, each second, one
// host pauses for less than the suspicion time.
func lossAndPauses(hosts, domains int) []Figure {
	n := settle(hosts, domains, nil)
	n.Loss = 0.02
	const seconds = 120
	for i := range seconds {
		n.Pause(n.Nodes[i*11%hosts], time.Duration(200+i*50%800)*time.Millisecond)
		n.Run(time.Second)
	}
	suspects, deaths := 0, 0
	for _, o := range n.Nodes {
		for _, e := range o.Log {
			c, ok := e.Decision.(membership.HostChanged)
			if ok && c.To() == membership.Suspect {
				suspects++
			}
			if ok && c.To() == membership.Dead {
				deaths++
			}
		}
	}
	suspicions := Figure{Name: figureName("false_suspicions", hosts), Value: float64(suspects), Unit: "suspicions in 120 s", Pass: true}
	return []Figure{suspicions, figure("false_deaths", hosts, float64(deaths), "verdicts in 120 s", boundFalseDeaths)}
}

// adoption measures the time from the acceptance of a document change until the last host has adopted it, with
// the platform available and unavailable.
func adoption(hosts, domains int) []Figure {
	bound := boundAdopt
	if hosts > 64 {
		bound = boundAdoptLarge
	}
	const changes = 10
	n := settle(hosts, domains, nil)
	var available, unavailable time.Duration
	for i := range uint64(2 * changes) {
		g := i + 1
		n.PlatformUp = i < changes
		n.Run(time.Duration(i) * 70 * time.Millisecond)
		start := n.Now
		n.Write(service, g)
		if !n.PlatformUp {
			// Only the host that accepted the change has it.
			n.adopt(n.Nodes[int(i)*13%hosts], service, g)
		}
		n.Until(30*time.Second, func() bool {
			return !slices.ContainsFunc(n.Nodes, func(o *Node) bool { return o.Docs[service] != g })
		})
		if n.PlatformUp {
			available = max(available, n.Now.Sub(start))
		} else {
			unavailable = max(unavailable, n.Now.Sub(start))
		}
		n.Run(2 * time.Second)
	}
	return []Figure{
		figure("adopt_platform_well", hosts, available.Seconds(), "s", bound),
		figure("adopt_platform_gone", hosts, unavailable.Seconds(), "s", bound),
	}
}
