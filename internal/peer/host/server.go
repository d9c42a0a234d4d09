package host

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"waxwingplank/internal/peer/hostpb"
)

// Handler serves the calls of other hosts.
type Handler interface {
	Heartbeat(context.Context, *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error)
	Probe(context.Context, *hostpb.ProbeRequest) (*hostpb.ProbeReply, error)
	FetchDocuments(context.Context, *hostpb.FetchDocumentsRequest) (*hostpb.FetchDocumentsReply, error)
	SpreadMarks(context.Context, *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error)
	Forward(context.Context, *hostpb.ForwardRequest, *Sink) error
	ReportDemand(context.Context, *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	Handler  Handler
	// TLS must require and verify client certificates. Connections are not encrypted if it is nil.
	TLS *tls.Config
	// OnError is called when a connection ends with an error. It may be nil.
	OnError func(error)
}

// Server serves the calls of other hosts on one listener.
type Server struct {
	cfg  ServerConfig
	stop context.CancelFunc
	done chan struct{}
}

// NewServer starts a server that runs until Close.
func NewServer(cfg ServerConfig) (*Server, error) {
	mux := drpcmux.New()
	if err := hostpb.DRPCRegisterPeers(mux, &adapter{handler: cfg.Handler}); err != nil {
		return nil, eris.Wrap(err, "host.NewServer register")
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{cfg: cfg, stop: stop, done: make(chan struct{})}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(), Log: cfg.OnError})
	lis := net.Listener(deadlineListener{cfg.Listener})
	if cfg.TLS != nil {
		lis = tls.NewListener(lis, cfg.TLS)
	}
	go func() {
		defer close(s.done)
		if err := srv.Serve(ctx, lis); err != nil && cfg.OnError != nil {
			cfg.OnError(eris.Wrap(err, "host.Server serve"))
		}
	}()
	return s, nil
}

// Close stops accepting connections, closes the open ones and waits for their handlers.
func (s *Server) Close() {
	s.stop()
	<-s.done
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: idleTimeout,
	}
}

type deadlineListener struct{ net.Listener }

// Accept implements net.Listener.
func (l deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineConn{Conn: c, timeout: writeTimeout}, nil
}

// adapter implements the generated interface with a Handler.
type adapter struct{ handler Handler }

// Heartbeat implements the generated interface.
func (a *adapter) Heartbeat(ctx context.Context, in *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error) {
	out, err := a.handler.Heartbeat(ctx, in)
	return out, withHandlerCode(err)
}

// Probe implements the generated interface.
func (a *adapter) Probe(ctx context.Context, in *hostpb.ProbeRequest) (*hostpb.ProbeReply, error) {
	out, err := a.handler.Probe(ctx, in)
	return out, withHandlerCode(err)
}

// FetchDocuments implements the generated interface.
func (a *adapter) FetchDocuments(ctx context.Context, in *hostpb.FetchDocumentsRequest) (*hostpb.FetchDocumentsReply, error) {
	out, err := a.handler.FetchDocuments(ctx, in)
	return out, withHandlerCode(err)
}

// SpreadMarks implements the generated interface.
func (a *adapter) SpreadMarks(ctx context.Context, in *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error) {
	out, err := a.handler.SpreadMarks(ctx, in)
	return out, withHandlerCode(err)
}

// ReportDemand implements the generated interface.
func (a *adapter) ReportDemand(ctx context.Context, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	out, err := a.handler.ReportDemand(ctx, in)
	return out, withHandlerCode(err)
}

// Forward runs the handler and sends heartbeat parts concurrently until the handler returns.
func (a *adapter) Forward(in *hostpb.ForwardRequest, out hostpb.DRPCPeers_ForwardStream) error {
	ctx, cancel := context.WithCancel(out.Context())
	defer cancel()
	sink := &Sink{out: out}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		sink.heartbeat(ctx, cancel)
	}()
	err := a.handler.Forward(ctx, in, sink)
	cancel()
	wg.Wait()
	return withHandlerCode(err)
}

// handlerErrorCode is the DRPC code of errors that the handler returned. It distinguishes them from
// connection errors.
const handlerErrorCode = 1

func withHandlerCode(err error) error {
	if err == nil {
		return nil
	}
	return drpcerr.WithCode(err, handlerErrorCode)
}

// Sink sends the parts of the response to a forwarded request.
type Sink struct {
	mu  sync.Mutex
	out hostpb.DRPCPeers_ForwardStream
}

// Start sends the status and the headers. It must be called once, before Write.
func (s *Sink) Start(status int, headers []*hostpb.Header) error {
	return s.send(&hostpb.ForwardPart{Status: uint32(status), Headers: headers})
}

// maxPartBytes limits one part of the body, so that heartbeat parts are not delayed by a long part.
const maxPartBytes = 256 << 10

// Write sends the next bytes of the body, split into parts of at most maxPartBytes.
func (s *Sink) Write(body []byte) error {
	for len(body) > 0 {
		n := min(len(body), maxPartBytes)
		if err := s.send(&hostpb.ForwardPart{Body: body[:n]}); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

func (s *Sink) send(p *hostpb.ForwardPart) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.out.Send(p); err != nil {
		return eris.Wrap(err, "host.Sink send")
	}
	return nil
}

// heartbeat sends empty parts and cancels the handler if a part cannot be sent.
func (s *Sink) heartbeat(ctx context.Context, cancel context.CancelFunc) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if err := s.send(&hostpb.ForwardPart{}); err != nil {
				cancel()
				return
			}
		}
	}
}
