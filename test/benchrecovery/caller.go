package benchrecovery

import (
	"context"
	"fmt"
	"sync"
	"time"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/test/fakeengine"
)

type arrival struct {
	at       time.Time
	position int
	id       string
}

// caller sends one request, again from the beginning where restart is set, and notes what arrives.
type caller struct {
	name    string
	restart bool

	mu     sync.Mutex
	tokens []arrival
	wrong  int
	next   int
	runs   int
	ended  bool
}

// Token implements streams.Sink.
func (c *caller) Token(position int, text, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if position != c.next || text != fakeengine.Text(c.name, position) {
		c.wrong++
	}
	c.next = position + 1
	c.tokens = append(c.tokens, arrival{time.Now(), position, id})
	return nil
}

// End implements streams.Sink.
func (c *caller) End(streams.End) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	return nil
}

// maxRuns bounds the restarts of one caller.
const maxRuns = 20

func (c *caller) run(ctx context.Context, r *streams.Runner, cfg Config) {
	for ctx.Err() == nil && c.runs < maxRuns {
		c.runs++
		c.next = 0
		err := r.Run(ctx, streams.NewRequest(streams.RequestConfig{
			Stream:       table.StreamID(fmt.Sprintf("%s-%d", c.name, c.runs)),
			Service:      "bench",
			Workspace:    "bench",
			Layers:       layers,
			Prompt:       c.name,
			PromptTokens: promptTokens,
			Body:         []byte(c.name),
			MaxTokens:    cfg.Tokens,
			FirstSend:    true,
		}), c)
		if err == nil || !c.restart {
			return
		}
	}
}

// recovery returns the time from the fault to the next new token, and whether the fault hit the stream.
//
// A stream was hit if a token after the fault comes from a later attempt, or from a later run; tokens on
// their way at the fault do not count.
func (c *caller) recovery(fault time.Time, attempt func(id string) int) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reached := -1
	restarted := false
	for _, a := range c.tokens {
		if a.position <= reached && c.restart {
			restarted = true
			continue
		}
		late := a.at.After(fault) && (restarted || attempt(a.id) > 1)
		if late {
			return a.at.Sub(fault), true
		}
		reached = a.position
	}
	return 0, false
}
