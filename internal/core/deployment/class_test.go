package deployment

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against classes out of range, and against a workspace's priority that does not take precedence over its route's.
func TestClass(t *testing.T) {
	low, high, invalid := 2, -3, 99
	table := NewTable(Config{})
	cases := []struct {
		name      string
		route     int
		workspace *Workspace
		want      Class
	}{
		{"no workspace", 3, nil, 3},
		{"a workspace without priority", 3, &Workspace{}, 3},
		{"a workspace with a lower one", 1, &Workspace{Priority: &low}, 2},
		{"a negative one", 1, &Workspace{Priority: &high}, 0},
		{"one that is too large", 1, &Workspace{Priority: &invalid}, 9},
		{"a route with a negative one", -1, nil, 0},
		{"a route with one that is too large", 10, nil, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(table.Class(&Route{Priority: c.route}, c.workspace), c.want)
		})
	}
}

// Guards against a service that is served by class though all of its requests have the same one.
func TestHasClasses(t *testing.T) {
	is := is.New(t)
	zero, one := 0, 1
	to := func(service string, priority int) Route {
		return Route{Priority: priority, Shares: []Share{{Service: service, Weight: 1}}}
	}
	routes := []Route{to("x", 0), to("x", -4), to("y", 1), to("y", 2), to("z", 12), to("z", 9)}
	table := NewTable(Config{Routes: routes})
	is.True(!table.HasClasses("x"))
	is.True(table.HasClasses("y"))
	is.True(!table.HasClasses("z"))
	is.True(!table.HasClasses("unknown"))
	table = NewTable(Config{Routes: routes, Workspaces: []Workspace{{Priority: &zero}, {}}})
	is.True(!table.HasClasses("x"))
	is.True(table.HasClasses("z"))
	is.True(NewTable(Config{Routes: routes, Workspaces: []Workspace{{Priority: &one}}}).HasClasses("x"))
}
