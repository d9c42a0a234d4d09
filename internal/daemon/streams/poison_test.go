package streams_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/test/fakeengine"
)

// cluster is a set of hosts that send each other crash marks.
type cluster struct {
	fleet *fakeengine.Fleet
	hosts []*host
	peers *peers
}

func newCluster(t *testing.T, n int, cfg fakeengine.Config, delay time.Duration) *cluster {
	t.Helper()
	c := &cluster{fleet: fakeengine.New(cfg), peers: &peers{delay: delay}}
	var all []table.Pipeline
	for i := range 6 {
		all = append(all, c.fleet.Pipeline(fmt.Sprintf("h%d", i), fmt.Sprintf("t%d", i)))
	}
	for range n {
		h := newHost(t, c.fleet, fakeengine.NewPipelines(8, all...), c.peers)
		c.hosts = append(c.hosts, h)
		c.peers.loops = append(c.peers.loops, h.loop)
	}
	return c
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.close()
	}
	c.fleet.Wait()
}

func (c *cluster) send(host int, req streams.RequestConfig) (*recorder, error) {
	rec := &recorder{}
	err := c.hosts[host].runner.Run(context.Background(), streams.NewRequest(req), rec)
	return rec, err
}

func poison(prompt string, kind fakeengine.Fault) fakeengine.Config {
	return fakeengine.Config{
		Tokens: 20, Layers: layers, Step: 10 * time.Millisecond, RestartAfter: 100 * time.Millisecond,
		Fault: func(req streams.OpenRequest, p int) fakeengine.Fault {
			if req.Prompt == prompt && p >= 3 {
				return kind
			}
			return fakeengine.None
		},
	}
}

// Guards against a request that crashes an endpoint on every host to which its caller resends it.
func TestPoisonRequestSentAgain(t *testing.T) {
	for _, kind := range []fakeengine.Fault{fakeengine.CrashFirstStage, fakeengine.CrashLastStage} {
		t.Run(string(kind), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 3, poison("poison", kind), 2*time.Millisecond)
				defer c.close()
				for i := range 12 {
					req := request("poison", 20)
					req.Stream = table.StreamID(fmt.Sprint("s", i))
					_, err := c.send(i%3, req)
					is.Equal(code(err), outcome.Quarantined)
					rec, err := c.send(i%3, request("draft", 20))
					is.NoErr(err)
					rec.requireTokens(t, "draft", 0, 20)
				}
				is.Equal(len(c.fleet.Crashes()), 2)
				time.Sleep(11 * time.Minute) // virtual time: the refusal ends, and the next two crashes renew it
				_, err := c.send(0, request("poison", 20))
				is.Equal(code(err), outcome.Quarantined)
				is.Equal(len(c.fleet.Crashes()), 4)
			})
		})
	}
}

// Guards against copies of a crashing request that run on several hosts at the same time.
func TestPoisonRequestOnTwoHostsAtOnce(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, poison("poison", fakeengine.CrashFirstStage), time.Millisecond)
		defer c.close()
		ended := make(chan error, 2)
		for i := range 2 {
			go func() {
				req := request("poison", 20)
				req.Stream = table.StreamID(fmt.Sprint("copy", i))
				_, err := c.send(i, req)
				ended <- err
			}()
		}
		is.Equal(code(<-ended), outcome.Quarantined)
		is.Equal(code(<-ended), outcome.Quarantined)
		is.True(len(c.fleet.Crashes()) <= 2)
	})
}

// Guards against a caller that receives the refusal, and resends, before other hosts have the marks, and against an
// unresponsive peer that delays the caller by more than 500 ms.
func TestCallerIsToldAfterPeers(t *testing.T) {
	for _, c := range []struct{ delay, least, most time.Duration }{
		{300 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond},
		{time.Minute, 500 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(c.delay.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				is := is.New(t)
				w := newCluster(t, 1, poison("poison", fakeengine.CrashFirstStage), c.delay)
				defer w.close()
				last := time.Now()
				crashes := 0
				w.fleet.OnCrash(func() {
					crashes++
					last = time.Now()
				})
				_, err := w.send(0, request("poison", 20))
				waited := time.Since(last)
				is.Equal(code(err), outcome.Quarantined)
				is.Equal(crashes, 2)
				is.True(waited >= c.least)
				is.True(waited <= c.most)
			})
		})
	}
}

// Guards against a request that stays quarantined after two crashes that it did not cause.
func TestUnluckyRequestIsLetInAgain(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		crashing := true
		c := newCluster(t, 2, fakeengine.Config{
			Tokens: 20, Layers: layers, Step: 10 * time.Millisecond, RestartAfter: 100 * time.Millisecond,
			Fault: func(req streams.OpenRequest, p int) fakeengine.Fault {
				if crashing && (req.Attempt == 1 && p == 4 || req.Attempt == 2 && p == 9) {
					return fakeengine.CrashFirstStage
				}
				return fakeengine.None
			},
		}, time.Millisecond)
		defer c.close()
		_, err := c.send(0, request("draft", 20))
		is.Equal(code(err), outcome.Quarantined)
		crashing = false
		_, err = c.send(1, request("draft", 20))
		is.Equal(code(err), outcome.Quarantined)
		time.Sleep(10 * time.Minute) // virtual time
		rec, err := c.send(1, request("draft", 20))
		is.NoErr(err)
		rec.requireTokens(t, "draft", 0, 20)
	})
}

// Guards against a quarantine caused by crashes that are far apart: a complete response must clear the mark.
func TestCompletedRequestIsCleared(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, fakeengine.Config{
			Tokens: 20, Layers: layers, Step: 10 * time.Millisecond, RestartAfter: 100 * time.Millisecond,
			Fault: func(req streams.OpenRequest, p int) fakeengine.Fault {
				if req.Attempt == 1 && p == 4 {
					return fakeengine.CrashFirstStage
				}
				return fakeengine.None
			},
		}, time.Millisecond)
		defer c.close()
		for i := range 4 {
			req := request("draft", 20)
			req.Stream = table.StreamID(fmt.Sprint("s", i))
			rec, err := c.send(i%2, req)
			is.NoErr(err)
			rec.requireTokens(t, "draft", 0, 20)
			time.Sleep(time.Second) // virtual time
		}
		is.Equal(len(c.fleet.Crashes()), 4)
	})
}

// Guards against refusing streams after a rack fault that stops both endpoints of their pipeline and those of
// other pipelines.
func TestRackFaultRefusesNoStream(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, fakeengine.Config{Tokens: 20, Layers: layers, Step: 10 * time.Millisecond}, time.Millisecond)
		defer c.close()
		rec := &recorder{}
		rec.onToken = func(p int) {
			if p == 5 {
				for _, id := range []table.EndpointID{"h0", "t0", "h1", "t1", "t2"} {
					c.fleet.Crash(id)
				}
			}
		}
		is.NoErr(c.hosts[0].runner.Run(context.Background(), streams.NewRequest(request("draft", 20)), rec))
		rec.requireTokens(t, "draft", 0, 20)
		is.True(rec.longestGap() < 2*time.Second)
	})
}
