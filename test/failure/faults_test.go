package failure

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"time"

	"waxwingplank/internal/standin/engine"
	"waxwingplank/test/system"
)

func (s *scenario) kill(words []string, _ map[string]string) error {
	for _, name := range words {
		p, err := s.process(name)
		if err != nil {
			return err
		}
		p.Kill()
	}
	return nil
}

func (s *scenario) freeze(words []string, _ map[string]string) error {
	for _, name := range words {
		p, err := s.process(name)
		if err != nil {
			return err
		}
		if err := p.Freeze(); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) thaw(words []string, _ map[string]string) error {
	for _, name := range words {
		p, err := s.process(name)
		if err != nil {
			return err
		}
		if err := p.Thaw(); err != nil {
			return err
		}
	}
	return nil
}

// stop sends SIGTERM to a process without waiting for it to end; stopped waits.
func (s *scenario) stop(words []string, _ map[string]string) error {
	p, err := s.process(words[0])
	if err != nil {
		return err
	}
	result := make(chan error, 1)
	s.stops[words[0]] = result
	s.pending.Go(func() { result <- p.Stop(s.ctx) })
	return nil
}

// signal sends signals to a process, one after the other: signal HOST HUP TERM gap=10ms.
func (s *scenario) signal(words []string, o map[string]string) error {
	p, err := s.process(words[0])
	if err != nil {
		return err
	}
	numbers := map[string]syscall.Signal{"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM, "INT": syscall.SIGINT}
	for _, name := range words[1:] {
		if err := p.Signal(numbers[name]); err != nil {
			return err
		}
		time.Sleep(durationOption(o, "gap", 10*time.Millisecond))
	}
	return nil
}

func (s *scenario) stopped(words []string, o map[string]string) error {
	ctx, cancel := context.WithTimeout(s.ctx, durationOption(o, "within", 30*time.Second))
	defer cancel()
	select {
	case err := <-s.stops[words[0]]:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%s has not exited: %w", words[0], ctx.Err())
	}
}

func (s *scenario) restart(words []string, _ map[string]string) error {
	h, err := s.host(words[0])
	if err != nil {
		return err
	}
	return s.sys.StartHost(h)
}

// leaving publishes a host list that marks the given hosts as leaving.
func (s *scenario) leaving(words []string, _ map[string]string) error {
	hosts := map[string]bool{}
	for _, w := range words {
		hosts[w] = true
	}
	return s.sys.PublishHosts(s.ctx, hosts)
}

// fault sets a fault of a stand-in. The second word is the JSON text of the fault, without spaces.
func (s *scenario) fault(words []string, _ map[string]string) error {
	p, err := s.process(words[0])
	if err != nil {
		return err
	}
	return system.Post(s.ctx, p.Address(), "/standin/faults", json.RawMessage(words[1]))
}

// wait sleeps for a duration that is part of the failure, such as a one-second outage.
func (s *scenario) wait(words []string, _ map[string]string) error {
	d, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// addresses waits until the address list of a host contains another host (with) or omits it (without).
func (s *scenario) addresses(words []string, o map[string]string) error {
	h, err := s.host(o["host"])
	if err != nil {
		return err
	}
	other, err := s.host(words[1])
	if err != nil {
		return err
	}
	return system.WaitFor(s.ctx, durationOption(o, "within", 3*time.Second), func() error {
		var answer struct {
			Addresses []struct{ Address string }
		}
		if err := system.Get(s.ctx, h.Caller, "/v1/addresses?service="+system.Drafts, &answer); err != nil {
			return err
		}
		named := slices.ContainsFunc(answer.Addresses, func(a struct{ Address string }) bool { return a.Address == other.Caller })
		if named != (words[0] == "with") {
			return fmt.Errorf("addresses of %s: %v", h.ID, answer.Addresses)
		}
		return nil
	})
}

// tokensRun checks in the executions of the engines that every position of a draft ran on each layer exactly once
// within one attempt.
func (s *scenario) tokensRun(words []string, _ map[string]string) error {
	records, err := s.engineRecords()
	if err != nil {
		return err
	}
	for _, name := range words {
		d := s.drafts[name]
		if err := checkCoverage(records[d.result.RequestID], d.tokens); err != nil {
			return fmt.Errorf("draft %s: %w", name, err)
		}
	}
	return nil
}

// attempts checks that the engines ran each draft in several attempts. A receipt that is missing a layer comes with
// the right text, so only a further attempt shows that the receipt was refused.
func (s *scenario) attempts(words []string, o map[string]string) error {
	records, err := s.engineRecords()
	if err != nil {
		return err
	}
	for _, name := range words {
		seen := map[int]bool{}
		for _, e := range records[s.drafts[name].result.RequestID] {
			seen[e.Attempt] = true
		}
		if least := intOption(o, "least", 2); len(seen) < least {
			return fmt.Errorf("draft %s ran in %d attempts, want at least %d", name, len(seen), least)
		}
	}
	return nil
}

// checkCoverage checks that for each position some attempt ran all layers exactly once.
func checkCoverage(list []engine.Execution, tokens int) error {
	complete := completePositions(list)
	for i := range tokens {
		if !slices.Contains(complete, i) {
			return fmt.Errorf("no attempt ran position %d on all layers", i)
		}
	}
	return nil
}

// completePositions returns the positions that ran on all layers exactly once within one attempt.
func completePositions(list []engine.Execution) []int {
	type key struct{ position, attempt int }
	runs := map[key][][2]int{}
	for _, e := range list {
		if e.Kind == "token" {
			k := key{e.Position, e.Attempt}
			runs[k] = append(runs[k], e.Layers)
		}
	}
	var complete []int
	for k, ranges := range runs {
		slices.SortFunc(ranges, func(a, b [2]int) int { return a[0] - b[0] })
		next := 0
		for _, r := range ranges {
			if r[0] != next {
				next = -1
				break
			}
			next = r[1]
		}
		if next == system.Layers {
			complete = append(complete, k.position)
		}
	}
	return complete
}

// engineRecords returns the executions of all engines by stream.
func (s *scenario) engineRecords() (map[string][]engine.Execution, error) {
	out := map[string][]engine.Execution{}
	for _, p := range s.sys.Engines {
		all, err := s.sys.EngineExecutions(p)
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			out[e.Stream] = append(out[e.Stream], e)
		}
	}
	return out, nil
}

// running returns the processes that have not ended.
func (s *scenario) running(list []*system.Process) []*system.Process {
	return slices.DeleteFunc(slices.Clone(list), func(p *system.Process) bool {
		select {
		case <-p.Done():
			return true
		default:
			return false
		}
	})
}

// idle waits until no engine runs or queues a stream, which shows that abandoned streams have freed their slots.
func (s *scenario) idle(_ []string, o map[string]string) error {
	return system.WaitFor(s.ctx, durationOption(o, "within", 3*time.Second), func() error {
		for _, p := range s.running(s.sys.Engines) {
			var load struct{ Running, Queued int }
			if err := system.Get(s.ctx, p.Address(), "/v1/load", &load); err != nil {
				return err
			}
			if load.Running+load.Queued > 0 {
				return fmt.Errorf("%s runs %d streams and queues %d", p.Name(), load.Running, load.Queued)
			}
		}
		return nil
	})
}

// alive waits until every engine responds again and checks the total number of crashes.
func (s *scenario) alive(_ []string, o map[string]string) error {
	total := 0
	for _, p := range s.sys.Engines {
		var got struct{ Crashes int }
		err := system.WaitFor(s.ctx, 3*time.Second, func() error {
			return system.Get(s.ctx, p.Address(), "/standin/crashes", &got)
		})
		if err != nil {
			return err
		}
		total += got.Crashes
	}
	if most := intOption(o, "crashes", 2); total > most {
		return fmt.Errorf("%d crashes, want at most %d", total, most)
	}
	return nil
}
