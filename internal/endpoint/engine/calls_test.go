package engine_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/endpoint/engine"
	"waxwingplank/internal/standin/script"
)

func call(c *engine.Client, name, address string) string {
	ctx := context.Background()
	switch name {
	case "describe":
		d, err := c.Describe(ctx, address)
		if err != nil {
			return describe(err)
		}
		return fmt.Sprint(d.Endpoint(), " ", d.Accelerator(), " ", d.FailureDomain(), " ", d.MemoryBytes(), " ",
			d.ChecksFencing(), " ", d.Incarnation(), " ", d.Slots(), " ", d.Holdings())
	case "load":
		l, err := c.Load(ctx, address)
		if err != nil {
			return describe(err)
		}
		return fmt.Sprint(l.Incarnation(), l.Running(), l.Queued(), l.Slots(), l.FreeKVBytes(),
			l.MeasuredAt().UnixMilli(), l.Step())
	case "events":
		events, err := c.Events(ctx, address, 5)
		if err != nil {
			return describe(err)
		}
		var lines []string
		for _, e := range events {
			lines = append(lines, fmt.Sprintf("%d %s %s", e.Sequence(), e.Change(), e.PrefixHash()))
		}
		return strings.Join(lines, "\n")
	case "order":
		return result(c.Order(ctx, address, engine.Order{
			ID: "o1", Fence: 9, Kind: engine.OrderLoad, Model: "hake", Version: "7", Layers: table.Layers{From: 0, To: 8},
		}))
	case "cancel":
		return result(c.Cancel(ctx, address, "s/1", 2))
	case "export":
		e, err := c.Export(ctx, address, "s1", 2)
		if err != nil {
			return describe(err)
		}
		return fmt.Sprintf("%s %d", e.Handle(), e.Bytes())
	}
	return "unknown call " + name
}

func result(err error) string {
	if err != nil {
		return describe(err)
	}
	return "done"
}

// Guards against accepting damaged reports, and against reporting an order as failed that may have been executed.
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
			client := engine.New(configOf(c))
			is.Equal(call(client, strings.TrimSpace(c.Part("call")), server.Address())+"\n", c.Part("want"))
			is.Equal(len(server.Requests()), 1) // no call is repeated
		})
	}
}

// Guards against changes to the requests that engines receive.
func TestRequestsOnTheWire(t *testing.T) {
	cases := []struct{ call, want string }{
		{"events", "GET /v1/events?after=5 "},
		{"cancel", "DELETE /v1/streams/s%2F1?attempt=2 "},
		{"order", `{"order":"o1","fence":9,"kind":"load","model":"hake","version":"7","layers":[0,8]}`},
		{"export", `{"attempt":2}`},
	}
	for _, c := range cases {
		t.Run(c.call, func(t *testing.T) {
			is := is.New(t)
			server := script.New("request\nanswer 200 \"{}\"")
			is.NoErr(server.Start("127.0.0.1:0"))
			defer func() { _ = server.Close() }()
			client := engine.New(testConfig)
			call(client, c.call, server.Address())
			is.True(strings.Contains(server.Requests()[0], c.want))
		})
	}
}

// Guards against hosts and engines that compute prefix hashes differently, so that routing never finds a cached prefix.
func TestPrefixHashes(t *testing.T) {
	is := is.New(t)
	preamble := strings.Repeat("franchise ", 60)
	a, b := engine.PrefixHashes(preamble+"one"), engine.PrefixHashes(preamble+"two")
	is.Equal(len(a), 2)
	is.Equal(a, b)
	is.True(a[0] != a[1])
	is.Equal(len(engine.PrefixHashes("short")), 0)
	is.Equal(len(engine.PrefixHashes(strings.Repeat("x", 1<<20))), 16)
}
