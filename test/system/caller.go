package system

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/standin/engine"
)

// idleTimeout is the time without any data, heartbeats included, after which a caller cuts a stream.
const idleTimeout = 2 * time.Second

// DraftConfig describes a draft request.
type DraftConfig struct {
	Prompt      string
	Preamble    string
	MaxTokens   int
	Workspace   string
	Kind        string
	Key         string
	LastEventID string
	// Resend omits the Request-Attempt header, which marks the first copy.
	Resend bool
	// HeaderTimeout is the time that the caller waits for the response header; zero means no limit.
	HeaderTimeout time.Duration
	// OnToken is called after each token.
	OnToken func(position int, id string)

	onHeaders func()
}

// DraftResult is the response to a draft request, as far as the caller received it.
type DraftResult struct {
	Tokens    []string
	Positions []int
	LastID    string
	Done      bool
	Moved     string
	Code      string
	Outcome   string
	RequestID string
	// RetryAfter reports whether a refusal has a Retry-After header.
	RetryAfter bool
	// FirstAt is the time from the request to the first token.
	FirstAt time.Duration
	Err     error
}

// ExpectedText returns the text of the tokens from one position up to another.
func ExpectedText(prompt string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(engine.Text(Model, Version, prompt, i))
	}
	return b.String()
}

// Draft sends a draft request and reads the stream to its end. DraftResult.Err holds the error, if any.
func Draft(ctx context.Context, address string, cfg DraftConfig) DraftResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"prompt": cfg.Prompt, "preamble": cfg.Preamble, "max_tokens": cfg.MaxTokens, "kind": cfg.Kind,
	})
	if err != nil {
		return DraftResult{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+Drafts+"/streams", bytes.NewReader(body))
	if err != nil {
		return DraftResult{Err: err}
	}
	req.Header.Set("Workspace", cfg.Workspace)
	if cfg.Key != "" {
		req.Header.Set("Idempotency-Key", cfg.Key)
	}
	if !cfg.Resend {
		req.Header.Set("Request-Attempt", "1")
	}
	if cfg.LastEventID != "" {
		req.Header.Set("Last-Event-ID", cfg.LastEventID)
	}
	start := time.Now()
	if cfg.HeaderTimeout > 0 {
		headerTimer := time.AfterFunc(cfg.HeaderTimeout, cancel)
		defer headerTimer.Stop()
		cfg.onHeaders = func() { headerTimer.Stop() }
	}
	resp, err := client.Do(req)
	if err != nil {
		return DraftResult{Err: err, LastID: cfg.LastEventID}
	}
	if cfg.onHeaders != nil {
		cfg.onHeaders()
	}
	defer func() { _ = resp.Body.Close() }()
	out := DraftResult{RequestID: resp.Header.Get("Request-Id"), Outcome: resp.Header.Get("Request-Outcome"), LastID: cfg.LastEventID}
	out.RetryAfter = resp.Header.Get("Retry-After") != ""
	if resp.StatusCode != http.StatusOK {
		return out.refused(resp)
	}
	out.read(resp.Body, cfg, start, cancel)
	return out
}

// client is shared by all callers and keeps up to 64 idle connections to each host.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, ResponseHeaderTimeout: 0}}

// refused returns the result with the refusal in the response body.
func (r DraftResult) refused(resp *http.Response) DraftResult {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Err = err
		return r
	}
	r.fail(data)
	return r
}

// fail sets code, outcome and error from the JSON text of a refusal.
func (r *DraftResult) fail(data []byte) {
	var refusal struct {
		Error struct{ Code, Message, Outcome string }
	}
	if err := json.Unmarshal(data, &refusal); err != nil {
		r.Err = eris.Wrapf(err, "decode refusal %q", data)
		return
	}
	r.Code, r.Outcome = refusal.Error.Code, refusal.Error.Outcome
	r.Err = eris.Errorf("%s: %s (%s)", r.Code, refusal.Error.Message, r.Outcome)
}

// read parses the event stream. It calls cancel if no line arrives within idleTimeout.
func (r *DraftResult) read(body io.Reader, cfg DraftConfig, start time.Time, cancel func()) {
	timer := time.AfterFunc(idleTimeout, cancel)
	defer timer.Stop()
	lines := bufio.NewScanner(body)
	event, id, data := "", "", ""
	for lines.Scan() {
		timer.Reset(idleTimeout)
		// An empty line ends an event. An event cut short by a broken connection is dropped, as the format requires.
		if lines.Text() == "" {
			if data != "" {
				r.event(event, id, data, cfg, start)
			}
			event, id, data = "", "", ""
			continue
		}
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "event":
			event = value
		case "id":
			id = value
		case "data":
			data = value
		}
	}
	if !r.Done && r.Moved == "" && r.Err == nil {
		r.Err = eris.New("the connection ended before the answer")
		if err := lines.Err(); err != nil {
			r.Err = err
		}
	}
}

func (r *DraftResult) event(event, id, data string, cfg DraftConfig, start time.Time) {
	switch event {
	case "token":
		var t struct {
			Position int
			Text     string
		}
		if err := json.Unmarshal([]byte(data), &t); err != nil {
			r.Err = eris.Wrapf(err, "decode token %q", data)
			return
		}
		if len(r.Tokens) == 0 {
			r.FirstAt = time.Since(start)
		}
		r.Tokens, r.Positions, r.LastID = append(r.Tokens, t.Text), append(r.Positions, t.Position), id
		if cfg.OnToken != nil {
			cfg.OnToken(t.Position, id)
		}
	case "done":
		r.Done = true
	case "moved":
		var m struct{ Address string }
		if err := json.Unmarshal([]byte(data), &m); err != nil {
			r.Err = err
		}
		r.Moved = m.Address
	case "error":
		r.fail([]byte(data))
	}
}

// Check returns an error unless the result holds exactly the tokens from one position to another.
func (r DraftResult) Check(prompt string, from, to int) error {
	if r.Err != nil {
		return r.Err
	}
	if !r.Done {
		return eris.New("the response has no done event")
	}
	for i, p := range r.Positions {
		if p != from+i {
			return eris.Errorf("token %d has position %d", from+i, p)
		}
	}
	if got, want := strings.Join(r.Tokens, ""), ExpectedText(prompt, from, to); got != want {
		return eris.Errorf("text differs: got %q, want %q", got, want)
	}
	return nil
}

// CallConfig describes a plain call.
type CallConfig struct {
	Method, Service, Path, Workspace, Key, Body string
	Resend                                      bool
}

// CallResult is the response to a plain call.
type CallResult struct {
	Status   int
	Body     string
	Outcome  string
	Code     string
	Recorded bool
}

// NewKey returns an idempotency key that names the current time as its time of issue.
func NewKey(unique string) string { return fmt.Sprintf("%d-%s", time.Now().Unix(), unique) }

// Call sends one call to a plain service.
func Call(ctx context.Context, address string, cfg CallConfig) (CallResult, error) {
	url := "http://" + address + "/v1/services/" + cfg.Service + "/calls/" + cfg.Path
	req, err := http.NewRequestWithContext(ctx, cfg.Method, url, strings.NewReader(cfg.Body))
	if err != nil {
		return CallResult{}, eris.Wrap(err, "system.Call")
	}
	req.Header.Set("Workspace", cfg.Workspace)
	if cfg.Key != "" {
		req.Header.Set("Idempotency-Key", cfg.Key)
		// Without GetBody the client cannot read the body again, so it does not repeat the call by itself.
		req.GetBody = nil
	}
	if !cfg.Resend {
		req.Header.Set("Request-Attempt", "1")
	}
	resp, err := client.Do(req)
	if err != nil {
		return CallResult{}, eris.Wrap(err, "system.Call")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return CallResult{}, eris.Wrap(err, "system.Call")
	}
	out := CallResult{
		Status: resp.StatusCode, Body: string(data), Outcome: resp.Header.Get("Request-Outcome"),
		Recorded: resp.Header.Get("Answer-Recorded") == "true",
	}
	var refusal struct{ Error struct{ Code string } }
	if json.Unmarshal(data, &refusal) == nil {
		out.Code = refusal.Error.Code
	}
	return out, nil
}
