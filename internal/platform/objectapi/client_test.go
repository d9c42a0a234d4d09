package objectapi_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/platform/objectapi"
	"waxwingplank/internal/standin/script"
)

func describe(err error) string {
	var text string
	kinds := []error{
		objectapi.ErrConflict, objectapi.ErrNotFound, objectapi.ErrUnavailable, objectapi.ErrEffectUnknown, objectapi.ErrRejected,
	}
	for _, k := range kinds {
		if errors.Is(err, k) {
			text += "error " + k.Error()
		}
	}
	if v, ok := objectapi.CurrentVersion(err); ok {
		text += fmt.Sprintf(", current %d", v)
	}
	if d := objectapi.RetryAfter(err); d != 0 {
		text += ", retry after " + d.String()
	}
	return text
}

func describeSnapshot(s objectapi.Snapshot, err error) string {
	if err != nil {
		return describe(err)
	}
	text := fmt.Sprintf("at %d", s.Version())
	if s.Reset() {
		text += " reset"
	}
	for _, o := range s.Objects() {
		value := string(o.Value())
		if o.Deleted() {
			value = "deleted"
		}
		text += fmt.Sprintf(" [%s %d %s]", o.Name(), o.Version(), value)
	}
	return text
}

func call(c *objectapi.Client, name string) string {
	ctx := context.Background()
	switch name {
	case "get":
		o, err := c.Get(ctx, "leases", "a/b")
		if err != nil {
			return describe(err)
		}
		return fmt.Sprintf("version %d %s", o.Version(), o.Value())
	case "create", "put":
		w := objectapi.Write{Kind: "leases", Name: "a/b", Value: []byte("value")}
		if name == "put" {
			w.Expected = 7
		}
		v, err := c.Put(ctx, w)
		if err != nil {
			return describe(err)
		}
		return fmt.Sprintf("version %d", v)
	case "delete":
		if err := c.Delete(ctx, "leases", "a/b", 7); err != nil {
			return describe(err)
		}
		return "done"
	case "list":
		return describeSnapshot(c.List(ctx, "leases"))
	case "watch":
		return describeSnapshot(c.Watch(ctx, "leases", 5, 150*time.Millisecond))
	}
	return "unknown call " + name
}

// Guards against reporting a write as failed although it may have taken effect, and against sending a write twice.
func TestCallContract(t *testing.T) {
	cases, err := script.ReadCases("testdata/calls.txtar")
	is.New(t).NoErr(err)
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := script.New(c.Part("script"))
			is.NoErr(server.Start("127.0.0.1:0"))
			defer func() { _ = server.Close() }()
			client := objectapi.New(objectapi.Config{Address: server.Address(), Timeout: c.Timeout(200 * time.Millisecond)})
			defer client.Close()
			calls := strings.Fields(c.Part("call"))
			var got strings.Builder
			for _, name := range calls {
				got.WriteString(call(client, name) + "\n")
			}
			is.Equal(got.String(), c.Part("want"))
			is.Equal(len(server.Requests()), len(calls))
		})
	}
}

// Guards against changes to the protocol, such as a write without its condition header.
func TestRequestsOnTheWire(t *testing.T) {
	cases := []struct{ call, line, condition string }{
		{"get", "GET /v1/objects/leases/a%2Fb ", ""},
		{"create", "PUT /v1/objects/leases/a%2Fb ", "If-None-Match: *\r\n"},
		{"put", "PUT /v1/objects/leases/a%2Fb ", "If-Match: \"7\"\r\n"},
		{"delete", "DELETE /v1/objects/leases/a%2Fb ", "If-Match: \"7\"\r\n"},
		{"list", "GET /v1/objects/leases ", ""},
		{"watch", "GET /v1/watch/leases?after=5&wait_ms=150 ", ""},
	}
	for _, c := range cases {
		t.Run(c.call, func(t *testing.T) {
			is := is.New(t)
			server := script.New("request\nanswer 404 \"\"")
			is.NoErr(server.Start("127.0.0.1:0"))
			defer func() { _ = server.Close() }()
			client := objectapi.New(objectapi.Config{Address: server.Address()})
			defer client.Close()
			call(client, c.call)
			got := server.Requests()[0]
			is.True(strings.HasPrefix(got, c.line))
			is.True(strings.Contains(got, c.condition))
			is.Equal(strings.Count(got, "If-"), strings.Count(c.condition, "If-"))
		})
	}
}

// Guards against reporting the effect of a write as unknown although no byte was sent, which would make the
// caller read the object back to resolve it.
func TestPutNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := objectapi.New(objectapi.Config{Address: address})
	is.Equal(call(client, "put"), "error object API unavailable")
}

// Guards against reusing pooled connections that stalled together: each would cost one write its timeout
// although new connections work.
func TestSilentConnectionsAreNotReused(t *testing.T) {
	is := is.New(t)
	old := "connection\nrequest\nwait 50\nanswer 200 \"old\" \"ETag: 7\"\nrequest\nstall\n"
	server := script.New(old + old + "connection\nrequest\nanswer 200 \"new\" \"ETag: 8\"\n")
	is.NoErr(server.Start("127.0.0.1:0"))
	defer func() { _ = server.Close() }()
	client := objectapi.New(objectapi.Config{Address: server.Address(), Timeout: 200 * time.Millisecond})
	defer client.Close()
	first := make(chan string, 2)
	for range 2 {
		go func() { first <- call(client, "get") }()
	}
	is.Equal(<-first, "version 7 old")
	is.Equal(<-first, "version 7 old")
	is.Equal(call(client, "put"), "error "+objectapi.ErrEffectUnknown.Error())
	is.Equal(call(client, "get"), "version 8 new")
}
