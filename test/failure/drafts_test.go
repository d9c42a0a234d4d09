package failure

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"waxwingplank/test/system"
)

// maxTokenGap is the longest time from a fault to the next token that the design page allows.
const maxTokenGap = 2 * time.Second

// draft sends a draft in the background.
func (s *scenario) draft(words []string, o map[string]string) error {
	h, err := s.host(o["host"])
	if err != nil {
		return err
	}
	d := &draft{prompt: "Draft " + words[0] + " " + o["prompt"], tokens: intOption(o, "tokens", 40)}
	if earlier, ok := s.drafts[o["as"]]; ok {
		// Send the same request again. Quarantine identifies a request by its body.
		d.prompt = earlier.prompt
	}
	s.drafts[words[0]] = d
	kind := o["kind"]
	if kind == "" {
		kind = "declaration"
	}
	s.send(d, h.Caller, system.DraftConfig{
		Prompt: d.prompt, MaxTokens: d.tokens, Workspace: "exporter-a", Kind: kind, Key: o["key"], Resend: o["resend"] != "",
	})
	return nil
}

// send sends a draft in the background and records the time of each token.
func (s *scenario) send(d *draft, address string, cfg system.DraftConfig) {
	ctx, cancel := context.WithCancel(s.ctx)
	d.done, d.cancel = make(chan struct{}), cancel
	d.started = time.Now()
	cfg.OnToken = func(int, string) {
		s.mu.Lock()
		d.tokenTimes = append(d.tokenTimes, time.Now())
		s.mu.Unlock()
	}
	s.pending.Go(func() {
		defer cancel()
		result := system.Draft(ctx, address, cfg)
		s.mu.Lock()
		d.result = result
		d.allTokens = append(d.allTokens, result.Tokens...)
		s.mu.Unlock()
		close(d.done)
	})
}

// resume sends the same body with the last event id to another host, as a caller does after its connection broke.
func (s *scenario) resume(words []string, o map[string]string) error {
	d, h, err := s.draftAndHost(words[0], o["host"])
	if err != nil {
		return err
	}
	<-d.done
	workspace := o["workspace"]
	if workspace == "" {
		workspace = "exporter-a"
	}
	s.send(d, h.Caller, system.DraftConfig{
		Prompt: d.prompt, MaxTokens: d.tokens, Workspace: workspace, Kind: "declaration", Resend: true,
		LastEventID: d.result.LastID,
	})
	return nil
}

func (s *scenario) draftAndHost(name, host string) (*draft, *system.Host, error) {
	d, ok := s.drafts[name]
	if !ok {
		return nil, nil, fmt.Errorf("unknown draft %s", name)
	}
	h, err := s.host(host)
	return d, h, err
}

// atToken waits until a draft has received n tokens.
func (s *scenario) atToken(words []string, o map[string]string) error {
	d := s.drafts[words[0]]
	want := intOption(o, "n", 1)
	return system.WaitFor(s.ctx, durationOption(o, "within", 10*time.Second), func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(d.tokenTimes) < want {
			return fmt.Errorf("draft %s has %d tokens, want at least %d: %w", words[0], len(d.tokenTimes), want, errOrPlaceholder(d.result.Err))
		}
		return nil
	})
}

// errOrPlaceholder returns an error in any case, so that it can be formatted with %w.
func errOrPlaceholder(err error) error {
	if err == nil {
		return errors.New("no error so far")
	}
	return err
}

// awaitDraft waits for the end of a draft.
func (s *scenario) awaitDraft(name string) (*draft, error) {
	d, ok := s.drafts[name]
	if !ok {
		return nil, fmt.Errorf("unknown draft %s", name)
	}
	select {
	case <-d.done:
		return d, nil
	case <-s.ctx.Done():
		return nil, fmt.Errorf("draft %s has not ended: %w", name, s.ctx.Err())
	}
}

// complete checks that the caller received every token of its own text in order, over all its connections.
func (s *scenario) complete(words []string, _ map[string]string) error {
	for _, name := range words {
		d, err := s.awaitDraft(name)
		if err != nil {
			return err
		}
		if d.result.Err != nil || !d.result.Done {
			return fmt.Errorf("draft %s: %w", name, errOrPlaceholder(d.result.Err))
		}
		if got, want := strings.Join(d.allTokens, ""), system.ExpectedText(d.prompt, 0, d.tokens); got != want {
			return fmt.Errorf("draft %s: got %d tokens %q, want %d tokens %q", name, len(d.allTokens), got, d.tokens, want)
		}
	}
	return nil
}

// broken checks that the connection of a draft broke without a refusal.
func (s *scenario) broken(words []string, _ map[string]string) error {
	d, err := s.awaitDraft(words[0])
	if err != nil {
		return err
	}
	if d.result.Err == nil || d.result.Code != "" {
		return fmt.Errorf("draft %s ended with code %q, want a broken connection", words[0], d.result.Code)
	}
	return nil
}

// refused checks the code and the outcome of a refusal. The option code takes alternatives separated by a bar.
func (s *scenario) refused(words []string, o map[string]string) error {
	d, err := s.awaitDraft(words[0])
	if err != nil {
		return err
	}
	if !slices.Contains(strings.Split(o["code"], "|"), d.result.Code) || (o["outcome"] != "" && o["outcome"] != d.result.Outcome) {
		return fmt.Errorf("draft %s: code %q outcome %q: %w", words[0], d.result.Code, d.result.Outcome, errOrPlaceholder(d.result.Err))
	}
	return nil
}

// pause checks the longest time between two tokens, by default against the limit of the design page.
func (s *scenario) pause(words []string, o map[string]string) error {
	bound := durationOption(o, "bound", maxTokenGap)
	for _, name := range words {
		d, err := s.awaitDraft(name)
		if err != nil {
			return err
		}
		last := d.started
		for i, at := range d.tokenTimes {
			if at.Sub(last) > bound {
				return fmt.Errorf("draft %s: %s without a token before token %d, want at most %s", name, at.Sub(last), i, bound)
			}
			last = at
		}
	}
	return nil
}
