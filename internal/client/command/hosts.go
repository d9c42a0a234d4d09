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
	"waxwingplank/internal/endpoint/http1"
	"waxwingplank/internal/ingress/operator"
)

// maxResponseBytes bounds the body of a response. The status of 1,100 endpoints and 410 hosts is under 1 MB.
const maxResponseBytes = 16 << 20

// hostClient calls the operator interface of one or more hosts.
type hostClient struct {
	addresses  []string
	scheme     string
	token      string
	timeout    time.Duration
	httpClient *http.Client
}

// call is a request that can be sent to any host.
type call struct {
	method string
	path   string
	header map[string]string
	body   []byte
	// extraTimeout is added to the timeout of each attempt, for calls that the host holds before it responds.
	extraTimeout time.Duration
}

// response is the response of a host.
type response struct {
	host   string
	status int
	body   []byte
}

// newHostClient returns a client for the given addresses. If none are given, it uses those of --host, or else those
// of the environment.
func (s *session) newHostClient(list ...string) (*hostClient, error) {
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
		return nil, fail(exitBadInput, "no host: give --host ADDRESS or set %s", envHost)
	}
	for _, a := range list {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fail(exitBadInput, "host %q is not an address and a port", a)
		}
	}
	// Each call opens its own connection, because an idle connection may be dead while new ones work.
	transport := &http.Transport{}
	h := &hostClient{addresses: list, scheme: "http", timeout: s.cfg.CallTimeout}
	if s.opts.CAFile != "" {
		pem, err := readFile(s.opts.CAFile)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fail(exitBadInput, "%s: no certificate in it", s.opts.CAFile)
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
	h.httpClient = &http.Client{
		Transport:     http1.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return h, nil
}

// callHost sends the call to the given host.
func (h *hostClient) callHost(ctx context.Context, host string, c call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout+c.extraTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, h.scheme+"://"+host+c.path, bytes.NewReader(c.body))
	if err != nil {
		return response{}, err
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	if h.token != "" {
		req.Header.Set("Authorization", "Bearer "+h.token)
	}
	resp, err := h.httpClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // The body has been read by then.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	return response{host: host, status: resp.StatusCode, body: body}, nil
}

// callAny sends the call to the hosts in turn until one responds. The call must be safe to repeat.
func (h *hostClient) callAny(ctx context.Context, c call) (response, error) {
	var failures []string
	for i, host := range h.addresses {
		resp, err := h.callHost(ctx, host, c)
		if err == nil {
			// Later calls start with this host, because an unresponsive host costs the full timeout on each call.
			h.addresses = slices.Concat(h.addresses[i:], h.addresses[:i])
			return resp, nil
		}
		failures = append(failures, fmt.Sprintf("%s: %v", host, shortError(err)))
		if ctx.Err() != nil {
			break
		}
	}
	return response{}, fail(exitUnavailable, "no host answered: %s", strings.Join(failures, "; "))
}

// get decodes the response to a GET of the path from any host.
func (h *hostClient) get(ctx context.Context, path string, into any) error {
	resp, err := h.callAny(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	return resp.decode(into)
}

// decode decodes the body, or returns the refusal that it contains as an error.
func (r response) decode(v any) error {
	if r.status >= http.StatusBadRequest {
		return r.refusal()
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return fail(exitFailed, "host %s: the answer cannot be read: %v", r.host, err)
	}
	return nil
}

// detail returns the error detail of a refusal, or one that is made from the status and the first line of the body.
func (r response) detail() operator.ErrorDetail {
	var b operator.ErrorBody
	if err := json.Unmarshal(r.body, &b); err != nil || b.Error.Code == "" {
		b.Error = operator.ErrorDetail{Code: outcome.Internal, Message: r.summary()}
		if r.status >= http.StatusInternalServerError {
			b.Error.Outcome = outcome.Classify(outcome.Facts{BytesSent: true})
		}
	}
	return b.Error
}

// summary returns the status text and the first line of a response that did not come from waxwingplank, such as
// that of a listener that expects TLS.
func (r response) summary() string {
	const maxLine = 200
	text, _, _ := bytes.Cut(bytes.TrimSpace(r.body), []byte("\n"))
	return fmt.Sprintf("%s: %.*q", http.StatusText(r.status), maxLine, text)
}

func (r response) refusal() error {
	d := r.detail()
	code := exitFailed
	switch d.Code {
	case operator.BadDocument, outcome.BadRequest, outcome.TooLarge, operator.NoPrecondition:
		code = exitBadInput
	case outcome.Conflict:
		code = exitConflict
	case outcome.PlatformUnavailable, outcome.Leaving:
		code = exitUnavailable
	case operator.OutcomeUnknown:
		code = exitOutcomeUnknown
	}
	return fail(code, "host %s: %s: %s", r.host, d.Code, d.Message)
}

// neverSent reports whether no byte of the request can have reached a host.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// shortError removes the address from the error, because the message already contains it.
func shortError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.New("no answer in time")
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Err
	}
	return err
}
