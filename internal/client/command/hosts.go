package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/ingress/operator"
)

// maxAnswer bounds an answer: the status of 1,100 endpoints and 410 hosts is under 1 MB.
const maxAnswer = 16 << 20

// hosts calls the first of several hosts that answers.
type hosts struct {
	list    []string
	scheme  string
	token   string
	timeout time.Duration
	client  *http.Client
}

// call is one request to any host.
type call struct {
	method string
	path   string
	header map[string]string
	body   []byte
	// extra is added to the timeout of one try, where the host waits before it answers.
	extra time.Duration
}

// answer is what a host said.
type answer struct {
	host   string
	status int
	body   []byte
}

// hosts returns the hosts to call; with none given, those of the command line and the environment.
func (s *session) hosts(list ...string) (*hosts, error) {
	if len(list) == 0 {
		list = s.opts.Hosts
	}
	if len(list) == 0 {
		for a := range strings.SplitSeq(s.cfg.Env(envHost), ",") {
			if a = strings.TrimSpace(a); a != "" {
				list = append(list, a)
			}
		}
	}
	if len(list) == 0 {
		return nil, fail(exitBad, "no host: give --host ADDRESS or set %s", envHost)
	}
	for _, a := range list {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fail(exitBad, "host %q is not an address and a port", a)
		}
	}
	// Open connections may have gone silent while new ones work, so each call has its own.
	transport := &http.Transport{DisableKeepAlives: true}
	h := &hosts{list: list, scheme: "http", timeout: s.cfg.CallTimeout}
	if s.opts.CAFile != "" {
		pem, err := readFile(s.opts.CAFile)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fail(exitBad, "%s: no certificate in it", s.opts.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
		h.scheme = "https"
	}
	if s.opts.TokenFile != "" {
		token, err := readFile(s.opts.TokenFile)
		if err != nil {
			return nil, err
		}
		h.token = strings.TrimSpace(string(token))
	}
	h.client = &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return h, nil
}

// one sends the call to one host.
func (h *hosts) one(ctx context.Context, host string, c call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout+c.extra)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, h.scheme+"://"+host+c.path, bytes.NewReader(c.body))
	if err != nil {
		return answer{}, err
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	if h.token != "" {
		req.Header.Set("Authorization", "Bearer "+h.token)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // The body has been read by then.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, err
	}
	return answer{host: host, status: resp.StatusCode, body: body}, nil
}

// any sends a call that may be repeated to the hosts in turn until one answers.
func (h *hosts) any(ctx context.Context, c call) (answer, error) {
	var tried []string
	for i, host := range h.list {
		a, err := h.one(ctx, host, c)
		if err == nil {
			// The calls that follow begin here: a silent host costs the whole timeout each time.
			h.list = slices.Concat(h.list[i:], h.list[:i])
			return a, nil
		}
		tried = append(tried, fmt.Sprintf("%s: %v", host, cause(err)))
		if ctx.Err() != nil {
			break
		}
	}
	return answer{}, fail(exitUnavailable, "no host answered: %s", strings.Join(tried, "; "))
}

// get reads one value from any host.
func (h *hosts) get(ctx context.Context, path string, into any) error {
	a, err := h.any(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	return a.into(into)
}

// into decodes an answer, or returns the refusal in it.
func (a answer) into(v any) error {
	if a.status >= http.StatusBadRequest {
		return a.refusal()
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return fail(exitFailed, "host %s: the answer cannot be read: %v", a.host, err)
	}
	return nil
}

// detail returns what a refusal says.
func (a answer) detail() operator.ErrorDetail {
	var b operator.ErrorBody
	if err := json.Unmarshal(a.body, &b); err != nil || b.Error.Code == "" {
		b.Error = operator.ErrorDetail{Code: outcome.Internal, Message: a.line()}
		if a.status >= http.StatusInternalServerError {
			b.Error.Outcome = outcome.Classify(outcome.Facts{BytesSent: true})
		}
	}
	return b.Error
}

// line returns the first line of an answer that is no refusal of waxwingplank, such as that of a
// listener that expects TLS.
func (a answer) line() string {
	const maxLine = 200
	text, _, _ := bytes.Cut(bytes.TrimSpace(a.body), []byte("\n"))
	return fmt.Sprintf("%s: %.*q", http.StatusText(a.status), maxLine, text)
}

func (a answer) refusal() error {
	d := a.detail()
	code := exitFailed
	switch d.Code {
	case operator.BadDocument, outcome.BadRequest, outcome.TooLarge, operator.NoPrecondition:
		code = exitBad
	case outcome.Conflict:
		code = exitConflict
	case outcome.PlatformUnavailable, outcome.Leaving:
		code = exitUnavailable
	case operator.OutcomeUnknown:
		code = exitUnknown
	}
	return fail(code, "host %s: %s: %s", a.host, d.Code, d.Message)
}

// neverSent reports whether no byte of the request can have reached a host.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// cause leaves out the address, which the message names already.
func cause(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.New("no answer in time")
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Err
	}
	return err
}
