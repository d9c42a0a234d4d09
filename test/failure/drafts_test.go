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

// noticeBound is the time from a fault to the next token that the design page allows.
const noticeBound = 2 * time.Second

func (s *scene) draft(words []string, o map[string]string) error {
	h, err := s.host(o["host"])
	if err != nil {
		return err
	}
	d := &draft{prompt: "Draft " + words[0] + " " + o["prompt"], tokens: number(o, "tokens", 40)}
	if earlier, ok := s.drafts[o["as"]]; ok {
		// The same request once more: quarantine knows a request by its body.
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

func (s *scene) send(d *draft, address string, cfg system.DraftConfig) {
	ctx, leave := context.WithCancel(s.ctx)
	d.done, d.leave = make(chan struct{}), leave
	d.started = time.Now()
	cfg.OnToken = func(int, string) {
		s.mu.Lock()
		d.seen = append(d.seen, time.Now())
		s.mu.Unlock()
	}
	s.pending.Go(func() {
		defer leave()
		result := system.Draft(ctx, address, cfg)
		s.mu.Lock()
		d.result = result
		d.all = append(d.all, result.Tokens...)
		s.mu.Unlock()
		close(d.done)
	})
}

// resume sends the same body with the last event id to another host, as a caller does whose connection broke.
func (s *scene) resume(words []string, o map[string]string) error {
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

func (s *scene) draftAndHost(name, host string) (*draft, *system.Host, error) {
	d, ok := s.drafts[name]
	if !ok {
		return nil, nil, fmt.Errorf("no draft %s", name)
	}
	h, err := s.host(host)
	return d, h, err
}

func (s *scene) atToken(words []string, o map[string]string) error {
	d := s.drafts[words[0]]
	want := number(o, "n", 1)
	return system.WaitFor(s.ctx, span(o, "within", 10*time.Second), func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(d.seen) < want {
			return fmt.Errorf("draft %s has %d tokens, not %d: %w", words[0], len(d.seen), want, errOrNil(d.result.Err))
		}
		return nil
	})
}

func errOrNil(err error) error {
	if err == nil {
		return errors.New("no error so far")
	}
	return err
}

func (s *scene) finish(name string) (*draft, error) {
	d, ok := s.drafts[name]
	if !ok {
		return nil, fmt.Errorf("no draft %s", name)
	}
	select {
	case <-d.done:
		return d, nil
	case <-s.ctx.Done():
		return nil, fmt.Errorf("draft %s has no end: %w", name, s.ctx.Err())
	}
}

// whole checks that the caller got every token of its own answer, in order, over all its connections.
func (s *scene) whole(words []string, _ map[string]string) error {
	for _, name := range words {
		d, err := s.finish(name)
		if err != nil {
			return err
		}
		if d.result.Err != nil || !d.result.Done {
			return fmt.Errorf("draft %s: %w", name, errOrNil(d.result.Err))
		}
		if got, want := strings.Join(d.all, ""), system.ExpectedText(d.prompt, 0, d.tokens); got != want {
			return fmt.Errorf("draft %s: got %d tokens %q, want %d tokens %q", name, len(d.all), got, d.tokens, want)
		}
	}
	return nil
}

func (s *scene) broken(words []string, _ map[string]string) error {
	d, err := s.finish(words[0])
	if err != nil {
		return err
	}
	if d.result.Err == nil || d.result.Code != "" {
		return fmt.Errorf("draft %s ended with code %q, not with a broken connection", words[0], d.result.Code)
	}
	return nil
}

func (s *scene) refused(words []string, o map[string]string) error {
	d, err := s.finish(words[0])
	if err != nil {
		return err
	}
	if !slices.Contains(strings.Split(o["code"], "|"), d.result.Code) || (o["outcome"] != "" && o["outcome"] != d.result.Outcome) {
		return fmt.Errorf("draft %s: code %q outcome %q: %w", words[0], d.result.Code, d.result.Outcome, errOrNil(d.result.Err))
	}
	return nil
}

// pause checks the longest time without a token, by default against the bound of the design page.
func (s *scene) pause(words []string, o map[string]string) error {
	bound := span(o, "bound", noticeBound)
	for _, name := range words {
		d, err := s.finish(name)
		if err != nil {
			return err
		}
		last := d.started
		for i, at := range d.seen {
			if at.Sub(last) > bound {
				return fmt.Errorf("draft %s: %s without a token before token %d, bound %s", name, at.Sub(last), i, bound)
			}
			last = at
		}
	}
	return nil
}
