package benchprocess

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/test/system"
)

const (
	hosts     = 4
	pipelines = 4
	// slots leaves free places on the survivors: a quarter of them a second takes the streams of one pipeline.
	slots = 64
	// perRound is the number of streams at once, a quarter of which meets the fault.
	perRound = 96
	// leastHit is the number of streams that each recovery figure needs.
	leastHit = 60
	// rounds bounds the systems that are started for one figure.
	rounds = 6
	// step of a stage: three stages make about 21 ms between tokens, within the 49 ms of the page.
	step      = 7 * time.Millisecond
	tokens    = 300
	faultAt   = 100
	roundTime = time.Minute
	// recoveryBoundMs and newsBoundMs are the page's bounds.
	recoveryBoundMs = 2000
	newsBoundMs     = 3000
)

// scenario is one kind of fault.
type scenario struct {
	name string
	// host tells that the fault is at an entry host and not at an engine.
	host bool
	// again tells that callers send the request again from the beginning.
	again  bool
	strike func(ctx context.Context, p *system.Process) error
}

func kill(_ context.Context, p *system.Process) error {
	p.Kill()
	return nil
}

func scenarios() []scenario {
	return []scenario{
		{name: "engine_killed", strike: kill},
		{name: "engine_frozen", strike: func(_ context.Context, p *system.Process) error { return p.Freeze() }},
		{name: "engine_silent", strike: func(ctx context.Context, p *system.Process) error {
			return system.Post(ctx, p.Address(), "/standin/faults", json.RawMessage(`{"fault":"silent"}`))
		}},
		{name: "host_killed", host: true, strike: kill},
	}
}

// Run measures with the programs in the folder bin and writes one JSON line for each figure.
func Run(ctx context.Context, out io.Writer, bin string) error {
	baseline, err := measure(ctx, bin, scenario{name: "restart", host: true, again: true, strike: kill})
	if err != nil {
		return eris.Wrap(err, "benchprocess: baseline")
	}
	for _, sc := range scenarios() {
		times, err := measure(ctx, bin, sc)
		if err != nil {
			return eris.Wrapf(err, "benchprocess: %s", sc.name)
		}
		if err := report(out, "recovery_"+sc.name, times, baseline, recoveryBoundMs, "p95"); err != nil {
			return err
		}
	}
	return news(ctx, out, bin)
}

// measure repeats rounds until enough streams have met the fault.
func measure(ctx context.Context, bin string, sc scenario) ([]time.Duration, error) {
	var times []time.Duration
	for i := 0; len(times) < leastHit; i++ {
		if i == rounds {
			return nil, eris.Errorf("only %d streams met the fault in %d rounds", len(times), rounds)
		}
		got, err := round(ctx, bin, sc)
		if err != nil {
			return nil, eris.Wrapf(err, "round %d", i)
		}
		times = append(times, got...)
	}
	return times, nil
}

// stream is one draft and when its tokens came to the caller.
type stream struct {
	number  int
	prompt  string
	request string
	at      []time.Time
	resumed bool
	err     error
}

// round starts a system and its streams, strikes once and returns the recovery times of the streams that met it.
func round(ctx context.Context, bin string, sc scenario) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "waxwingplank-bench-")
	if err != nil {
		return nil, eris.Wrap(err, "round")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := system.Start(ctx, system.Config{Bin: bin, Dir: dir, Hosts: hosts, Pipelines: pipelines, Step: step, Slots: slots})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var tasks sync.WaitGroup
	streams := make([]*stream, perRound)
	var reached sync.WaitGroup
	for i := range streams {
		streams[i] = &stream{number: i, prompt: fmt.Sprintf("Bench %d", i)}
		reached.Add(1)
		tasks.Go(func() { streams[i].run(ctx, s, sc, sync.OnceFunc(reached.Done)) })
	}
	reached.Wait()
	target := s.Engines[0]
	if sc.host {
		target = s.Hosts[0].Process
	}
	struck := time.Now()
	if err := sc.strike(ctx, target); err != nil {
		return nil, err
	}
	tasks.Wait()
	_ = target.Thaw()
	return recoveries(s, sc, streams, struck)
}

// run reads the draft to its end and does what a caller does when its host is gone.
func (st *stream) run(ctx context.Context, s *system.System, sc scenario, reached func()) {
	// A stream that fails early must not hold up the round.
	defer reached()
	lastID := ""
	delivered := 0
	for try := range 4 {
		cfg := system.DraftConfig{
			Prompt: st.prompt, MaxTokens: tokens, Workspace: "exporter-a", Kind: "declaration", Resend: try > 0,
			OnToken: func(position int, _ string) {
				if position < delivered {
					return
				}
				delivered = position + 1
				st.at = append(st.at, time.Now())
				if delivered == faultAt {
					reached()
				}
			},
		}
		if !sc.again {
			cfg.LastEventID = lastID
		}
		got := system.Draft(ctx, s.Hosts[(st.number+try)%hosts].Caller, cfg)
		lastID = got.LastID
		if try == 0 {
			st.request = got.RequestID
		}
		st.resumed = st.resumed || try > 0
		if st.err = got.Err; st.err == nil {
			if delivered != tokens {
				st.err = eris.Errorf("%d of %d tokens", delivered, tokens)
			}
			return
		}
	}
}

// recoveries returns the recovery time of each stream that met the fault.
func recoveries(s *system.System, sc scenario, streams []*stream, struck time.Time) ([]time.Duration, error) {
	hit, err := began(s, s.Engines[0])
	if err != nil {
		return nil, err
	}
	var times []time.Duration
	for _, st := range streams {
		if st.err != nil {
			return nil, eris.Wrapf(st.err, "stream %d", st.number)
		}
		if sc.host && st.resumed || !sc.host && hit[st.request] {
			times = append(times, st.recovery(struck))
		}
	}
	return times, nil
}

// began returns the streams whose first attempt ran on an engine.
func began(s *system.System, on *system.Process) (map[string]bool, error) {
	first := map[string]int{}
	for _, p := range s.Engines {
		all, err := s.EngineExecutions(p)
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			if known, ok := first[e.Stream]; !ok || e.Attempt < known {
				first[e.Stream] = e.Attempt
			}
		}
	}
	runs, err := s.EngineExecutions(on)
	if err != nil {
		return nil, err
	}
	hit := map[string]bool{}
	for _, e := range runs {
		hit[e.Stream] = hit[e.Stream] || e.Attempt == first[e.Stream]
	}
	return hit, nil
}

// recovery returns the time from the fault to the token that ended the longest pause since. Tokens that were under
// way when the fault came do not end it.
func (st *stream) recovery(struck time.Time) time.Duration {
	last, pause, ended := struck, time.Duration(0), struck
	for _, at := range st.at {
		if at.Before(struck) {
			continue
		}
		if at.Sub(last) > pause {
			pause, ended = at.Sub(last), at
		}
		last = at
	}
	return ended.Sub(struck)
}
