package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/path"
)

// net simulates the rosters of many hosts. Messages take no time.
type net struct {
	now     time.Time
	systems map[string]*System
	hosts   map[string]Host
	down    map[string]bool
	calls   int
}

func address(i int) string { return fmt.Sprintf("10.0.0.%03d:1", i) }

func newNet(n int) *net {
	w := &net{now: time.Unix(1000, 0), systems: map[string]*System{}, hosts: map[string]Host{}, down: map[string]bool{}}
	for i := range n {
		weight := 4.0
		if i%9 == 0 {
			weight = 160
		}
		a := address(i)
		w.hosts[a] = Host{Name: fmt.Sprintf("h%03d", i), CallerAddress: "c" + a, PeerAddress: a, Weight: weight, Started: 1, Serving: true}
		w.systems[a] = New(Config{Self: a, Weight: weight})
	}
	for _, s := range w.systems {
		for a, h := range w.hosts {
			s.Add(a, h.Weight)
		}
	}
	return w
}

func (w *net) use(a string) path.Usage {
	u := path.NewUsage()
	u.Workers["w"] = path.Load{MemoryUsed: 10, Streams: 1}
	u.Workers["of-"+a] = path.Load{MemoryUsed: 1, Streams: 1}
	return u
}

func (w *net) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for i := range len(w.systems) {
			a := address(i)
			if w.down[a] {
				continue
			}
			for _, t := range w.systems[a].Targets(w.now) {
				w.send(a, t)
			}
		}
	}
}

func (w *net) send(from string, t Target) {
	w.calls++
	s := w.systems[from]
	defer s.Done(t.Address)
	if w.down[t.Address] {
		return
	}
	to := w.systems[t.Address]
	to.Receive(w.now, w.hosts[from], w.use(from))
	s.Receive(w.now, w.hosts[t.Address], w.use(t.Address))
	if t.WantAll {
		u, n := to.Usage(w.now, from)
		u.Add(w.use(t.Address))
		s.ReceiveFromHub(w.now, to.Seen(w.now), u, n+1)
	}
}

// Checks that all hosts receive each other's state, at current sizes and at those of the largest sites, and at how
// many calls.
func TestHostsKnowEachOther(t *testing.T) {
	for _, n := range []int{2, 8, 66, 410} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newNet(n)
			const seconds = 2
			w.run(seconds * time.Second)
			w.calls = 0
			w.run(seconds * time.Second)
			for _, s := range w.systems {
				is.Equal(len(s.Up(w.now)), n-1)
				u, count := s.Usage(w.now, "")
				is.Equal(count, n-1)
				is.Equal(u.Workers["w"].Streams, n-1)
			}
			// Calls per second and host: in a mesh half of the other hosts twice, otherwise each hub once.
			is.True(float64(w.calls)/seconds/float64(n) <= max(float64(min(n, meshHosts)), hubs)+0.5)
		})
	}
}

// Guards against failed hosts, hubs among them, that stay in the roster, and against losing the other hosts when
// the first hub fails.
func TestLostHostsGo(t *testing.T) {
	for _, n := range []int{8, 66} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newNet(n)
			w.run(5 * time.Second)
			w.down[address(0)], w.down[address(3)] = true, true
			w.run(8 * time.Second)
			for a, s := range w.systems {
				if w.down[a] {
					continue
				}
				for _, h := range s.Up(w.now) {
					is.True(!w.down[h.PeerAddress])
				}
				is.Equal(len(s.Up(w.now)), n-3)
			}
			w.down = map[string]bool{}
			w.run(5 * time.Second)
			for _, s := range w.systems {
				is.Equal(len(s.Up(w.now)), n-1)
			}
		})
	}
}

// Checks the number of hosts that try to get a duty, and that hosts without a connection to the store leave it to
// others.
func TestFewStandForDuty(t *testing.T) {
	is := is.New(t)
	w := newNet(66)
	w.run(5 * time.Second)
	candidates := func() (out []string) {
		for i := range 66 {
			a := address(i)
			if w.systems[a].MayLead(w.now, w.hosts[a]) {
				out = append(out, a)
			}
		}
		return out
	}
	is.Equal(candidates(), []string{address(0), address(9)})
	h := w.hosts[address(0)]
	h.StoreOverdueMs = 5000
	w.hosts[address(0)] = h
	w.run(3 * time.Second)
	is.Equal(candidates()[1:], []string{address(9), address(18)})
}
