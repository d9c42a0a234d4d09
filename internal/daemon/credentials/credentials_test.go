package credentials

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/test/authority"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against a token that gives access to a workspace it is not granted, or that is accepted after its expiry.
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

func newAuthority(t *testing.T) func(name string, until time.Time) TLSConfig {
	t.Helper()
	a, err := authority.New(authority.Config{Dir: t.TempDir(), Start: start.Add(-time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	return func(name string, until time.Time) TLSConfig {
		pair, err := a.Issue(name, until, net.IPv4(127, 0, 0, 1))
		if err != nil {
			t.Fatal(err)
		}
		return TLSConfig{
			CertFile: pair.Cert(), KeyFile: pair.Key(), CAFile: pair.CA(), Now: func() time.Time { return start },
		}
	}
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

// Guards against a host that accepts a certificate of another authority or an expired one, as client or as server.
func TestMutualTLS(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	good := own("good", start.Add(time.Hour))
	cases := []struct {
		name           string
		server, client TLSConfig
		ok             bool
	}{
		{"both good", good, own("other", start.Add(time.Hour)), true},
		{"foreign client", good, foreign("x", start.Add(time.Hour)), false},
		{"expired client", good, own("late", start.Add(-time.Minute)), false},
		{"expired server", own("old", start.Add(-time.Minute)), good, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := handshake(t, c.server, c.client)
			is.Equal(err == nil, c.ok)
		})
	}
}

// Guards against a replaced tokens file that is not used until a restart, and against an invalid one that locks out all
// callers.
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
	now = now.Add(checkInterval)
	is.Equal(r.get(), "two")
	write("broken", start.Add(2*time.Second))
	now = now.Add(checkInterval)
	is.Equal(r.get(), "two")
}
