package run

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/daemon/settings"
	"waxwingplank/internal/standin/objectapi"
	"waxwingplank/test/authority"
	"waxwingplank/test/system"
)

// joinTimeout is the time limit for a host to be seen by the others: two heartbeats and the timeout of a call.
const joinTimeout = 3 * time.Second

// testCluster is a platform stand-in and the daemons that use it.
type testCluster struct {
	t        *testing.T
	dir      string
	text     string
	platform *objectapi.Server
	hosts    []objectapi.Host
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	archive, err := txtar.ParseFile("testdata/access.txtar")
	if err != nil {
		t.Fatal(err)
	}
	s := &testCluster{t: t, dir: t.TempDir(), text: string(archive.Files[0].Data), platform: objectapi.New(objectapi.Config{})}
	if err := s.platform.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.platform.Close() })
	tokens := string(archive.Files[1].Data)
	for _, name := range []string{"alpha", "boss"} {
		sum := sha256.Sum256([]byte(name))
		tokens = strings.ReplaceAll(tokens, "SHA256-OF-"+name, hex.EncodeToString(sum[:]))
	}
	if err := os.WriteFile(filepath.Join(s.dir, "tokens.json"), []byte(tokens), 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

// start runs a daemon with the certificate until the test ends.
func (s *testCluster) start(name string, pair authority.Pair) *Daemon {
	s.t.Helper()
	replace := []string{"HOST", name, "PLATFORM", s.platform.Address(), "DIR", s.dir, "CERT", pair.Cert(), "KEY", pair.Key(), "AUTHORITY", pair.CA()}
	var open []net.Listener
	for _, role := range []string{"CALLER", "PEER", "OPERATOR"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		open = append(open, l)
		replace = append(replace, role, l.Addr().String())
	}
	for _, l := range open {
		_ = l.Close()
	}
	set, err := settings.Parse([]byte(strings.NewReplacer(replace...).Replace(s.text)))
	if err != nil {
		s.t.Fatal(err)
	}
	s.hosts = append(s.hosts, objectapi.Host{
		Host: name, Address: set.CallerAddress(), PeerAddress: set.PeerAddress(), FailureDomain: "d", Region: "r", State: "live",
	})
	s.platform.SetHosts(s.hosts, 0)
	d, err := New(Config{Settings: set, Log: io.Discard})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	})
	return d
}

func (s *testCluster) within(bound time.Duration, f func() error) {
	s.t.Helper()
	if err := system.WaitFor(s.t.Context(), bound, f); err != nil {
		s.t.Fatal(err)
	}
}

func issue(t *testing.T, dir, name string) authority.Pair {
	t.Helper()
	folder := filepath.Join(dir, name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	a, err := authority.New(authority.Config{Dir: folder, Start: time.Now().Add(-time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	pair, err := a.Issue("host", time.Now().Add(time.Hour), net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// Guards against a host with a certificate of another authority that joins the cluster or keeps others from joining.
func TestForeignHostStaysOut(t *testing.T) {
	s := newTestCluster(t)
	own, foreign := issue(t, s.dir, "own"), issue(t, s.dir, "foreign")
	a, b := s.start("a", own), s.start("b", own)
	stranger := s.start("stranger", foreign)
	s.within(joinTimeout+2*time.Second, func() error {
		for _, d := range []*Daemon{a, b} {
			if n := len(d.members.Live()); n != 2 {
				return fmt.Errorf("%s sees %d live hosts", d.settings.Host(), n)
			}
		}
		return nil
	})
	is := is.New(t)
	is.Equal(len(stranger.members.Live()), 1)
}

// Guards against access for callers and operators without a token, with a token of another workspace, or without TLS.
func TestTokensAndTLSOnTheListeners(t *testing.T) {
	s := newTestCluster(t)
	pair := issue(t, s.dir, "own")
	d := s.start("a", pair)
	pem, err := os.ReadFile(pair.CA())
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}
	s.within(joinTimeout, func() error {
		resp, err := client.Get("https://" + d.settings.OperatorAddress() + "/healthz")
		if err != nil {
			return err
		}
		return resp.Body.Close()
	})
	archive, err := txtar.ParseFile("testdata/access.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(archive.Files[2].Data)) {
		f := strings.Split(strings.TrimSpace(line), "|")
		t.Run(f[0], func(t *testing.T) {
			is := is.New(t)
			address := map[string]string{"caller": d.settings.CallerAddress(), "operator": d.settings.OperatorAddress()}[f[1]]
			method, path, _ := strings.Cut(f[2], " ")
			req, err := http.NewRequest(method, "https://"+address+path, strings.NewReader(`{"prompt":"x"}`))
			is.NoErr(err)
			if f[3] != "" {
				req.Header.Set("Authorization", "Bearer "+f[3])
			}
			req.Header.Set("Workspace", f[4])
			resp, err := client.Do(req)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			is.Equal(fmt.Sprint(resp.StatusCode), f[5])
		})
	}
	resp, err := http.Get("http://" + d.settings.CallerAddress() + "/v1/addresses?service=x")
	is := is.New(t)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.NoErr(resp.Body.Close())
}
