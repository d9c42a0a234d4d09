package host_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"waxwingplank/internal/peer/host"
	"waxwingplank/internal/peer/hostpb"
)

// cutListener keeps the connection that it accepted last, so that a test can end it.
type cutListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.conns <- c
	}
	return c, err
}

// Guards against a part of a forwarded response that looks complete because its connection ended, in order or not: only the peer's
// message that closes the stream is its end.
func TestForwardCut(t *testing.T) {
	ends := map[string]func(*net.TCPConn) error{
		"closed":   (*net.TCPConn).Close,
		"shutdown": (*net.TCPConn).CloseWrite,
		"reset":    func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	}
	for name, end := range ends {
		for _, parts := range []int{0, 1, 3} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				lis := &cutListener{Listener: listen(t), conns: make(chan net.Conn, 1)}
				serve(t, lis, &handler{forward: func(ctx context.Context, s *host.Sink) error {
					err := s.Start(200, nil)
					for range parts {
						err = errors.Join(err, s.Write([]byte("part")))
					}
					<-ctx.Done()
					return errors.Join(err, ctx.Err())
				}}, nil)
				a, err := client(t, host.ClientConfig{}).Forward(t.Context(), lis.Addr().String(), &hostpb.ForwardRequest{Body: make([]byte, 1<<20)})
				is.NoErr(err)
				defer a.Close()
				for range parts {
					_, err := a.Next()
					is.NoErr(err)
				}
				is.NoErr(end((<-lis.conns).(*net.TCPConn)))
				_, err = read(a)
				var failed *host.Error
				is.True(errors.As(err, &failed))
				is.True(failed.MayHaveSent())
			})
		}
	}
}
