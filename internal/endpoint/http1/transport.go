package http1

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is a http.RoundTripper for clients of net/http that returns a *MalformedError for a malformed response and an
// *IncompleteError for one that broke off, also when its body is read.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends each request through the base on a new connection: net/http may give a kept one to the
// next request before the response on it has been checked.
func NewTransport(base *http.Transport) *Transport {
	base.DisableKeepAlives = true
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &orderlyConn{Conn: nc}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var received atomic.Bool
	informational := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if secured, ok := info.Conn.(*tls.Conn); ok {
				if c, ok := secured.NetConn().(*orderlyConn); ok {
					c.carryTLS()
				}
			}
		},
		GotFirstResponseByte: func() { received.Store(true) },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			// With this hook, net/http bounds each head, but not their number.
			if informational++; informational > maxInformational {
				return errInformational
			}
			return CheckHead(status, http.Header(header))
		},
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		if received.Load() && ctx.Err() == nil {
			err = checkRead(err)
		}
		return nil, err
	}
	if err := checkResponse(resp); err != nil {
		_ = resp.Body.Close() //nolint:errcheck // the connection is not used again
		return nil, err
	}
	return resp, nil
}
