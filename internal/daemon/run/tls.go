package run

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/daemon/credentials"
	"waxwingplank/internal/ingress/tcp"
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

// listenTLS opens a listener for callers or operators, whose connections the guard limits. It uses TLS with the callers' certificate
// if one is configured. Connections to a reserved listener are accepted even if the requests of callers use all others. The second
// result is the listener below TLS, which can be drained.
func (d *Daemon) listenTLS(ctx context.Context, address string, reserved bool) (net.Listener, tcp.Listener, error) {
	listener, err := listenTCP(ctx, address)
	if err != nil {
		return nil, listener, eris.Wrap(err, "run.listenTLS")
	}
	t, ok := d.settings.TLS()
	guarded := d.guard.Listener(tcp.ListenerConfig{Listener: listener, TLS: ok, Reserved: reserved})
	if !ok {
		return guarded, listener, nil
	}
	cfg, err := credentials.Server(credentials.TLSConfig{CertFile: t.CallerCert(), KeyFile: t.CallerKey(), Now: time.Now})
	if err != nil {
		_ = listener.Close()
		return nil, listener, eris.Wrap(err, "run.listenTLS")
	}
	return tls.NewListener(guarded, cfg), listener, nil
}
