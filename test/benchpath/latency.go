package benchpath

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"waxwingplank/test/system"
)

const (
	// addedBoundMs is the upper bound of the 99th percentile of the added latency on loopback, as stated in the design.
	addedBoundMs   = 2
	warmUpRounds   = 200
	measuredRounds = 3000
	// roundInterval keeps the load moderate: 200 lookups and 200 streams per second through one host.
	roundInterval = 5 * time.Millisecond
	// baselineWindow is the period in which the processor time without requests is measured. It is subtracted from the
	// processor time under load.
	baselineWindow = 5 * time.Second
	// startTimeout limits the start of all processes of a system.
	startTimeout = time.Minute
)

// client keeps idle connections open, as frequent callers do.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// withSystem starts a system, runs f with it and stops it.
func withSystem(ctx context.Context, cfg Config, sys system.Config, f func(context.Context, *system.System) error) error {
	dir, err := os.MkdirTemp("", "benchpath")
	if err != nil {
		return eris.Wrap(err, "benchpath.withSystem")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sys.Bin, sys.Dir, sys.DiscardExecutions = cfg.Bin, dir, true
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s, err := system.Start(startCtx, sys)
	if err != nil {
		return eris.Wrap(err, "benchpath.withSystem")
	}
	defer s.Close()
	return f(ctx, s)
}

// path is one way to send a request, with the histogram of its latencies in microseconds.
type path struct {
	name string
	send func(ctx context.Context, i int) (time.Duration, error)
	hist *hdrhistogram.Histogram
}

// Latency measures the latency that a host adds to a lookup and to the first token of a stream. Direct calls
// and calls through the host alternate, so that both run under the same machine load.
func Latency(ctx context.Context, cfg Config) error {
	sys := system.Config{Hosts: 3, Pipelines: 2, Step: time.Millisecond, Slots: 64}
	return withSystem(ctx, cfg, sys, func(ctx context.Context, s *system.System) error {
		lookups := []*path{
			{name: "direct", send: lookup("http://" + s.Plain[0].Address() + "/lots/%d")},
			{name: "host", send: lookup("http://" + s.Hosts[0].Caller + "/v1/services/" + system.Registry + "/calls/lots/%d")},
		}
		streams := []*path{
			{name: "direct", send: firstToken("http://"+s.Engines[0].Address()+"/v1/streams", func(i int) []byte { return openBody(s, 0, i, 1) })},
			{name: "host", send: firstToken("http://"+s.Hosts[0].Caller+"/v1/services/"+system.Drafts+"/streams", func(i int) []byte { return draftBody(i, 1) })},
		}
		idle, _, err := processorTimeOf(s.Hosts[0].PID(), func() error { return pause(ctx, baselineWindow) })
		if err != nil {
			return err
		}
		loaded, took, err := processorTimeOf(s.Hosts[0].PID(), func() error { return interleave(ctx, append(lookups, streams...)) })
		if err != nil {
			return err
		}
		pairs := float64(warmUpRounds + measuredRounds)
		perPair := (loaded.Seconds() - idle.Seconds()*took.Seconds()/baselineWindow.Seconds()) * 1e6 / pairs
		return cfg.write(append(append(addedLatency("lookup", lookups), addedLatency("first_token", streams)...),
			figure{Name: "host_cpu_per_lookup_and_stream", Value: perPair, Unit: "us"})...)
	})
}

// processorTimeOf returns the processor time that a process uses while f runs, and the duration of f.
func processorTimeOf(pid int, f func() error) (used, took time.Duration, err error) {
	before, err := processorTime(pid)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if err := f(); err != nil {
		return 0, 0, err
	}
	after, err := processorTime(pid)
	return after - before, time.Since(start), err
}

// interleave sends the same number of requests on each path in turn and records their latencies.
func interleave(ctx context.Context, paths []*path) error {
	for _, p := range paths {
		p.hist = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for i := range warmUpRounds + measuredRounds {
		<-ticker.C
		for _, p := range paths {
			took, err := p.send(ctx, i)
			if err != nil {
				return eris.Wrapf(err, "round %d, %s", i, p.name)
			}
			if i < warmUpRounds {
				continue
			}
			if err := p.hist.RecordValue(took.Microseconds()); err != nil {
				return eris.Wrap(err, "benchpath.interleave")
			}
		}
	}
	return nil
}

// addedLatency returns the latency that the host path adds at the 50th and 99th percentile, in milliseconds. The
// baseline is the direct path.
func addedLatency(name string, paths []*path) []figure {
	at := func(p *path, q float64) float64 { return float64(p.hist.ValueAtQuantile(q)) / 1000 }
	direct, host := paths[0], paths[1]
	one := func(q float64) figure {
		return figure{
			Name: fmt.Sprintf("%s_added_p%.0f", name, q), Value: at(host, q) - at(direct, q), Unit: "ms",
		}.withBaseline(at(direct, q))
	}
	return []figure{one(50), one(99).atMost(addedBoundMs)}
}

func lookup(url string) func(context.Context, int) (time.Duration, error) {
	return func(ctx context.Context, i int) (time.Duration, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf(url, i), nil)
		if err != nil {
			return 0, err
		}
		req.Header.Set("Workspace", "plant-b")
		start := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return 0, err
		}
		if resp.StatusCode != http.StatusOK {
			return 0, eris.Errorf("lookup: %s", resp.Status)
		}
		return time.Since(start), nil
	}
}

// openStream sends a stream request and returns its response. A status other than 200 is an error.
func openStream(ctx context.Context, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "benchpath.openStream")
	}
	req.Header.Set("Workspace", "plant-b")
	req.Header.Set("Request-Attempt", "1")
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "benchpath.openStream")
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		_ = resp.Body.Close()
		return nil, eris.Errorf("benchpath.openStream: %s: %s", resp.Status, text)
	}
	return resp, nil
}

// isToken reports whether a line of a stream of an engine or host holds a token.
func isToken(line []byte) bool {
	return bytes.HasPrefix(line, []byte(`{"token"`)) || bytes.HasPrefix(line, []byte(`data: {"position"`))
}

func firstToken(url string, body func(i int) []byte) func(context.Context, int) (time.Duration, error) {
	return func(ctx context.Context, i int) (time.Duration, error) {
		text := body(i)
		start := time.Now()
		resp, err := openStream(ctx, url, text)
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		took := time.Duration(0)
		lines := bufio.NewScanner(resp.Body)
		// The response is read to its end so that the connection can be reused.
		for lines.Scan() {
			if took == 0 && isToken(lines.Bytes()) {
				took = time.Since(start)
			}
		}
		if took == 0 {
			return 0, eris.Errorf("stream ended without a token: %v", lines.Err())
		}
		return took, nil
	}
}

func prompt(i int) string { return fmt.Sprintf("Declare the species of lot %d, hake, Valparaiso.", i) }

func draftBody(i, tokens int) []byte {
	return fmt.Appendf(nil, `{"prompt":%q,"preamble":"","max_tokens":%d,"kind":"declaration"}`, prompt(i), tokens)
}

// stageLayers are the layer ranges of the three stages that package system starts.
var stageLayers = [][2]int{{0, 12}, {12, 18}, {18, system.Layers}}

// openBody returns the request body that a host sends to the first stage of a pipeline.
func openBody(s *system.System, pipeline, i, tokens int) []byte {
	var route []string
	for j, layers := range stageLayers {
		e := s.Engines[pipeline*len(stageLayers)+j]
		route = append(route, fmt.Sprintf(`{"endpoint":%q,"address":%q,"layers":[%d,%d]}`, e.Name(), e.Address(), layers[0], layers[1]))
	}
	return fmt.Appendf(nil, `{"stream":"direct-%d-%d","attempt":1,"model":%q,"version":%q,"workspace":"plant-b","priority":0,`+
		`"route":[%s],"prompt":%q,"generated":[],"position":0,"max_tokens":%d}`,
		pipeline, i, system.Model, system.Version, strings.Join(route, ","), prompt(i), tokens)
}
