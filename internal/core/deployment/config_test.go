package deployment

import (
	"testing"

	"github.com/matryer/is"
)

// Checks the choice of the route by host and longest prefix.
func TestRoute(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "one.example", Prefix: "/a/"},
		{Name: "long", Host: "one.example", Prefix: "/a/b/"},
		{Name: "other", Host: "two.example", Prefix: "/a/"},
	}})
	cases := []struct{ host, path, want string }{
		{"one.example", "/a/x", "short"},
		{"one.example", "/a/b/x", "long"},
		{"one.example", "/a/bx", "short"},
		{"ONE.example:8080", "/a/b/", "long"},
		{"two.example", "/a/b/x", "other"},
		{"one.example", "/c/", ""},
		{"three.example", "/a/", ""},
		{"one.example", "/a", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table.Route(c.host, c.path); r != nil {
				got = r.Name
			}
			is.Equal(got, c.want)
		})
	}
}

// Checks the split of a route's traffic and which requests may run again.
func TestRouteService(t *testing.T) {
	is := is.New(t)
	r := Route{Shares: []Share{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Service(float64(i)/1000)]++
	}
	is.Equal(counts["x"], 900)
	is.Equal(counts["y"], 100)
	is.Equal(Route{}.Service(0.5), "")
	is.True(Route{Kind: Safe}.Idempotent())
	is.True(Route{Kind: Streaming, Resumable: true}.Idempotent())
	is.True(!Route{Kind: Streaming}.Idempotent())
	is.True(!Route{Kind: Unsafe, Resumable: true}.Idempotent())
}

// Checks the lookup of workspaces by key.
func TestWorkspace(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Workspaces: []Workspace{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}}})
	is.True(table.RequiresKey())
	is.Equal(table.Workspace("k2").Name, "one")
	is.Equal(table.Workspace("k3").Name, "two")
	is.True(table.Workspace("k4") == nil)
	is.True(!NewTable(Config{}).RequiresKey())
}
