package limit

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/deployment"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	endpointID = "e"
	step       = 20 * time.Millisecond
	// window, factor and slack are the bound that endpoints state: in any window, at most factor times what the limit allows, and
	// slack requests, counted once grace has passed since the endpoint first named the limit.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	grace  = 3 * time.Second
)

// TestMain fixes the seed of the property tests, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261205"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet simulates hosts that send as many requests as their limits allow to one endpoint.
type fleet struct {
	now   time.Time
	hosts map[string]*simulatedHost
	limit float64
	// limited is whether the endpoint names its limit.
	limited  bool
	arrivals []arrival
}

type simulatedHost struct {
	system  *System
	started time.Time
	// deafUntil is when the host gets reports again.
	deafUntil time.Time
	// namedAt is when the endpoint first named its limit to the host.
	namedAt time.Time
}

// arrival is a request that reached the endpoint.
type arrival struct {
	at time.Time
	// excused is true if the bound does not count the host.
	excused bool
}

func newFleet(hosts int, limit float64) *fleet {
	f := &fleet{now: epoch, hosts: map[string]*simulatedHost{}, limit: limit, limited: true}
	for i := range hosts {
		f.start(fmt.Sprintf("h%d", i), epoch.Add(-time.Minute))
	}
	return f
}

func (f *fleet) start(name string, at time.Time) {
	h := &simulatedHost{system: New(Config{Self: name, Started: at, Seed: int64(xxhash.Sum64String(name))}), started: at}
	h.system.SetEndpoints([]deployment.Endpoint{{ID: endpointID, StartedMs: 1}})
	f.hosts[name] = h
}

func (f *fleet) names() []string {
	out := make([]string, 0, len(f.hosts))
	for name := range f.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// exchange delivers the reports of all hosts to each other.
func (f *fleet) exchange() {
	names := f.names()
	reports := map[string]map[string]Report{}
	for _, name := range names {
		reports[name] = f.hosts[name].system.Reports(f.now)
	}
	for _, to := range names {
		h := f.hosts[to]
		if f.now.Before(h.deafUntil) {
			continue
		}
		h.system.SetHosts(f.now, names)
		for _, from := range names {
			if from != to {
				h.system.Merge(f.now, reports[from])
			}
		}
	}
}

// send makes a host send a request, if its limit allows one. The response arrives at once.
func (f *fleet) send(name string) {
	h := f.hosts[name]
	if !h.system.Allows(f.now, endpointID) {
		return
	}
	h.system.Take(f.now, endpointID)
	unknown := h.namedAt.IsZero() || f.now.Sub(h.namedAt) < grace
	f.arrivals = append(f.arrivals, arrival{at: f.now, excused: unknown || f.now.Sub(h.started) < grace || f.now.Before(h.deafUntil.Add(grace))})
	if f.limited && h.namedAt.IsZero() {
		h.namedAt = f.now
	}
	h.system.Record(f.now, endpointID, 1, Statement{Rate: f.limit, Limited: f.limited, SentAt: f.now, At: f.now})
}

// worst returns the largest number of requests in a window.
func (f *fleet) worst() int {
	most, first, n := 0, 0, 0
	for _, a := range f.arrivals {
		if a.excused {
			continue
		}
		n++
		for a.at.Sub(f.arrivals[first].at) >= window || f.arrivals[first].excused {
			if !f.arrivals[first].excused {
				n--
			}
			first++
		}
		most = max(most, n)
	}
	return most
}

func (f *fleet) bound() float64 { return factor*f.limit*window.Seconds() + slack }

// Guards against an endpoint that gets more than its limit from all hosts together, for any traffic, while hosts join, leave and
// lose reports.
func TestSumOverHostsStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 70).Draw(t, "hosts"), rapid.Float64Range(0.05, 40).Draw(t, "limit"))
		pressure := rapid.Float64Range(0.01, 1).Draw(t, "pressure")
		joined := 0
		for tick := range 1500 {
			f.now = f.now.Add(step)
			if tick%25 == 0 {
				f.exchange()
				names := f.names()
				someone := names[rapid.IntRange(0, len(names)-1).Draw(t, "someone")]
				switch rapid.SampledFrom([]string{"", "", "", "", "join", "leave", "deaf"}).Draw(t, "event") {
				case "join":
					joined++
					f.start(fmt.Sprintf("new-%d", joined), f.now)
				case "leave":
					if len(f.hosts) > 1 {
						delete(f.hosts, someone)
					}
				case "deaf":
					f.hosts[someone].deafUntil = f.now.Add(2 * time.Second)
				}
			}
			for i, name := range f.names() {
				if pressure == 1 || float64((tick*7+i*13)%100) < 100*pressure {
					f.send(name)
				}
			}
		}
		if got := f.worst(); float64(got) > f.bound() {
			t.Fatalf("%d requests in a window, %.1f are allowed", got, f.bound())
		}
	})
}

// Guards against a limit that is divided so finely that much of it is lost.
func TestLimitIsUsed(t *testing.T) {
	for _, hosts := range []int{1, 3, 8, 65} {
		for _, limit := range []float64{0.5, 2.5, 4.5, 60} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, limit), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(hosts, limit)
				const ticks = 3000
				for tick := range ticks {
					f.now = f.now.Add(step)
					if tick%25 == 0 {
						f.exchange()
					}
					for _, name := range f.names() {
						f.send(name)
					}
				}
				t.Logf("%.2f of the limit used; %d requests in the worst window, %.0f are allowed",
					float64(len(f.arrivals))/(limit*(ticks*step).Seconds()), f.worst(), f.bound())
				is.True(float64(len(f.arrivals)) >= 0.8*limit*(ticks*step).Seconds())
				is.True(float64(f.worst()) <= f.bound())
			})
		}
	}
}

// Guards against hosts that keep to a limit that the endpoint no longer names, and against late responses that end one.
func TestEndOfLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 1)
	run := func(ticks int) int {
		before := len(f.arrivals)
		for tick := range ticks {
			f.now = f.now.Add(step)
			if tick%25 == 0 {
				f.exchange()
			}
			for _, name := range f.names() {
				f.send(name)
			}
		}
		return len(f.arrivals) - before
	}
	run(500)
	owner := f.hosts["h0"].system
	is.True(!owner.Record(f.now, endpointID, 1, Statement{SentAt: f.now.Add(-20 * time.Second), At: f.now})) // sent before the limit
	f.limited = false
	run(500)
	is.Equal(run(50), 50*8) // all hosts send without a limit
	f.limited = true
	f.exchange()
	run(50)
	is.True(run(500) < 20)
	// Another instance has no limit.
	owner.SetEndpoints([]deployment.Endpoint{{ID: endpointID, StartedMs: 2}})
	is.True(owner.Allows(f.now, endpointID))
	is.Equal(owner.Len(), 0)
}

// Guards against reports that are out of range.
func TestOddReports(t *testing.T) {
	is := is.New(t)
	s := New(Config{Self: "h", Started: epoch})
	s.SetEndpoints([]deployment.Endpoint{{ID: endpointID, StartedMs: 1}})
	for _, r := range []Report{
		{Rate: -1, Limited: true, StartedMs: 1},
		{Rate: 2 * MaxRate, Limited: true, StartedMs: 1},
		{Rate: 1, Limited: true, StartedMs: 7},
		{Rate: 1, Limited: true, StartedMs: 1, AgeMs: -1},
		{Rate: 1, Limited: true, StartedMs: 1, AgeMs: 1 << 62},
	} {
		s.Merge(epoch, map[string]Report{endpointID: r, "other": r})
		is.Equal(s.Len(), 0)
	}
	s.Merge(epoch, map[string]Report{endpointID: {Rate: 0, Limited: true, StartedMs: 1}})
	is.Equal(s.Len(), 1)
	is.True(!s.Allows(epoch, endpointID))
}
