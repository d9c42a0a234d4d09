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
	// tokenBoundUs is the stated target for the processor time of a host for one token.
	tokenBoundUs = 10
	// A host of 410 streams 5.3 million / 410 = 13,000 tokens/s; the engines here run on the same machine,
	// so the steady load is smaller: 300 streams with three stages of 16 ms are about 6,000 tokens/s.
	cpuStreams = 300
	cpuStep    = 16 * time.Millisecond
	// The streams outlast the measured window.
	cpuTokens = 400
	cpuSettle = 3 * time.Second
	cpuWindow = 10 * time.Second
	// cpuSlots lets every stream run at once on two pipelines.
	cpuSlots     = 256
	cpuPipelines = 2
)

// TokenCPU measures the processor time of a host for one token of many concurrent streams. The baseline is a
// process that copies the lines of the engine to the caller and does nothing else.
func TokenCPU(ctx context.Context, cfg Config) error {
	sys := system.Config{Hosts: 1, Pipelines: cpuPipelines, Step: cpuStep, Slots: cpuSlots}
	return inSystem(ctx, cfg, sys, func(ctx context.Context, s *system.System) error {
		host, err := tokenLoad(ctx, s.Hosts[0].PID(), func(i int) (string, []byte) {
			return "http://" + s.Hosts[0].Caller + "/v1/services/" + system.Drafts + "/streams", draftBody(i, cpuTokens)
		})
		if err != nil {
			return err
		}
		bare, err := copyCost(ctx, cfg, s)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(cfg.Log, "token_cpu: %.0f tokens/s through the host, %.0f through the copy\n", host.perSecond, bare.perSecond)
		return cfg.write(
			figure{Name: "host_cpu_per_token", Value: host.micros, Unit: "us"}.atMost(tokenBoundUs).against(bare.micros),
			figure{Name: "host_tokens_per_second", Value: host.perSecond, Unit: "tokens/s"}.against(bare.perSecond),
		)
	})
}

// tokenCost is the processor time for a token at a rate.
type tokenCost struct{ micros, perSecond float64 }

// tokenLoad runs the streams and measures the process in the middle of them.
func tokenLoad(ctx context.Context, pid int, request func(i int) (string, []byte)) (tokenCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var tokens, failed atomic.Int64
	for i := range cpuStreams {
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
		return tokenCost{}, eris.Errorf("benchpath.tokenLoad: %d of %d streams failed, %.0f tokens", failed.Load(), cpuStreams, n)
	}
	return tokenCost{micros: float64((after - cpu).Microseconds()) / n, perSecond: n / took.Seconds()}, nil
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

// copyCost measures this program as a copying process, beside the same engines.
func copyCost(ctx context.Context, cfg Config, s *system.System) (tokenCost, error) {
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
	return tokenLoad(ctx, cmd.Process.Pid, func(i int) (string, []byte) {
		pipeline := i % cpuPipelines
		to := s.Engines[pipeline*len(stageLayers)].Address()
		return "http://" + started.Address + "/copy?to=" + to, openBody(s, pipeline, i, cpuTokens)
	})
}

// ServeCopy prints its address and copies the lines of an engine until the context ends.
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
