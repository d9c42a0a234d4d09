package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Checks the limit on repeats in any window, for any order of requests and repeats.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		cfg := Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 40}
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		b := NewBudget(cfg)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			} else if b.TryConsume(now, hosts) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			within := func(times []time.Time, window time.Duration) (n float64) {
				for _, at := range times {
					if !at.After(end) && end.Sub(at) < window {
						n++
					}
				}
				return n
			}
			// The rule counts the requests of the window or of the one before it, whichever has more.
			allowed := within(requests, cfg.Window)*cfg.Ratio + cfg.Slack/float64(hosts)
			if got := within(repeats, cfg.Window*9/10); got > allowed {
				t.Fatalf("%v repeats, %v allowed", got, allowed)
			}
		}
	})
}

// Guards against a budget that stays exhausted after its window.
func TestBudgetRecovers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget(Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 10})
	taken := 0
	for b.TryConsume(now, 1) {
		taken++
	}
	is.Equal(taken, 8)
	is.Equal(b.TryConsume(now.Add(9*time.Second), 1), false)
	is.Equal(b.TryConsume(now.Add(11*time.Second), 1), true)
}

// Checks the limit on repeats when all hosts restart and lose their counts. In any window the old and the new
// processes together must keep to one budget.
func TestBudgetOfRestartedHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		cfg := Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 400}
		n := rapid.IntRange(1, 8).Draw(t, "hosts")
		fleet := make([]*Budget, n)
		hostCounts := make([]int, n)
		for i := range fleet {
			cfg.Began = start.Add(-time.Minute)
			fleet[i], hostCounts[i] = NewBudget(cfg), n
		}
		now := start
		requests := 0.0
		repeats := 0.0
		restart := rapid.IntRange(0, 300).Draw(t, "restart")
		for step := range 300 {
			// All steps are within one window.
			now = now.Add(30 * time.Millisecond)
			if step == restart {
				for i := range fleet {
					cfg.Began = now
					// A new process has no other hosts registered yet.
					fleet[i], hostCounts[i] = NewBudget(cfg), 1
				}
			}
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			fleet[i].Request(now)
			requests++
			for range 10 {
				if fleet[i].TryConsume(now, hostCounts[i]) {
					repeats++
				}
			}
		}
		if allowed := requests*cfg.Ratio + cfg.Slack; repeats > allowed {
			t.Fatalf("%v repeats, %v allowed", repeats, allowed)
		}
	})
}

// Checks that a reload of the settings does not discard the counts.
func TestBudgetSetConfig(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	cfg := Config{Window: 10 * time.Second, Slack: 10}
	b := NewBudget(cfg)
	for b.TryConsume(now, 1) {
	}
	cfg.Ratio = 0.5
	b.SetConfig(now, cfg)
	is.Equal(b.TryConsume(now, 1), false)
	cfg.Window = 5 * time.Second
	b.SetConfig(now, cfg)
	is.Equal(b.TryConsume(now.Add(time.Second), 1), false)
	is.Equal(b.TryConsume(now.Add(6*time.Second), 1), true)
}
