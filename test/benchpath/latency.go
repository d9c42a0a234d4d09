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
	// addedBoundMs is the stated target for the 99th percentile on loopback.
	addedBoundMs = 2
	warmRounds   = 200
	roundsTimed  = 3000
	// roundEvery keeps the load moderate: 200 lookups and 200 streams a second through one host.
	roundEvery = 5 * time.Millisecond
	// startTimeout bounds the start of all processes of a system.
	startTimeout = time.Minute
)

// client keeps connections open, as callers do that ask often.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// inSystem runs f within a system that is started for it.
func inSystem(ctx context.Context, cfg Config, sys system.Config, f func(context.Context, *system.System) error) error {
	dir, err := os.MkdirTemp("", "benchpath")
	if err != nil {
		return eris.Wrap(err, "benchpath.inSystem")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sys.Bin, sys.Dir, sys.KeepNoExecutions = cfg.Bin, dir, true
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s, err := system.Start(startCtx, sys)
	if err != nil {
		return eris.Wrap(err, "benchpath.inSystem")
	}
	defer s.Close()
	return f(ctx, s)
}

// path is one way of sending a request, and the times that it took.
type path struct {
	name string
	send func(ctx context.Context, i int) (time.Duration, error)
	hist *hdrhistogram.Histogram
}

// Latency measures what a host adds to a lookup and to the first token of a stream. The direct calls and
// those through the host take turns, so that both see the same machine.
func Latency(ctx context.Context, cfg Config) error {
	sys := system.Config{Hosts: 3, Pipelines: 2, Step: time.Millisecond, Slots: 64}
	return inSystem(ctx, cfg, sys, func(ctx context.Context, s *system.System) error {
		lookups := []*path{
			{name: "direct", send: lookup("http://" + s.Plain[0].Address() + "/lots/%d")},
			{name: "host", send: lookup("http://" + s.Hosts[0].Caller + "/v1/services/" + system.Registry + "/calls/lots/%d")},
		}
		streams := []*path{
			{name: "direct", send: firstToken("http://"+s.Engines[0].Address()+"/v1/streams", func(i int) []byte { return openBody(s, 0, i, 1) })},
			{name: "host", send: firstToken("http://"+s.Hosts[0].Caller+"/v1/services/"+system.Drafts+"/streams", func(i int) []byte { return draftBody(i, 1) })},
		}
		if err := interleave(ctx, append(lookups, streams...)); err != nil {
			return err
		}
		return cfg.write(append(added("lookup", lookups), added("first_token", streams)...)...)
	})
}

func interleave(ctx context.Context, paths []*path) error {
	for _, p := range paths {
		p.hist = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for i := range warmRounds + roundsTimed {
		<-ticker.C
		for _, p := range paths {
			took, err := p.send(ctx, i)
			if err != nil {
				return eris.Wrapf(err, "round %d, %s", i, p.name)
			}
			if i < warmRounds {
				continue
			}
			if err := p.hist.RecordValue(took.Microseconds()); err != nil {
				return eris.Wrap(err, "benchpath.interleave")
			}
		}
	}
	return nil
}

// added compares quantiles of both paths; the baseline is the direct call.
func added(name string, paths []*path) []figure {
	at := func(p *path, q float64) float64 { return float64(p.hist.ValueAtQuantile(q)) / 1000 }
	direct, host := paths[0], paths[1]
	one := func(q float64) figure {
		return figure{
			Name: fmt.Sprintf("%s_added_p%.0f", name, q), Value: at(host, q) - at(direct, q), Unit: "ms",
		}.against(at(direct, q))
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

// openStream sends the request of a stream and returns the answer of status 200.
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

// isToken recognises the line of a token from an engine or from a host.
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
		// The answer is read to its end, so that the connection can be used again.
		for lines.Scan() {
			if took == 0 && isToken(lines.Bytes()) {
				took = time.Since(start)
			}
		}
		if took == 0 {
			return 0, eris.Errorf("the stream brought no token: %v", lines.Err())
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

// openBody is what a host would send to the first stage of a pipeline.
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
