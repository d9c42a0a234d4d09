package tcp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/connection"
)

const guardTimeout = 5 * time.Second

// startGuarded starts a server whose connections are limited.
func startGuarded(t *testing.T, limits connection.Limits, withTLS bool) (*Guard, *httptest.Server) {
	t.Helper()
	guard := NewGuard(limits)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = w.Write(body) // the caller checks what it gets
		}
	}))
	server.Listener = guard.Listener(ListenerConfig{Listener: server.Listener, TLS: withTLS})
	server.Config.ConnState, server.Config.MaxHeaderBytes = guard.ConnState, 1<<20
	if withTLS {
		server.StartTLS()
	} else {
		server.Start()
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	go guard.Run(ctx, log)
	t.Cleanup(func() {
		server.Close()
		cancel()
	})
	return guard, server
}

// dial connects to the server and sends a text.
func dial(t *testing.T, server *httptest.Server, text string) net.Conn {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(guardTimeout)))
	_, err = io.WriteString(c, text)
	is.NoErr(err)
	return c
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(guardTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time")
		}
	}
}

// Guards against callers that get a reset, or nothing, in place of the refusal of a head that is too large, and against limits that
// a change does not reach.
func TestGuardRefusesHeads(t *testing.T) {
	is := is.New(t)
	guard, server := startGuarded(t, connection.Limits{HeadBytes: 1000}, false)
	send := func(note int) int {
		c := dial(t, server, "GET / HTTP/1.1\r\nHost: a\r\nX-Note: "+strings.Repeat("x", note)+"\r\n\r\n")
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.NoErr(c.Close())
		return res.StatusCode
	}
	is.Equal(send(900), http.StatusOK)
	is.Equal(send(100_000), http.StatusRequestHeaderFieldsTooLarge)
	guard.SetLimits(connection.Limits{HeadBytes: 200_000})
	is.Equal(send(100_000), http.StatusOK)
	is.Equal(guard.Stats().Closed[connection.HeadTooLarge], int64(1))
	eventually(t, func() bool { return guard.Stats().Open == 0 })
}

// Guards against connections that stay open, or whose heads stay counted, after they were closed for a timeout or to make room.
func TestGuardClosesConnections(t *testing.T) {
	is := is.New(t)
	guard, server := startGuarded(t, connection.Limits{HeadTimeout: 200 * time.Millisecond, Connections: 3}, false)
	var conns []net.Conn
	for range 4 {
		conns = append(conns, dial(t, server, "G"))
	}
	for _, c := range conns {
		_, err := c.Read(make([]byte, 1))
		var timeout net.Error
		is.True(err != nil)
		is.True(!errors.As(err, &timeout) || !timeout.Timeout())
	}
	stats := guard.Stats()
	is.Equal(stats.Closed[connection.Connections], int64(1))
	is.Equal(stats.Closed[connection.HeadTimeout], int64(3))
	is.Equal(stats.HeadMemoryBytes, int64(0))
	eventually(t, func() bool { return guard.Stats().Open == 0 })
}

// Guards against requests over TLS, and those after others on a connection, that are refused or stay counted.
func TestGuardServesCallersWithinTheLimits(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		is := is.New(t)
		guard, server := startGuarded(t, connection.Limits{HeadBytes: 2000, HeadMemoryBytes: 64 << 10, Connections: 10}, withTLS)
		body := strings.Repeat("body\n\n", 20_000)
		for range 20 {
			res, err := server.Client().Post(server.URL, "text/plain", strings.NewReader(body))
			is.NoErr(err)
			got, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			is.Equal(len(got), len(body))
		}
		stats := guard.Stats()
		is.Equal(stats.Open, 1)
		is.Equal(stats.HeadMemoryBytes, int64(0))
		for _, n := range stats.Closed {
			is.Equal(n, int64(0))
		}
	}
}
