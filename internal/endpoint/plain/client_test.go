package plain_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/endpoint/plain"
	"waxwingplank/internal/standin/script"
)

const usualTimeout = 200 * time.Millisecond

func newClient(timeout time.Duration) *plain.Client {
	return plain.New(plain.Config{Timeout: timeout, MaxBodyBytes: 4096})
}

func describe(a plain.Response, err error) string {
	if err == nil {
		return fmt.Sprintf("%d %s", a.Status(), a.Body())
	}
	var text string
	kinds := []error{
		plain.ErrUnreachable, plain.ErrTimeout, plain.ErrReset, plain.ErrTooLarge, plain.ErrCanceled, plain.ErrInvalid,
	}
	for _, k := range kinds {
		if errors.Is(err, k) {
			text += "error " + k.Error()
		}
	}
	if plain.MayHaveSent(err) {
		text += ", sent"
	}
	if plain.Completed(err) {
		text += ", completed"
	}
	return text
}

func start(t *testing.T, text string) *script.Server {
	t.Helper()
	s := script.New(text)
	is.New(t).NoErr(s.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// The calls that net/http can repeat by itself. All have an idempotency key; some have no body.
var repeated = []plain.Request{
	{Method: http.MethodPost, Body: []byte(`{"lot":1}`)},
	{Method: http.MethodPost},
	{Method: http.MethodPut, Body: []byte(`{"lot":1}`)},
	{Method: http.MethodDelete},
	{Method: http.MethodGet},
}

// Guards against executing a call twice because net/http or this client sent it again, which would
// register a lot code twice, and against reporting that a call did not run although it may have run.
func TestCallContract(t *testing.T) {
	cases, err := script.ReadCases("testdata/calls.txtar")
	is.New(t).NoErr(err)
	for _, c := range cases {
		for _, r := range repeated {
			name := fmt.Sprintf("%s/%s of %d bytes", c.Name(), r.Method, len(r.Body))
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				server := start(t, c.Part("script"))
				client := newClient(c.Timeout(usualTimeout))
				r.Address, r.Path, r.IdempotencyKey = server.Address(), "/registrations", "1700000000-a"
				if c.Part("warm") != "" {
					_, err := client.Call(context.Background(), r)
					is.NoErr(err)
				}
				is.Equal(describe(client.Call(context.Background(), r))+"\n", c.Part("want"))
				is.Equal(fmt.Sprintln(len(server.Requests())), c.Part("requests"))
			})
		}
	}
}

// Guards against a part of an answer that looks complete because the service broke off while a long call was still being sent.
func TestAnswersCutDuringTheUpload(t *testing.T) {
	const rounds = 50
	for _, head := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 OK\r\nConnection: close"} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			server := start(t, fmt.Sprintf("buffer 4096\nbegin\nreceive 1000\nsend %q\nwait 5\nreset", head+"\r\n\r\n{\"lot"))
			r := plain.Request{Address: server.Address(), Method: http.MethodPost, Path: "/registrations", Body: make([]byte, 8<<20)}
			got := map[string]int{}
			for range rounds {
				got[describe(newClient(5*time.Second).Call(context.Background(), r))]++
			}
			is.Equal(got, map[string]int{"error connection lost, sent, completed": rounds})
			is.Equal(len(server.Begun()), rounds) // a call is sent once
		})
	}
}

// Guards against a body that is not the service's: net/http drops the Transfer-Encoding of a response of HTTP/1.0 and takes the sizes of
// chunks for a part of the body.
func TestTransferEncodingInHTTP10(t *testing.T) {
	is := is.New(t)
	server := start(t, `request
send "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"lot\":1}\r\n0\r\n\r\n"`)
	r := plain.Request{Address: server.Address(), Method: http.MethodPost, Path: "/registrations"}
	is.Equal(describe(newClient(5*time.Second).Call(context.Background(), r)), "error connection lost, sent")
}

// Guards against sending a call on an old connection. If the service closed that connection, it would be unclear whether
// the call ran, and a late copy of an earlier response on it would be taken for the response to this call.
func TestCallsUseNewConnections(t *testing.T) {
	is := is.New(t)
	server := start(t, "request\nanswer 200 \"ok\"\nstall")
	client := newClient(usualTimeout)
	for _, method := range []string{http.MethodGet, http.MethodGet, http.MethodPost} {
		_, err := client.Call(context.Background(), plain.Request{Address: server.Address(), Method: method, Path: "/registrations"})
		is.NoErr(err)
	}
	is.Equal(server.Connections(), 3)
}

// Guards against losing the idempotency key or the caller's headers, and against forwarding hop-by-hop headers.
func TestRequestOnTheWire(t *testing.T) {
	is := is.New(t)
	server := start(t, "request\nanswer 200 \"ok\"")
	client := newClient(usualTimeout)
	_, err := client.Call(context.Background(), plain.Request{
		Address: server.Address(), Method: http.MethodPost, Path: "/registrations/a%2Fb?x=1",
		Header: http.Header{"Content-Type": {"text/lot"}, "Expect": {"100-continue"}, "Te": {"trailers"}},
		Body:   []byte("lot"), IdempotencyKey: "1700000000-a",
	})
	is.NoErr(err)
	got := server.Requests()[0]
	for _, want := range []string{
		"POST /registrations/a%2Fb?x=1 HTTP/1.1", "Idempotency-Key: 1700000000-a", "Content-Type: text/lot", "\r\n\r\nlot",
	} {
		is.True(strings.Contains(got, want))
	}
	is.True(!strings.Contains(got, "Expect") && !strings.Contains(got, "Te:"))
}

// Guards against reporting that a call may have run although no byte was sent.
func TestCallNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := newClient(usualTimeout)
	r := plain.Request{Address: address, Method: http.MethodPost, Path: "/registrations"}
	is.Equal(describe(client.Call(context.Background(), r)), "error service unreachable")
	r.Path = "registrations"
	is.Equal(describe(client.Call(context.Background(), r)), "error invalid request")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.Path = "/registrations"
	is.Equal(describe(client.Call(ctx, r)), "error canceled by the caller")
}
