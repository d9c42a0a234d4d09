package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Config holds the settings of an Authority.
type Config struct {
	// Dir is the directory for the certificate and key files.
	Dir string
	// Start is the time from which the certificates are valid.
	Start time.Time
}

// Authority is a certificate authority for tests.
type Authority struct {
	cfg  Config
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair holds the paths of a certificate, its private key and the authority's certificate.
type Pair struct{ cert, key, ca string }

// Cert returns the path of the certificate file.
func (p Pair) Cert() string { return p.cert }

// Key returns the path of the private key file.
func (p Pair) Key() string { return p.key }

// CA returns the path of the authority's own certificate file.
func (p Pair) CA() string { return p.ca }

// New creates an authority and writes its certificate and key to Dir.
func New(cfg Config) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "authority.New")
	}
	a := &Authority{cfg: cfg, key: key, cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: cfg.Start, NotAfter: cfg.Start.Add(48 * time.Hour),
	}}
	if _, err := a.write("ca", a.cert, key); err != nil {
		return nil, eris.Wrap(err, "authority.New")
	}
	return a, nil
}

// Issue writes a certificate for the given IP addresses that is valid from Start until a given time.
func (a *Authority) Issue(name string, until time.Time, ips ...net.IP) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "authority.Issue")
	}
	return a.write(name, &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: ips,
		NotBefore: a.cfg.Start, NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
}

func (a *Authority) write(name string, cert *x509.Certificate, key *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "authority.write")
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "authority.write")
	}
	pair := Pair{
		cert: filepath.Join(a.cfg.Dir, name+".crt"),
		key:  filepath.Join(a.cfg.Dir, name+".key"),
		ca:   filepath.Join(a.cfg.Dir, "ca.crt"),
	}
	if err := writePEM(pair.cert, "CERTIFICATE", der); err != nil {
		return Pair{}, err
	}
	return pair, writePEM(pair.key, "EC PRIVATE KEY", raw)
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return eris.Wrap(err, "authority.writePEM")
	}
	return nil
}
