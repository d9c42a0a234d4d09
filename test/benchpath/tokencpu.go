package benchpath

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/test/system"
)

const (
	// tokenBoundUs is the upper bound of a host's processor time per token, as stated in the design.
	tokenBoundUs = 10
	// Three stages of 16 ms give the 49 ms between tokens that the design page states.
	cpuStep = 16 * time.Millisecond
	// cpuTokens is large enough that the streams outlast the measured window.
	cpuTokens = 400
	cpuSettle = 3 * time.Second
	cpuWindow = 10 * time.Second
	// cpuSlots is large enough that all streams run at once on two pipelines.
	cpuSlots     = 400
	cpuPipelines = 2
)

// cpuStreams lists the numbers of concurrent streams. One of 410 hosts carries 5.3 million / 410 = 13,000
// tokens/s, which is 630 streams.
var cpuStreams = []int{100, 300, 600}

// TokenCPU measures the processor time of a host per token under many concurrent streams. The baseline is a
// process that only copies the lines of the engine to the caller.
func TokenCPU(ctx context.Context, cfg Config) error {
	sys := system.Config{Hosts: 1, Pipelines: cpuPipelines, Step: cpuStep, Slots: cpuSlots}
	return withSystem(ctx, cfg, sys, func(ctx context.Context, s *system.System) error {
		for _, n := range cpuStreams {
			if err := tokenCPUAt(ctx, cfg, s, n); err != nil {
				return eris.Wrapf(err, "%d streams", n)
			}
		}
		return nil
	})
}

func tokenCPUAt(ctx context.Context, cfg Config, s *system.System, streams int) error {
	host, err := tokenLoad(ctx, s.Hosts[0].PID(), streams, func(i int) (string, []byte) {
		return "http://" + s.Hosts[0].Caller + "/v1/services/" + system.Drafts + "/streams", draftBody(i, cpuTokens)
	})
	if err != nil {
		return err
	}
	copier, err := copyCost(ctx, cfg, s, streams)
	if err != nil {
		return err
	}
	name := func(what string) string { return fmt.Sprintf("host_%s_%d_streams", what, streams) }
	return cfg.write(
		figure{Name: name("cpu_per_token"), Value: host.micros, Unit: "us"}.atMost(tokenBoundUs).withBaseline(copier.micros),
		figure{Name: name("tokens_per_second"), Value: host.perSecond, Unit: "tokens/s"}.withBaseline(copier.perSecond),
		figure{Name: name("cpu"), Value: host.percent, Unit: "percent of a core"}.withBaseline(copier.percent),
		figure{Name: name("memory"), Value: host.resident, Unit: "bytes"}.withBaseline(copier.resident),
	)
}

// tokenCost holds the processor time per token in microseconds, the tokens per second, the processor use in
// percent of a core and the resident memory in bytes of a process under a load of streams.
type tokenCost struct{ micros, perSecond, percent, resident float64 }

// tokenLoad runs the streams and measures the process while all of them are in flight.
func tokenLoad(ctx context.Context, pid, streams int, request func(i int) (string, []byte)) (tokenCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var tokens, failed atomic.Int64
	for i := range streams {
		wg.Go(func() {
			url, body := request(i)
			if err := readStream(ctx, url, body, &tokens); err != nil && ctx.Err() == nil {
				failed.Add(1)
			}
		})
	}
	if err := pause(ctx, cpuSettle); err != nil {
		return tokenCost{}, err
	}
	cpu, err := processorTime(pid)
	if err != nil {
		return tokenCost{}, err
	}
	count, start := tokens.Load(), time.Now()
	if err := pause(ctx, cpuWindow); err != nil {
		return tokenCost{}, err
	}
	after, err := processorTime(pid)
	if err != nil {
		return tokenCost{}, err
	}
	n, took := float64(tokens.Load()-count), time.Since(start)
	if failed.Load() > 0 || n == 0 {
		return tokenCost{}, eris.Errorf("benchpath.tokenLoad: %d of %d streams failed, %.0f tokens", failed.Load(), streams, n)
	}
	m, err := memoryOf(pid)
	if err != nil {
		return tokenCost{}, err
	}
	return tokenCost{
		micros: float64((after - cpu).Microseconds()) / n, perSecond: n / took.Seconds(),
		percent: 100 * (after - cpu).Seconds() / took.Seconds(), resident: m.resident,
	}, nil
}

func readStream(ctx context.Context, url string, body []byte, tokens *atomic.Int64) error {
	resp, err := openStream(ctx, url, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if isToken(lines.Bytes()) {
			tokens.Add(1)
		}
	}
	return lines.Err()
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// copyCost measures the copy server, a second process of this program, with the same engines.
func copyCost(ctx context.Context, cfg Config, s *system.System, streams int) (tokenCost, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(cfg.Bin, "bench"), "--copy-server")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return tokenCost{}, eris.Wrap(err, "benchpath.copyCost")
	}
	if err := cmd.Start(); err != nil {
		return tokenCost{}, eris.Wrap(err, "benchpath.copyCost")
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	var started struct{ Address string }
	if err := json.NewDecoder(out).Decode(&started); err != nil {
		return tokenCost{}, eris.Wrap(err, "benchpath.copyCost: address")
	}
	return tokenLoad(ctx, cmd.Process.Pid, streams, func(i int) (string, []byte) {
		pipeline := i % cpuPipelines
		to := s.Engines[pipeline*len(stageLayers)].Address()
		return "http://" + started.Address + "/copy?to=" + to, openBody(s, pipeline, streams*1000+i, cpuTokens)
	})
}

// ServeCopy writes its address to out as JSON and serves a proxy that copies the lines of an engine until the
// context ends.
func ServeCopy(ctx context.Context, out io.Writer) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "benchpath.ServeCopy")
	}
	if err := json.NewEncoder(out).Encode(map[string]string{"address": listener.Addr().String()}); err != nil {
		return eris.Wrap(err, "benchpath.ServeCopy")
	}
	server := &http.Server{Handler: http.HandlerFunc(copyLines), ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "benchpath.ServeCopy")
	}
	return nil
}

// copyLines forwards a stream request to the engine in the query and flushes each line of the response.
func copyLines(w http.ResponseWriter, r *http.Request) {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+r.URL.Query().Get("to")+"/v1/streams", r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.WriteHeader(resp.StatusCode)
	ctl := http.NewResponseController(w)
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return
		}
		if _, err := w.Write(line); err != nil {
			return
		}
		if err := ctl.Flush(); err != nil {
			return
		}
	}
}
