package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// TLSConfig configures one side of TLS connections.
type TLSConfig struct {
	CertFile string
	KeyFile  string
	// CAFile holds the certificate authority that the other side's certificate must come from. If it is empty, a
	// server requests no client certificate.
	CAFile string
	// Now is the clock for reloading files and for checking the validity of certificates.
	Now func() time.Time
}

type certificate struct {
	pair tls.Certificate
	pool *x509.CertPool
}

// Server returns the configuration of a listener. If there is a CA file, clients must present a certificate.
func Server(cfg TLSConfig) (*tls.Config, error) {
	files, err := loadFiles(cfg)
	if err != nil {
		return nil, eris.Wrap(err, "credentials.Server")
	}
	base := &tls.Config{MinVersion: tls.VersionTLS13, Time: cfg.Now}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := files.get()
		current := &tls.Config{MinVersion: tls.VersionTLS13, Time: cfg.Now, Certificates: []tls.Certificate{c.pair}}
		if c.pool != nil {
			current.ClientAuth = tls.RequireAndVerifyClientCert
			current.ClientCAs = c.pool
		}
		return current, nil
	}
	return base, nil
}

// Client returns the configuration of connections to other hosts.
func Client(cfg TLSConfig) (*tls.Config, error) {
	files, err := loadFiles(cfg)
	if err != nil {
		return nil, eris.Wrap(err, "credentials.Client")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       cfg.Now,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair := files.get().pair
			return &pair, nil
		},
		// RootCAs cannot be reloaded when the CA file is replaced, so VerifyConnection checks the certificate.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain and the name.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, files.get().pool, cfg.Now())
		},
	}, nil
}

func verify(state tls.ConnectionState, pool *x509.CertPool, now time.Time) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	chain := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		chain.AddCert(c)
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: chain, CurrentTime: now, DNSName: state.ServerName}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return eris.Wrap(err, "credentials.verify")
	}
	return nil
}

func loadFiles(cfg TLSConfig) (*reloader[certificate], error) {
	paths := []string{cfg.CertFile, cfg.KeyFile}
	if cfg.CAFile != "" {
		paths = append(paths, cfg.CAFile)
	}
	return newReloader(paths, func() (certificate, error) { return readCertificate(cfg) }, cfg.Now)
}

func readCertificate(cfg TLSConfig) (certificate, error) {
	pair, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		return certificate{}, eris.Wrapf(err, "load certificate %s", cfg.CertFile)
	}
	if cfg.CAFile == "" {
		return certificate{pair: pair}, nil
	}
	pem, err := os.ReadFile(cfg.CAFile)
	if err != nil {
		return certificate{}, eris.Wrapf(err, "load certificate authority %s", cfg.CAFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return certificate{}, eris.Errorf("load certificate authority %s: no certificate found", cfg.CAFile)
	}
	return certificate{pair: pair, pool: pool}, nil
}
