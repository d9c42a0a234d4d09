package host_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"io"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/peer/host"
	"waxwingplank/internal/peer/hostpb"
)

// handler returns fixed replies unless a test sets a function for the call.
type handler struct {
	heartbeat func(context.Context) (*hostpb.HeartbeatReply, error)
	forward   func(context.Context, *host.Sink) error
}

func (h *handler) Heartbeat(ctx context.Context, _ *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error) {
	if h.heartbeat == nil {
		return &hostpb.HeartbeatReply{Upto: 7}, nil
	}
	return h.heartbeat(ctx)
}

func (h *handler) Probe(context.Context, *hostpb.ProbeRequest) (*hostpb.ProbeReply, error) {
	return &hostpb.ProbeReply{Alive: true}, nil
}

func (h *handler) FetchDocuments(_ context.Context, in *hostpb.FetchDocumentsRequest) (*hostpb.FetchDocumentsReply, error) {
	return &hostpb.FetchDocumentsReply{Documents: []*hostpb.Document{{Service: "s", Generation: in.GetHave()["s"] + 1}}}, nil
}

func (*handler) ReportDemand(context.Context, *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	return &hostpb.ReportDemandReply{}, nil
}

func (h *handler) SpreadMarks(context.Context, *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error) {
	return &hostpb.SpreadMarksReply{}, nil
}

func (h *handler) Forward(ctx context.Context, _ *hostpb.ForwardRequest, s *host.Sink) error {
	return h.forward(ctx, s)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	var lc net.ListenConfig
	lis, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return lis
}

func serve(t *testing.T, lis net.Listener, h host.Handler, cfg *tls.Config) {
	t.Helper()
	s, err := host.NewServer(host.ServerConfig{Listener: lis, Handler: h, TLS: cfg})
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
}

func client(t *testing.T, cfg host.ClientConfig) *host.Client {
	t.Helper()
	c := host.NewClient(cfg)
	t.Cleanup(c.Close)
	return c
}

// Guards against calls whose request or reply loses data on the way.
func TestCalls(t *testing.T) {
	is := is.New(t)
	lis := listen(t)
	serve(t, lis, &handler{}, nil)
	c := client(t, host.ClientConfig{})
	address := lis.Addr().String()
	for range 3 {
		r, err := c.Heartbeat(t.Context(), address, &hostpb.HeartbeatRequest{})
		is.NoErr(err)
		is.Equal(r.GetUpto(), uint64(7))
	}
	p, err := c.Probe(t.Context(), address, &hostpb.ProbeRequest{})
	is.NoErr(err)
	is.True(p.GetAlive())
	d, err := c.FetchDocuments(t.Context(), address, &hostpb.FetchDocumentsRequest{Have: map[string]uint64{"s": 4}})
	is.NoErr(err)
	is.Equal(d.GetDocuments()[0].GetGeneration(), uint64(5))
	_, err = c.SpreadMarks(t.Context(), address, &hostpb.SpreadMarksRequest{})
	is.NoErr(err)
}

// fault is the behavior of a peer that breaks the protocol on a connection.
type fault func(net.Conn)

func unresponsive(c net.Conn) {
	// Reading without responding keeps the connection open until the client closes it.
	_, _ = io.Copy(io.Discard, c)
}

func truncated(c net.Conn) {
	b := make([]byte, 16)
	_, _ = c.Read(b)
	_, _ = c.Write([]byte{0x01, 0x02, 0x03})
}

func oversized(c net.Conn) {
	b := make([]byte, 16)
	_, _ = c.Read(b)
	// The frame announces far more bytes than the message limit, and the peer keeps sending.
	frame := append([]byte{0x04, 0x01, 0x01, 0xff, 0xff, 0xff, 0x7f}, make([]byte, 8<<20)...)
	_, _ = c.Write(frame)
	_, _ = io.Copy(io.Discard, c)
}

func slow(c net.Conn) {
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for range 200 {
		if _, err := c.Write([]byte{0x04}); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// faulty runs the fault on its first connections and accepts all later ones normally.
type faulty struct {
	net.Listener
	fault fault
	times int
}

func (l *faulty) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.times == 0 {
			return c, err
		}
		l.times--
		go func() {
			defer func() { _ = c.Close() }()
			l.fault(c)
		}()
	}
}

var faults = []struct {
	name  string
	fault fault
}{{"silent", unresponsive}, {"truncated", truncated}, {"oversized", oversized}, {"slow", slow}}

// Guards against a call that hangs or accepts a damaged response when the peer breaks the protocol.
func TestFaultyPeerEndsTheCallInTime(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			lis := &faulty{Listener: listen(t), fault: f.fault, times: 1 << 30}
			serve(t, lis, &handler{}, nil)
			c := client(t, host.ClientConfig{})
			began := time.Now()
			_, err := c.Heartbeat(t.Context(), lis.Addr().String(), &hostpb.HeartbeatRequest{})
			is.True(err != nil)
			is.True(time.Since(began) < time.Second)
			var e *host.Error
			is.True(errors.As(err, &e))
			is.True(!e.Refused())

			began = time.Now()
			_, err = c.Forward(t.Context(), lis.Addr().String(), &hostpb.ForwardRequest{})
			is.True(errors.As(err, &e))
			is.True(e.MayHaveSent()) // the request may have reached the peer
			is.True(time.Since(began) < 1500*time.Millisecond)
		})
	}
}

// Guards against a peer that stays unreachable after its open connections stalled, although new ones work.
func TestNewConnectionAfterSilentOne(t *testing.T) {
	is := is.New(t)
	lis := listen(t)
	gate := &blackholeListener{Listener: lis}
	serve(t, gate, &handler{}, nil)
	c := client(t, host.ClientConfig{})
	address := lis.Addr().String()
	_, err := c.Heartbeat(t.Context(), address, &hostpb.HeartbeatRequest{})
	is.NoErr(err)
	gate.blackhole()
	_, err = c.Heartbeat(t.Context(), address, &hostpb.HeartbeatRequest{})
	is.NoErr(err) // retried on a new connection within the same deadline
}

// Guards against sending a message above the size limit, which would use memory at the receiver.
func TestOversizedMessagesAreNotSent(t *testing.T) {
	is := is.New(t)
	lis := listen(t)
	serve(t, lis, &handler{}, nil)
	c := client(t, host.ClientConfig{})
	_, err := c.Forward(t.Context(), lis.Addr().String(), &hostpb.ForwardRequest{Body: make([]byte, 5<<20)})
	is.True(errors.Is(err, host.ErrTooLarge))
	var e *host.Error
	is.True(errors.As(err, &e))
	is.True(!e.MayHaveSent())
}

// Guards against treating an error of the handler as a broken connection, and so repeating the call.
func TestHandlerErrorIsARefusal(t *testing.T) {
	is := is.New(t)
	calls := 0
	h := &handler{heartbeat: func(context.Context) (*hostpb.HeartbeatReply, error) {
		calls++
		return nil, errors.New("no")
	}}
	lis := listen(t)
	serve(t, lis, h, nil)
	c := client(t, host.ClientConfig{})
	for want := 1; want <= 3; want++ {
		_, err := c.Heartbeat(t.Context(), lis.Addr().String(), &hostpb.HeartbeatRequest{})
		var e *host.Error
		is.True(errors.As(err, &e))
		is.True(e.Refused())
		is.Equal(calls, want)
	}
}

// Guards against reporting a call as sent although no connection was made.
func TestNobodyListens(t *testing.T) {
	is := is.New(t)
	lis := listen(t)
	address := lis.Addr().String()
	is.NoErr(lis.Close())
	_, err := client(t, host.ClientConfig{}).Forward(t.Context(), address, &hostpb.ForwardRequest{})
	var e *host.Error
	is.True(errors.As(err, &e))
	is.True(!e.MayHaveSent())
}

func read(a *host.ForwardResponse) (string, error) {
	var b strings.Builder
	for {
		part, err := a.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.Write(part)
	}
}

// Guards against a forwarded response that is truncated, reordered, or ended because the handler pauses.
func TestForward(t *testing.T) {
	long := strings.Repeat("x", 600<<10)
	cases := []struct {
		name    string
		forward func(context.Context, *host.Sink) error
		body    string
		cause   string
	}{
		{"whole", func(_ context.Context, s *host.Sink) error {
			return errors.Join(s.Start(200, nil), s.Write([]byte("a")), s.Write([]byte("b")))
		}, "ab", ""},
		{"long", func(_ context.Context, s *host.Sink) error {
			return errors.Join(s.Start(200, nil), s.Write([]byte(long)))
		}, long, ""},
		{"pauses longer than the silence bound", func(_ context.Context, s *host.Sink) error {
			time.Sleep(1300 * time.Millisecond)
			err := s.Start(200, nil)
			time.Sleep(1300 * time.Millisecond)
			return errors.Join(err, s.Write([]byte("late")))
		}, "late", ""},
		{"handler fails after a part", func(_ context.Context, s *host.Sink) error {
			return errors.Join(s.Start(200, nil), s.Write([]byte("a")), errors.New("endpoint gone"))
		}, "a", "endpoint gone"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			lis := listen(t)
			serve(t, lis, &handler{forward: c.forward}, nil)
			a, err := client(t, host.ClientConfig{}).Forward(t.Context(), lis.Addr().String(), &hostpb.ForwardRequest{})
			is.NoErr(err)
			defer a.Close()
			is.Equal(a.Status(), 200)
			body, err := read(a)
			is.Equal(body, c.body)
			is.Equal(err == nil, c.cause == "")
			if err != nil {
				is.True(strings.Contains(err.Error(), c.cause))
			}
		})
	}
}

// Guards against passing on the malformed response of a peer of another version: net/http's server panics at such a status.
func TestForwardMalformed(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header []*hostpb.Header
		cause  string
	}{
		{"status 001", 1, nil, "status 001"},
		{"status 099", 99, nil, "status 099"},
		{"another protocol", 101, nil, "status 101"},
		{"an informational status", 103, nil, "status 103"},
		{"a status of four digits", 1000, nil, "status 1000"},
		{"a blank in a field name", 200, []*hostpb.Header{{Name: "X Odd", Value: "y"}}, `"X Odd"`},
		{"sound", 999, []*hostpb.Header{{Name: "x-odd", Value: ""}}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			lis := listen(t)
			serve(t, lis, &handler{forward: func(_ context.Context, s *host.Sink) error {
				return errors.Join(s.Start(c.status, c.header), s.Write([]byte("a")))
			}}, nil)
			a, err := client(t, host.ClientConfig{}).Forward(t.Context(), lis.Addr().String(), &hostpb.ForwardRequest{})
			if c.cause == "" {
				is.NoErr(err)
				a.Close()
				return
			}
			var failed *host.Error
			is.True(errors.As(err, &failed))
			is.True(failed.MayHaveSent())
			is.True(strings.Contains(err.Error(), c.cause))
		})
	}
}

// Guards against waiting on a forwarded response whose connection stalls halfway: it must end after about 1 s.
func TestForwardNoticesSilence(t *testing.T) {
	is := is.New(t)
	lis := &blackholeListener{Listener: listen(t)}
	serve(t, lis, &handler{forward: func(ctx context.Context, s *host.Sink) error {
		if err := s.Start(200, nil); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}}, nil)
	a, err := client(t, host.ClientConfig{}).Forward(t.Context(), lis.Addr().String(), &hostpb.ForwardRequest{})
	is.NoErr(err)
	defer a.Close()
	lis.blackhole()
	began := time.Now()
	_, err = a.Next()
	is.True(errors.Is(err, host.ErrUnresponsive))
	is.True(time.Since(began) < 1200*time.Millisecond)
}

// Guards against a handler that keeps running after its caller has disconnected.
func TestForwardStopsWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	lis := listen(t)
	serve(t, lis, &handler{forward: func(ctx context.Context, s *host.Sink) error {
		defer close(stopped)
		if err := s.Start(200, nil); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}}, nil)
	a, err := client(t, host.ClientConfig{}).Forward(t.Context(), lis.Addr().String(), &hostpb.ForwardRequest{})
	is.NoErr(err)
	a.Close()
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Fatal("the context of the handler was not canceled after the caller disconnected")
	}
}

// Guards against accepting a host without a client certificate.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	cert, roots := certificate(t)
	lis := listen(t)
	serve(t, lis, &handler{}, &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientCAs: roots,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	})
	with := &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: roots, ServerName: "host", MinVersion: tls.VersionTLS13}
	_, err := client(t, host.ClientConfig{TLS: with}).Heartbeat(t.Context(), lis.Addr().String(), &hostpb.HeartbeatRequest{})
	is.NoErr(err)
	for _, cfg := range []*tls.Config{{RootCAs: roots, ServerName: "host", MinVersion: tls.VersionTLS13}, nil} {
		_, err = client(t, host.ClientConfig{TLS: cfg}).Heartbeat(t.Context(), lis.Addr().String(), &hostpb.HeartbeatRequest{})
		is.True(err != nil)
	}
}

func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "host"}, DNSNames: []string{"host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	leaf, err := x509.ParseCertificate(der)
	is.NoErr(err)
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, roots
}
