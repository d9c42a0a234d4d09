package credentials

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/outcome"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against a token that reaches a workspace it was not given, or that works after its end.
func TestTokens(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/tokens.txtar")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "tokens.json")
	if err := os.WriteFile(path, archive.Files[0].Data, 0o600); err != nil {
		t.Fatal(err)
	}
	tokens, err := NewTokens(TokensConfig{File: path, Now: func() time.Time { return start }})
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(archive.Files[1].Data)) {
		f := strings.Split(strings.TrimSpace(line), "|")
		t.Run(f[0], func(t *testing.T) {
			is := is.New(t)
			got, err := tokens.Workspace(f[1], f[2], true)
			if err != nil {
				var r *outcome.Refusal
				is.True(errors.As(err, &r))
				is.Equal(string(r.Code()), f[3])
				return
			}
			is.Equal(string(got), f[3])
		})
	}
}

type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, key: key, dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: start.Add(-time.Hour), NotAfter: start.Add(24 * time.Hour),
	}
	a.write("ca", a.cert, key)
	return a
}

func (a *authority) write(name string, cert *x509.Certificate, key *ecdsa.PrivateKey) TLSConfig {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	cfg := TLSConfig{
		CertFile: filepath.Join(a.dir, name+".crt"), KeyFile: filepath.Join(a.dir, name+".key"),
		CAFile: filepath.Join(a.dir, "ca.crt"), Now: func() time.Time { return start },
	}
	for file, block := range map[string]*pem.Block{
		cfg.CertFile: {Type: "CERTIFICATE", Bytes: der},
		cfg.KeyFile:  {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	return cfg
}

func (a *authority) issue(name string, until time.Time) TLSConfig {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return a.write(name, &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:   start.Add(-time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
}

func handshake(t *testing.T, server, client TLSConfig) error {
	t.Helper()
	serverTLS, err := Server(server)
	if err != nil {
		t.Fatal(err)
	}
	clientTLS, err := Client(client)
	if err != nil {
		t.Fatal(err)
	}
	clientTLS.ServerName = "127.0.0.1"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = conn.Close() }()
		done <- tls.Server(conn, serverTLS).Handshake()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	clientErr := tls.Client(conn, clientTLS).Handshake()
	_ = conn.Close()
	return errors.Join(clientErr, <-done)
}

// Guards against a host that accepts a foreign key or an expired certificate, on either side.
func TestMutualTLS(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	good := own.issue("good", start.Add(time.Hour))
	cases := []struct {
		name           string
		server, client TLSConfig
		ok             bool
	}{
		{"both good", good, own.issue("other", start.Add(time.Hour)), true},
		{"foreign client", good, foreign.issue("x", start.Add(time.Hour)), false},
		{"expired client", good, own.issue("late", start.Add(-time.Minute)), false},
		{"expired server", own.issue("old", start.Add(-time.Minute)), good, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := handshake(t, c.server, c.client)
			is.Equal(err == nil, c.ok)
		})
	}
}

// Guards against a replaced tokens file that is not used until a restart, and against a broken one that locks all callers out.
func TestReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "value")
	write := func(text string, at time.Time) {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		is.NoErr(os.Chtimes(path, at, at))
	}
	now := start
	write("one", start)
	r, err := newReloader([]string{path}, func() (string, error) {
		data, err := os.ReadFile(path)
		if string(data) == "broken" {
			return "", errors.New("broken")
		}
		return string(data), err
	}, func() time.Time { return now })
	is.NoErr(err)
	write("two", start.Add(time.Second))
	is.Equal(r.get(), "one")
	now = now.Add(checkEvery)
	is.Equal(r.get(), "two")
	write("broken", start.Add(2*time.Second))
	now = now.Add(checkEvery)
	is.Equal(r.get(), "two")
}
