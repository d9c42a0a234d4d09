package run

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/daemon/credentials"
)

func (d *Daemon) peerTLSFiles() (credentials.TLSConfig, bool) {
	t, ok := d.settings.TLS()
	if !ok {
		return credentials.TLSConfig{}, false
	}
	return credentials.TLSConfig{CertFile: t.PeerCert(), KeyFile: t.PeerKey(), CAFile: t.PeerCA(), Now: time.Now}, true
}

func (d *Daemon) peerClientTLS() (*tls.Config, error) {
	files, ok := d.peerTLSFiles()
	if !ok {
		return nil, nil
	}
	return credentials.Client(files)
}

func (d *Daemon) peerServerTLS() (*tls.Config, error) {
	files, ok := d.peerTLSFiles()
	if !ok {
		return nil, nil
	}
	return credentials.Server(files)
}

// listenTLS opens a listener for callers or operators. It uses TLS with the callers' certificate if one is configured.
func (d *Daemon) listenTLS(ctx context.Context, address string) (net.Listener, error) {
	listener, err := listenTCP(ctx, address)
	if err != nil {
		return nil, eris.Wrap(err, "run.listenTLS")
	}
	t, ok := d.settings.TLS()
	if !ok {
		return listener, nil
	}
	cfg, err := credentials.Server(credentials.TLSConfig{CertFile: t.CallerCert(), KeyFile: t.CallerKey(), Now: time.Now})
	if err != nil {
		_ = listener.Close()
		return nil, eris.Wrap(err, "run.listenTLS")
	}
	return tls.NewListener(listener, cfg), nil
}
