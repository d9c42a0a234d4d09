package streams_test

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/seal"
	"waxwingplank/internal/core/stream"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/test/fakeengine"
)

// layers is the number of layers of the model in all tests.
const layers = 16

// host is one entry host; several can share a fleet of engines.
type host struct {
	loop   *streams.Loop
	runner *streams.Runner
	stop   context.CancelFunc
	done   chan struct{}
}

func newHost(t testing.TB, fleet streams.Engines, pl streams.Pipelines, marks streams.Marks) *host {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	sealer, err := seal.New(seal.Config{Keys: [][]byte{make([]byte, 32)}, Random: rand.Reader})
	if err != nil {
		t.Fatal(err)
	}
	h := &host{done: make(chan struct{})}
	h.loop = streams.NewLoop(streams.LoopConfig{Marks: marks, Log: log, Streams: stream.Config{}})
	h.runner = streams.New(streams.Config{
		Loop: h.loop, Engines: fleet, Pipelines: pl, Sealer: sealer, Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.done)
		h.loop.Serve(ctx)
	}()
	return h
}

func (h *host) close() {
	h.runner.Wait()
	h.stop()
	<-h.done
}

// recorder is a caller that records the tokens it receives.
type recorder struct {
	mu        sync.Mutex
	texts     []string
	ids       []string
	positions []int
	times     []time.Time
	end       *streams.End
	// leaveAt is the number of tokens after which the caller disconnects; 0 means never.
	leaveAt int
	// onToken runs after each token.
	onToken func(position int)
}

func (r *recorder) Token(position int, text, id string) error {
	r.mu.Lock()
	if r.leaveAt > 0 && len(r.texts) >= r.leaveAt {
		r.mu.Unlock()
		return errors.New("broken pipe")
	}
	r.texts = append(r.texts, text)
	r.ids = append(r.ids, id)
	r.positions = append(r.positions, position)
	r.times = append(r.times, time.Now())
	r.mu.Unlock()
	if r.onToken != nil {
		r.onToken(position)
	}
	return nil
}

func (r *recorder) End(e streams.End) error {
	r.end = &e
	return nil
}

// requireTokens fails the test unless the recorder holds the tokens of [from, to), once each and in order.
func (r *recorder) requireTokens(t *testing.T, prompt string, from, to int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(r.texts), to-from)
	for i, text := range r.texts {
		is.Equal(r.positions[i], from+i)
		is.Equal(text, fakeengine.Text(prompt, from+i))
	}
}

// longestGap returns the longest time between two tokens.
func (r *recorder) longestGap() time.Duration {
	var gap time.Duration
	for i := 1; i < len(r.times); i++ {
		gap = max(gap, r.times[i].Sub(r.times[i-1]))
	}
	return gap
}

func request(prompt string, tokens int) streams.RequestConfig {
	return streams.RequestConfig{
		Stream:    table.StreamID("s-" + prompt),
		Service:   "label-drafts",
		Workspace: "exporter-a",
		Model:     "hake",
		Layers:    layers,
		Prompt:    prompt,
		Body:      []byte(prompt),
		MaxTokens: tokens,
		FirstSend: true,
	}
}

// peers adds marks to the loops of other hosts after a delay.
type peers struct {
	mu      sync.Mutex
	loops   []*streams.Loop
	delay   time.Duration
	spreads int
}

func (p *peers) Spread(ctx context.Context, marks []quarantine.Mark) error {
	if p.delay > 0 {
		select {
		case <-time.After(p.delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spreads++
	for _, l := range p.loops {
		l.AddMarks(marks)
	}
	return nil
}

// withVirtualTime runs a test with a virtual clock.
func withVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
